package storer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// ErrCompacted reports that the store no longer has the changes that a watch asked
// for; the caller has to list the keys again.
var ErrCompacted = errors.New("history is no longer available")

// ErrPageOrder reports that the store returned a page again that comes before the one asked
// for.
var ErrPageOrder = errors.New("pages are not in order")

// Check is a condition of a Transaction: the key still has the version, where 0
// means that the key does not exist.
type Check struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Write sets a key. The key is deleted when its lease expires; with an empty lease
// it is permanent.
type Write struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint"`
	Lease string `cbor:"3,keyasint,omitempty"`
}

// MaxTransactionOps is the largest number of checks, writes and deletes in a
// Transaction, together; platforms accept up to 32.
const MaxTransactionOps = 32

// Transaction is a set of writes and deletes that take effect together if all checks
// hold, and not at all otherwise.
type Transaction struct {
	Checks  []Check  `cbor:"1,keyasint,omitempty"`
	Writes  []Write  `cbor:"2,keyasint,omitempty"`
	Deletes []string `cbor:"3,keyasint,omitempty"`
}

// ConflictError is the error of a Transaction whose checks do not hold.
type ConflictError struct {
	// Items has the current state of the checked keys, without those that do not
	// exist.
	Items []Item
}

// Error counts the keys in Items.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("conditions on %d keys do not hold", len(c.Items))
}

// Is makes errors.Is match ErrConflict.
func (c *ConflictError) Is(target error) bool { return target == ErrConflict }

// Item returns the current state of a key; Version is 0 if the key does not exist.
func (c *ConflictError) Item(key string) Item {
	for _, item := range c.Items {
		if item.Key == key {
			return item
		}
	}
	return Item{Key: key}
}

// AlreadyApplied reports whether the store is in the state that the change would
// leave, which means that an earlier attempt without a reply has taken effect. The
// change needs a check on each key that it writes or deletes.
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

// Final reports whether no attempt of the change can take effect any more, however late it
// arrives: a key that the change expects at a version has another one, and versions never come back. A
// key that must not exist may be deleted again.
func (c *ConflictError) Final(change Transaction) bool {
	return slices.ContainsFunc(change.Checks, func(check Check) bool {
		return check.Version != 0 && c.Item(check.Key).Version != check.Version
	})
}

// AppliedVersion returns the version that a change which has already been applied got.
func (c *ConflictError) AppliedVersion(change Transaction) uint64 {
	version := uint64(0)
	for _, w := range change.Writes {
		version = max(version, c.Item(w.Key).Version)
	}
	return version
}

// Page is a part of a listing, ordered by key.
type Page struct {
	Items   []Item `cbor:"1,keyasint,omitempty"`
	More    bool   `cbor:"2,keyasint,omitempty"`
	Version uint64 `cbor:"3,keyasint,omitempty"` // of the whole store at the time of the reply
}

// Store is a platform's store as function fields. Errors are ErrNotFound,
// ErrConflict (as a ConflictError), ErrCompacted, ErrUnavailable if nothing was done,
// and ErrUnknownOutcome if a write may have taken effect or may still do so.
type Store struct {
	Get func(ctx context.Context, key string) (Item, error)
	// ListPage lists keys under a prefix, after a key.
	ListPage func(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns changes after a version, or none when until is reached. A
	// deleted key has Deleted set.
	Watch  func(ctx context.Context, prefix string, after uint64, until time.Time) (Page, error)
	Commit func(ctx context.Context, change Transaction) (uint64, error)
	// CreateLease creates a lease of at least ttl, RenewLease extends it, and
	// RevokeLease ends it and deletes its keys.
	CreateLease func(ctx context.Context, ttl time.Duration) (string, error)
	RenewLease  func(ctx context.Context, lease string) error
	RevokeLease func(ctx context.Context, lease string) error
}

// CommitIdempotent commits a change once, together with writes that need no check of
// their own. It succeeds if the change has already taken effect in an earlier attempt
// whose reply was lost.
func (s *Store) CommitIdempotent(ctx context.Context, change Transaction, alongside ...Write) (uint64, error) {
	all := change
	all.Writes = slices.Concat(change.Writes, alongside)
	version, err := s.Commit(ctx, all)
	var conflict *ConflictError
	if !errors.As(err, &conflict) || !conflict.AlreadyApplied(change) {
		return version, err
	}
	return conflict.AppliedVersion(change), nil
}

// List reads all keys under a prefix. Version is that of the first page, so that a
// watch from that version misses no change.
func (s *Store) List(ctx context.Context, prefix string) (Page, error) {
	var result Page
	version, err := s.ListEach(ctx, prefix, func(items []Item) { result.Items = append(result.Items, items...) })
	if err != nil {
		return Page{}, err
	}
	result.Version = version
	return result, nil
}

// ListEach reads all keys under a prefix and passes them on page by page, in order, so that their values need
// not be kept together. It returns the version of the first page, as List does. After an error some pages may
// have been passed on.
func (s *Store) ListEach(ctx context.Context, prefix string, handle func(items []Item)) (version uint64, err error) {
	for after := ""; ; {
		p, err := s.ListPage(ctx, prefix, after)
		if err != nil {
			return 0, fmt.Errorf("listing %s: %w", prefix, err)
		}
		if after == "" {
			version = p.Version
		}
		next := ""
		if len(p.Items) > 0 {
			next = p.Items[len(p.Items)-1].Key
		}
		handle(p.Items) // which may change them
		if !p.More || len(p.Items) == 0 {
			return version, nil
		}
		if next <= after {
			return 0, fmt.Errorf("listing %s: %w: the page after %s ends at %s", prefix, ErrPageOrder, after, next)
		}
		after = next
	}
}
