package elector

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
)

// cluster is a set of electors over one store.
type cluster struct {
	c           *qt.C
	store       *faker.Store
	nodes       map[string]*node
	cpuCapacity map[string]int64 // by entry ID, for nodes started later; 0 if missing
	// lastReply is when the owner last replied on a link, in Unix nanoseconds.
	lastReply atomic.Int64
	// frozen blocks the replies of the store to an entry, by ID.
	frozen map[string]*gate
}

// testClaimKey is the key that each claim writes too.
const testClaimKey = "in/owner"

type node struct {
	*Elector
	stop context.CancelFunc
	done chan struct{}
}

func withCluster(t *testing.T, n int, test func(c *qt.C, cl *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		cl := &cluster{c: qt.New(t), store: faker.NewStore(), nodes: map[string]*node{}}
		for k := range n {
			cl.start(fmt.Sprint("entry-", k), "1")
		}
		advancer.Sleep(2 * time.Second)
		test(cl.c, cl)
		for id := range cl.nodes {
			cl.kill(id)
		}
		advancer.Sleep(time.Minute)
	})
}

// elector returns an elector that is not served.
func (cl *cluster) elector(id, incarnation string) *Elector {
	store := cl.store.Client()
	if g := cl.frozen[id]; g != nil {
		store = g.wrap(store)
	}
	return New(Config{
		Self:  Member{ID: id, Incarnation: incarnation, PeerAddr: netip.MustParseAddrPort("10.0.0.1:1"), CPUCapacity: cl.cpuCapacity[id]},
		Store: store, ClaimKey: testClaimKey, Now: time.Now, Log: zap.NewNop(), OwnerLastReply: func() time.Time { return time.Unix(0, cl.lastReply.Load()) },
		OnChange: func(OwnerRecord, []Member) {},
	})
}

func (cl *cluster) start(id, incarnation string) {
	e := cl.elector(id, incarnation)
	ctx, stop := context.WithCancel(context.Background())
	n := &node{Elector: e, stop: stop, done: make(chan struct{})}
	cl.nodes[id] = n
	go func() {
		defer close(n.done)
		e.Serve(ctx)
	}()
}

// kill stops an elector without release or deregistration, like a killed process.
func (cl *cluster) kill(id string) {
	n := cl.nodes[id]
	n.stop()
	<-n.done
	delete(cl.nodes, id)
}

// killUnaware kills an owner as all other entries are replaced, so that it has asked none of them for
// anything.
func (cl *cluster) killUnaware(owner string) {
	cl.kill(owner)
	for _, id := range slices.Collect(maps.Keys(cl.nodes)) {
		cl.kill(id)
		cl.start("new-"+id, "1")
	}
}

// killAll kills all entries, and starts all but the owner anew after a while.
func (cl *cluster) killAll(owner string, after time.Duration) {
	others := slices.DeleteFunc(slices.Collect(maps.Keys(cl.nodes)), func(id string) bool { return id == owner })
	cl.kill(owner)
	for _, id := range others {
		cl.kill(id)
	}
	advancer.Sleep(after)
	for _, id := range others {
		cl.start(id, "2")
	}
}

// owner returns the ID of the node that considers itself the owner, and fails the
// test if there are several.
func (cl *cluster) owner() string {
	var owners []string
	for id, n := range cl.nodes {
		if n.IsOwner() {
			owners = append(owners, id)
		}
	}
	cl.c.Assert(len(owners) <= 1, qt.IsTrue, qt.Commentf("%v", owners))
	if len(owners) == 0 {
		return ""
	}
	return owners[0]
}

func TestExactlyOneEntryClaims(t *testing.T) {
	withCluster(t, 4, func(c *qt.C, cl *cluster) {
		owner := cl.owner()
		c.Assert(owner, qt.Not(qt.Equals), "")
		record, _ := cl.nodes[owner].Owner()
		c.Assert(record.Term, qt.Equals, uint64(1))
		addr, term, err := FindOwner(context.Background(), cl.store.Client())
		c.Assert(err, qt.IsNil)
		c.Assert(term, qt.Equals, uint64(1))
		c.Assert(addr.IsValid(), qt.IsTrue)
	})
}

func TestAKilledOwnerIsReplaced(t *testing.T) {
	withCluster(t, 3, func(c *qt.C, cl *cluster) {
		cl.kill(cl.owner())
		advancer.Sleep(4 * time.Second)
		owner := cl.owner()
		c.Assert(owner, qt.Not(qt.Equals), "")
		record, _ := cl.nodes[owner].Owner()
		c.Assert(record.PredecessorsStopped, qt.IsFalse, qt.Commentf("the killed owner may still be active"))
	})
}

func TestAReleasedOwnershipIsClaimedAtOnce(t *testing.T) {
	withCluster(t, 3, func(c *qt.C, cl *cluster) {
		before := cl.owner()
		cl.nodes[before].Release(context.Background(), "test")
		advancer.Sleep(time.Second)
		owner := cl.owner()
		c.Assert(owner, qt.Not(qt.Equals), before)
		record, _ := cl.nodes[owner].Owner()
		c.Assert(record.PredecessorsStopped, qt.IsTrue)
	})
}

func TestARestartedOwnerHasToClaimAgain(t *testing.T) {
	withCluster(t, 2, func(c *qt.C, cl *cluster) {
		before := cl.owner()
		cl.kill(before)
		cl.start(before, "2")
		advancer.Sleep(4 * time.Second)
		owner := cl.owner()
		c.Assert(owner, qt.Not(qt.Equals), "")
		record, _ := cl.nodes[owner].Owner()
		c.Assert(record.Term, qt.Equals, uint64(2))
		c.Assert(record.PredecessorsStopped, qt.IsTrue, qt.Commentf("the previous process has ended"))
	})
}

// Leases may expire during a store outage; an owner that still replies on its links
// is not replaced.
func TestAnExpiredLiveKeyAloneDoesNotReplaceTheOwner(t *testing.T) {
	withCluster(t, 3, func(c *qt.C, cl *cluster) {
		before := cl.owner()
		for range 40 {
			cl.lastReply.Store(time.Now().UnixNano())
			cl.store.DeleteKey(entryPrefix + before)
			advancer.Sleep(100 * time.Millisecond)
		}
		c.Assert(cl.owner(), qt.Equals, before)
		record, _ := cl.nodes[before].Owner()
		c.Assert(record.Term, qt.Equals, uint64(1))
	})
}

// A live key that was deleted while its lease is valid is written again.
func TestADeletedLiveKeyIsRestored(t *testing.T) {
	withCluster(t, 1, func(c *qt.C, cl *cluster) {
		cl.store.DeleteKey(entryPrefix + "entry-0")
		advancer.Sleep(3 * time.Second)
		_, err := cl.store.Client().Get(context.Background(), entryPrefix+"entry-0")
		c.Assert(err, qt.IsNil)
	})
}

func TestOwnershipIsConfirmedOnlyByTheStore(t *testing.T) {
	withCluster(t, 1, func(c *qt.C, cl *cluster) {
		cl.store.SetFault(func(string) faker.StoreFault { return faker.StoreFault{Refuse: true} })
		last := cl.nodes["entry-0"].OwnershipConfirmedAt()
		advancer.Sleep(5 * time.Second)
		c.Assert(cl.nodes["entry-0"].OwnershipConfirmedAt(), qt.Equals, last)
		cl.store.SetFault(nil)
		advancer.Sleep(2 * time.Second)
		c.Assert(cl.nodes["entry-0"].OwnershipConfirmedAt().After(last), qt.IsTrue)
	})
}

// The owner does all placement: an owner with a fifth of a core delayed a site of 74
// workers while other entries had four times that capacity.
func TestTheEntryWithMostCPUCapacityClaimsNext(t *testing.T) {
	for _, largest := range []string{"entry-a", "entry-b", "entry-c", "entry-d"} {
		t.Run(largest, func(t *testing.T) {
			withCluster(t, 3, func(c *qt.C, cl *cluster) {
				before := cl.owner()
				cl.cpuCapacity = map[string]int64{largest: 800}
				cl.start(largest, "1")
				advancer.Sleep(2 * time.Second)
				c.Assert(cl.owner(), qt.Equals, before, qt.Commentf("a live owner is not replaced"))
				cl.kill(before)
				advancer.Sleep(4 * time.Second)
				c.Assert(cl.owner(), qt.Equals, largest)
			})
		})
	}
}
