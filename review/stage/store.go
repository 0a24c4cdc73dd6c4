package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store's replies, from the platform's pages.
const (
	pageItems = 500
	pageBytes = 1 << 20
	// valueBytes bounds a value.
	valueBytes = 1 << 20
)

// entry is a key of the store, or the event of its last change.
type entry struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"revision"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"leaseId"`
	Deleted bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store stands in for the platform's metadata store. All of its answers are linearizable.
type store struct {
	mu      sync.Mutex
	changed chan struct{} // closed at each change
	rev     uint64
	keys    map[string]*entry
	events  []entry
	leases  map[uint64]*lease
	lastID  uint64
	// silent is closed when the store answers again; nil while it does.
	silent chan struct{}
	// delay is how long each answer takes.
	delay time.Duration
	// lose decides whether the reply to a transaction that has been carried out is lost.
	lose func(from string, written []string) bool
	// seen is called with the keys that a process has written.
	seen func(from string, written []string)
}

func newStore() *store {
	return &store{changed: make(chan struct{}), rev: 100, keys: map[string]*entry{}, leases: map[uint64]*lease{}, delay: 4 * time.Millisecond}
}

// expireLoop ends leases. They run on while the store is silent.
func (s *store) expireLoop(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// goSilent makes the store answer nothing until the returned function is called. Calls that
// arrive meanwhile are not carried out.
func (s *store) goSilent() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	silent := make(chan struct{})
	s.silent = silent
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.silent = nil
		close(silent)
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, e := range s.keys {
		if e.Lease == id {
			s.rev++
			s.remove(key)
			s.notify()
		}
	}
}

func (s *store) remove(key string) {
	delete(s.keys, key)
	s.events = append(s.events, entry{Key: key, Rev: s.rev, Deleted: true})
}

func (s *store) put(key string, value []byte, leaseID uint64) {
	e := &entry{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: leaseID}
	if old := s.keys[key]; old != nil {
		e.Created = old.Created
	}
	s.keys[key] = e
	s.events = append(s.events, *e)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write is the operator's write of a key.
func (s *store) write(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, raw, 0)
	s.notify()
}

// value returns the value of a key.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.keys[key]; e != nil {
		return e.Value
	}
	return nil
}

// handler serves the store to one process.
func (s *store) handler(from string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire("key"), s.get)
	mux.HandleFunc("GET "+wire("range"), s.list)
	mux.HandleFunc("GET "+wire("watch"), s.watch)
	mux.HandleFunc("POST "+wire("txn"), func(w http.ResponseWriter, r *http.Request) { s.commit(w, r, from) })
	mux.HandleFunc("POST "+wire("lease"), s.grant)
	mux.HandleFunc("POST "+wire("keep")+"{id}", s.renew)
	mux.HandleFunc("DELETE "+wire("end")+"{id}", s.revoke)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		silent, delay := s.silent, s.delay
		s.mu.Unlock()
		if silent != nil {
			select {
			case <-silent:
			case <-r.Context().Done():
			}
			panic(http.ErrAbortHandler) // it was not carried out
		}
		time.Sleep(delay)
		mux.ServeHTTP(w, r)
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	e, rev := s.keys[r.URL.Query().Get("key")], s.rev
	s.mu.Unlock()
	if e == nil {
		reply(w, http.StatusNotFound, map[string]any{"at": rev})
		return
	}
	reply(w, http.StatusOK, map[string]any{"key": e.Key, "value": e.Value, "revision": e.Rev, "created": e.Created, "leaseId": e.Lease, "at": rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items, more, size := []entry{}, false, 0
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		if len(items) == pageItems || size > pageBytes {
			more = true
			break
		}
		items, size = append(items, *s.keys[key]), size+len(s.keys[key].Value)
	}
	rev := s.rev
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "at": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []entry{}
		first, _ := slices.BinarySearchFunc(s.events, after+1, func(e entry, rev uint64) int { return int(e.Rev) - int(rev) })
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		rev, changed, silent := s.rev, s.changed, s.silent
		s.mu.Unlock()
		if silent != nil {
			<-silent
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": rev})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": rev})
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request, from string) {
	var body struct {
		Expected []struct {
			Key string `json:"key"`
			Rev uint64 `json:"revision"`
		} `json:"expectedRev"`
		Write []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"leaseId"`
		} `json:"write"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Expected)+len(body.Write)+len(body.Remove) > 32 {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []entry
	holds := true
	for _, x := range body.Expected {
		e := entry{Key: x.Key}
		if stored := s.keys[x.Key]; stored != nil {
			e = *stored
		}
		current = append(current, e)
		holds = holds && e.Rev == x.Rev
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	var written []string
	for _, x := range body.Write {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			reply(w, http.StatusForbidden, nil)
			return
		}
		if len(x.Value) > valueBytes {
			reply(w, http.StatusBadRequest, nil)
			return
		}
		written = append(written, x.Key)
	}
	s.rev++
	for _, x := range body.Write {
		s.put(x.Key, x.Value, x.Lease)
	}
	for _, key := range body.Remove {
		if s.keys[key] != nil {
			s.remove(key)
		}
	}
	s.notify()
	if s.seen != nil {
		s.seen(from, written)
	}
	if s.lose != nil && s.lose(from, written) {
		s.mu.Unlock()
		<-r.Context().Done() // the channel returns nothing further
		s.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	ttl := time.Duration(min(max(body.TTL, 1000), 600000)) * time.Millisecond
	s.mu.Lock()
	s.lastID++
	id := s.lastID
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"leaseId": id, "ttlMs": ttl.Milliseconds()})
}

func (s *store) renew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, nil)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{})
}

func (s *store) revoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}

// reply sends a body as JSON.
func reply(w http.ResponseWriter, status int, body any) {
	if body == nil {
		body = map[string]any{}
	}
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw) // the client may have gone
}
