package pacer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/predictor"
)

const capacity = 64000

var start = time.Unix(1000, 0)

func serves(tail int64) Run {
	return Run{Task: "j.0.0.0", Group: "j.0.0", Attempt: 1, Image: "s", LatencyTargetMs: 50, TailLatencyMs: tail, Percent: 100, CPU: 12000, Pace: 100}
}

func fills(task, image string, pace int) Run {
	return Run{Task: task, Attempt: 1, Image: image, CPU: 8000, BestEffort: true, Percent: 10, Pace: pace, UsedCPU: 80 * int64(pace), PacedSince: start.Add(-time.Hour)}
}

// taught is a pacer that knows a heavy image and a light one, and a serving
// task that has a spare rate, and has lost some of it in the second before.
func taught(spare, lost float64) *Pacer {
	p := New()
	p.Predictor.Learn(start.Add(-time.Minute), predictor.Sample{Group: "old", Image: "s", Rate: 100}, nil)
	for n := range 40 {
		ago := time.Duration(40-n) * every
		p.Predictor.Learn(start.Add(-ago), predictor.Sample{Group: "j.0.0", Image: "s", Rate: spare + lost*ago.Seconds(), StdErr: 1}, nil)
	}
	p.Predictor.Merge(start, "heavy", "s", 400, 10)
	p.Predictor.Merge(start, "light", "s", 1, 0.2)
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

// The target asks for 20/s, the heavy task takes 50/s at full pace.
func TestWhatPressesGetsTheRoomAndNoMore(t *testing.T) {
	for name, one := range map[string]struct {
		spare       float64
		least, most int
	}{
		"much room":      {95, 100, 100},
		"some room":      {45, 20, 50},
		"little room":    {29, 0, 15},
		"none":           {20, 0, 0},
		"over by itself": {15, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			runs := []Run{serves(int64(1000 / one.spare)), fills("a", "heavy", 100), fills("b", "light", 100)}
			paces(taught(one.spare, 0), start, runs)
			c.Assert(runs[1].Pace >= one.least && runs[1].Pace <= one.most, qt.IsTrue, qt.Commentf("pace %d", runs[1].Pace))
			c.Assert(runs[2].Pace, qt.Equals, 100, qt.Commentf("what hardly presses works on"))
		})
	}
}

// A load that rises is met before the tail shows it.
func TestALoadThatRisesIsForeseen(t *testing.T) {
	c := qt.New(t)
	steady, rising := taught(45, 0), taught(45, 5)
	a := []Run{serves(22), fills("a", "heavy", 100)}
	b := []Run{serves(22), fills("a", "heavy", 100)}
	paces(steady, start, a)
	paces(rising, start, b)
	c.Assert(b[1].Pace < a[1].Pace, qt.IsTrue, qt.Commentf("%d, steady %d", b[1].Pace, a[1].Pace))
}

// Two seconds over its target are half of what the contract bears; what fills
// stands then, whatever is known of it.
func TestATailThatStaysOverItsTargetStopsAllThatFills(t *testing.T) {
	c := qt.New(t)
	p := taught(45, 0)
	runs := []Run{serves(400), fills("a", "heavy", 100), fills("b", "light", 100)}
	for n := range int(maxOver/every) + 1 {
		c.Assert(runs[2].Pace, qt.Equals, 100)
		paces(p, start.Add(time.Duration(n)*every), runs)
	}
	c.Assert(runs[1].Pace, qt.Equals, 0)
	c.Assert(runs[2].Pace, qt.Equals, 0)
}

func TestWhatFillsIsLetGoAtOnceWhereThereIsRoom(t *testing.T) {
	c := qt.New(t)
	runs := []Run{serves(12), fills("a", "light", 0), fills("b", "heavy", 0)}
	paces(taught(85, 0), start, runs)
	c.Assert(runs[1].Pace, qt.Equals, 100)
	c.Assert(runs[2].Pace, qt.Equals, 100)
}

func TestNothingHoldsBackWhereNothingServes(t *testing.T) {
	c := qt.New(t)
	c.Assert(paces(New(), start, []Run{fills("a", "heavy", 20)}), qt.DeepEquals, map[string]int{"a": 100})
}

func TestDecisionsWaitForFiguresOrRuns(t *testing.T) {
	c := qt.New(t)
	p := taught(45, 0)
	runs := []Run{serves(22), fills("a", "heavy", 100)}
	c.Assert(paces(p, start, runs), qt.HasLen, 1)
	runs[1].Pace = 100
	c.Assert(paces(p, start.Add(every/5), runs), qt.HasLen, 0, qt.Commentf("nothing is new"))
	runs = append(runs, fills("b", "heavy", 100))
	c.Assert(paces(p, start.Add(every/4), runs), qt.Not(qt.HasLen), 0, qt.Commentf("another run fills"))
	for n := range runs {
		runs[n].Pace = 100
	}
	runs[0].TailLatencyMs = 23
	c.Assert(paces(p, start.Add(every/2), runs), qt.Not(qt.HasLen), 0, qt.Commentf("a figure is new"))
}

func TestSmallChangesOfPaceAreNotWorthACall(t *testing.T) {
	for _, one := range []struct {
		from, to, want int
		worth          bool
	}{{50, 55, 55, false}, {50, 58, 58, true}, {95, 100, 100, true}, {50, 48, 48, false}, {50, 47, 47, true}, {50, 5, 0, true}, {0, 5, 0, false}} {
		got, worth := worthwhile(one.from, one.to)
		qt.Check(t, got, qt.Equals, one.want)
		qt.Check(t, worth, qt.Equals, one.worth, qt.Commentf("%d to %d", one.from, one.to))
	}
}
