package orchestrator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

// The room of a run that was stopped to move was kept until the run had ended. Then a short
// task, which is ranked first, took it, and the moved one waited for 20 s.
func TestTheRoomOfAnEvacuatedTaskIsNotGivenToAnUrgentOne(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{{Count: 1, CPU: 8000, Memory: 10, LongRunning: true}}})
	h.o.place()
	name := j.Task(0, 0, 0).Name()
	h.reportRunning("a0", 10)
	h.connectAgent("a1")
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{Draining: true, DrainRemainingMs: 20000, Runs: h.runStatuses("a0", messenger.PhaseRunning, 10)})
	h.o.evacuate()
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 8000)}, StretchFactor: 2, LatencyAllowance: time.Minute})
	h.o.place()
	c.Assert(h.commands("a1"), qt.HasLen, 0)
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{Draining: true, RunEnds: []messenger.RunEnd{{Seq: 1, Task: name, Attempt: j.Task(0, 0, 0).Attempt, Status: messenger.EndStopped}}})
	h.o.place()
	c.Assert(h.commands("a1"), qt.DeepEquals, []string{"start " + name})
}
