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

// claimLoop keeps the list of extenders while this process is the owner, and claims ownership
// otherwise when it is free.
func (e *Elector) claimLoop(ctx context.Context) {
	for ctx.Err() == nil {
		waiter.Sleep(ctx, checkInterval)
		if e.IsOwner() {
			e.updateExtenders(ctx)
			continue
		}
		if reason, version := e.claimReason(); reason != "" {
			if err := e.claim(ctx, reason, version); err != nil && ctx.Err() == nil {
				e.cfg.Log.Info("claim failed", zap.String("why", reason), zap.Error(err))
			}
		}
	}
}

// Reasons of a claim that decide whether an earlier owner may still be active.
const (
	reasonNoOwner   = "no owner yet"
	reasonOwnerLost = "owner is gone"
)

// uncountedRanks is how many ranks later an entry claims that the lost owner does not count:
// its claim would state a longer time.
const uncountedRanks = 2

// claimReason returns why this entry should claim ownership now, or an empty string
// if it should not, and the version of the owner key that it judged.
func (e *Elector) claimReason() (string, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Now()
	reason := ""
	owner, alive := e.members[e.record.Owner.ID]
	switch {
	case e.members[e.cfg.Self.ID] != e.cfg.Self:
		return "", 0 // this process has no live key in the store
	case e.version == 0:
		reason = reasonNoOwner
	case e.record.Released:
		reason = "owner released"
	case alive && owner.Incarnation != e.record.Owner.Incarnation:
		reason = "owner started anew"
	case !alive && now.Sub(e.cfg.OwnerLastReply()) > ownerSilence:
		reason = reasonOwnerLost
	}
	if reason == "" {
		e.claimableSince = time.Time{}
		return "", 0
	}
	if e.claimableSince.IsZero() {
		e.claimableSince = now
	}
	rank := e.rank()
	if now.Before(e.cooldownUntil) && rank > 0 {
		return "", 0
	}
	if reason == reasonOwnerLost && !e.asksLocked() {
		rank += uncountedRanks
	}
	if now.Before(e.claimableSince.Add(time.Duration(rank) * claimDelayPerRank)) {
		return "", 0
	}
	return reason, e.version
}

// rank returns the position of this entry among the candidates for the next term,
// from 0. Entries with more CPU capacity come first, because the owner does all
// placement.
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
	if e.cfg.Now().Before(e.cooldownUntil) {
		rank += len(e.members) - 1
	}
	return rank
}

// claim makes this process the owner unless the owner key has changed since the version for
// which the reason holds.
func (e *Elector) claim(ctx context.Context, reason string, version uint64) error {
	e.mu.Lock()
	record, current, keyDeleted := e.record, e.version, e.keyDeleted
	e.mu.Unlock()
	if current != version {
		return fmt.Errorf("%w: owner key has changed meanwhile", storer.ErrConflict)
	}
	if reason == reasonOwnerLost { // the watch may lag behind the store
		item, err := e.cfg.Store.Get(ctx, entryPrefix+record.Owner.ID)
		if err != nil && !errors.Is(err, storer.ErrNotFound) {
			return err
		}
		if err == nil {
			e.apply([]storer.Item{item})
			e.mu.Lock()
			_, alive := e.members[record.Owner.ID]
			e.mu.Unlock()
			if alive {
				return nil
			}
		}
	}
	next, checks := e.nextRecord(reason, record, version)
	if version == 0 || keyDeleted {
		checks[0].Version = 0
		earlier, err := e.lastClaim(ctx)
		if err != nil {
			return err
		}
		if earlier.Version > 0 {
			next.Term, next.PredecessorsStopped, next.RemainingTTL = max(next.Term, earlier.Version+1), false, ConfirmationTTL
		}
		next.RulesSince = next.Term
		if e.cfg.ClaimKey != "" {
			checks = append(checks, storer.Check{Key: e.cfg.ClaimKey, Version: earlier.Version})
		}
	}
	e.mu.Lock()
	sent := e.claimSentAt // an earlier attempt may have taken effect since
	counted, extended := e.countedLocked(), max(e.extensions.claimedExtended.Sub(e.cfg.Now()), 0)
	e.extensions.before = extender{record.Owner.ID, record.Owner.Incarnation}
	list := storer.Write{Key: extendersKey, Value: e.currentExtendersLocked(next.Term).encode()}
	e.mu.Unlock()
	newVersion, err := e.writeRecord(ctx, next, checks, e.cfg.ClaimKey, list, e.confirmationWrite(e.cfg.Now()))
	if err != nil {
		e.endClaimAttempt(err)
		return err
	}
	if !e.adoptRecord(next, newVersion) {
		return fmt.Errorf("%w: a newer claim exists", storer.ErrConflict)
	}
	e.confirmOwnership(sent)
	confirmedBy, until := e.EarlierOwners()
	e.cfg.Log.Info("ownership claimed", zap.Uint64("term", next.Term), zap.Uint64("version", newVersion), zap.String("why", reason), zap.Bool("clean", next.PredecessorsStopped), zap.Duration("earlier_owners_ttl", next.EarlierOwnersTTL()), zap.Bool("counted", counted), zap.Duration("extended", extended), zap.String("before", record.Owner.ID), zap.Time("earlier_confirmed_by", confirmedBy), zap.Time("earlier_until", until))
	e.cfg.OnChange(next, e.Members())
	return nil
}

// nextRecord returns the record with which this entry claims ownership at a version of the
// owner key, and the checks under which it holds. From then on the entry extends no
// confirmation of the owner that it replaces.
func (e *Elector) nextRecord(reason string, record OwnerRecord, version uint64) (OwnerRecord, []storer.Check) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.extensions.claimedVersion != version {
		e.extensions.claimedVersion, e.extensions.pendingClaims = version, 0
	}
	if e.extensions.pendingClaims == 0 {
		e.extensions.claimedUncounted, e.extensions.claimedExtended, e.claimedUnchecked, e.claimedConfirmation, e.claimSentAt = false, time.Time{}, false, time.Time{}, e.cfg.Now()
	}
	e.extensions.pendingClaims++
	checks := []storer.Check{{Key: OwnerKey, Version: version}}
	ttl := ConfirmationTTL
	switch {
	case reason == reasonNoOwner:
		ttl = 0
	case reason == reasonOwnerLost:
		ttl = e.lostOwnerTTLLocked()
	default: // the owner has stopped
		ttl = record.EarlierOwnersTTL()
	}
	if extended, known := e.extendedUntilLocked(); known { // the owner asks this entry only as long as the list has this version
		checks = append(checks, storer.Check{Key: extendersKey, Version: e.extensions.listVersion})
		e.extensions.claimedExtended = later(e.extensions.claimedExtended, extended)
	} else {
		e.extensions.claimedUncounted = true
	}
	checks = e.checkConfirmationLocked(reason, record, checks)
	next := OwnerRecord{Owner: e.cfg.Self, Term: record.Term + 1, PredecessorsStopped: ttl == 0, RemainingTTL: ttl, Roster: true, Confirms: true, RulesSince: record.RulesSince, ExtensionTTL: UnextendedTTL}
	if next.RulesSince == 0 || next.RulesSince > record.Term {
		next.RulesSince = next.Term
	}
	return next, checks
}

// endClaimAttempt lets this entry extend confirmations again after a claim that surely did not
// take effect.
func (e *Elector) endClaimAttempt(err error) {
	if errors.Is(err, storer.ErrUnknownOutcome) || !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrUnavailable) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.extensions.pendingClaims--
}

// errUnreadableClaim means that it can't be told which claim was the last one.
var errUnreadableClaim = errors.New("record of the last claim can't be read")

// lastClaim reads the claim key, which still exists where another writer has deleted the owner
// key. The term of each claim is at most its version. Version is 0 if there was none.
func (e *Elector) lastClaim(ctx context.Context) (storer.Item, error) {
	if e.cfg.ClaimKey == "" {
		return storer.Item{}, nil
	}
	item, err := e.cfg.Store.Get(ctx, e.cfg.ClaimKey)
	switch {
	case errors.Is(err, storer.ErrNotFound):
		return storer.Item{}, nil
	case err == nil && item.Version == 0:
		return item, errUnreadableClaim
	}
	return item, err
}

// writeRecord sets the owner key, the claim key unless it is empty, and other keys, if the
// checks hold; one is on the owner key.
func (e *Elector) writeRecord(ctx context.Context, r OwnerRecord, checks []storer.Check, claimKey string, alongside ...storer.Write) (uint64, error) {
	value, err := cbor.Marshal(r)
	if err != nil {
		return 0, err
	}
	if claimKey != "" {
		alongside = append(alongside, storer.Write{Key: claimKey, Value: value})
	}
	newVersion, err := e.cfg.Store.CommitIdempotent(ctx, storer.Transaction{
		Checks: checks,
		Writes: []storer.Write{{Key: OwnerKey, Value: value}},
	}, alongside...)
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		e.mu.Lock()
		for _, check := range checks {
			if check.Key == confirmationKey && conflict.Item(confirmationKey).Version != check.Version {
				e.confirmedMeanwhile = checks[0].Version
			}
		}
		e.mu.Unlock()
		e.apply([]storer.Item{conflict.Item(OwnerKey), conflict.Item(extendersKey), conflict.Item(confirmationKey)})
	}
	return newVersion, err
}

// Release releases ownership if this process has it, and starts the cooldown before
// the next claim. The caller must have stopped sending commands.
func (e *Elector) Release(ctx context.Context, reason string) {
	e.mu.Lock()
	record, version, isOwner := e.record, e.version, e.isOwnerLocked()
	now := e.cfg.Now()
	e.cooldownUntil = now.Add(releaseCooldown)
	// Earlier owners have no confirmation that is younger than this claim.
	record.RemainingTTL = max(e.claimedAt.Add(record.EarlierOwnersTTL()).Sub(now), 0)
	record.PredecessorsStopped = record.RemainingTTL == 0
	e.mu.Unlock()
	if !isOwner {
		return
	}
	record.Released = true
	newVersion, err := e.writeRecord(ctx, record, []storer.Check{{Key: OwnerKey, Version: version}}, "")
	e.cfg.Log.Info("ownership released", zap.Uint64("term", record.Term), zap.String("why", reason), zap.Error(err))
	if err != nil {
		return
	}
	if e.adoptRecord(record, newVersion) {
		e.cfg.OnChange(record, e.Members())
	}
}

// adoptRecord stores a record written by this process and returns true, unless a
// newer one has been read meanwhile.
func (e *Elector) adoptRecord(r OwnerRecord, version uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if version < e.version {
		return false
	}
	e.setRecordLocked(r, version)
	return true
}

// Deregister deletes the live key.
func (e *Elector) Deregister(ctx context.Context) {
	e.mu.Lock()
	lease := e.lease
	e.mu.Unlock()
	if lease == "" {
		return
	}
	if err := e.cfg.Store.RevokeLease(ctx, lease); err != nil {
		e.cfg.Log.Info("could not delete live key; it expires with its lease", zap.Error(err))
	}
}
