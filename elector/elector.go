// Package elector knows which entries live and which one owns the pools, and
// claims ownership when its owner is gone. A claim is a compare-and-swap; the
// version of the owner's key fences every write of an earlier owner.
package elector

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/storer"
	"github.com/endivefall/endivefall/waiter"
)

// Keys of the membership.
const (
	prefix      = "ef/live/"
	entryPrefix = prefix + "entry/"
	// OwnerKey names the owner.
	OwnerKey = prefix + "owner"
)

// Times of the membership.
const (
	// liveTTL is the lease of an entry's live key. It bounds how soon a lost
	// owner is replaced.
	liveTTL = 1500 * time.Millisecond
	// renewEvery is how often the live key is renewed: two renewals may be lost.
	renewEvery = 450 * time.Millisecond
	// watchWait bounds a watch, so that a silent connection is noticed.
	watchWait = 2 * time.Second
	// checkEvery is how often the owner's health is judged.
	checkEvery = 150 * time.Millisecond
	// rankDelay is what each next candidate waits before it claims.
	rankDelay = 300 * time.Millisecond
	// restAfter is how long an entry that released ownership claims none, while
	// another one lives.
	restAfter = 6 * time.Second
	// retryPause is the wait after a failed call to the store.
	retryPause = 200 * time.Millisecond
	// proveEvery is how often an owner asks the store whether it still is.
	proveEvery = 500 * time.Millisecond
)

// Config is what an Elector needs.
type Config struct {
	Self  Member
	Store *storer.Store
	// Now is a clock that counts the time in which the instance was suspended.
	Now func() time.Time
	Log *zap.Logger
	// OwnerLastReply says when the owner last answered on a link.
	OwnerLastReply func() time.Time
	// OnChange is told of the owner's record and the living entries, in order.
	OnChange func(OwnerRecord, []Member)
}

// Elector follows the membership. It is safe for concurrent use.
type Elector struct {
	cfg Config

	mu sync.Mutex
	// record and version are the owner's key as last seen.
	record  OwnerRecord
	version uint64
	// members has the living entries by ID, as the store shows them.
	members map[string]Member
	// proven is when the newest call was sent that showed this entry as owner.
	proven time.Time
	// rest is until when this entry claims nothing.
	rest time.Time
	// vacant is since when the owner is taken for gone; zero while it is not.
	vacant time.Time
	lease  string
}

// New returns an Elector; Serve runs it.
func New(cfg Config) *Elector { return &Elector{cfg: cfg, members: map[string]Member{}} }

// Owner returns the owner's record and the version of its key.
func (e *Elector) Owner() (OwnerRecord, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record, e.version
}

// IsOwner says whether this process is the owner, as far as it knows.
func (e *Elector) IsOwner() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mine()
}

func (e *Elector) mine() bool { return e.record.Owner == e.cfg.Self && !e.record.Released }

// OwnershipConfirmedAt returns when the newest call was sent that showed this process as
// owner.
func (e *Elector) OwnershipConfirmedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.proven
}

// ConfirmOwnership notes that a call sent at a time showed this process as owner.
func (e *Elector) ConfirmOwnership(sent time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if sent.After(e.proven) {
		e.proven = sent
	}
}

// Members returns the living entries but this one.
func (e *Elector) Members() []Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Member, 0, len(e.members))
	for id, m := range e.members {
		if id != e.cfg.Self.ID {
			list = append(list, m)
		}
	}
	return list
}

// Peers returns the addresses of the living entries but this one.
func (e *Elector) Peers() []netip.AddrPort {
	var list []netip.AddrPort
	for _, m := range e.Members() {
		list = append(list, m.PeerAddr)
	}
	return list
}

// Serve announces this entry, follows the membership and claims ownership where
// it is free, until ctx ends.
func (e *Elector) Serve(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { e.announceLoop(ctx) })
	duties.Go(func() { e.watchLoop(ctx) })
	duties.Go(func() { e.claimLoop(ctx) })
	duties.Wait()
}

// announceLoop keeps the live key.
func (e *Elector) announceLoop(ctx context.Context) {
	key := entryPrefix + e.cfg.Self.ID
	for ctx.Err() == nil {
		if err := e.announce(ctx, key); err != nil && ctx.Err() == nil {
			e.cfg.Log.Warn("live key lost", zap.Error(err))
			waiter.Sleep(ctx, retryPause)
		}
	}
}

// announce writes the live key under a new lease and renews it until it ends.
func (e *Elector) announce(ctx context.Context, key string) error {
	lease, err := e.cfg.Store.CreateLease(ctx, liveTTL)
	if err != nil {
		return err
	}
	value, err := cbor.Marshal(e.cfg.Self)
	if err != nil {
		return err
	}
	if _, err := e.cfg.Store.Commit(ctx, storer.Transaction{Writes: []storer.Write{{Key: key, Value: value, Lease: lease}}}); err != nil {
		return err
	}
	e.mu.Lock()
	e.lease = lease
	e.mu.Unlock()
	e.cfg.Log.Info("live key written", zap.String("lease", lease))
	for {
		waiter.Sleep(ctx, renewEvery)
		if ctx.Err() != nil {
			return nil
		}
		err := e.cfg.Store.RenewLease(ctx, lease)
		if errors.Is(err, storer.ErrNotFound) {
			return err
		}
		e.mu.Lock()
		_, shown := e.members[e.cfg.Self.ID]
		e.mu.Unlock()
		if err == nil && !shown { // the store took the key away without its lease
			if _, err := e.cfg.Store.Get(ctx, key); errors.Is(err, storer.ErrNotFound) {
				return err
			}
		}
	}
}

// watchLoop follows the keys of the membership.
func (e *Elector) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		page, err := e.cfg.Store.List(ctx, prefix)
		if err != nil {
			waiter.Sleep(ctx, retryPause)
			continue
		}
		e.reset(page)
		at := page.Version
		for ctx.Err() == nil {
			page, err := e.cfg.Store.Watch(ctx, prefix, at, time.Now().Add(watchWait))
			if err != nil {
				e.cfg.Log.Debug("watch of the membership broke", zap.Error(err))
				waiter.Sleep(ctx, retryPause)
				break
			}
			e.apply(page.Items)
			at = max(at, page.Version)
		}
	}
}

func (e *Elector) reset(page storer.Page) {
	e.mu.Lock()
	e.members = map[string]Member{}
	e.mu.Unlock()
	e.apply(page.Items)
}

// apply takes keys as the store shows them, in the order of their versions.
func (e *Elector) apply(items []storer.Item) {
	e.mu.Lock()
	for _, item := range items {
		if item.Key == OwnerKey {
			e.see(item)
			continue
		}
		id, ok := strings.CutPrefix(item.Key, entryPrefix)
		if !ok {
			continue
		}
		if item.Deleted {
			delete(e.members, id)
			continue
		}
		m, err := decode[Member](item.Value)
		if err != nil {
			e.cfg.Log.Warn("unreadable entry", zap.String("key", item.Key), zap.Error(err))
			continue
		}
		e.members[id] = m
	}
	record := e.record
	e.mu.Unlock()
	if len(items) > 0 {
		e.cfg.OnChange(record, e.Members())
	}
}

// see takes the owner's key; mu is held.
func (e *Elector) see(item storer.Item) {
	if item.Deleted || item.Version <= e.version {
		return
	}
	r, err := decode[OwnerRecord](item.Value)
	if err != nil {
		e.cfg.Log.Warn("unreadable owner", zap.Error(err))
		return
	}
	if r.Owner != e.record.Owner || r.Released != e.record.Released {
		e.cfg.Log.Info("owner changed", zap.String("owner", r.Owner.ID), zap.Uint64("term", r.Term), zap.Bool("released", r.Released), zap.Uint64("version", item.Version))
	}
	e.record, e.version, e.vacant = r, item.Version, time.Time{}
}
