package profiler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// worker is a model of tails: the press of each pair, over a load of its own
// that swings.
type worker struct {
	press map[string]float64
	r     *rand.Rand
}

func (w *worker) tail(n int, use Use) float64 {
	load := 0.3 + 0.15*math.Sin(float64(n)/14)
	for image, u := range use {
		load += w.press[image] * u
	}
	return 10 / (1 - min(load, 0.97)) * (1 + 0.03*w.r.NormFloat64())
}

func TestPressIsLearnedFromChanges(t *testing.T) {
	c := qt.New(t)
	w := &worker{press: map[string]float64{"heavy": 4, "light": 0.1}, r: rand.New(rand.NewPCG(1, 2))}
	p := New()
	for n := range 400 {
		use := Use{}
		if n/5%2 == 0 {
			use["heavy"] = 0.08
		}
		if n/7%2 == 0 {
			use["light"] = 0.3
		}
		p.Observe("run", "serves", w.tail(n, use), use)
	}
	c.Assert(p.Press("heavy", "serves") > 2, qt.IsTrue, qt.Commentf("%g", p.Press("heavy", "serves")))
	c.Assert(p.Press("light", "serves") < 0.6, qt.IsTrue, qt.Commentf("%g", p.Press("light", "serves")))
	c.Assert(p.Known("other", "serves"), qt.IsFalse)
	c.Assert(p.Press("other", "serves"), qt.Equals, prior)
}

func TestPressureGrowsWithTheTail(t *testing.T) {
	c := qt.New(t)
	p := New()
	p.Observe("a", "s", 10, Use{})
	c.Assert(p.Pressure("s", 9), qt.Equals, 0.0)
	c.Assert(p.Pressure("s", 20), qt.Equals, 0.5)
	c.Assert(p.Pressure("s", 50), qt.Equals, 0.8)
	c.Assert(p.Pressure("unknown", 50), qt.Equals, 0.0)
}

func TestARunsLastObservationIsForgottenWithIt(t *testing.T) {
	c := qt.New(t)
	p := New()
	for n := range 3 {
		p.Observe(fmt.Sprint(n), "s", 10, Use{})
		p.Forget(fmt.Sprint(n))
	}
	c.Assert(p.last, qt.HasLen, 0)
}
