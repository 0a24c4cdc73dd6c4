package registrar

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
)

// openTracker returns a Tracker of a registration that is open for a process.
func openTracker(incarnation string) *Tracker {
	t := &Tracker{}
	t.Set(3, Registration{Open: true, Incarnation: incarnation})
	return t
}

// send begins the write of an intent.
func send(t *Tracker, i Intent, r Registration) {
	t.Want(i)
	t.Send(r)
}

var ended = Registration{HeldTasks: []string{"x.0.0.0"}, Incarnation: "b", RenewalsEndedInTerm: 2, Epoch: 2}

func TestAWriteInFlightHoldsBackWhatItEnds(t *testing.T) {
	for name, tt := range map[string]struct {
		intent Intent
		record Registration
	}{
		"closing":  {Close, ended},
		"removing": {Remove, Registration{}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := openTracker("b")
			c.Assert(r.OpenFor("b"), qt.IsTrue)
			c.Assert(r.MayRenew(), qt.IsTrue)
			send(r, tt.intent, tt.record)
			c.Assert(r.Open(), qt.IsFalse)
			c.Assert(r.MayRenew(), qt.IsFalse)
		})
	}
}

// What was only intended was believed after a conflict: leases were never renewed again.
func TestARefusedWriteLeavesNothingBehind(t *testing.T) {
	for name, intent := range map[string]Intent{"closing": Close, "removing": Remove} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := openTracker("b")
			send(r, intent, ended)
			r.Set(3, Registration{Open: true, Incarnation: "b"})
			c.Assert(r, qt.CmpEquals(cmp.AllowUnexported(Tracker{}, write{})), openTracker("b"))
			c.Assert(r.OpenFor("b"), qt.IsTrue)
			c.Assert(r.MayRenew(), qt.IsTrue)
		})
	}
}

// An attempt without a reply may take effect after another one was refused.
func TestALateWriteHoldsBackWhatItEndsUntilAnotherOneIsCommitted(t *testing.T) {
	for name, intent := range map[string]Intent{"closing": Close, "removing": Remove} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := openTracker("b")
			send(r, intent, ended)
			r.SetInDoubt(3, Registration{Open: true, Incarnation: "b"})
			c.Assert(r.Writing(), qt.IsFalse)
			c.Assert(r.OpenFor("b"), qt.IsFalse)
			c.Assert(r.MayRenew(), qt.IsFalse)
			send(r, Open, Registration{Open: true, Incarnation: "b"})
			c.Assert(r.MayRenew(), qt.IsFalse)
			r.Committed(9)
			c.Assert(r.OpenFor("b"), qt.IsTrue)
			c.Assert(r.MayRenew(), qt.IsTrue)
		})
	}
}

func TestARecordThatEndsRenewalsHoldsUntilAnotherOneIsCommitted(t *testing.T) {
	c := qt.New(t)
	r := &Tracker{}
	r.Set(4, ended)
	c.Assert(r.MayRenew(), qt.IsFalse)
	send(r, Open, Registration{Open: true, Incarnation: "b2"})
	c.Assert(r.MayRenew(), qt.IsFalse, qt.Commentf("the ledger may still have the other one"))
	r.Committed(5)
	c.Assert(r.MayRenew(), qt.IsTrue)
	c.Assert(r.OpenFor("b2"), qt.IsTrue)
	c.Assert(r.OpenFor("b"), qt.IsFalse)
}

func TestARemovedRecordHasNoVersion(t *testing.T) {
	c := qt.New(t)
	r := openTracker("b")
	send(r, Remove, Registration{})
	r.Committed(8)
	c.Assert(r.Version(), qt.Equals, uint64(0))
	c.Assert(r.Closed(), qt.IsTrue)
	c.Assert(r.Record(), qt.DeepEquals, Registration{})
}
