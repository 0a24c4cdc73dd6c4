package elector

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/storer"
	"github.com/endivefall/endivefall/waiter"
)

// announceLoop keeps this entry's live key in the store.
func (e *Elector) announceLoop(ctx context.Context) {
	key := entryPrefix + e.cfg.Self.ID
	for ctx.Err() == nil {
		if err := e.announce(ctx, key); err != nil && ctx.Err() == nil {
			e.cfg.Log.Warn("live key lost", zap.Error(err))
			waiter.Sleep(ctx, retryDelay)
		}
	}
}

// announce writes the live key under a new lease and renews the lease until the key
// is lost or ctx ends.
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
		waiter.Sleep(ctx, renewInterval)
		if ctx.Err() != nil {
			return nil
		}
		err := e.cfg.Store.RenewLease(ctx, lease)
		if errors.Is(err, storer.ErrNotFound) {
			return err
		}
		e.mu.Lock()
		_, listed := e.members[e.cfg.Self.ID]
		replaced := e.unreadable[e.cfg.Self.ID]
		e.mu.Unlock()
		if replaced {
			return errReplaced
		}
		if err == nil && !listed { // the key may have been deleted while its lease is still valid
			if _, err := e.cfg.Store.Get(ctx, key); errors.Is(err, storer.ErrNotFound) {
				return err
			}
		}
	}
}

// watchLoop applies changes of the membership keys.
func (e *Elector) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		page, err := e.cfg.Store.List(ctx, livePrefix)
		if err == nil {
			page.Items, err = e.withOwnerKey(ctx, page)
		}
		if err != nil {
			waiter.Sleep(ctx, retryDelay)
			continue
		}
		e.reset(page)
		version := page.Version
		for ctx.Err() == nil {
			page, err := e.cfg.Store.Watch(ctx, livePrefix, version, time.Now().Add(maxWatchWait))
			if err != nil {
				e.cfg.Log.Debug("watch of the membership failed", zap.Error(err))
				waiter.Sleep(ctx, retryDelay)
				break
			}
			e.apply(page.Items)
			version = max(version, page.Version)
		}
	}
}

// withOwnerKey returns the items of a list. If they lack an owner key that existed, it adds
// that it was deleted, or the key if a read of it alone finds it.
func (e *Elector) withOwnerKey(ctx context.Context, page storer.Page) ([]storer.Item, error) {
	_, version := e.Owner()
	listed := slices.ContainsFunc(page.Items, func(item storer.Item) bool { return item.Key == OwnerKey })
	if listed || version == 0 || page.Version <= version {
		return page.Items, nil
	}
	item, err := e.cfg.Store.Get(ctx, OwnerKey)
	if errors.Is(err, storer.ErrNotFound) {
		item, err = storer.Item{Key: OwnerKey, Version: page.Version, Deleted: true}, nil
	}
	return append(page.Items, item), err
}

// reset replaces the membership by that of a list.
func (e *Elector) reset(page storer.Page) {
	e.mu.Lock()
	e.members, e.unreadable = map[string]Member{}, map[string]bool{}
	e.applyLocked(page.Items)
	lacks := func(key string) bool {
		return !slices.ContainsFunc(page.Items, func(item storer.Item) bool { return item.Key == key })
	}
	if lacks(extendersKey) {
		e.applyExtendersLocked(storer.Item{Key: extendersKey, Version: page.Version, Deleted: true})
	}
	if lacks(confirmationKey) {
		e.applyConfirmationLocked(storer.Item{Key: confirmationKey, Version: page.Version, Deleted: true})
	}
	e.mu.Unlock()
	e.reportChange(len(page.Items))
}

// apply applies membership keys read from the store, in the order of their versions.
func (e *Elector) apply(items []storer.Item) {
	e.mu.Lock()
	e.applyLocked(items)
	e.mu.Unlock()
	e.reportChange(len(items))
}

// reportChange calls OnChange after a number of keys were applied.
func (e *Elector) reportChange(keys int) {
	if keys > 0 {
		record, _ := e.Owner()
		e.cfg.OnChange(record, e.Members())
	}
}

// applyLocked is apply without OnChange; mu is held.
func (e *Elector) applyLocked(items []storer.Item) {
	// The owner key goes first: the list of extenders before says who was asked until then.
	for _, item := range items {
		if item.Key == OwnerKey {
			e.applyOwnerRecord(item)
		}
	}
	for _, item := range items {
		if item.Key == extendersKey {
			e.applyExtendersLocked(item)
		}
		if item.Key == confirmationKey {
			e.applyConfirmationLocked(item)
		}
		id, ok := strings.CutPrefix(item.Key, entryPrefix)
		if !ok {
			continue
		}
		delete(e.members, id)
		delete(e.unreadable, id)
		if item.Deleted {
			continue
		}
		m, err := decodeMember(id, item.Value)
		if err != nil {
			e.cfg.Log.Warn("cannot decode live key", zap.String("key", item.Key), zap.Error(err))
			e.cfg.Count(meter.UnreadableMembers)
			e.unreadable[id] = true
			continue
		}
		e.members[id] = m
	}
}
