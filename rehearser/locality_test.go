package rehearser

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Patterns without racks must be decided as before.
func TestPatternsWithoutRacksDontKnowTheFactor(t *testing.T) {
	c := qt.New(t)
	p, err := Read("../examples/loads/small.yaml")
	c.Assert(err, qt.IsNil)
	c.Check(New(p, 1, Policies["built"]).delayer, qt.IsNil)
}

// Tasks outside the rack that holds their data took no longer there.
func TestWorkAwayTakesLonger(t *testing.T) {
	c := qt.New(t)
	p, err := Read("../examples/loads/hot-rack.yaml")
	c.Assert(err, qt.IsNil)
	p.Length /= 4
	earned := map[float64]float64{}
	for _, factor := range []float64{1, 10} {
		p.Remote = factor
		earned[factor] = New(p, 1, Policies["never"]).Run().Classes["quick"].Earned
	}
	c.Check(earned[10] < earned[1], qt.IsTrue, qt.Commentf("%v", earned))
}
