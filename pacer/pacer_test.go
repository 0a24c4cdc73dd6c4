package pacer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/profiler"
)

const capacity = 64000

var start = time.Unix(1000, 0)

func serves(tail int64) Run {
	return Run{Task: "serves", Attempt: 1, Image: "s", Target: 50, Tail: tail, Percent: 100, CPU: 12000, Pace: 100}
}

func fills(task, image string, pace int) Run {
	return Run{Task: task, Attempt: 1, Image: image, CPU: 8000, Fills: true, Percent: 10, Pace: pace, Used: 80 * int64(pace)}
}

// taught is a pacer that knows a heavy image and a light one.
func taught() *Pacer {
	p := New()
	p.Known.Observe("x", "s", 10, profiler.Use{})
	for range 30 {
		p.Known.Observe("h", "s", 10, profiler.Use{})
		p.Known.Observe("h", "s", 25, profiler.Use{"heavy": 0.125})
		p.Known.Observe("l", "s", 10, profiler.Use{})
		p.Known.Observe("l", "s", 10, profiler.Use{"light": 0.125})
	}
	return p
}

// paces carries changes out and returns them by task.
func paces(p *Pacer, at time.Time, runs []Run) map[string]int {
	got := map[string]int{}
	for _, c := range p.Decide(at, capacity, runs) {
		got[c.Task] = c.Pace
		for n := range runs {
			if runs[n].Task == c.Task {
				runs[n].Pace = c.Pace
			}
		}
	}
	return got
}

func TestOnlyWhatPressesIsSlowed(t *testing.T) {
	c := qt.New(t)
	got := paces(taught(), start, []Run{serves(49), fills("a", "heavy", 100), fills("b", "light", 100)})
	c.Assert(got["a"] < 100, qt.IsTrue)
	_, slowed := got["b"]
	c.Assert(slowed, qt.IsFalse)
}

func TestNothingIsSlowedUntilATailIsNearItsTarget(t *testing.T) {
	c := qt.New(t)
	c.Assert(paces(taught(), start, []Run{serves(44), fills("a", "heavy", 100)}), qt.HasLen, 0)
	c.Assert(paces(taught(), start, []Run{serves(46), fills("a", "heavy", 100)}), qt.HasLen, 1)
}

// Two seconds over its target are half of what the contract bears; what fills
// stands then, whatever is known of it.
func TestATailThatStaysOverItsTargetStopsAllThatFills(t *testing.T) {
	c := qt.New(t)
	p := taught()
	runs := []Run{serves(400), fills("a", "heavy", 100), fills("b", "light", 100)}
	for n := range doubted {
		paces(p, start.Add(time.Duration(n)*every), runs)
	}
	c.Assert(runs[1].Pace, qt.Equals, 0)
	c.Assert(runs[2].Pace, qt.Equals, 0)
}

func TestWhatFillsIsLetGoAgainWithinTwoSeconds(t *testing.T) {
	c := qt.New(t)
	p := taught()
	runs := []Run{serves(12), fills("a", "light", 0)}
	for n := range 4 {
		paces(p, start.Add(time.Duration(n)*every), runs)
	}
	c.Assert(runs[1].Pace, qt.Equals, 100)
}

func TestWhatPressesGetsNoMoreThanTheRoom(t *testing.T) {
	c := qt.New(t)
	runs := []Run{serves(37), fills("a", "heavy", 0)}
	paces(taught(), start, runs)
	c.Assert(runs[1].Pace < up, qt.IsTrue, qt.Commentf("pace %d", runs[1].Pace))
}

func TestNothingHoldsBackWhereNothingServes(t *testing.T) {
	c := qt.New(t)
	c.Assert(paces(New(), start, []Run{fills("a", "heavy", 20)}), qt.DeepEquals, map[string]int{"a": 100})
}

func TestDecisionsWaitForFigures(t *testing.T) {
	c := qt.New(t)
	p := taught()
	runs := []Run{serves(49), fills("a", "heavy", 100)}
	c.Assert(paces(p, start, runs), qt.Not(qt.HasLen), 0)
	c.Assert(paces(p, start.Add(every/2), runs), qt.HasLen, 0)
}
