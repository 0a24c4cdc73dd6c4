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

// StoreFault is the fault injected into one call to a Store.
type StoreFault struct {
	// Delay is the wait before the call is executed.
	Delay time.Duration
	// Refuse returns ErrUnavailable without executing the call.
	Refuse bool
	// LoseReply executes the call after ApplyDelay; a write returns ErrUnknownOutcome
	// at once, a read ErrUnavailable.
	LoseReply  bool
	ApplyDelay time.Duration
}

// Store is an in-memory fake of a platform's store with transactions, leases and
// watches. It is safe for concurrent use.
type Store struct {
	// Now is the store's clock.
	Now func() time.Time
	// Fault returns the fault of a call; nil injects none.
	Fault func(call string) StoreFault
	// PageSize is the maximum number of items of a page; 500 when 0.
	PageSize int

	mu      sync.Mutex
	items   map[string]storedItem
	version uint64
	// history holds every change with a version above compactedVersion.
	history          []storer.Item
	compactedVersion uint64
	leases           map[string]*storeLease
	nextLease        uint64
	// changed is closed and replaced with each change.
	changed chan struct{}
}

// storedItem is an item with the lease to which its key is attached.
type storedItem struct {
	storer.Item
	leaseID string
}

// storeLease is a lease; the mu of its Store guards it.
type storeLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// NewStore returns a store without keys and faults.
func NewStore() *Store {
	return &Store{
		Now: time.Now, items: map[string]storedItem{}, leases: map[string]*storeLease{}, changed: make(chan struct{}), version: 1,
	}
}

// Client returns a client that calls the store in memory.
func (s *Store) Client() *storer.Store {
	return &storer.Store{
		Get: s.get, ListPage: s.listPage, Watch: s.watch, Commit: s.commit, CreateLease: s.createLease, RenewLease: s.renewLease, RevokeLease: s.endLease,
	}
}

// withFault executes a call under the fault injected into it.
func (s *Store) withFault(ctx context.Context, call string, apply func() error) error {
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
		time.AfterFunc(f.ApplyDelay, func() { _ = apply() })
		return storer.ErrUnknownOutcome
	case f.LoseReply:
		_ = apply()
		return storer.ErrUnknownOutcome
	}
	return apply()
}

// SetFault replaces Fault; it may be called while the store is in use.
func (s *Store) SetFault(fault func(call string) StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Fault = fault
}

// expireLeases ends expired leases; the caller holds mu.
func (s *Store) expireLeases() {
	now := s.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.dropLease(id)
		}
	}
}

// dropLease ends a lease and deletes its keys; the caller holds mu.
func (s *Store) dropLease(id string) {
	delete(s.leases, id)
	var keys []string
	for key, item := range s.items {
		if item.leaseID == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.version++
		s.put(key, nil, "", true)
	}
}

// put sets or deletes a key at the current version; the caller holds mu.
func (s *Store) put(key string, value []byte, lease string, deleted bool) {
	item := storer.Item{Key: key, Value: slices.Clone(value), Version: s.version, Deleted: deleted}
	if deleted {
		if _, ok := s.items[key]; !ok {
			return
		}
		delete(s.items, key)
	} else {
		s.items[key] = storedItem{item, lease}
	}
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact discards the history: a watch from an earlier version gets ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedVersion = nil, s.version
	close(s.changed)
	s.changed = make(chan struct{})
}

// DeleteKey deletes a key unconditionally, as an operator could.
func (s *Store) DeleteKey(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(key, nil, "", true)
}

func (s *Store) get(ctx context.Context, key string) (storer.Item, error) {
	var item storer.Item
	err := s.withFault(ctx, "get", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expireLeases()
		found, ok := s.items[key]
		if !ok {
			return storer.ErrNotFound
		}
		item = found.Item
		return nil
	})
	return item, readError(err)
}

// readError maps an unknown outcome to ErrUnavailable, since a read changes nothing.
func readError(err error) error {
	if errors.Is(err, storer.ErrUnknownOutcome) {
		return storer.ErrUnavailable
	}
	return err
}

func (s *Store) listPage(ctx context.Context, prefix, after string) (storer.Page, error) {
	var p storer.Page
	err := s.withFault(ctx, "page", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expireLeases()
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
		err := s.withFault(ctx, "watch", func() error {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.expireLeases()
			changed = s.changed
			if after < s.compactedVersion {
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
		remaining := time.Until(until)
		if remaining <= 0 {
			return p, nil
		}
		t := time.NewTimer(min(remaining, time.Second)) // leases expire without a call
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

func (s *Store) commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	var version uint64
	err := s.withFault(ctx, "commit", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expireLeases()
		if n := len(tx.Checks) + len(tx.Writes) + len(tx.Deletes); n > storer.MaxTransactionOps {
			return fmt.Errorf("transaction has %d operations, limit is %d", n, storer.MaxTransactionOps)
		}
		for _, w := range tx.Writes {
			if len(w.Value) > storer.MaxValueBytes {
				return fmt.Errorf("value of %s is %d bytes, limit is %d", w.Key, len(w.Value), storer.MaxValueBytes)
			}
		}
		conflict := &storer.ConflictError{}
		mismatch := false
		for _, c := range tx.Checks {
			item := s.items[c.Key]
			mismatch = mismatch || item.Version != c.Version
			if item.Version != 0 {
				conflict.Items = append(conflict.Items, item.Item)
			}
		}
		if mismatch {
			return conflict
		}
		for _, w := range tx.Writes {
			if w.Lease != "" && s.leases[w.Lease] == nil {
				return storer.ErrNotFound
			}
		}
		s.version++
		version = s.version
		for _, w := range tx.Writes {
			s.put(w.Key, w.Value, w.Lease, false)
		}
		for _, key := range tx.Deletes {
			s.put(key, nil, "", true)
		}
		return nil
	})
	return version, err
}

func (s *Store) createLease(ctx context.Context, ttl time.Duration) (string, error) {
	var id string
	err := s.withFault(ctx, "lease", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.nextLease++
		id = fmt.Sprint(s.nextLease)
		s.leases[id] = &storeLease{ttl, s.Now().Add(ttl)}
		return nil
	})
	return id, err
}

func (s *Store) renewLease(ctx context.Context, id string) error {
	return s.withFault(ctx, "renew", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expireLeases()
		l := s.leases[id]
		if l == nil {
			return storer.ErrNotFound
		}
		l.expiresAt = s.Now().Add(l.ttl)
		return nil
	})
}

func (s *Store) endLease(ctx context.Context, id string) error {
	return s.withFault(ctx, "end", func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leases[id] == nil {
			return storer.ErrNotFound
		}
		s.dropLease(id)
		return nil
	})
}
