package orchestrator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/sequencer"
)

// TestAJobTakesKeptCPUInTime guards against a long-running task that is kept for good from room that is there, as
// short tasks hold or wait for CPU all the while.
func TestAJobTakesKeptCPUInTime(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	h.submit(lastingSpec(4500))
	h.o.place()
	h.reportRunning("a0", 100)
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 8000)}, StretchFactor: 2, LatencyAllowance: time.Hour})
	waiting := h.submit(lastingSpec(3000))
	h.o.place()
	c.Assert(waiting.liveRuns, qt.HasLen, 0, qt.Commentf("it would leave too little of the worker to short tasks"))
	h.placeAfter(maxKeptWait - time.Millisecond)
	c.Assert(waiting.liveRuns, qt.HasLen, 0)
	h.placeAfter(time.Millisecond)
	c.Assert(waiting.liveRuns, qt.HasLen, 1)
}

// TestShortTasksThatFitNowhereAreNoDemand guards against CPU that is kept for a task that no worker has room for.
func TestShortTasksThatFitNowhereAreNoDemand(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 9000)}, StretchFactor: 2, LatencyAllowance: time.Hour})
	byPool, _ := h.o.candidates()
	never := func(*sequencer.Task) bool { return false }
	c.Check(h.o.waitingShortCPU(byPool, never, h.o.cfg.WallClock())["pool"], qt.Equals, int64(0))
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(2, 1000)}, StretchFactor: 2, LatencyAllowance: time.Hour})
	c.Check(h.o.waitingShortCPU(byPool, never, h.o.cfg.WallClock())["pool"], qt.Equals, int64(2000))
}
