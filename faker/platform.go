// Package faker provides small fakes of the platform, its workers and the
// targets, with injectable faults. Only the demo and the tests use them.
package faker

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/endivefall/endivefall/storer"
)

// watchTimeout bounds how long a watch without changes stays open.
const watchTimeout = 20 * time.Second

// Platform is a fake of the platform's key-value service, in memory.
type Platform struct {
	// Now is the platform's clock.
	Now func() time.Time

	mu      sync.Mutex
	items   map[string]storer.Item
	history []storer.Item // every change, in the order of versions 1, 2, ...
	version uint64
	leases  map[string]*platformLease
	changed chan struct{}
	faults  PlatformFaults
	calls   map[string]int
}

type platformLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// PlatformFaults are the faults injected into a Platform.
type PlatformFaults struct {
	Down        bool          `json:"down"` // every call is answered with status 503
	LoseReplies int           `json:"lose"` // this many writes take effect without a reply
	Delay       time.Duration `json:"slow"` // wait before each call takes effect
}

// NewPlatform returns a platform without keys and faults.
func NewPlatform() *Platform {
	return &Platform{
		Now: time.Now, items: map[string]storer.Item{}, leases: map[string]*platformLease{},
		changed: make(chan struct{}), calls: map[string]int{},
	}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notifyWatchers()
}

// CallCounts returns the number of calls by method and first two path segments.
func (p *Platform) CallCounts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := map[string]int{}
	for name, n := range p.calls {
		counts[name] = n
	}
	return counts
}

func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// ServeHTTP implements the platform's calls of docs/PROTOCOL.md; a request to
// /fault sets the faults.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/fault" {
		var f PlatformFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err == nil {
			p.SetFaults(f)
		}
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // a request whose body is cut short has no effect
	}
	p.mu.Lock()
	f := p.faults
	p.calls[r.Method+" "+strings.Join(strings.Split(r.URL.Path, "/")[:3], "/")]++
	if f.LoseReplies > 0 && r.Method != http.MethodGet {
		p.faults.LoseReplies--
	}
	p.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-r.Context().Done():
			if r.Method == http.MethodGet {
				return
			}
		}
	}
	if f.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status, reply := p.route(r, body)
	if f.LoseReplies > 0 && r.Method != http.MethodGet {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Platform-Now", strconv.FormatInt(p.Now().UnixNano(), 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply)
}

func (p *Platform) route(r *http.Request, body []byte) (int, any) {
	query := r.URL.Query()
	version, _ := strconv.ParseUint(query.Get("version"), 10, 64)
	key, isKey := strings.CutPrefix(r.URL.Path, "/v1/keys/")
	id, isLease := strings.CutPrefix(r.URL.Path, "/v1/leases/")
	switch {
	case r.URL.Path == "/v1/watch":
		return p.watch(r, query.Get("prefix"))
	case r.URL.Path == "/v1/keys":
		return p.list(query.Get("prefix"))
	case isKey && r.Method == http.MethodGet:
		return p.get(key)
	case isKey && r.Method == http.MethodPut:
		return p.compareAndSwap(key, body, version, query.Get("lease"), false)
	case isKey && r.Method == http.MethodDelete:
		return p.compareAndSwap(key, nil, version, "", true)
	case r.URL.Path == "/v1/leases":
		ms, _ := strconv.Atoi(query.Get("ttl"))
		return p.createLease(time.Duration(ms) * time.Millisecond)
	case isLease:
		return p.renewOrRevokeLease(id, r.Method == http.MethodDelete)
	}
	return http.StatusNotFound, nil
}

// expireLeases deletes the keys of expired leases; the caller holds mu.
func (p *Platform) expireLeases() {
	for id, lease := range p.leases {
		if p.Now().After(lease.expiresAt) {
			p.revokeLease(id)
		}
	}
}

func (p *Platform) revokeLease(id string) {
	delete(p.leases, id)
	for key, item := range p.items {
		if item.Lease == id {
			delete(p.items, key)
			p.appendChange(storer.Item{Key: key, Deleted: true})
		}
	}
}

func (p *Platform) appendChange(item storer.Item) storer.Item {
	p.version++
	item.Version = p.version
	p.history = append(p.history, item)
	p.notifyWatchers()
	return item
}

func (p *Platform) get(key string) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLeases()
	item, ok := p.items[key]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, item
}

func (p *Platform) list(prefix string) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLeases()
	return http.StatusOK, p.listPrefix(prefix)
}

func (p *Platform) listPrefix(prefix string) storer.Listing {
	l := storer.Listing{Version: p.version}
	for key, item := range p.items {
		if strings.HasPrefix(key, prefix) {
			l.Items = append(l.Items, item)
		}
	}
	sort.Slice(l.Items, func(i, j int) bool { return l.Items[i].Key < l.Items[j].Key })
	return l
}

func (p *Platform) compareAndSwap(key string, value []byte, version uint64, lease string, deleted bool) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLeases()
	if p.items[key].Version != version {
		return http.StatusPreconditionFailed, nil
	}
	if _, ok := p.leases[lease]; lease != "" && !ok {
		return http.StatusNotFound, nil
	}
	if len(value) > storer.MaxValueBytes {
		return http.StatusRequestEntityTooLarge, nil
	}
	item := p.appendChange(storer.Item{Key: key, Value: value, Lease: lease, Deleted: deleted})
	if deleted {
		delete(p.items, key)
	} else {
		p.items[key] = item
	}
	return http.StatusOK, storer.Item{Key: key, Version: item.Version}
}

func (p *Platform) createLease(ttl time.Duration) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := uuid.NewString()
	p.leases[id] = &platformLease{ttl: ttl, expiresAt: p.Now().Add(ttl)}
	return http.StatusOK, map[string]string{"id": id}
}

func (p *Platform) renewOrRevokeLease(id string, revoke bool) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLeases()
	lease, ok := p.leases[id]
	if !ok {
		return http.StatusNotFound, nil
	}
	if revoke {
		p.revokeLease(id)
		return http.StatusOK, nil
	}
	lease.expiresAt = p.Now().Add(lease.ttl)
	return http.StatusOK, nil
}

// watch waits for changes under a prefix. It polls, since leases expire without a
// call.
func (p *Platform) watch(r *http.Request, prefix string) (int, any) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	timeout := time.After(watchTimeout)
	for {
		p.mu.Lock()
		p.expireLeases()
		if p.faults.Down {
			p.mu.Unlock()
			return http.StatusServiceUnavailable, nil
		}
		l := storer.Listing{Version: p.version}
		for _, item := range p.history[min(int(after), len(p.history)):] {
			if strings.HasPrefix(item.Key, prefix) {
				l.Items = append(l.Items, item)
			}
		}
		changed := p.changed
		p.mu.Unlock()
		if len(l.Items) > 0 {
			return http.StatusOK, l
		}
		select {
		case <-changed:
		case <-time.After(200 * time.Millisecond):
		case <-timeout:
			return http.StatusOK, l
		case <-r.Context().Done():
			return http.StatusOK, l
		}
	}
}

// Dump lists the keys with their versions and sizes, for the log of a failed test.
func (p *Platform) Dump() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var b strings.Builder
	for key, item := range p.items {
		fmt.Fprintf(&b, "%s@%d %d bytes\n", key, item.Version, len(item.Value))
	}
	return b.String()
}
