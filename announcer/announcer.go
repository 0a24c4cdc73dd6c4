// Package announcer registers an entry in the platform's store under a lease, and
// follows the list of registered entries.
package announcer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/storer"
)

const (
	// leaseTTL is the duration of the lease of an entry's registration.
	leaseTTL = 6 * time.Second
	// renewInterval is how often the lease is renewed.
	renewInterval = 2 * time.Second
	// outageGrace is how long after an outage of the store a missing entry may still
	// be alive: its lease may have expired because of the outage alone.
	outageGrace = 2 * leaseTTL
	// retryDelay is the wait after a failed call to the store.
	retryDelay = 500 * time.Millisecond
)

// keyPrefix starts the keys of entries in the store; an entry's id follows.
const keyPrefix = "entry/"

// Entry is the registration of an entry.
type Entry struct {
	ID          string         `json:"id"`
	Incarnation string         `json:"born"`
	HTTP        netip.AddrPort `json:"http"`
	Peer        netip.AddrPort `json:"peer"`
	Domain      string         `json:"domain"`
	Region      string         `json:"region,omitempty"`
}

// errInvalid means that a registration can't be decoded, or is not one of its key's entry.
var errInvalid = errors.New("invalid registration")

// decodeEntry reads the registration of the entry with the ID.
func decodeEntry(id string, raw []byte) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(raw, &e); err != nil {
		return e, fmt.Errorf("%w: %w", errInvalid, err)
	}
	addr := e.Peer.Addr()
	switch {
	case id == "" || e.ID != id:
		return e, fmt.Errorf("%w: it is of entry %q", errInvalid, e.ID)
	case !addr.IsValid() || addr.IsUnspecified() || addr.IsMulticast() || e.Peer.Port() == 0:
		return e, fmt.Errorf("%w: nothing listens at %s", errInvalid, e.Peer)
	}
	return e, nil
}

// Config holds the settings and dependencies of an Announcer.
type Config struct {
	Self  Entry
	Store *storer.Client
	Now   func() time.Time
	Log   *zap.Logger
	// OnChange is called with the list of entries after each update of it; it may be
	// nil.
	OnChange func([]Entry)
	// Count increments the counter of a name; it may be nil.
	Count func(c meter.Counter)
}

// Announcer registers one entry. It is safe for concurrent use.
type Announcer struct {
	cfg Config
	mu  sync.Mutex
	// entries has the last known entries by id. It is kept through an outage.
	entries map[string]Entry
	// listed is set once the list of entries has been read from the store.
	listed bool
	// lastFailure is when a call to the store last failed.
	lastFailure   time.Time
	leaseID       string
	deregistering bool
	// replaced is set once another writer has replaced the entry's registration by one that
	// can't be decoded.
	replaced bool
}

// New returns an Announcer that knows only its own entry.
func New(cfg Config) *Announcer {
	if cfg.Count == nil {
		cfg.Count = func(meter.Counter) {}
	}
	return &Announcer{cfg: cfg, entries: map[string]Entry{cfg.Self.ID: cfg.Self}}
}

// Serve keeps the entry registered and follows the other entries until ctx ends.
func (a *Announcer) Serve(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { a.announceLoop(ctx) })
	loops.Go(func() { a.watchLoop(ctx) })
	loops.Wait()
}

// announceLoop registers the entry, renews its lease, and registers it again when the
// lease is lost.
func (a *Announcer) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		err := a.announce(ctx)
		for err == nil && ctx.Err() == nil {
			sleep(ctx, renewInterval)
			a.mu.Lock()
			leaseID, deregistering, replaced := a.leaseID, a.deregistering, a.replaced
			a.replaced = false
			a.mu.Unlock()
			if deregistering {
				return
			}
			if replaced {
				err = errReplaced
				continue
			}
			err = a.cfg.Store.RenewLease(ctx, leaseID)
			if err != nil && !errors.Is(err, storer.ErrNotFound) {
				a.recordFailure()
				err = nil // the lease may still be valid
			}
		}
		if ctx.Err() == nil {
			a.cfg.Log.Warn("entry not announced", zap.Error(err))
			sleep(ctx, retryDelay)
		}
	}
}

// ErrIDTaken means that another process is registered under this entry's id. It may be
// the entry's previous process, whose lease has not expired yet.
var ErrIDTaken = errors.New("another process holds this id; if it keeps running, change the id of one of the two")

// errReplaced means that another writer has replaced the entry's registration.
var errReplaced = errors.New("registration was replaced")

// announce registers the entry under a new lease.
func (a *Announcer) announce(ctx context.Context) error {
	key := keyPrefix + a.cfg.Self.ID
	if err := a.ensureIDFree(ctx, key); err != nil {
		return err
	}
	leaseID, err := a.cfg.Store.CreateLease(ctx, leaseTTL)
	if err != nil {
		a.recordFailure()
		return err
	}
	raw, err := json.Marshal(a.cfg.Self)
	if err != nil {
		return err
	}
	if _, err = a.cfg.Store.CompareAndSwap(ctx, key, raw, 0, leaseID); err != nil {
		return fmt.Errorf("writing %s: %w", key, err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaseID = leaseID
	return nil
}

// ensureIDFree checks that no other process is registered under the id. It deletes a
// registration that this process wrote earlier, for example with a write whose reply was
// lost, and one that cannot be decoded.
func (a *Announcer) ensureIDFree(ctx context.Context, key string) error {
	item, err := a.cfg.Store.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return nil
	}
	if err != nil {
		a.recordFailure()
		return err
	}
	if e, err := decodeEntry(a.cfg.Self.ID, item.Value); err == nil && e.Incarnation != a.cfg.Self.Incarnation {
		return ErrIDTaken
	}
	return a.cfg.Store.Delete(ctx, key, item.Version)
}

// watchLoop keeps the list of entries up to date.
func (a *Announcer) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		l, err := a.cfg.Store.List(ctx, keyPrefix)
		if err == nil {
			a.applySnapshot(l.Items)
			err = a.watch(ctx, l.Version)
		}
		if err != nil && ctx.Err() == nil {
			a.recordFailure()
			sleep(ctx, retryDelay)
		}
	}
}

func (a *Announcer) watch(ctx context.Context, version uint64) error {
	for {
		l, err := a.cfg.Store.Watch(ctx, keyPrefix, version)
		if err != nil {
			return err
		}
		if l.Snapshot {
			return nil
		}
		version = max(version, l.Version)
		a.applyChanges(l.Items)
	}
}

func (a *Announcer) applySnapshot(items []storer.Item) {
	a.mu.Lock()
	a.listed = true
	// All leases expire together in an outage, so for outageGrace after one the
	// entries that are missing from the list are kept.
	if a.cfg.Now().Sub(a.lastFailure) > outageGrace {
		a.entries = map[string]Entry{a.cfg.Self.ID: a.cfg.Self}
	}
	a.mu.Unlock()
	a.applyChanges(items)
}

func (a *Announcer) applyChanges(items []storer.Item) {
	a.mu.Lock()
	for _, item := range items {
		id, ok := strings.CutPrefix(item.Key, keyPrefix)
		if !ok {
			continue
		}
		e, err := decodeEntry(id, item.Value)
		if err != nil && !item.Deleted {
			a.cfg.Log.Warn("registration can't be decoded", zap.String("key", item.Key), zap.Error(err))
			a.cfg.Count(meter.UnreadableEntries)
		}
		switch {
		case id == a.cfg.Self.ID:
			a.replaced = err != nil && !item.Deleted
		case item.Deleted || err != nil:
			delete(a.entries, id)
		default:
			a.entries[id] = e
		}
	}
	a.mu.Unlock()
	if a.cfg.OnChange != nil {
		a.cfg.OnChange(a.Entries())
	}
}

func (a *Announcer) recordFailure() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastFailure = a.cfg.Now()
}

// Synced reports whether the list of entries is complete: it came from the store, and no
// call to the store has failed within outageGrace.
func (a *Announcer) Synced() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.listed && a.cfg.Now().Sub(a.lastFailure) > outageGrace
}

// HasListed reports whether the store has answered since the start. That suffices
// to claim a shard that no entry ever owned.
func (a *Announcer) HasListed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.listed
}

// Alive reports whether the process of an entry is registered. While the list is not
// synced, every process counts as alive.
func (a *Announcer) Alive(id, incarnation string) bool {
	if !a.Synced() {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	e, ok := a.entries[id]
	return ok && e.Incarnation == incarnation
}

// Entries returns the known entries, sorted by id.
func (a *Announcer) Entries() []Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]Entry, 0, len(a.entries))
	for _, e := range a.entries {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// OwnerOf returns the entry that should own a key, by rendezvous hashing over the known
// entries. An entry that is deregistering counts itself only if it knows no other.
func (a *Announcer) OwnerOf(key string) Entry {
	entries := a.Entries()
	a.mu.Lock()
	deregistering := a.deregistering
	a.mu.Unlock()
	byID := map[string]Entry{}
	var ids []string
	for _, e := range entries {
		if deregistering && e.ID == a.cfg.Self.ID && len(entries) > 1 {
			continue
		}
		byID[e.ID] = e
		ids = append(ids, e.ID)
	}
	return byID[rendezvous.New(ids, xxhash.Sum64String).Lookup(key)]
}

// Deregister ends the entry's registration.
func (a *Announcer) Deregister(ctx context.Context) {
	a.mu.Lock()
	a.deregistering = true
	leaseID := a.leaseID
	a.mu.Unlock()
	if leaseID != "" {
		_ = a.cfg.Store.RevokeLease(ctx, leaseID) // if this fails, the lease expires
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
