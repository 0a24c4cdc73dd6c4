package elector

import (
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/estimator"
	"github.com/endivefall/endivefall/messenger"
)

// extensionAge is the age from which an owner asks the other entries to extend its
// confirmation: twice confirmInterval, and early enough for two pings before UnextendedTTL.
const extensionAge = time.Second

// extensionTTL is for how long an entry extends a confirmation at once. It claims only after
// ownerSilence, so that its claim states no more than UnextendedTTL after an outage, too.
const extensionTTL = UnextendedTTL + ownerSilence

// extensions keep an owner that does not reach the store at work: it acts on a confirmation
// older than UnextendedTTL while every entry that might claim agrees, again with each ping, to
// say in its claim how long the owner may still act. The claims of all others state
// ConfirmationTTL.
type extensions struct {
	// granted has, by ID, the newest confirmation of this owner that an entry has extended.
	granted map[string]grant
	// until is the local time until which this entry has extended the confirmations of
	// others, newest the last one that it did.
	until  time.Time
	newest messenger.ConfirmationRef
	// countedTerm and countedVersion are the term of an owner that asks this entry before it
	// acts on an old confirmation, and the version of the live key for which it does, at the
	// latest since the local time countedAt.
	countedTerm, countedVersion uint64
	countedAt                   time.Time
	// claimedVersion is the version of the owner key that pendingClaims claims of this entry
	// may replace, now or late. Meanwhile it extends nothing of that owner.
	claimedVersion uint64
	pendingClaims  int
}

// grant is an extension by a process of an entry.
type grant struct {
	incarnation  string
	confirmation messenger.ConfirmationRef
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
	remaining := min(extensionTTL, e.confirmedAt.Add(ConfirmationTTL).Sub(now))
	c := &messenger.OwnerConfirmation{
		ConfirmationRef: messenger.ConfirmationRef{Term: e.record.Term, At: e.confirmedAt.UnixNano(), Sent: now.UnixNano()},
		RemainingMs:     max(remaining.Milliseconds()+1, 0),
		Ask:             now.Sub(e.confirmedAt) >= extensionAge,
	}
	if e.members[id].Incarnation == incarnation {
		c.LiveVersion = e.memberVersions[id]
	}
	return c
}

// RecordExtension records that a process of another entry has extended a confirmation of
// this owner.
func (e *Elector) RecordExtension(id, incarnation string, extended messenger.ConfirmationRef) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.extensions.granted[id] = grant{incarnation, extended}
}

// extendsLocked reports whether a process of an entry has extended the newest confirmation of
// this owner until now or later; mu is held.
func (e *Elector) extendsLocked(g grant, incarnation string) bool {
	c := g.confirmation
	return g.incarnation == incarnation && c.Term == e.record.Term && c.At == e.confirmedAt.UnixNano() && e.cfg.Now().UnixNano() < c.Sent+extensionTTL.Nanoseconds()
}

// ConfirmationExtended reports whether each other live entry extends the newest confirmation
// of this owner at present.
func (e *Elector) ConfirmationExtended() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isOwnerLocked() && len(e.notExtendedByLocked()) == 0
}

// notExtendedByLocked returns the IDs of the other live entries that don't extend the newest
// confirmation of this owner at present; mu is held.
func (e *Elector) notExtendedByLocked() []string {
	var ids []string
	for id, m := range e.members {
		if id != e.cfg.Self.ID && !e.extendsLocked(e.extensions.granted[id], m.Incarnation) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Extend processes what the owner says of its confirmation, and returns the confirmation that
// this entry extends, or nil.
func (e *Elector) Extend(c messenger.OwnerConfirmation) *messenger.ConfirmationRef {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Term != e.record.Term || e.isOwnerLocked() {
		return nil
	}
	x := &e.extensions
	if c.LiveVersion != 0 && c.LiveVersion == e.memberVersions[e.cfg.Self.ID] && (x.countedTerm != c.Term || x.countedVersion != c.LiveVersion) {
		x.countedTerm, x.countedVersion, x.countedAt = c.Term, c.LiveVersion, e.cfg.Now()
	}
	if !c.Ask || x.claimedVersion == e.version && x.pendingClaims > 0 {
		return nil
	}
	if x.newest.Term != c.Term || x.newest.At != c.At {
		e.cfg.Log.Info("confirmation of the owner extended", zap.Uint64("term", c.Term), zap.Int64("remaining_ms", c.RemainingMs))
	}
	x.newest = c.ConfirmationRef
	remaining := min(time.Duration(c.RemainingMs)*time.Millisecond, ConfirmationTTL)
	x.until = later(x.until, e.cfg.Now().Add(estimator.MaxLocalElapsed(remaining)))
	return &c.ConfirmationRef
}

// countedLocked reports whether the owner of record asks this entry before it acts on an old
// confirmation, if the live key still has that version in the store; mu is held.
func (e *Elector) countedLocked() bool {
	x := &e.extensions
	return x.countedTerm == e.record.Term && x.countedVersion != 0 && x.countedVersion == e.memberVersions[e.cfg.Self.ID]
}

// lostOwnerTTLLocked returns how long the owner of record, which is lost, and those before it may
// still act after a claim; mu is held.
func (e *Elector) lostOwnerTTLLocked() time.Duration {
	if !e.countedLocked() {
		return ConfirmationTTL
	}
	now := e.cfg.Now()
	return max(UnextendedTTL, e.extensions.until.Sub(now), e.earlierUntil.Sub(now))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
