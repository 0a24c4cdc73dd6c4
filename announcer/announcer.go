// Package announcer keeps an entry's name in the platform's store under a
// lease, and knows the other entries.
package announcer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/storer"
)

// Times of the entries' leases.
const (
	// ttl is the lease of an entry's name.
	ttl = 6 * time.Second
	// keep is how often it is kept.
	keep = 2 * time.Second
	// grace is how long after an outage of the store a missing name is no
	// sign of death: the lease may have lapsed for the outage alone.
	grace = 2 * ttl
	pause = 500 * time.Millisecond
)

// prefix is where entries stand in the store.
const prefix = "entry/"

// Entry is what an entry announces.
type Entry struct {
	ID          string         `json:"id"`
	Incarnation string         `json:"born"`
	HTTP        netip.AddrPort `json:"http"`
	Peer        netip.AddrPort `json:"peer"`
	Domain      string         `json:"domain"`
	Region      string         `json:"region,omitempty"`
}

// Config is what an Announcer needs.
type Config struct {
	Self   Entry
	Keeper *storer.Client
	Now    func() time.Time
	Log    *zap.Logger
	// OnChange is told that the list of entries changed.
	OnChange func([]Entry)
}

// Announcer announces one entry. It is safe for concurrent use.
type Announcer struct {
	cfg Config
	mu  sync.Mutex
	// entries is the last good list, kept through an outage.
	entries map[string]Entry
	// listed is set once a list came from the store.
	listed bool
	// trouble is when the store last failed.
	trouble time.Time
	lease   string
	leaving bool
}

// New returns an Announcer that knows only its own entry.
func New(cfg Config) *Announcer {
	return &Announcer{cfg: cfg, entries: map[string]Entry{cfg.Self.ID: cfg.Self}}
}

// Serve keeps the name and follows the others until ctx ends.
func (a *Announcer) Serve(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { a.keepLoop(ctx) })
	duties.Go(func() { a.watchLoop(ctx) })
	duties.Wait()
}

// keepLoop takes the lease, writes the name and keeps both.
func (a *Announcer) keepLoop(ctx context.Context) {
	for ctx.Err() == nil {
		err := a.announce(ctx)
		for err == nil && ctx.Err() == nil {
			wait(ctx, keep)
			a.mu.Lock()
			id, leaving := a.lease, a.leaving
			a.mu.Unlock()
			if leaving {
				return
			}
			err = a.cfg.Keeper.RenewLease(ctx, id)
			if err != nil && !errors.Is(err, storer.ErrNotFound) {
				a.stumble()
				err = nil // the lease may still stand
			}
		}
		if ctx.Err() == nil {
			a.cfg.Log.Warn("entry not announced", zap.Error(err))
			wait(ctx, pause)
		}
	}
}

// ErrIDTaken says that another process holds this entry's id. It may be the one
// before this, whose lease has not lapsed yet.
var ErrIDTaken = errors.New("another process holds this id; if it does not go, give one of both another id")

// announce writes the name under a fresh lease.
func (a *Announcer) announce(ctx context.Context) error {
	key := prefix + a.cfg.Self.ID
	if err := a.free(ctx, key); err != nil {
		return err
	}
	id, err := a.cfg.Keeper.CreateLease(ctx, ttl)
	if err != nil {
		a.stumble()
		return err
	}
	raw, err := json.Marshal(a.cfg.Self)
	if err != nil {
		return err
	}
	if _, err = a.cfg.Keeper.CompareAndSwap(ctx, key, raw, 0, id); err != nil {
		return fmt.Errorf("writing %s: %w", key, err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lease = id
	return nil
}

// free makes sure that no other process holds the name. An earlier write of
// this process whose answer was lost goes.
func (a *Announcer) free(ctx context.Context, key string) error {
	item, err := a.cfg.Keeper.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return nil
	}
	if err != nil {
		a.stumble()
		return err
	}
	var e Entry
	if json.Unmarshal(item.Value, &e) == nil && e.Incarnation != a.cfg.Self.Incarnation {
		return ErrIDTaken
	}
	return a.cfg.Keeper.Delete(ctx, key, item.Version)
}

// watchLoop follows the list of entries.
func (a *Announcer) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		l, err := a.cfg.Keeper.List(ctx, prefix)
		if err == nil {
			a.replace(l.Items)
			err = a.follow(ctx, l.Version)
		}
		if err != nil && ctx.Err() == nil {
			a.stumble()
			wait(ctx, pause)
		}
	}
}

func (a *Announcer) follow(ctx context.Context, version uint64) error {
	for {
		l, err := a.cfg.Keeper.Watch(ctx, prefix, version)
		if err != nil {
			return err
		}
		if l.Snapshot {
			return nil
		}
		version = max(version, l.Version)
		a.merge(l.Items)
	}
}

func (a *Announcer) replace(items []storer.Item) {
	a.mu.Lock()
	a.listed = true
	// An outage lapses all leases at once, so a name that is missing just
	// after one stays until the grace is over.
	if a.cfg.Now().Sub(a.trouble) > grace {
		a.entries = map[string]Entry{a.cfg.Self.ID: a.cfg.Self}
	}
	a.mu.Unlock()
	a.merge(items)
}

func (a *Announcer) merge(items []storer.Item) {
	a.mu.Lock()
	for _, item := range items {
		id := item.Key[len(prefix):]
		var e Entry
		switch {
		case id == a.cfg.Self.ID:
		case item.Deleted:
			delete(a.entries, id)
		case json.Unmarshal(item.Value, &e) == nil:
			a.entries[id] = e
		}
	}
	a.mu.Unlock()
	if a.cfg.OnChange != nil {
		a.cfg.OnChange(a.Entries())
	}
}

func (a *Announcer) stumble() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.trouble = a.cfg.Now()
}

// Synced says whether the list can be trusted: it came from the store, and
// the store has not failed lately.
func (a *Announcer) Synced() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.listed && a.cfg.Now().Sub(a.trouble) > grace
}

// StoreReachable says whether the store answers, which is enough to claim a shard that
// no entry ever owned.
func (a *Announcer) StoreReachable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.listed
}

// Alive says whether an entry's process is announced. After an outage everyone
// counts as alive until the leases have had time to come back.
func (a *Announcer) Alive(id, born string) bool {
	if !a.Synced() {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	e, ok := a.entries[id]
	return ok && e.Incarnation == born
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

// OwnerOf returns the entry that should own a name, by rendezvous hashing over
// the known entries.
func (a *Announcer) OwnerOf(name string) Entry {
	entries := a.Entries()
	a.mu.Lock()
	leaving := a.leaving
	a.mu.Unlock()
	byID := map[string]Entry{}
	var ids []string
	for _, e := range entries {
		if leaving && e.ID == a.cfg.Self.ID && len(entries) > 1 {
			continue
		}
		byID[e.ID] = e
		ids = append(ids, e.ID)
	}
	return byID[rendezvous.New(ids, xxhash.Sum64String).Lookup(name)]
}

// Deregister takes the entry's name out of the store.
func (a *Announcer) Deregister(ctx context.Context) {
	a.mu.Lock()
	a.leaving = true
	id := a.lease
	a.mu.Unlock()
	if id != "" {
		_ = a.cfg.Keeper.RevokeLease(ctx, id) // else it lapses
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
