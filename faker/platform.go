// Package faker holds small stand-ins for the platform, its workers and the
// targets, with the faults of the real ones as switches. The demo and the
// tests use them; nothing else does.
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

// watchWait is how long the platform holds a watch open.
const watchWait = 20 * time.Second

// Platform is a key-value service in memory.
type Platform struct {
	// Now is the platform's clock.
	Now func() time.Time

	mu      sync.Mutex
	items   map[string]storer.Item
	log     []storer.Item
	version uint64
	leases  map[string]*term
	changed chan struct{}
	faults  PlatformFaults
	calls   map[string]int
}

type term struct {
	ttl  time.Duration
	ends time.Time
}

// PlatformFaults are the platform's switches.
type PlatformFaults struct {
	Down        bool          `json:"down"` // every call gets 503
	LoseReplies int           `json:"lose"` // so many writes take effect but their answers are lost
	Delay       time.Duration `json:"slow"` // each call waits so long before it takes effect
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		Now: time.Now, items: map[string]storer.Item{}, leases: map[string]*term{},
		changed: make(chan struct{}), calls: map[string]int{},
	}
}

// SetFaults changes the faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.wake()
}

// CallCounts returns how often each call came.
func (p *Platform) CallCounts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := map[string]int{}
	for name, n := range p.calls {
		counts[name] = n
	}
	return counts
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// ServeHTTP answers the calls of docs/PROTOCOL.md and, under /fault, takes the
// switches.
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
		return // a caller that went away has no effect
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
	status, answer := p.serve(r, body)
	if f.LoseReplies > 0 && r.Method != http.MethodGet {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Platform-Now", strconv.FormatInt(p.Now().UnixNano(), 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (p *Platform) serve(r *http.Request, body []byte) (int, any) {
	query := r.URL.Query()
	version, _ := strconv.ParseUint(query.Get("version"), 10, 64)
	key, keyed := strings.CutPrefix(r.URL.Path, "/v1/keys/")
	id, leased := strings.CutPrefix(r.URL.Path, "/v1/leases/")
	switch {
	case r.URL.Path == "/v1/watch":
		return p.watch(r, query.Get("prefix"))
	case r.URL.Path == "/v1/keys":
		return p.list(query.Get("prefix"))
	case keyed && r.Method == http.MethodGet:
		return p.get(key)
	case keyed && r.Method == http.MethodPut:
		return p.swap(key, body, version, query.Get("lease"), false)
	case keyed && r.Method == http.MethodDelete:
		return p.swap(key, nil, version, "", true)
	case r.URL.Path == "/v1/leases":
		ms, _ := strconv.Atoi(query.Get("ttl"))
		return p.grant(time.Duration(ms) * time.Millisecond)
	case leased:
		return p.keep(id, r.Method == http.MethodDelete)
	}
	return http.StatusNotFound, nil
}

// lapse drops the keys of leases that ended; the caller holds mu.
func (p *Platform) lapse() {
	for id, t := range p.leases {
		if p.Now().After(t.ends) {
			p.end(id)
		}
	}
}

func (p *Platform) end(id string) {
	delete(p.leases, id)
	for key, item := range p.items {
		if item.Lease == id {
			delete(p.items, key)
			p.note(storer.Item{Key: key, Deleted: true})
		}
	}
}

func (p *Platform) note(item storer.Item) storer.Item {
	p.version++
	item.Version = p.version
	p.log = append(p.log, item)
	p.wake()
	return item
}

func (p *Platform) get(key string) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lapse()
	item, ok := p.items[key]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, item
}

func (p *Platform) list(prefix string) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lapse()
	return http.StatusOK, p.under(prefix)
}

func (p *Platform) under(prefix string) storer.Listing {
	l := storer.Listing{Version: p.version}
	for key, item := range p.items {
		if strings.HasPrefix(key, prefix) {
			l.Items = append(l.Items, item)
		}
	}
	sort.Slice(l.Items, func(i, j int) bool { return l.Items[i].Key < l.Items[j].Key })
	return l
}

func (p *Platform) swap(key string, value []byte, version uint64, lease string, gone bool) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lapse()
	if p.items[key].Version != version {
		return http.StatusPreconditionFailed, nil
	}
	if _, ok := p.leases[lease]; lease != "" && !ok {
		return http.StatusNotFound, nil
	}
	if len(value) > storer.MaxValueBytes {
		return http.StatusRequestEntityTooLarge, nil
	}
	item := p.note(storer.Item{Key: key, Value: value, Lease: lease, Deleted: gone})
	if gone {
		delete(p.items, key)
	} else {
		p.items[key] = item
	}
	return http.StatusOK, storer.Item{Key: key, Version: item.Version}
}

func (p *Platform) grant(ttl time.Duration) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := uuid.NewString()
	p.leases[id] = &term{ttl: ttl, ends: p.Now().Add(ttl)}
	return http.StatusOK, map[string]string{"id": id}
}

func (p *Platform) keep(id string, drop bool) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lapse()
	t, ok := p.leases[id]
	if !ok {
		return http.StatusNotFound, nil
	}
	if drop {
		p.end(id)
		return http.StatusOK, nil
	}
	t.ends = p.Now().Add(t.ttl)
	return http.StatusOK, nil
}

// watch waits for changes under a prefix. Lapses show at the next tick.
func (p *Platform) watch(r *http.Request, prefix string) (int, any) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	end := time.After(watchWait)
	for {
		p.mu.Lock()
		p.lapse()
		if p.faults.Down {
			p.mu.Unlock()
			return http.StatusServiceUnavailable, nil
		}
		l := storer.Listing{Version: p.version}
		for _, item := range p.log[min(int(after), len(p.log)):] {
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
		case <-end:
			return http.StatusOK, l
		case <-r.Context().Done():
			return http.StatusOK, l
		}
	}
}

// Dump prints the store's keys, for a failing test.
func (p *Platform) Dump() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var b strings.Builder
	for key, item := range p.items {
		fmt.Fprintf(&b, "%s@%d %d bytes\n", key, item.Version, len(item.Value))
	}
	return b.String()
}
