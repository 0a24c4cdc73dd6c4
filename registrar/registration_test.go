package registrar

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestARegistrationIsDecodedAsItWasEncoded(t *testing.T) {
	for name, r := range map[string]Registration{
		"open":   {Open: true, Incarnation: "born-1"},
		"closed": {HeldTasks: []string{"x.0.0.0"}, Bounded: true, Incarnation: "born-1"},
		"left":   {HeldTasks: []string{"x.0.0.0"}, Bounded: true, Incarnation: "born-1", RenewalsEndedInTerm: 7, EarlierMs: 1500, Epoch: 90},
		"empty":  {},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got, err := Decode(r.Encode())
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.DeepEquals, r)
		})
	}
}

// A wait that is far too long, or none, can't be told from that of an odd record.
func TestARegistrationWithAnOddWaitSaysNothingOfRenewals(t *testing.T) {
	for _, odd := range []int64{-1, maxEarlierMs + 1, math.MaxInt64} {
		c := qt.New(t)
		got, err := Decode(Registration{HeldTasks: []string{"x.0.0.0"}, RenewalsEndedInTerm: 7, EarlierMs: odd, Epoch: 90}.Encode())
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.DeepEquals, Registration{HeldTasks: []string{"x.0.0.0"}})
	}
}

// The version of such a record can't be told from one that is cut short.
func TestARegistrationWithoutTheClaimOfItsOwnerSaysNothingOfRenewals(t *testing.T) {
	for _, epoch := range []uint64{0, 6} {
		c := qt.New(t)
		got, err := Decode(Registration{HeldTasks: []string{"x.0.0.0"}, RenewalsEndedInTerm: 7, EarlierMs: 1500, Epoch: epoch}.Encode())
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.DeepEquals, Registration{HeldTasks: []string{"x.0.0.0"}})
	}
}

// The agent of a record that can't be read may run any task.
func TestAnUnreadableRegistrationIsOpen(t *testing.T) {
	c := qt.New(t)
	got, err := Decode([]byte("text"))
	c.Assert(err, qt.IsNotNil)
	c.Assert(got, qt.DeepEquals, Registration{Open: true})
}
