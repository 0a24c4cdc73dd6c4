package orchestrator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

// crowded is a desk with a serving task at one agent, whose tail is told beside
// a filling image for some seconds. The image presses hard.
func crowded(c *qt.C) (*desk, *job) {
	d := newDesk(c, 1)
	s := step(1, 1000)
	s.LongRunning, s.Image, s.LatencyTargetMs = true, "serves", 100
	j := d.submit(sequencer.Spec{Steps: []sequencer.Step{s}})
	d.o.place()
	for n := range 40 {
		d.now = d.now.Add(250 * time.Millisecond)
		rows := d.rows("a0", messenger.PhaseRunning, 100)
		for m := range rows {
			rows[m].Measurement = 20
			if n/4%2 == 1 {
				rows[m].Measurement = 50
			}
		}
		if n/4%2 == 1 {
			rows = append(rows, d.filler("heavy"))
		}
		d.table("a0", &messenger.WorkerSnapshot{Runs: rows, MeasurementUpdates: uint64(n + 1)})
	}
	return d, j
}

// filler has a filling run of an image at the agent and returns its row.
func (d *desk) filler(image string) messenger.RunStatus {
	for _, r := range d.o.runs {
		if r.task.StepSpec().Image == image {
			return messenger.RunStatus{Task: r.key.task, Attempt: r.key.attempt, Phase: messenger.PhaseRunning, ProgressPercent: 10, PacePercent: 100, Measurement: 2000}
		}
	}
	s := step(1, 2000)
	s.BestEffort, s.Image = true, image
	filling := d.submit(sequencer.Spec{Steps: []sequencer.Step{s}})
	return messenger.RunStatus{Task: filling.Task(0, 0, 0).Name(), Attempt: 1, Phase: messenger.PhaseRunning, ProgressPercent: 10, PacePercent: 100, Measurement: 2000}
}

func TestTheOwnerLearnsFromTablesAndTellsAgents(t *testing.T) {
	c := qt.New(t)
	d, j := crowded(c)
	press, spread := d.o.predictor.Interference("heavy", "serves")
	// The use of a quarter takes 30/s.
	c.Assert(press > 90 && press < 150 && spread < 30, qt.IsTrue, qt.Commentf("%g, %g", press, spread))
	rows := d.o.knownInterference(d.o.agents["a0"], "heavy")
	c.Assert(rows, qt.HasLen, 1)
	c.Assert(rows[0].ServingImage, qt.Equals, "serves")
	c.Assert(rows[0].Coefficient, qt.Equals, float32(press))
	c.Assert(d.o.knownInterference(d.o.agents["a0"], "unknown"), qt.HasLen, 0)
	d.o.forgetLoads(j)
	_, _, ok := d.o.predictor.SpareRate(j.Task(0, 0, 0).StepName(), "", d.now)
	c.Assert(ok, qt.IsFalse)
}

func TestFiguresAreLearnedFromOnce(t *testing.T) {
	c := qt.New(t)
	d, _ := crowded(c)
	_, before := d.o.predictor.Interference("heavy", "serves")
	rows := d.rows("a0", messenger.PhaseRunning, 100)
	for n := range rows {
		rows[n].Measurement = 50
	}
	for range 20 {
		d.table("a0", &messenger.WorkerSnapshot{Runs: rows, MeasurementUpdates: 40})
	}
	_, after := d.o.predictor.Interference("heavy", "serves")
	c.Assert(after, qt.Equals, before)
}
