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

// put has the store show an entry that no process of the house is.
func (h *house) put(m Member) uint64 {
	value, err := cbor.Marshal(m)
	h.c.Assert(err, qt.IsNil)
	at, err := h.store.Client().Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: entryPrefix + m.ID, Value: value}}})
	h.c.Assert(err, qt.IsNil)
	return at
}

var ghost = Member{ID: "ghost", Incarnation: "1", PeerAddr: netip.MustParseAddrPort("10.0.0.9:1")}

// Others could not know of an owner whose live key the store does not show.
func TestAnEntryThatIsNotShownClaimsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &house{c: qt.New(t), store: faker.NewStore(), members: map[string]*tenant{}}
		h.store.SetFault(func(call string) faker.StoreFault { return faker.StoreFault{Refuse: call == "lease"} })
		h.enter("entry-0", "1")
		advancer.Sleep(5 * time.Second)
		h.c.Assert(h.owner(), qt.Equals, "")
		h.store.SetFault(nil)
		advancer.Sleep(2 * time.Second)
		h.c.Assert(h.owner(), qt.Equals, "entry-0")
		h.kill("entry-0")
		advancer.Sleep(time.Minute)
	})
}

func TestAnEntryThatReleasedRestsWhileAnotherLives(t *testing.T) {
	inHouse(t, 1, func(c *qt.C, h *house) {
		h.put(ghost)
		advancer.Sleep(time.Second)
		h.members["entry-0"].Release(context.Background(), "test")
		advancer.Sleep(restAfter - time.Second)
		c.Assert(h.owner(), qt.Equals, "")
		advancer.Sleep(3 * time.Second)
		c.Assert(h.owner(), qt.Equals, "entry-0", qt.Commentf("nobody else claims"))
	})
}

// A watch may be behind: the owner that it does not show may live.
func TestAClaimLooksForTheOwnerFirst(t *testing.T) {
	inHouse(t, 1, func(c *qt.C, h *house) {
		e := h.members["entry-0"]
		h.put(ghost)
		e.mu.Lock()
		e.record = OwnerRecord{Owner: ghost, Term: 1}
		delete(e.members, ghost.ID)
		e.mu.Unlock()
		c.Assert(e.claim(context.Background(), ownerGone), qt.IsNil)
		c.Assert(e.IsOwner(), qt.IsFalse)
	})
}

// The answer to a write may come after a watch has shown what followed it.
func TestANewerRecordStays(t *testing.T) {
	c := qt.New(t)
	e := New(Config{})
	e.record, e.version = OwnerRecord{Owner: ghost, Term: 5}, 9
	c.Assert(e.took(OwnerRecord{Owner: Member{ID: "entry-0"}, Term: 4}, 8), qt.IsFalse)
	record, version := e.Owner()
	c.Assert(record.Owner, qt.Equals, ghost)
	c.Assert(version, qt.Equals, uint64(9))
}
