package elector

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/estimator"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/storer"
)

// inBubble runs a test with a cluster of a frozen owner "old" and an entry "next", which it ends.
func inBubble(t *testing.T, test func(c *qt.C, cl *cluster, old, next *node)) {
	synctest.Test(t, func(t *testing.T) {
		cl := &cluster{c: qt.New(t), store: faker.NewStore(), nodes: map[string]*node{}, frozen: map[string]*gate{"old": {}, "next": {}}}
		cl.start("old", "1")
		advancer.Sleep(2 * time.Second)
		cl.start("next", "1")
		advancer.Sleep(2 * time.Second)
		cl.c.Assert(cl.owner(), qt.Equals, "old")
		test(cl.c, cl, cl.nodes["old"], cl.nodes["next"])
		cl.store.SetFault(nil)
		for _, g := range cl.frozen {
			if g.closed() {
				g.reopen()
			}
		}
		for id := range cl.nodes {
			cl.kill(id)
		}
		advancer.Sleep(time.Minute)
	})
}

// assertKnown checks that an entry counts the time of the lost owner from its last confirmation.
func assertKnown(c *qt.C, lost, n *node) {
	confirmedBy, until := n.EarlierOwners()
	last := lost.OwnershipConfirmedAt()
	c.Check(confirmedBy.Before(last), qt.IsFalse, qt.Commentf("the owner was confirmed %v later", last.Sub(confirmedBy)))
	c.Check(confirmedBy.Sub(last) < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v after the last confirmation", confirmedBy.Sub(last)))
	c.Check(until, qt.Equals, confirmedBy.Add(estimator.MaxLocalElapsed(UnextendedTTL)))
}

// The wait of the next owner began with its claim, which comes late after an outage.
func TestTheTimeOfALostOwnerCountsFromItsLastConfirmation(t *testing.T) {
	for name, outage := range map[string]time.Duration{"store answers": 0, "outage": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, cl *cluster, old, next *node) {
				cl.kill("old")
				if outage > 0 {
					cl.store.SetFault(func(string) faker.StoreFault { return faker.StoreFault{Refuse: true} })
					advancer.Sleep(outage)
					cl.store.SetFault(nil)
				}
				advancer.Sleep(3 * time.Second)
				c.Assert(next.IsOwner(), qt.IsTrue)
				assertKnown(c, old, next)
				record, _ := next.Owner()
				c.Check(record.EarlierOwnersTTL(), qt.Equals, UnextendedTTL, qt.Commentf("others count from the claim"))
			})
		})
	}
}

// A claim has to fail where a confirmation took effect that its entry has not seen, also if it
// arrives late.
func TestAClaimTakesNoEffectAfterAConfirmationThatItHasNotSeen(t *testing.T) {
	for name, confirmed := range map[string]bool{"confirmed": true, "not confirmed": false} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, cl *cluster, _, next *node) {
				if confirmed {
					cl.frozen["next"].close()
				} else {
					cl.kill("old")
				}
				advancer.Sleep(confirmationCheckAge + 10*time.Millisecond)
				record, version := next.Owner()
				claim, checks := next.nextRecord(reasonOwnerLost, record, version)
				value, err := cbor.Marshal(claim)
				c.Assert(err, qt.IsNil)
				_, err = cl.store.Client().Commit(t.Context(), storer.Transaction{Checks: checks, Writes: []storer.Write{{Key: OwnerKey, Value: value}}})
				c.Check(errors.Is(err, storer.ErrConflict), qt.Equals, confirmed, qt.Commentf("%v", err))
			})
		})
	}
}

// A claim took effect without a reply. Its next attempt found it and wrote nothing, so that no other
// entry knows of it.
func TestARepeatedClaimConfirmsAsOfItsFirstAttempt(t *testing.T) {
	inBubble(t, func(c *qt.C, cl *cluster, _, _ *node) {
		cl.kill("old")
		cl.kill("next")
		advancer.Sleep(3 * time.Second)
		n := cl.elector("late", "1")
		page, err := n.cfg.Store.List(t.Context(), livePrefix)
		c.Assert(err, qt.IsNil)
		n.reset(page)
		_, version := n.Owner()
		cl.store.SetFault(func(call string) faker.StoreFault { return faker.StoreFault{LoseReply: call == "commit"} })
		c.Assert(n.claim(t.Context(), reasonOwnerLost, version), qt.ErrorIs, storer.ErrUnknownOutcome)
		effect := time.Now()
		cl.store.SetFault(nil)
		advancer.Sleep(time.Second)
		c.Assert(n.claim(t.Context(), reasonOwnerLost, version), qt.IsNil)
		c.Assert(n.IsOwner(), qt.IsTrue)
		c.Check(n.OwnershipConfirmedAt().After(effect), qt.IsFalse, qt.Commentf("confirmed %v after the write", n.OwnershipConfirmedAt().Sub(effect)))
	})
}

// An owner whose writes got no replies, though they took effect, stopped after 2 s.
func TestAWriteWhoseReplyIsLostConfirmsOnceItIsSeen(t *testing.T) {
	inBubble(t, func(c *qt.C, cl *cluster, old, _ *node) {
		cl.store.SetFault(func(call string) faker.StoreFault { return faker.StoreFault{LoseReply: call == "commit"} })
		for range 50 {
			advancer.Sleep(100 * time.Millisecond)
			c.Assert(time.Since(old.OwnershipConfirmedAt()) < extensionAge, qt.IsTrue)
		}
	})
}

// claimant is an entry that is not served, and learns of keys by apply.
type claimant struct {
	*Elector
	c *qt.C
}

// owned is the record of an owner that is lost.
func (n claimant) owned() OwnerRecord {
	return OwnerRecord{Owner: Member{ID: "old", PeerAddr: n.cfg.Self.PeerAddr}, Term: 1, Roster: true, Confirms: true}
}

// see applies the owner key, the list of extenders and the confirmation key at a version.
func (n claimant) see(record OwnerRecord, version uint64) {
	item := func(key string, value any) storer.Item {
		raw, err := cbor.Marshal(value)
		n.c.Assert(err, qt.IsNil)
		return storer.Item{Key: key, Version: version, Value: raw}
	}
	listed := extenders{Term: record.Term, Entries: []extender{{n.cfg.Self.ID, n.cfg.Self.Incarnation}}}
	n.apply([]storer.Item{item(OwnerKey, record), item(extendersKey, listed), item(confirmationKey, confirmationValue{"old", "1", 1})})
}

// Nothing is known but what the record states where the claim may have taken effect beside a
// confirmation that was not seen.
func TestAClaimKnowsTheLastConfirmationOnlyIfItChecksIt(t *testing.T) {
	attempt := func(n claimant) int {
		record, version := n.Owner()
		_, checks := n.nextRecord(reasonOwnerLost, record, version)
		return len(checks)
	}
	for name, tt := range map[string]struct {
		before func(n claimant)
		known  bool
	}{
		"checked": {func(claimant) {}, true},
		"owner of an earlier version": {func(n claimant) {
			record := n.owned()
			record.Confirms = false
			n.see(record, 6)
			advancer.Sleep(confirmationCheckAge)
		}, false},
		"key was deleted": {func(n claimant) {
			n.apply([]storer.Item{{Key: confirmationKey, Version: 6, Deleted: true}})
			advancer.Sleep(confirmationCheckAge)
		}, false},
		"list without the key": {func(n claimant) {
			n.apply([]storer.Item{{Key: entryPrefix + "x", Version: 6, Deleted: true}})
			n.reset(storer.Page{Version: 7})
			advancer.Sleep(confirmationCheckAge)
		}, false},
		"older list without the key": {func(n claimant) { n.reset(storer.Page{Version: 4}) }, true},
		"confirmed just now":         {func(n claimant) { n.see(n.owned(), 6) }, false},
		"an attempt without the check may take effect late": {func(n claimant) {
			n.see(n.owned(), 6)
			n.c.Assert(attempt(n), qt.Equals, 2)
			n.endClaimAttempt(storer.ErrUnknownOutcome)
			advancer.Sleep(confirmationCheckAge)
		}, false},
		"an attempt without the check was refused": {func(n claimant) {
			n.see(n.owned(), 6)
			n.c.Assert(attempt(n), qt.Equals, 2)
			n.endClaimAttempt(storer.ErrUnavailable)
			advancer.Sleep(confirmationCheckAge)
		}, true},
		"an attempt with the check may take effect late": {func(n claimant) {
			n.c.Assert(attempt(n), qt.Equals, 3)
			n.endClaimAttempt(storer.ErrUnknownOutcome)
			advancer.Sleep(time.Second)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				cl := &cluster{c: c, store: faker.NewStore()}
				n := claimant{cl.elector("next", "1"), c}
				n.see(n.owned(), 5)
				seenAt := time.Now()
				advancer.Sleep(confirmationCheckAge)
				tt.before(n)
				record, version := n.Owner()
				next, checks := n.nextRecord(reasonOwnerLost, record, version)
				if tt.known {
					c.Assert(checks[len(checks)-1].Key, qt.Equals, confirmationKey)
				}
				n.see(next, 9)
				c.Assert(n.IsOwner(), qt.IsTrue)
				confirmedBy, until := n.EarlierOwners()
				c.Assert(confirmedBy.IsZero(), qt.Equals, !tt.known)
				c.Assert(until.IsZero(), qt.Equals, !tt.known)
				if tt.known {
					c.Check(confirmedBy.Before(seenAt), qt.IsFalse)
					c.Check(confirmedBy.After(time.Now().Add(-confirmationCheckAge)), qt.IsFalse)
				}
			})
		})
	}
}

// Others have extended the confirmation of the lost owner, so that it may act for longer.
func TestTheTimeOfALostOwnerCoversItsExtensionsAndThoseBeforeIt(t *testing.T) {
	inBubble(t, func(c *qt.C, cl *cluster, old, next *node) {
		cl.frozen["old"].close()
		advancer.Sleep(extensionAge)
		cl.lastReply.Store(time.Now().UnixNano())
		cl.ping("next", "old", true)
		c.Assert(old.ConfirmationExtended(), qt.IsTrue)
		extendedUntil := time.Now().Add(estimator.MaxLocalElapsed(extensionTTL))
		advancer.Sleep(3 * time.Second)
		c.Assert(next.IsOwner(), qt.IsTrue)
		_, until := next.EarlierOwners()
		c.Check(until.Before(extendedUntil), qt.IsFalse)
	})
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := claimant{(&cluster{c: c, store: faker.NewStore()}).elector("next", "1"), c}
		record := n.owned()
		record.Term, record.RemainingTTL = 2, 9*time.Second
		n.see(record, 5)
		earlierUntil := time.Now().Add(9 * time.Second)
		advancer.Sleep(2 * time.Second)
		next, _ := n.nextRecord(reasonOwnerLost, record, 5)
		n.see(next, 9)
		_, until := n.EarlierOwners()
		c.Check(until.Before(earlierUntil), qt.IsFalse)
	})
}

// An owner confirms itself, and yet its live key is gone and it answers nobody. Where the store is
// slow, each claim met a newer confirmation than the one that it checked.
func TestAnOwnerThatGoesOnConfirmingIsReplaced(t *testing.T) {
	for _, delay := range []time.Duration{5, 100, 300, 500} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			inBubble(t, func(c *qt.C, cl *cluster, _, next *node) {
				cl.store.SetFault(func(string) faker.StoreFault { return faker.StoreFault{Delay: delay} })
				for end := time.Now().Add(15 * time.Second); time.Now().Before(end) && !next.IsOwner(); advancer.Sleep(20 * time.Millisecond) {
					cl.store.DeleteKey(entryPrefix + "old")
				}
				c.Check(next.IsOwner(), qt.IsTrue)
			})
		})
	}
}

// A key that another writer deleted comes back with the next confirmation.
func TestADeletedConfirmationKeyIsWrittenAgain(t *testing.T) {
	inBubble(t, func(c *qt.C, cl *cluster, old, next *node) {
		cl.store.DeleteKey(confirmationKey)
		advancer.Sleep(time.Second)
		_, err := cl.store.Client().Get(context.Background(), confirmationKey)
		c.Assert(err, qt.IsNil)
		cl.kill("old")
		advancer.Sleep(4 * time.Second)
		assertKnown(c, old, next)
	})
}

// The confirmation of another process with the same incarnation counted as one of this.
func TestAConfirmationIsOfTheProcessThatSentIt(t *testing.T) {
	inBubble(t, func(c *qt.C, _ *cluster, old, next *node) {
		c.Assert(old.cfg.Self.Incarnation, qt.Equals, next.cfg.Self.Incarnation)
		c.Check(old.OwnershipConfirmedAt().IsZero(), qt.IsFalse)
		c.Check(next.OwnershipConfirmedAt().IsZero(), qt.IsTrue)
	})
}
