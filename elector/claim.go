package elector

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/storer"
	"github.com/endivefall/endivefall/waiter"
)

// claimLoop judges the owner, proves ownership, and claims it where it is free.
func (e *Elector) claimLoop(ctx context.Context) {
	for ctx.Err() == nil {
		waiter.Sleep(ctx, checkEvery)
		if e.IsOwner() {
			e.prove(ctx)
			continue
		}
		if why := e.vacancy(); why != "" {
			if err := e.claim(ctx, why); err != nil && ctx.Err() == nil {
				e.cfg.Log.Info("claim failed", zap.String("why", why), zap.Error(err))
			}
		}
	}
}

// prove asks the store whether this process still is the owner.
func (e *Elector) prove(ctx context.Context) {
	sent := e.cfg.Now()
	if sent.Sub(e.OwnershipConfirmedAt()) < proveEvery {
		return
	}
	item, err := e.cfg.Store.Get(ctx, OwnerKey)
	if err != nil {
		e.cfg.Log.Warn("ownership not proven", zap.Error(err), zap.Duration("age", e.cfg.Now().Sub(e.OwnershipConfirmedAt())))
		return
	}
	e.apply([]storer.Item{item})
	e.mu.Lock()
	if e.mine() && item.Version == e.version && sent.After(e.proven) {
		e.proven = sent
	}
	e.mu.Unlock()
}

// Reasons of a claim that tell whether an earlier owner may live on unseen.
const (
	noOwner   = "no owner yet"
	ownerGone = "owner is gone"
)

// vacancy says why this entry should claim ownership now; empty while it
// should not.
func (e *Elector) vacancy() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Now()
	why := ""
	owner, lives := e.members[e.record.Owner.ID]
	switch {
	case e.members[e.cfg.Self.ID] != e.cfg.Self:
		return "" // the store does not know this entry as living
	case e.version == 0:
		why = noOwner
	case e.record.Released:
		why = "owner released"
	case lives && owner.Incarnation != e.record.Owner.Incarnation:
		why = "owner started anew"
	case !lives && now.Sub(e.cfg.OwnerLastReply()) > time.Second:
		why = ownerGone
	}
	if why == "" {
		e.vacant = time.Time{}
		return ""
	}
	if e.vacant.IsZero() {
		e.vacant = now
	}
	rank := e.rank()
	if now.Before(e.rest) && rank > 0 {
		return ""
	}
	if now.Before(e.vacant.Add(time.Duration(rank) * rankDelay)) {
		return ""
	}
	return why
}

// rank is the place of this entry among the candidates of the next term, from
// 0: the more powerful come first, as all placement is done by one entry.
func (e *Elector) rank() int {
	score := func(id string) uint64 { return xxhash.Sum64String(fmt.Sprint(id, e.record.Term)) }
	rank, self := 0, e.cfg.Self
	for id, m := range e.members {
		if id == self.ID || m == e.record.Owner {
			continue
		}
		if m.CPUCapacity > self.CPUCapacity || m.CPUCapacity == self.CPUCapacity && score(id) > score(self.ID) {
			rank++
		}
	}
	if e.cfg.Now().Before(e.rest) {
		rank += len(e.members) - 1
	}
	return rank
}

// claim makes this process the owner if the owner's key is as last seen.
func (e *Elector) claim(ctx context.Context, why string) error {
	e.mu.Lock()
	record, version := e.record, e.version
	e.mu.Unlock()
	if why == ownerGone { // the watch may be behind
		item, err := e.cfg.Store.Get(ctx, entryPrefix+record.Owner.ID)
		if err == nil {
			e.apply([]storer.Item{item})
			return nil
		}
		if !errors.Is(err, storer.ErrNotFound) {
			return err
		}
	}
	next := OwnerRecord{Owner: e.cfg.Self, Term: record.Term + 1, PredecessorsStopped: why == noOwner || record.PredecessorsStopped && why != ownerGone}
	sent := e.cfg.Now()
	at, err := e.write(ctx, next, version)
	if err != nil {
		return err
	}
	if !e.took(next, at) {
		return fmt.Errorf("%w: another claim followed", storer.ErrConflict)
	}
	e.ConfirmOwnership(sent)
	e.cfg.Log.Info("ownership claimed", zap.Uint64("term", next.Term), zap.Uint64("version", at), zap.String("why", why), zap.Bool("clean", next.PredecessorsStopped), zap.String("before", record.Owner.ID))
	e.cfg.OnChange(next, e.Members())
	return nil
}

// write sets the owner's key if it has the version.
func (e *Elector) write(ctx context.Context, r OwnerRecord, version uint64) (uint64, error) {
	value, err := cbor.Marshal(r)
	if err != nil {
		return 0, err
	}
	at, err := e.cfg.Store.CommitIdempotent(ctx, storer.Transaction{
		Checks: []storer.Check{{Key: OwnerKey, Version: version}},
		Writes: []storer.Write{{Key: OwnerKey, Value: value}},
	})
	var clash *storer.ConflictError
	if errors.As(err, &clash) {
		e.apply([]storer.Item{clash.Item(OwnerKey)})
	}
	return at, err
}

// Release gives ownership up, if this process has it, and claims none for a
// while. The caller has stopped giving orders.
func (e *Elector) Release(ctx context.Context, why string) {
	e.mu.Lock()
	record, version, mine := e.record, e.version, e.mine()
	e.rest = e.cfg.Now().Add(restAfter)
	e.mu.Unlock()
	if !mine {
		return
	}
	record.Released = true
	at, err := e.write(ctx, record, version)
	e.cfg.Log.Info("ownership released", zap.Uint64("term", record.Term), zap.String("why", why), zap.Error(err))
	if err != nil {
		return
	}
	if e.took(record, at) {
		e.cfg.OnChange(record, e.Members())
	}
}

// took notes a record that this process has written, unless a newer one was
// seen meanwhile.
func (e *Elector) took(r OwnerRecord, version uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if version < e.version {
		return false
	}
	e.record, e.version, e.vacant = r, version, time.Time{}
	return true
}

// Leave drops the live key.
func (e *Elector) Leave(ctx context.Context) {
	e.mu.Lock()
	lease := e.lease
	e.mu.Unlock()
	if lease == "" {
		return
	}
	if err := e.cfg.Store.RevokeLease(ctx, lease); err != nil {
		e.cfg.Log.Info("live key not dropped; its lease ends it", zap.Error(err))
	}
}
