package orchestrator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/sequencer"
)

// newInterferenceHarness returns a harness with a serving task on one agent, which
// reports its tail latency for some seconds with and without a best-effort image of
// strong interference beside it.
func newInterferenceHarness(c *qt.C) (*harness, *job) {
	h := newHarness(c, 1)
	s := step(1, 1000)
	s.LongRunning, s.Image, s.LatencyTargetMs = true, "serves", 100
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{s}})
	h.o.place()
	for n := range 40 {
		h.now = h.now.Add(250 * time.Millisecond)
		statuses := h.runStatuses("a0", messenger.PhaseRunning, 100)
		for m := range statuses {
			statuses[m].Measurement = 20
			if n/4%2 == 1 {
				statuses[m].Measurement = 50
			}
		}
		if n/4%2 == 1 {
			statuses = append(statuses, h.bestEffortRun("heavy"))
		}
		h.sendSnapshot("a0", &messenger.WorkerSnapshot{Runs: statuses, MeasurementUpdates: uint64(n + 1)})
	}
	return h, j
}

// bestEffortRun returns the status of a best-effort run of an image, after
// submitting its job if there is none.
func (h *harness) bestEffortRun(image string) messenger.RunStatus {
	for _, r := range h.o.runs {
		if r.task.StepSpec().Image == image {
			return messenger.RunStatus{Task: r.key.task, Attempt: r.key.attempt, Phase: messenger.PhaseRunning, ProgressPercent: 10, PacePercent: 100, Measurement: 2000}
		}
	}
	s := step(1, 2000)
	s.BestEffort, s.Image = true, image
	job := h.submit(sequencer.Spec{Steps: []sequencer.Step{s}})
	return messenger.RunStatus{Task: job.Task(0, 0, 0).Name(), Attempt: 1, Phase: messenger.PhaseRunning, ProgressPercent: 10, PacePercent: 100, Measurement: 2000}
}

func TestInterferenceIsLearnedFromSnapshots(t *testing.T) {
	c := qt.New(t)
	h, j := newInterferenceHarness(c)
	coefficient, stdErr := h.o.predictor.Interference("heavy", "serves")
	// A quarter of the worker takes 30/s.
	c.Assert(coefficient > 90 && coefficient < 150 && stdErr < 30, qt.IsTrue, qt.Commentf("%g, %g", coefficient, stdErr))
	known := h.o.knownInterference(h.o.agents["a0"], "heavy")
	c.Assert(known, qt.HasLen, 1)
	c.Assert(known[0].ServingImage, qt.Equals, "serves")
	c.Assert(known[0].Coefficient, qt.Equals, float32(coefficient))
	c.Assert(h.o.knownInterference(h.o.agents["a0"], "unknown"), qt.HasLen, 0)
	h.o.forgetLoads(j)
	_, _, ok := h.o.predictor.SpareRate(j.Task(0, 0, 0).StepName(), "", h.now)
	c.Assert(ok, qt.IsFalse)
}

func TestAMeasurementIsLearnedOnce(t *testing.T) {
	c := qt.New(t)
	h, _ := newInterferenceHarness(c)
	_, before := h.o.predictor.Interference("heavy", "serves")
	statuses := h.runStatuses("a0", messenger.PhaseRunning, 100)
	for n := range statuses {
		statuses[n].Measurement = 50
	}
	for range 20 {
		h.sendSnapshot("a0", &messenger.WorkerSnapshot{Runs: statuses, MeasurementUpdates: 40})
	}
	_, after := h.o.predictor.Interference("heavy", "serves")
	c.Assert(after, qt.Equals, before)
}

// Best-effort tasks waited for the headroom of serving tasks, and the log line showed nothing but
// workers on which they fit.
func TestAWaitForHeadroomIsLogged(t *testing.T) {
	c := qt.New(t)
	h, _ := newInterferenceHarness(c)
	core, logs := observer.New(zap.InfoLevel)
	h.o.cfg.Log = zap.New(core)
	gauges := map[meter.Gauge]float64{}
	h.o.cfg.Gauge = func(g meter.Gauge, value float64) { gauges[g] = value }
	s := step(1, 4000)
	s.BestEffort, s.Image = true, "heavy"
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{s}})
	h.o.place()
	h.now = h.now.Add(minLoggedWait)
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{Runs: h.runStatuses("a0", messenger.PhaseRunning, 100), MeasurementUpdates: 40})
	h.o.place()
	c.Assert(j.Task(0, 0, 0).LiveRuns, qt.Equals, 0)
	lines := logs.FilterMessage("task waits").All()
	c.Assert(lines, qt.HasLen, 1)
	c.Check(lines[0].ContextMap()["lack_headroom"], qt.Equals, int64(1))
	c.Check(gauges[meter.HeadroomShortage], qt.Equals, 1.0)
}
