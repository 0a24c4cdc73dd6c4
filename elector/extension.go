package elector

import (
	"slices"
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

// anyAgentTime is for how long an owner asks for extensions for the leases of all agents once it
// needs one. Most owners have recorded all agents as reached, so that the next one need not wait for
// others.
const anyAgentTime = time.Second

// extensions keep an owner that does not reach the store at work: it acts on a confirmation
// older than UnextendedTTL while every entry that might claim agrees, again with each ping, to
// say in its claim how long the owner may still act. The claims of all others state
// ConfirmationTTL.
type extensions struct {
	// granted has, by ID, the newest confirmation of this owner that an entry has extended.
	granted map[string]grant
	// pings has, by ID, the last ping of each entry that is connected to this owner.
	pings map[string]ping
	// until is the local time until which this entry has extended the confirmations of
	// others, extended the last one that it did, newest the one that the owner of record has
	// shown last: it does not act on an older one any more.
	until            time.Time
	extended, newest messenger.ConfirmationRef
	// anyUntil is the time until which it has extended them for the leases of all agents, and not
	// of those alone that the owner has recorded as reached.
	anyUntil time.Time
	// anyAskedAt is when this owner last needed an extension for the lease of another agent.
	anyAskedAt time.Time
	// list is the newest known list of extenders, listVersion the version of its key, 0 if there
	// is none, and listedAt the one at which this was read. The owner has asked those listed
	// at the latest since the local time countedAt.
	list                  extenders
	listVersion, listedAt uint64
	countedAt             time.Time
	// before is the process that owned before this one, until it shows that it goes on. Most
	// end with their release.
	before extender
	// written has the processes of lists that this owner has written, as long as the outcome
	// is not known.
	written []extender
	// claimedVersion is the version of the owner key that pendingClaims claims of this entry
	// may replace, now or late. Meanwhile it extends nothing of that owner.
	claimedVersion uint64
	pendingClaims  int
	// claimedUncounted is set if one of them does not check the list, so that the owner may
	// have stopped asking this entry before it takes effect. claimedExtended is until when the
	// owner may rely on extensions of this entry as far as the others know.
	claimedUncounted bool
	claimedExtended  time.Time
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
	if e.extensions.before == (extender{id, incarnation}) {
		e.extensions.before = extender{}
	}
	now := e.cfg.Now()
	e.extensions.pings[id] = ping{incarnation, now}
	remaining := min(extensionTTL, e.confirmedAt.Add(ConfirmationTTL).Sub(now))
	return &messenger.OwnerConfirmation{
		ConfirmationRef: messenger.ConfirmationRef{Term: e.record.Term, At: e.confirmedAt.UnixNano(), Sent: now.UnixNano(), Rostered: now.Sub(e.extensions.anyAskedAt) >= anyAgentTime},
		RemainingMs:     max(remaining.Milliseconds()+1, 0),
		Ask:             now.Sub(e.confirmedAt) >= extensionAge,
	}
}

// Disconnect records that a process of another entry has lost its connection to this owner.
func (e *Elector) Disconnect(id, incarnation string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.extensions.pings[id].incarnation == incarnation {
		delete(e.extensions.pings, id)
	}
}

// HeardFromAll reports whether each process that this owner asks for extensions has pinged it
// since a local time. The live keys alone do not show them all to an owner that is cut off.
func (e *Elector) HeardFromAll(since time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, x := range e.askedLocked() {
		if p := e.extensions.pings[x.ID]; p.incarnation != x.Incarnation || p.at.Before(since) {
			return false
		}
	}
	return true
}

// RecordExtension records that a process of another entry has extended a confirmation of
// this owner.
func (e *Elector) RecordExtension(id, incarnation string, extended messenger.ConfirmationRef) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.extensions.granted[id] = grant{incarnation, extended}
}

// extendsLocked reports whether this owner may rely on a process of an entry to have extended its newest
// confirmation, and not to have ended since; mu is held.
func (e *Elector) extendsLocked(g grant, incarnation string) bool {
	c := g.confirmation
	return g.incarnation == incarnation && c.Term == e.record.Term && c.At == e.confirmedAt.UnixNano() && e.cfg.Now().UnixNano() < c.Sent+UnextendedTTL.Nanoseconds()
}

// ConfirmationExtended reports whether every process that might claim extends the newest
// confirmation of this owner at present.
func (e *Elector) ConfirmationExtended() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isOwnerLocked() && e.extensions.list.Term == e.record.Term && len(e.notExtendedByLocked()) == 0
}

// ExtendedForAnyAgent reports whether they extend it also for the lease of an agent that is not
// recorded as reached, and asks them to.
func (e *Elector) ExtendedForAnyAgent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.extensions.anyAskedAt = e.cfg.Now()
	for _, x := range e.askedLocked() {
		if e.extensions.granted[x.ID].confirmation.Rostered {
			return false
		}
	}
	return e.isOwnerLocked() && e.extensions.list.Term == e.record.Term && len(e.notExtendedByLocked()) == 0
}

// notExtendedByLocked returns the IDs of the other entries, live or listed as extenders, that
// don't extend the newest confirmation of this owner at present; mu is held.
func (e *Elector) notExtendedByLocked() []string {
	var ids []string
	for _, x := range e.askedLocked() {
		if !slices.Contains(ids, x.ID) && !e.extendsLocked(e.extensions.granted[x.ID], x.Incarnation) {
			ids = append(ids, x.ID)
		}
	}
	return ids
}

// askedLocked returns the processes that this owner asks for extensions, some of them twice; mu
// is held.
func (e *Elector) askedLocked() []extender {
	return slices.Concat(e.currentExtendersLocked(e.record.Term).Entries, e.extensions.list.Entries, e.extensions.written)
}

// Extend processes what the owner says of its confirmation, and returns the confirmation that
// this entry extends, or nil.
func (e *Elector) Extend(c messenger.OwnerConfirmation) *messenger.ConfirmationRef {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Term != e.record.Term || e.isOwnerLocked() {
		return nil
	}
	x, now := &e.extensions, e.cfg.Now()
	if x.newest.Term == c.Term && c.At < x.newest.At {
		return nil // a late reply
	}
	if x.newest.Term == c.Term && c.At > x.newest.At {
		x.until, x.anyUntil = earlier(x.until, now), earlier(x.anyUntil, now) // the owner acts on the older confirmation no more
	}
	x.newest = c.ConfirmationRef
	if !c.Ask || x.claimedVersion == e.version && x.pendingClaims > 0 {
		return nil
	}
	if x.extended.Term != c.Term || x.extended.At != c.At {
		e.cfg.Log.Info("confirmation of the owner extended", zap.Uint64("term", c.Term), zap.Int64("remaining_ms", c.RemainingMs))
	}
	x.extended = c.ConfirmationRef
	remaining := min(time.Duration(c.RemainingMs)*time.Millisecond, ConfirmationTTL)
	until := now.Add(estimator.MaxLocalElapsed(remaining))
	x.until = later(x.until, until)
	if !c.Rostered {
		x.anyUntil = later(x.anyUntil, until)
	}
	return &c.ConfirmationRef
}

// lostOwnerTTLLocked returns how long the owner of record, which is lost, and those before it may
// still act after a claim; mu is held.
func (e *Elector) lostOwnerTTLLocked() time.Duration {
	extended, known := e.extendedUntilLocked()
	if !known {
		return ConfirmationTTL
	}
	now := e.cfg.Now()
	return max(UnextendedTTL, extended.Sub(now), e.earlierUntil.Sub(now))
}

// extendedUntilLocked returns until when the owner of record may rely on extensions, if it asks this entry: it
// needs one of each that it asks; mu is held. That this process has extended nothing, says nothing of an
// earlier one that the owner still asks, but that has ended.
func (e *Elector) extendedUntilLocked() (time.Time, bool) {
	x := &e.extensions
	if x.list.Term != e.record.Term {
		return time.Time{}, false
	}
	for _, asked := range x.list.Entries {
		switch {
		case asked.ID != e.cfg.Self.ID:
		case asked.Incarnation == e.cfg.Self.Incarnation:
			return x.until, true
		default:
			return later(x.until, e.record.reliesUntil(e.startedAt)), true
		}
	}
	return time.Time{}, false
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
