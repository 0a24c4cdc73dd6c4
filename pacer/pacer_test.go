package pacer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/predictor"
)

const capacity = 64000

var start = time.Unix(1000, 0)

func servingTask(tailMs int64) Run {
	return Run{Task: "j.0.0.0", Group: "j.0.0", Attempt: 1, Image: "s", LatencyTargetMs: 50, TailLatencyMs: tailMs, ProgressPercent: 100, CPU: 12000, PacePercent: 100}
}

func bestEffortTask(task, image string, pace int) Run {
	return Run{Task: task, Attempt: 1, Image: image, CPU: 8000, BestEffort: true, ProgressPercent: 10, PacePercent: pace, UsedCPU: 80 * int64(pace), PacedSince: start.Add(-time.Hour)}
}

// trainedPacer returns a pacer with estimates for a heavy and a light image, and for a
// serving task whose spare rate has fallen to the given value by lostPerSecond.
func trainedPacer(spare, lostPerSecond float64) *Pacer {
	p := New()
	p.Predictor.Learn(start.Add(-time.Minute), predictor.Sample{Group: "old", Image: "s", Rate: 100}, nil)
	for n := range 40 {
		ago := time.Duration(40-n) * decisionInterval
		p.Predictor.Learn(start.Add(-ago), predictor.Sample{Group: "j.0.0", Image: "s", Rate: spare + lostPerSecond*ago.Seconds(), StdErr: 1}, nil)
	}
	p.Predictor.Merge(start, "heavy", "s", 400, 10)
	p.Predictor.Merge(start, "light", "s", 1, 0.2)
	return p
}

// applyChanges sets the decided paces and returns them by task.
func applyChanges(p *Pacer, at time.Time, runs []Run) map[string]int {
	got := map[string]int{}
	for _, c := range p.Decide(at, capacity, runs) {
		got[c.Task] = c.PacePercent
		for n := range runs {
			if runs[n].Task == c.Task {
				runs[n].PacePercent = c.PacePercent
			}
		}
	}
	return got
}

// The target requires 20/s, the heavy task takes 50/s at full pace.
func TestInterferingTaskGetsOnlyTheHeadroom(t *testing.T) {
	for name, tc := range map[string]struct {
		spare       float64
		least, most int
	}{
		"ample headroom":              {95, 100, 100},
		"some headroom":               {45, 20, 50},
		"little headroom":             {29, 0, 15},
		"no headroom":                 {20, 0, 0},
		"over target by its own load": {15, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			runs := []Run{servingTask(int64(1000 / tc.spare)), bestEffortTask("a", "heavy", 100), bestEffortTask("b", "light", 100)}
			applyChanges(trainedPacer(tc.spare, 0), start, runs)
			c.Assert(runs[1].PacePercent >= tc.least && runs[1].PacePercent <= tc.most, qt.IsTrue, qt.Commentf("pace %d", runs[1].PacePercent))
			c.Assert(runs[2].PacePercent, qt.Equals, 100, qt.Commentf("the light task keeps its pace"))
		})
	}
}

// Paces fall ahead of a rising load, before the target is violated.
func TestRisingLoadIsAnticipated(t *testing.T) {
	c := qt.New(t)
	steady, rising := trainedPacer(45, 0), trainedPacer(45, 5)
	a := []Run{servingTask(22), bestEffortTask("a", "heavy", 100)}
	b := []Run{servingTask(22), bestEffortTask("a", "heavy", 100)}
	applyChanges(steady, start, a)
	applyChanges(rising, start, b)
	c.Assert(b[1].PacePercent < a[1].PacePercent, qt.IsTrue, qt.Commentf("%d, steady %d", b[1].PacePercent, a[1].PacePercent))
}

// After two seconds over target, half of what the contract allows, all best-effort
// tasks stop, whatever their estimated interference.
func TestLongViolationStopsAllBestEffortTasks(t *testing.T) {
	c := qt.New(t)
	p := trainedPacer(45, 0)
	runs := []Run{servingTask(400), bestEffortTask("a", "heavy", 100), bestEffortTask("b", "light", 100)}
	for n := range int(maxViolation/decisionInterval) + 1 {
		c.Assert(runs[2].PacePercent, qt.Equals, 100)
		applyChanges(p, start.Add(time.Duration(n)*decisionInterval), runs)
	}
	c.Assert(runs[1].PacePercent, qt.Equals, 0)
	c.Assert(runs[2].PacePercent, qt.Equals, 0)
}

func TestFullPaceAtOnceWithHeadroom(t *testing.T) {
	c := qt.New(t)
	runs := []Run{servingTask(12), bestEffortTask("a", "light", 0), bestEffortTask("b", "heavy", 0)}
	applyChanges(trainedPacer(85, 0), start, runs)
	c.Assert(runs[1].PacePercent, qt.Equals, 100)
	c.Assert(runs[2].PacePercent, qt.Equals, 100)
}

func TestFullPaceWithoutServingTasks(t *testing.T) {
	c := qt.New(t)
	c.Assert(applyChanges(New(), start, []Run{bestEffortTask("a", "heavy", 20)}), qt.DeepEquals, map[string]int{"a": 100})
}

func TestDecisionsWaitForNewMeasurementsOrRuns(t *testing.T) {
	c := qt.New(t)
	p := trainedPacer(45, 0)
	runs := []Run{servingTask(22), bestEffortTask("a", "heavy", 100)}
	c.Assert(applyChanges(p, start, runs), qt.HasLen, 1)
	runs[1].PacePercent = 100
	c.Assert(applyChanges(p, start.Add(decisionInterval/5), runs), qt.HasLen, 0, qt.Commentf("nothing is new"))
	runs = append(runs, bestEffortTask("b", "heavy", 100))
	c.Assert(applyChanges(p, start.Add(decisionInterval/4), runs), qt.Not(qt.HasLen), 0, qt.Commentf("there is a new best-effort run"))
	for n := range runs {
		runs[n].PacePercent = 100
	}
	runs[0].TailLatencyMs = 23
	c.Assert(applyChanges(p, start.Add(decisionInterval/2), runs), qt.Not(qt.HasLen), 0, qt.Commentf("there is a new measurement"))
}

func TestSmallPaceChangesAreSkipped(t *testing.T) {
	for _, tc := range []struct {
		from, to, want int
		worth          bool
	}{{50, 55, 55, false}, {50, 58, 58, true}, {95, 100, 100, true}, {50, 48, 48, false}, {50, 47, 47, true}, {50, 5, 0, true}, {0, 5, 0, false}} {
		got, worth := paceToSet(tc.from, tc.to)
		qt.Check(t, got, qt.Equals, tc.want)
		qt.Check(t, worth, qt.Equals, tc.worth, qt.Commentf("%d to %d", tc.from, tc.to))
	}
}
