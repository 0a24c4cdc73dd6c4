package elector

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/estimator"
	"github.com/endivefall/endivefall/storer"
	"github.com/endivefall/endivefall/waiter"
)

// confirmationKey is the key that an owner writes to confirm its ownership, under a check of the
// owner key. A claim writes it, too. Nothing else confirms, so that a claim that checks the
// version knows the last confirmation of the owner that it replaces.
const confirmationKey = livePrefix + "confirmed"

// confirmationCheckAge is the age from which a claim checks the last confirmation. An owner that
// goes on writing would make the check fail again and again where the store is slow.
const confirmationCheckAge = 2 * confirmInterval

// maxConfirmations bounds the writes of the key that wait for a reply: as many as are sent until the
// first of them is given up.
const maxConfirmations = 10

// confirmation is the newest known version of the confirmation key.
type confirmation struct {
	// version is 0 if there is no key, readAt the one at which this was read.
	version, readAt uint64
	// seenAt is the local time at which this entry learned of it; the owner sent it before.
	seenAt time.Time
}

// earlierOwners is what an entry knows, by its own clock, of the owners before its claim.
type earlierOwners struct {
	// confirmedBy is a time before which they sent each call that confirmed them, until the one
	// until which they may act. Zero if there is no more known than the record states.
	confirmedBy, until time.Time
}

// confirmationValue is the value of the confirmation key.
type confirmationValue struct {
	// ID and Incarnation are those of the process that sent the write, SentAt is the time by its own
	// clock, in Unix nanoseconds.
	ID          string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	SentAt      int64  `cbor:"3,keyasint"`
}

// confirmationWrite returns a write, sent at a time, that confirms this process as the owner.
func (e *Elector) confirmationWrite(sent time.Time) storer.Write {
	raw, err := cbor.Marshal(confirmationValue{e.cfg.Self.ID, e.cfg.Self.Incarnation, sent.UnixNano()})
	if err != nil {
		panic(err) // numbers and strings always encode
	}
	return storer.Write{Key: confirmationKey, Value: raw}
}

// applyConfirmationLocked applies a newer version of the confirmation key; mu is held. It may show
// that a write of this process whose reply was lost has taken effect.
func (e *Elector) applyConfirmationLocked(item storer.Item) {
	if item.Version <= e.confirmation.readAt {
		return
	}
	e.confirmation = confirmation{version: item.Version, readAt: item.Version, seenAt: e.cfg.Now()}
	if item.Deleted {
		e.confirmation.version = 0
		return
	}
	if v, err := decode[confirmationValue](item.Value); err == nil && v.ID == e.cfg.Self.ID && v.Incarnation == e.cfg.Self.Incarnation {
		e.confirmedAt = later(e.confirmedAt, time.Unix(0, v.SentAt))
	}
}

// confirmLoop confirms this process as the owner while it is. A write that hangs does not hold up
// the next one.
func (e *Elector) confirmLoop(ctx context.Context) {
	var writes sync.WaitGroup
	defer writes.Wait()
	waiting := make(chan struct{}, maxConfirmations)
	var lastSent time.Time
	waiter.Every(ctx, checkInterval, func() {
		sent := e.cfg.Now()
		version, due := e.confirmationDue(lastSent, sent)
		if !due {
			return
		}
		select {
		case waiting <- struct{}{}:
		default: // the store answers none of them
			return
		}
		lastSent = sent
		writes.Go(func() {
			defer func() { <-waiting }()
			e.confirm(ctx, version, sent)
		})
	})
}

// confirmationDue reports whether this process is the owner, at a version of the owner key, and
// is to confirm that again.
func (e *Elector) confirmationDue(lastSent, now time.Time) (version uint64, due bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := later(lastSent, e.confirmedAt)
	return e.version, e.isOwnerLocked() && (now.Sub(last) >= confirmInterval || last.Before(e.confirmAfter))
}

// ConfirmAfter asks for a confirmation that is sent after a time, which has passed, without waiting until the next one
// is due.
func (e *Elector) ConfirmAfter(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmAfter = later(e.confirmAfter, at)
}

// confirm writes the confirmation key if this process is still the owner at a version of the
// owner key.
func (e *Elector) confirm(ctx context.Context, version uint64, sent time.Time) {
	_, err := e.cfg.Store.Commit(ctx, storer.Transaction{
		Checks: []storer.Check{{Key: OwnerKey, Version: version}},
		Writes: []storer.Write{e.confirmationWrite(sent)},
	})
	var conflict *storer.ConflictError
	switch {
	case err == nil:
		e.confirmOwnership(sent)
		return
	case errors.As(err, &conflict):
		e.apply([]storer.Item{conflict.Item(OwnerKey)})
	case errors.Is(err, storer.ErrUnknownOutcome):
		if item, err := e.cfg.Store.Get(ctx, confirmationKey); err == nil {
			e.apply([]storer.Item{item})
		}
	}
	e.mu.Lock()
	notExtendedBy := e.notExtendedByLocked()
	e.mu.Unlock()
	e.cfg.Log.Warn("could not confirm ownership", zap.Error(err), zap.Duration("age", e.cfg.Now().Sub(e.OwnershipConfirmedAt())), zap.Strings("not_extended_by", notExtendedBy))
}

// confirmOwnership records that a write of the confirmation key sent at a time took effect.
func (e *Elector) confirmOwnership(sent time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmedAt = later(e.confirmedAt, sent)
}

// checkConfirmationLocked returns the checks of a claim, and one on the last confirmation of a lost
// owner if all its confirmations write the key; mu is held. A claim that checks it and takes effect
// late still replaces an owner without a later confirmation.
func (e *Elector) checkConfirmationLocked(reason string, record OwnerRecord, checks []storer.Check) []storer.Check {
	last := e.confirmation
	// A process that has just started has seen any confirmation just now, and learns from a refused check whether the
	// owner goes on.
	writes := e.cfg.Now().Sub(last.seenAt) < confirmationCheckAge && (e.countedLocked() || !e.asksLocked() || e.confirmedMeanwhile == e.version)
	if reason != reasonOwnerLost || !record.Confirms || last.version == 0 || writes {
		e.claimedUnchecked = true
		return checks
	}
	e.claimedConfirmation = later(e.claimedConfirmation, last.seenAt)
	return append(checks, storer.Check{Key: confirmationKey, Version: last.version})
}

// earlierOwnersLocked returns what is known of the owners before a claim of this entry that has
// taken effect, before its record is applied; mu is held.
func (e *Elector) earlierOwnersLocked() earlierOwners {
	if e.claimedUnchecked || e.claimedConfirmation.IsZero() {
		return earlierOwners{}
	}
	known := earlierOwners{confirmedBy: e.claimedConfirmation}
	if !e.extensions.claimedUncounted {
		unextended := known.confirmedBy.Add(estimator.MaxLocalElapsed(UnextendedTTL))
		known.until = later(later(unextended, later(e.extensions.until, e.extensions.claimedExtended)), e.earlierUntil)
	}
	return known
}

// EarlierOwners returns local times of the owners before the newest claim of this entry: one before
// which they sent each call that confirmed them, and the one until which they may act. Zero if no
// more is known than the record of the claim states.
func (e *Elector) EarlierOwners() (confirmedBy, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.earlierOwners.confirmedBy, e.earlierOwners.until
}
