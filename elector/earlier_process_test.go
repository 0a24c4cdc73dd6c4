package elector

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/estimator"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/storer"
)

// The claim of an entry that had started again stated the longest time, as if its earlier process had extended the lost
// owner's confirmation to the end. The owner relies on an extension for a while after it has asked for it.
func TestAClaimCountsFromTheStartOfTheProcessIfTheOwnerAsksAnEarlierOne(t *testing.T) {
	for name, tt := range map[string]struct {
		ttl, until time.Duration
		listed     extender
	}{
		"earlier process":              {UnextendedTTL, UnextendedTTL, extender{"self", "1"}},
		"owner of an earlier version":  {0, longExtensionTTL, extender{"self", "1"}},
		"an odd time":                  {time.Hour, longExtensionTTL, extender{"self", "1"}},
		"another entry with that name": {UnextendedTTL, 0, extender{"other", "2"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(5000, 0)
			e := New(Config{Self: Member{ID: "self", Incarnation: "2"}, Now: func() time.Time { return now }})
			e.record, e.version = OwnerRecord{Owner: otherMember, Term: 5, ExtensionTTL: tt.ttl}, 9
			e.extensions.list, e.extensions.listVersion = extenders{Term: 5, Entries: []extender{tt.listed}}, 9
			until, known := e.extendedUntilLocked()
			c.Assert(known, qt.Equals, tt.until > 0)
			if known {
				c.Assert(until, qt.Equals, now.Add(estimator.MaxLocalElapsed(tt.until)))
			}
			next, checks := e.nextRecord(reasonOwnerLost, e.record, 9)
			c.Assert(next.EarlierOwnersTTL() < ConfirmationTTL, qt.Equals, known)
			c.Assert(slices.Contains(checks, storer.Check{Key: extendersKey, Version: 9}), qt.Equals, known)
			c.Assert(e.extensions.claimedUncounted, qt.Equals, !known)
		})
	}
}

// An owner relies on an entry only while it hears of it: one that has ended extends nothing, and its next
// process counts from its own start.
func TestAnOwnerReliesOnAnExtensionForAWhile(t *testing.T) {
	withCluster(t, 2, func(c *qt.C, cl *cluster) {
		owner := cl.owner()
		cl.store.SetFault(func(string) faker.StoreFault { return faker.StoreFault{Refuse: true} })
		advancer.Sleep(extensionAge)
		cl.ping(cl.other(owner), owner, true)
		advancer.Sleep(UnextendedTTL - time.Millisecond)
		c.Check(cl.nodes[owner].ConfirmationExtended(), qt.IsTrue)
		advancer.Sleep(time.Millisecond)
		c.Check(cl.nodes[owner].ConfirmationExtended(), qt.IsFalse)
		cl.store.SetFault(nil)
		advancer.Sleep(time.Second)
	})
}

// The claim of a process that had just started counted from when it took effect, as the last confirmation was too
// young to be checked: any is to a process that reads it first.
func TestAProcessThatHasJustStartedChecksTheConfirmationThatItRead(t *testing.T) {
	withCluster(t, 3, func(c *qt.C, cl *cluster) {
		cl.killAll(cl.owner(), 900*time.Millisecond)
		started := time.Now()
		for cl.owner() == "" {
			advancer.Sleep(10 * time.Millisecond)
		}
		claimed := time.Since(started)
		_, until := cl.nodes[cl.owner()].EarlierOwners()
		c.Assert(claimed < confirmationCheckAge, qt.IsTrue)
		c.Check(until.IsZero(), qt.IsFalse)
		c.Check(until.Sub(started) <= estimator.MaxLocalElapsed(UnextendedTTL)+checkInterval, qt.IsTrue, qt.Commentf("%v after the start", until.Sub(started)))
	})
}

// An owner that goes on writing at a slow store made each claim fail. One that was refused for that is sent again
// without the check.
func TestAClaimThatWasRefusedForALaterConfirmationIsSentWithoutTheCheck(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(5000, 0)
	e := New(Config{Self: Member{ID: "self", Incarnation: "2"}, Now: func() time.Time { return now }})
	e.record, e.version = OwnerRecord{Owner: otherMember, Term: 5, ExtensionTTL: UnextendedTTL, Confirms: true}, 9
	e.extensions.list, e.extensions.listVersion = extenders{Term: 5, Entries: []extender{{"self", "1"}}}, 9
	e.confirmation = confirmation{version: 12, readAt: 12, seenAt: now}
	_, checks := e.nextRecord(reasonOwnerLost, e.record, 9)
	c.Assert(checks, qt.Contains, storer.Check{Key: confirmationKey, Version: 12})
	e.endClaimAttempt(storer.ErrConflict)
	e.confirmedMeanwhile = 9
	_, checks = e.nextRecord(reasonOwnerLost, e.record, 9)
	c.Assert(checks, qt.HasLen, 2)
	now = now.Add(confirmationCheckAge)
	_, checks = e.nextRecord(reasonOwnerLost, e.record, 9)
	c.Assert(checks, qt.Contains, storer.Check{Key: confirmationKey, Version: 12})
}
