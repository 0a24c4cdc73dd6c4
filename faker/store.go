package faker

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/endivefall/endivefall/storer"
)

// StoreFault is what befalls one call to a Store.
type StoreFault struct {
	// Delay is waited before the call is carried out.
	Delay time.Duration
	// Refuse answers ErrDown without doing anything.
	Refuse bool
	// LoseReply carries the call out, after Late, and answers ErrUnsettled at once.
	LoseReply  bool
	ApplyDelay time.Duration
}

// Store is an in-memory stand-in of a platform's store with transactions,
// leases and watches. It is safe for concurrent use.
type Store struct {
	// Now is its clock.
	Now func() time.Time
	// Fault decides what befalls a call; nil for nothing.
	Fault func(call string) StoreFault
	// PageSize bounds a page, in items; 500 when 0.
	PageSize int

	mu      sync.Mutex
	items   map[string]stored
	version uint64
	// history has every change with a version above forgotten.
	history   []storer.Item
	forgotten uint64
	leases    map[string]*storeLease
	nextLease uint64
	// changed is closed and replaced with each change.
	changed chan struct{}
}

// stored is a key with the lease that holds it.
type stored struct {
	storer.Item
	lease string
}

// storeLease is a lease; the mu of its Store guards it.
type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{
		Now: time.Now, items: map[string]stored{}, leases: map[string]*storeLease{}, changed: make(chan struct{}), version: 1,
	}
}

// Client returns the store as processes call it.
func (s *Store) Client() *storer.Store {
	return &storer.Store{
		Get: s.get, ListPage: s.page, Watch: s.watch, Commit: s.commit, CreateLease: s.lease, RenewLease: s.renew, RevokeLease: s.end,
	}
}

// run carries a call out under the faults of the moment.
func (s *Store) run(ctx context.Context, call string, do func() error) error {
	var f StoreFault
	s.mu.Lock()
	fault := s.Fault
	s.mu.Unlock()
	if fault != nil {
		f = fault(call)
	}
	if f.Delay > 0 {
		t := time.NewTimer(f.Delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", storer.ErrUnavailable, ctx.Err())
		}
	}
	switch {
	case f.Refuse:
		return storer.ErrUnavailable
	case f.LoseReply && f.ApplyDelay > 0:
		time.AfterFunc(f.ApplyDelay, func() { _ = do() })
		return storer.ErrUnknownOutcome
	case f.LoseReply:
		_ = do()
		return storer.ErrUnknownOutcome
	}
	return do()
}

// SetFault changes what befalls calls, while the store is in use.
func (s *Store) SetFault(fault func(call string) StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Fault = fault
}

// expire ends leases whose time is over; mu is held.
func (s *Store) expire() {
	now := s.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.drop(id)
		}
	}
}

// drop ends a lease and its keys; mu is held.
func (s *Store) drop(id string) {
	delete(s.leases, id)
	var keys []string
	for key, item := range s.items {
		if item.lease == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.version++
		s.put(key, nil, "", true)
	}
}

// put changes a key at the present version; mu is held.
func (s *Store) put(key string, value []byte, lease string, gone bool) {
	item := storer.Item{Key: key, Value: slices.Clone(value), Version: s.version, Deleted: gone}
	if gone {
		if _, ok := s.items[key]; !ok {
			return
		}
		delete(s.items, key)
	} else {
		s.items[key] = stored{item, lease}
	}
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact forgets the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgotten = nil, s.version
	close(s.changed)
	s.changed = make(chan struct{})
}

// DeleteKey takes a key away, as an operator may.
func (s *Store) DeleteKey(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(key, nil, "", true)
}

func (s *Store) get(ctx context.Context, key string) (storer.Item, error) {
	var item storer.Item
	err := s.run(ctx, "get", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		found, ok := s.items[key]
		if !ok {
			return storer.ErrNotFound
		}
		item = found.Item
		return nil
	})
	return item, readError(err)
}

// readError turns the loss of a read's answer into what it is: nothing done.
func readError(err error) error {
	if errors.Is(err, storer.ErrUnknownOutcome) {
		return storer.ErrUnavailable
	}
	return err
}

func (s *Store) page(ctx context.Context, prefix, after string) (storer.Page, error) {
	var p storer.Page
	err := s.run(ctx, "page", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		var keys []string
		for key := range s.items {
			if strings.HasPrefix(key, prefix) && key > after {
				keys = append(keys, key)
			}
		}
		slices.Sort(keys)
		size := s.PageSize
		if size == 0 {
			size = 500
		}
		p = storer.Page{Version: s.version, More: len(keys) > size}
		for _, key := range keys[:min(len(keys), size)] {
			p.Items = append(p.Items, s.items[key].Item)
		}
		return nil
	})
	return p, readError(err)
}

func (s *Store) watch(ctx context.Context, prefix string, after uint64, until time.Time) (storer.Page, error) {
	for {
		var p storer.Page
		var changed chan struct{}
		err := s.run(ctx, "watch", func() error {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.expire()
			changed = s.changed
			if after < s.forgotten {
				return storer.ErrCompacted
			}
			p.Version = s.version
			for _, item := range s.history {
				if item.Version > after && strings.HasPrefix(item.Key, prefix) {
					p.Items = append(p.Items, item)
				}
			}
			return nil
		})
		if err != nil || len(p.Items) > 0 {
			return p, readError(err)
		}
		wait := time.Until(until)
		if wait <= 0 {
			return p, nil
		}
		t := time.NewTimer(min(wait, time.Second)) // leases end without a call
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return p, fmt.Errorf("%w: %w", storer.ErrUnavailable, ctx.Err())
		}
		t.Stop()
	}
}

func (s *Store) commit(ctx context.Context, change storer.Transaction) (uint64, error) {
	var at uint64
	err := s.run(ctx, "commit", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		if n := len(change.Checks) + len(change.Writes) + len(change.Deletes); n > storer.MaxTransactionOps {
			return fmt.Errorf("transaction has %d entries, over %d", n, storer.MaxTransactionOps)
		}
		clash := &storer.ConflictError{}
		failed := false
		for _, c := range change.Checks {
			item := s.items[c.Key]
			failed = failed || item.Version != c.Version
			if item.Version != 0 {
				clash.Items = append(clash.Items, item.Item)
			}
		}
		if failed {
			return clash
		}
		for _, w := range change.Writes {
			if w.Lease != "" && s.leases[w.Lease] == nil {
				return storer.ErrNotFound
			}
		}
		s.version++
		at = s.version
		for _, w := range change.Writes {
			s.put(w.Key, w.Value, w.Lease, false)
		}
		for _, key := range change.Deletes {
			s.put(key, nil, "", true)
		}
		return nil
	})
	return at, err
}

func (s *Store) lease(ctx context.Context, ttl time.Duration) (string, error) {
	var id string
	err := s.run(ctx, "lease", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.nextLease++
		id = fmt.Sprint(s.nextLease)
		s.leases[id] = &storeLease{ttl, s.Now().Add(ttl)}
		return nil
	})
	return id, err
}

func (s *Store) renew(ctx context.Context, id string) error {
	return s.run(ctx, "renew", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		l := s.leases[id]
		if l == nil {
			return storer.ErrNotFound
		}
		l.ends = s.Now().Add(l.ttl)
		return nil
	})
}

func (s *Store) end(ctx context.Context, id string) error {
	return s.run(ctx, "end", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leases[id] == nil {
			return storer.ErrNotFound
		}
		s.drop(id)
		return nil
	})
}
