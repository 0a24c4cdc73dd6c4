package elector

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
)

// house is some entries' electors over one store.
type house struct {
	c       *qt.C
	store   *faker.Store
	members map[string]*tenant
	power   map[string]int64 // of entries that come; 0 for the others
	// reached is when the owner last answered on a link, in ns.
	reached atomic.Int64
}

type tenant struct {
	*Elector
	stop context.CancelFunc
	done chan struct{}
}

func inHouse(t *testing.T, n int, story func(c *qt.C, h *house)) {
	synctest.Test(t, func(t *testing.T) {
		h := &house{c: qt.New(t), store: faker.NewStore(), members: map[string]*tenant{}}
		for k := range n {
			h.enter(fmt.Sprint("entry-", k), "1")
		}
		advancer.Sleep(2 * time.Second)
		story(h.c, h)
		for id := range h.members {
			h.kill(id)
		}
		advancer.Sleep(time.Minute)
	})
}

func (h *house) enter(id, born string) {
	e := New(Config{
		Self:  Member{ID: id, Incarnation: born, PeerAddr: netip.MustParseAddrPort("10.0.0.1:1"), CPUCapacity: h.power[id]},
		Store: h.store.Client(), Now: time.Now, Log: zap.NewNop(), OwnerLastReply: func() time.Time { return time.Unix(0, h.reached.Load()) },
		OnChange: func(OwnerRecord, []Member) {},
	})
	ctx, stop := context.WithCancel(context.Background())
	m := &tenant{Elector: e, stop: stop, done: make(chan struct{})}
	h.members[id] = m
	go func() {
		defer close(m.done)
		e.Serve(ctx)
	}()
}

// kill ends an elector without a word, as a process ends that is killed.
func (h *house) kill(id string) {
	m := h.members[id]
	m.stop()
	<-m.done
	delete(h.members, id)
}

// owner returns the one that takes itself for the owner.
func (h *house) owner() string {
	var owners []string
	for id, m := range h.members {
		if m.IsOwner() {
			owners = append(owners, id)
		}
	}
	h.c.Assert(len(owners) <= 1, qt.IsTrue, qt.Commentf("%v", owners))
	if len(owners) == 0 {
		return ""
	}
	return owners[0]
}

func TestOneOfThemClaims(t *testing.T) {
	inHouse(t, 4, func(c *qt.C, h *house) {
		owner := h.owner()
		c.Assert(owner, qt.Not(qt.Equals), "")
		record, _ := h.members[owner].Owner()
		c.Assert(record.Term, qt.Equals, uint64(1))
		addr, term, err := FindOwner(context.Background(), h.store.Client())
		c.Assert(err, qt.IsNil)
		c.Assert(term, qt.Equals, uint64(1))
		c.Assert(addr.IsValid(), qt.IsTrue)
	})
}

func TestAnOwnerThatIsKilledIsReplaced(t *testing.T) {
	inHouse(t, 3, func(c *qt.C, h *house) {
		h.kill(h.owner())
		advancer.Sleep(4 * time.Second)
		owner := h.owner()
		c.Assert(owner, qt.Not(qt.Equals), "")
		record, _ := h.members[owner].Owner()
		c.Assert(record.PredecessorsStopped, qt.IsFalse, qt.Commentf("it may live on unseen"))
	})
}

func TestAReleaseIsTakenUpAtOnce(t *testing.T) {
	inHouse(t, 3, func(c *qt.C, h *house) {
		before := h.owner()
		h.members[before].Release(context.Background(), "test")
		advancer.Sleep(time.Second)
		owner := h.owner()
		c.Assert(owner, qt.Not(qt.Equals), before)
		record, _ := h.members[owner].Owner()
		c.Assert(record.PredecessorsStopped, qt.IsTrue)
	})
}

func TestAnOwnersNewProcessIsNotTheOwner(t *testing.T) {
	inHouse(t, 2, func(c *qt.C, h *house) {
		before := h.owner()
		h.kill(before)
		h.enter(before, "2")
		advancer.Sleep(4 * time.Second)
		owner := h.owner()
		c.Assert(owner, qt.Not(qt.Equals), "")
		record, _ := h.members[owner].Owner()
		c.Assert(record.Term, qt.Equals, uint64(2))
		c.Assert(record.PredecessorsStopped, qt.IsTrue, qt.Commentf("the earlier process has ended"))
	})
}

// Leases may run out while the store is away; an owner that answers on its
// links stays.
func TestALapsedKeyAloneDeposesNobody(t *testing.T) {
	inHouse(t, 3, func(c *qt.C, h *house) {
		before := h.owner()
		for range 40 {
			h.reached.Store(time.Now().UnixNano())
			h.store.DeleteKey(entryPrefix + before)
			advancer.Sleep(100 * time.Millisecond)
		}
		c.Assert(h.owner(), qt.Equals, before)
		record, _ := h.members[before].Owner()
		c.Assert(record.Term, qt.Equals, uint64(1))
	})
}

// A key that was taken away while its lease goes on is written again.
func TestARevokedKeyComesBack(t *testing.T) {
	inHouse(t, 1, func(c *qt.C, h *house) {
		h.store.DeleteKey(entryPrefix + "entry-0")
		advancer.Sleep(3 * time.Second)
		_, err := h.store.Client().Get(context.Background(), entryPrefix+"entry-0")
		c.Assert(err, qt.IsNil)
	})
}

func TestOwnershipIsProvenOnlyByTheStore(t *testing.T) {
	inHouse(t, 1, func(c *qt.C, h *house) {
		h.store.SetFault(func(string) faker.StoreFault { return faker.StoreFault{Refuse: true} })
		last := h.members["entry-0"].OwnershipConfirmedAt()
		advancer.Sleep(5 * time.Second)
		c.Assert(h.members["entry-0"].OwnershipConfirmedAt(), qt.Equals, last)
		h.store.SetFault(nil)
		advancer.Sleep(2 * time.Second)
		c.Assert(h.members["entry-0"].OwnershipConfirmedAt().After(last), qt.IsTrue)
	})
}

// All placement is done by the owner: one with a fifth of a core kept a site of
// 74 workers waiting while others had four times as much.
func TestTheMostPowerfulEntryComesNext(t *testing.T) {
	for _, strong := range []string{"entry-a", "entry-b", "entry-c", "entry-d"} {
		t.Run(strong, func(t *testing.T) {
			inHouse(t, 3, func(c *qt.C, h *house) {
				before := h.owner()
				h.power = map[string]int64{strong: 800}
				h.enter(strong, "1")
				advancer.Sleep(2 * time.Second)
				c.Assert(h.owner(), qt.Equals, before, qt.Commentf("an owner that lives stays"))
				h.kill(before)
				advancer.Sleep(4 * time.Second)
				c.Assert(h.owner(), qt.Equals, strong)
			})
		})
	}
}
