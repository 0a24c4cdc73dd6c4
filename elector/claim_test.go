package elector

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/storer"
)

// putLiveKey writes the live key of an entry that has no node in the cluster.
func (cl *cluster) putLiveKey(m Member) uint64 {
	value, err := cbor.Marshal(m)
	cl.c.Assert(err, qt.IsNil)
	version, err := cl.store.Client().Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: entryPrefix + m.ID, Value: value}}})
	cl.c.Assert(err, qt.IsNil)
	return version
}

var otherMember = Member{ID: "ghost", Incarnation: "1", PeerAddr: netip.MustParseAddrPort("10.0.0.9:1")}

// An owner without a live key would look lost to the other entries.
func TestAnEntryWithoutLiveKeyClaimsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := &cluster{c: qt.New(t), store: faker.NewStore(), nodes: map[string]*node{}}
		cl.store.SetFault(func(call string) faker.StoreFault { return faker.StoreFault{Refuse: call == "lease"} })
		cl.start("entry-0", "1")
		advancer.Sleep(5 * time.Second)
		cl.c.Assert(cl.owner(), qt.Equals, "")
		cl.store.SetFault(nil)
		advancer.Sleep(2 * time.Second)
		cl.c.Assert(cl.owner(), qt.Equals, "entry-0")
		cl.kill("entry-0")
		advancer.Sleep(time.Minute)
	})
}

func TestAnEntryThatReleasedDoesNotClaimDuringCooldown(t *testing.T) {
	withCluster(t, 1, func(c *qt.C, cl *cluster) {
		cl.putLiveKey(otherMember)
		advancer.Sleep(time.Second)
		cl.nodes["entry-0"].Release(context.Background(), "test")
		advancer.Sleep(releaseCooldown - time.Second)
		c.Assert(cl.owner(), qt.Equals, "")
		advancer.Sleep(3 * time.Second)
		c.Assert(cl.owner(), qt.Equals, "entry-0", qt.Commentf("no other entry claims"))
	})
}

// A watch may lag behind the store, so an owner whose live key it does not show may
// be alive.
func TestAClaimReadsTheOwnersLiveKeyFirst(t *testing.T) {
	withCluster(t, 1, func(c *qt.C, cl *cluster) {
		e := cl.nodes["entry-0"]
		cl.putLiveKey(otherMember)
		e.mu.Lock()
		e.record = OwnerRecord{Owner: otherMember, Term: 1}
		delete(e.members, otherMember.ID)
		e.mu.Unlock()
		_, version := e.Owner()
		c.Assert(e.claim(context.Background(), reasonOwnerLost, version), qt.IsNil)
		c.Assert(e.IsOwner(), qt.IsFalse)
	})
}

// The reply to a write may arrive after a watch has reported a later write.
func TestAnOlderRecordDoesNotReplaceANewerOne(t *testing.T) {
	c := qt.New(t)
	e := New(Config{Now: time.Now})
	e.record, e.version = OwnerRecord{Owner: otherMember, Term: 5}, 9
	c.Assert(e.adoptRecord(OwnerRecord{Owner: Member{ID: "entry-0"}, Term: 4}, 8), qt.IsFalse)
	record, version := e.Owner()
	c.Assert(record.Owner, qt.Equals, otherMember)
	c.Assert(version, qt.Equals, uint64(9))
}

// Each takeover waited for confirmations of an owner that was lost long ago.
func TestALostOwnerCountsAsStoppedOnceItsConfirmationsHaveExpired(t *testing.T) {
	withCluster(t, 2, func(c *qt.C, cl *cluster) {
		cl.kill(cl.owner())
		advancer.Sleep(10 * time.Second)
		second := cl.owner()
		record, _ := cl.nodes[second].Owner()
		c.Assert(record.PredecessorsStopped, qt.IsFalse)
		cl.start("entry-2", "1")
		advancer.Sleep(time.Minute)
		cl.nodes[second].Release(context.Background(), "test")
		advancer.Sleep(3 * time.Second)
		c.Assert(cl.owner(), qt.Equals, "entry-2")
		record, _ = cl.nodes["entry-2"].Owner()
		c.Check(record.PredecessorsStopped, qt.IsTrue)
	})
}

// Two owners end within seconds: the first one, which was lost, may still send
// commands when the third claims.
func TestALostOwnerDoesNotCountAsStoppedAfterAnEarlyRelease(t *testing.T) {
	withCluster(t, 2, func(c *qt.C, cl *cluster) {
		first := cl.owner()
		cl.killUnaware(first)
		killed := time.Now()
		cl.start("entry-2", "1")
		second := first
		for second == first || second == "" {
			advancer.Sleep(100 * time.Millisecond)
			second = cl.owner()
		}
		advancer.Sleep(ConfirmationTTL/2 - time.Since(killed))
		cl.nodes[second].Release(context.Background(), "test")
		advancer.Sleep(3 * time.Second)
		third := cl.owner()
		c.Assert(third, qt.Not(qt.Equals), second)
		record, _ := cl.nodes[third].Owner()
		c.Check(record.PredecessorsStopped, qt.IsFalse)
	})
}

// A release that came shortly before the confirmations of an earlier owner expired made
// the next owner wait for them from the beginning.
func TestAReleaseSaysHowLongEarlierOwnersMayAct(t *testing.T) {
	withCluster(t, 2, func(c *qt.C, cl *cluster) {
		cl.killUnaware(cl.owner())
		for cl.owner() == "" {
			advancer.Sleep(100 * time.Millisecond)
		}
		second := cl.owner()
		cl.start("entry-2", "1")
		advancer.Sleep(ConfirmationTTL - 2*time.Second)
		cl.nodes[second].Release(context.Background(), "test")
		advancer.Sleep(3 * time.Second)
		c.Assert(cl.owner(), qt.Equals, "entry-2")
		record, _ := cl.nodes["entry-2"].Owner()
		c.Check(record.PredecessorsStopped, qt.IsFalse)
		c.Check(record.EarlierOwnersTTL() > 0, qt.IsTrue)
		c.Check(record.EarlierOwnersTTL() <= 2*time.Second, qt.IsTrue, qt.Commentf("%v", record.EarlierOwnersTTL()))
	})
}

// A process may be suspended between its decision and its claim, while another one claims.
func TestAClaimHoldsForTheRecordThatWasJudged(t *testing.T) {
	for name, reason := range map[string]string{"no owner": reasonNoOwner, "lost": reasonOwnerLost, "released": "owner released"} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 2, func(c *qt.C, cl *cluster) {
				owner := cl.owner()
				for id, n := range cl.nodes {
					if id != owner {
						_, version := n.Owner()
						c.Check(n.claim(context.Background(), reason, version-1), qt.ErrorIs, storer.ErrConflict)
					}
				}
				c.Check(cl.owner(), qt.Equals, owner)
			})
		})
	}
}
