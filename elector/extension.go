package elector

import (
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
)

// extensionAge is the age from which an owner asks the other entries to extend its
// confirmation. Two of them can answer before UnextendedTTL is over.
const extensionAge = 600 * time.Millisecond

// extensions keep an owner that does not reach the store at work: it acts on a confirmation
// older than UnextendedTTL once every entry that might claim has agreed to say in its claim
// how long the owner may still act. The claims of all others state ConfirmationTTL.
type extensions struct {
	// granted has, by ID, the newest confirmation of this owner that an entry has extended.
	granted map[string]grant
	// until is the local time until which this entry has extended the confirmations of
	// others, newest the last one that it did.
	until  time.Time
	newest messenger.ConfirmationRef
	// countedTerm and countedVersion are the term of an owner that asks this entry before it
	// acts on an old confirmation, and the version of the live key for which it does.
	countedTerm, countedVersion uint64
	// claimedVersion is the version of the owner key that a claim of this entry may replace,
	// now or late. It extends nothing of that owner any more.
	claimedVersion uint64
}

// grant is an extension by a process of an entry, which had not claimed ownership at
// unclaimedAt, on the local clock.
type grant struct {
	incarnation  string
	confirmation messenger.ConfirmationRef
	unclaimedAt  time.Time
}

// Confirmation returns what this owner tells a process of another entry, or nil if it is not
// the owner.
func (e *Elector) Confirmation(id, incarnation string) *messenger.OwnerConfirmation {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isOwnerLocked() {
		return nil
	}
	now := e.cfg.Now()
	c := &messenger.OwnerConfirmation{
		ConfirmationRef: e.confirmationLocked(),
		RemainingMs:     max(e.confirmedAt.Add(ConfirmationTTL).Sub(now).Milliseconds()+1, 0),
		Old:             now.Sub(e.confirmedAt) >= extensionAge,
		SentAt:          now.UnixNano(),
	}
	if e.members[id].Incarnation == incarnation {
		c.LiveVersion = e.memberVersions[id]
	}
	return c
}

// confirmationLocked identifies the newest confirmation of this owner; mu is held.
func (e *Elector) confirmationLocked() messenger.ConfirmationRef {
	return messenger.ConfirmationRef{Term: e.record.Term, At: e.confirmedAt.UnixNano()}
}

// RecordExtension records that a process of another entry has extended a confirmation of
// this owner.
func (e *Elector) RecordExtension(id, incarnation string, x messenger.Extension) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.extensions.granted[id] = grant{incarnation, x.ConfirmationRef, time.Unix(0, x.EchoSentAt)}
}

// ConfirmationExtended reports whether each other live entry has extended the newest
// confirmation of this owner.
func (e *Elector) ConfirmationExtended() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.notExtendedByLocked()) == 0
}

// notExtendedByLocked returns the IDs of the other live entries that have not extended the
// newest confirmation of this owner; mu is held.
func (e *Elector) notExtendedByLocked() []string {
	var ids []string
	for id, m := range e.members {
		g := e.extensions.granted[id]
		if id != e.cfg.Self.ID && (g.incarnation != m.Incarnation || g.confirmation != e.confirmationLocked()) {
			ids = append(ids, id)
		}
	}
	return ids
}

// UnclaimedAt returns the latest local time at which this process was surely the last that had
// claimed ownership.
func (e *Elector) UnclaimedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.notExtendedByLocked()) > 0 {
		return e.confirmedAt
	}
	unclaimedAt := e.cfg.Now()
	for id := range e.members {
		if at := e.extensions.granted[id].unclaimedAt; id != e.cfg.Self.ID && at.Before(unclaimedAt) {
			unclaimedAt = at
		}
	}
	return later(e.confirmedAt, unclaimedAt)
}

// Extend processes what the owner says of its confirmation, and returns the extension of this
// entry, or nil.
func (e *Elector) Extend(c messenger.OwnerConfirmation) *messenger.Extension {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Term != e.record.Term || e.isOwnerLocked() {
		return nil
	}
	if c.LiveVersion != 0 && c.LiveVersion == e.liveVersion {
		e.extensions.countedTerm, e.extensions.countedVersion = c.Term, c.LiveVersion
	}
	if !c.Old || e.extensions.claimedVersion == e.version {
		return nil
	}
	if e.extensions.newest != c.ConfirmationRef {
		e.cfg.Log.Info("confirmation of the owner extended", zap.Uint64("term", c.Term), zap.Int64("remaining_ms", c.RemainingMs))
		e.extensions.newest = c.ConfirmationRef
	}
	remaining := min(time.Duration(c.RemainingMs)*time.Millisecond, ConfirmationTTL)
	e.extensions.until = later(e.extensions.until, e.cfg.Now().Add(remaining))
	return &messenger.Extension{ConfirmationRef: c.ConfirmationRef, EchoSentAt: c.SentAt}
}

// lostOwnerTTLLocked returns how long the owner of record, which is lost, and those before it may
// still act after a claim; mu is held.
func (e *Elector) lostOwnerTTLLocked() time.Duration {
	x := &e.extensions
	if x.countedTerm != e.record.Term || x.countedVersion != e.liveVersion || e.liveVersion == 0 {
		return ConfirmationTTL
	}
	return max(UnextendedTTL, x.until.Sub(e.cfg.Now()), e.earlierUntil.Sub(e.cfg.Now()))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
