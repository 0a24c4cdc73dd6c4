package storer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrCompacted says that the store no longer has the changes that a watch asked
// for; the caller reads everything again.
var ErrCompacted = errors.New("history is no longer available")

// Check is a condition of a Change: the key still has the version, 0 meaning
// that it is not there.
type Check struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Write sets a key; it goes when its lease lapses, an empty lease keeps it.
type Write struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint"`
	Lease string `cbor:"3,keyasint,omitempty"`
}

// MaxTransactionOps bounds the checks, writes and removals of a Change, together: a
// platform's transaction takes 32.
const MaxTransactionOps = 32

// Transaction is a transaction: all of it takes effect, or nothing.
type Transaction struct {
	Checks  []Check  `cbor:"1,keyasint,omitempty"`
	Writes  []Write  `cbor:"2,keyasint,omitempty"`
	Deletes []string `cbor:"3,keyasint,omitempty"`
}

// ConflictError is the error of a Change whose conditions do not hold.
type ConflictError struct {
	// Items has the present state of the keys of the checks that exist.
	Items []Item
}

// Error names the keys.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("conditions on %d keys do not hold", len(c.Items))
}

// Is makes a Clash an ErrConflict.
func (c *ConflictError) Is(target error) bool { return target == ErrConflict }

// Item returns the present state of a key; Version is 0 where it is missing.
func (c *ConflictError) Item(key string) Item {
	for _, item := range c.Items {
		if item.Key == key {
			return item
		}
	}
	return Item{Key: key}
}

// AlreadyApplied says whether the store is as the change would leave it, so that the
// change, sent before without an answer, has taken effect. It needs a check on
// each key written or removed.
func (c *ConflictError) AlreadyApplied(change Transaction) bool {
	checked := map[string]bool{}
	for _, check := range change.Checks {
		checked[check.Key] = true
	}
	for _, w := range change.Writes {
		item := c.Item(w.Key)
		if !checked[w.Key] || item.Version == 0 || !bytes.Equal(item.Value, w.Value) {
			return false
		}
	}
	for _, key := range change.Deletes {
		if !checked[key] || c.Item(key).Version != 0 {
			return false
		}
	}
	return len(change.Writes)+len(change.Deletes) > 0
}

// Page is a part of a listing in the order of keys.
type Page struct {
	Items   []Item `cbor:"1,keyasint,omitempty"`
	More    bool   `cbor:"2,keyasint,omitempty"`
	Version uint64 `cbor:"3,keyasint,omitempty"` // the store's when it answered
}

// Store is a platform's store as function fields. Errors are ErrMissing,
// ErrConflict (a Clash), ErrCompacted, ErrDown where nothing was done, and
// ErrUnsettled where a write may have taken effect or still may.
type Store struct {
	Get func(ctx context.Context, key string) (Item, error)
	// ListPage lists keys under a prefix, after a key.
	ListPage func(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns changes after a version, or none when until is reached. A
	// deleted key has Gone set.
	Watch  func(ctx context.Context, prefix string, after uint64, until time.Time) (Page, error)
	Commit func(ctx context.Context, change Transaction) (uint64, error)
	// CreateLease starts a lease of at least ttl, Renew keeps it, End drops its keys.
	CreateLease func(ctx context.Context, ttl time.Duration) (string, error)
	RenewLease  func(ctx context.Context, lease string) error
	RevokeLease func(ctx context.Context, lease string) error
}

// CommitIdempotent commits a change once. A change that took effect before, in a try whose
// answer was lost, is a success.
func (s *Store) CommitIdempotent(ctx context.Context, change Transaction) (uint64, error) {
	at, err := s.Commit(ctx, change)
	var clash *ConflictError
	if !errors.As(err, &clash) || !clash.AlreadyApplied(change) {
		return at, err
	}
	for _, w := range change.Writes {
		at = max(at, clash.Item(w.Key).Version)
	}
	return at, nil
}

// List reads every key under a prefix. Version is that of the first page, so
// that a watch from there misses nothing.
func (s *Store) List(ctx context.Context, prefix string) (Page, error) {
	var all Page
	after := ""
	for {
		p, err := s.ListPage(ctx, prefix, after)
		if err != nil {
			return Page{}, fmt.Errorf("listing %s: %w", prefix, err)
		}
		if after == "" {
			all.Version = p.Version
		}
		all.Items = append(all.Items, p.Items...)
		if !p.More || len(p.Items) == 0 {
			return all, nil
		}
		after = p.Items[len(p.Items)-1].Key
	}
}
