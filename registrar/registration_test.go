package registrar

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestARegistrationIsDecodedAsItWasEncoded(t *testing.T) {
	for name, r := range map[string]Registration{
		"open":   {Open: true, Incarnation: "born-1"},
		"closed": {HeldTasks: []string{"x.0.0.0"}, Bounded: true, Incarnation: "born-1"},
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

// The agent of a record that can't be read may run any task.
func TestAnUnreadableRegistrationIsOpen(t *testing.T) {
	c := qt.New(t)
	got, err := Decode([]byte("text"))
	c.Assert(err, qt.IsNotNil)
	c.Assert(got, qt.DeepEquals, Registration{Open: true})
}
