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

// newDrainingHarness returns a harness with a long-running task on a worker that drains, and a second
// worker that is full until its short task ends.
func newDrainingHarness(c *qt.C) (h *harness, evacuated *job) {
	h = newHarness(c, 1)
	evacuated = h.submit(lastingSpec(6000))
	h.o.place()
	h.reportRunning("a0", 100)
	h.connectAgent("a1")
	h.drain("a0")
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 8000)}})
	h.o.place()
	return h, evacuated
}

// drain delivers a snapshot of an agent whose worker drains.
func (h *harness) drain(id string) {
	h.sendSnapshot(id, &messenger.WorkerSnapshot{Draining: true, DrainRemainingMs: 20000, Runs: h.runStatuses(id, messenger.PhaseRunning, 100)})
}

// Room went to tasks that were at work on draining workers before those that ran nowhere, which
// claimed none in their first 3 s.
func TestATaskWithoutARunGetsRoomBeforeOneOnADrainingWorker(t *testing.T) {
	t.Run("claims", func(t *testing.T) {
		c := qt.New(t)
		h, evacuated := newDrainingHarness(c)
		waiting := h.submit(lastingSpec(6000))
		h.reportRunning("a1", 10)
		h.now = h.now.Add(claimInterval)
		h.o.place()
		c.Check(h.o.claims[waiting.Task(0, 0, 0)], qt.Not(qt.IsNil))
		c.Check(h.o.claims[evacuated.Task(0, 0, 0)], qt.IsNil)
	})
	t.Run("room that is free", func(t *testing.T) {
		c := qt.New(t)
		h, _ := newDrainingHarness(c)
		h.endRun("a1", 1, h.oldestShortRun("a1"))
		h.submit(lastingSpec(6000))
		h.o.evacuate()
		c.Check(h.commands("a0"), qt.HasLen, 1, qt.Commentf("no stop"))
	})
	t.Run("room that is claimed", func(t *testing.T) {
		c := qt.New(t)
		h, evacuated := newDrainingHarness(c)
		h.now = h.now.Add(claimInterval)
		h.drain("a0")
		h.reportRunning("a1", 10)
		h.o.place()
		c.Assert(h.o.claims[evacuated.Task(0, 0, 0)], qt.Not(qt.IsNil))
		waiting := h.submit(lastingSpec(6000))
		waiting.Task(0, 0, 0).WaitingSince = h.now.Add(-minClaimWait)
		h.endRun("a1", 1, h.oldestShortRun("a1"))
		h.o.evacuate()
		c.Check(h.commands("a0"), qt.HasLen, 1, qt.Commentf("no stop"))
		h.o.place()
		c.Check(waiting.liveRuns, qt.HasLen, 1)
	})
	t.Run("what is left", func(t *testing.T) {
		c := qt.New(t)
		h, evacuated := newDrainingHarness(c)
		h.endRun("a1", 1, h.oldestShortRun("a1"))
		h.submit(lastingSpec(2000))
		h.o.evacuate()
		c.Check(h.commands("a0"), qt.HasLen, 2, qt.Commentf("both fit"))
		c.Check(h.o.claims[evacuated.Task(0, 0, 0)].moving, qt.IsTrue)
	})
}

// While a worker of another pool drained, tasks claimed room at once instead of after 3 s.
func TestAWorkerThatDrainsLetsNoTaskOfAnotherPoolClaimAtOnce(t *testing.T) {
	c := qt.New(t)
	h, evacuated := newDrainingHarness(c)
	h.o.agents["a0"].snapshot.Pool, evacuated.Placement.Pool = "other", "other"
	h.submit(lastingSpec(6000))
	h.reportRunning("a1", 10)
	h.now = h.now.Add(claimInterval)
	h.o.place()
	c.Assert(h.o.claims, qt.HasLen, 0)
}

// A worker with claims of two tasks kept both from its room until it had enough for both.
func TestTheTaskThatWaitsLongestStartsOnceThereIsRoomForIt(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(2, 4000)}})
	h.o.place()
	jobs := []*job{h.submit(lastingSpec(4000)), h.submit(lastingSpec(4000))}
	a := h.o.agents["a0"]
	for _, j := range jobs {
		task := j.Task(0, 0, 0)
		h.o.claims[task] = &claim{task: task, job: j, agent: a}
		h.now = h.now.Add(time.Millisecond)
		h.o.place()
	}
	h.endRun("a0", 1, h.oldestShortRun("a0"))
	h.o.place()
	c.Check(jobs[0].liveRuns, qt.HasLen, 1)
	c.Check(jobs[1].liveRuns, qt.HasLen, 0)
	c.Check(h.claimedAgents(), qt.DeepEquals, []string{"a0"})
}

// What comes free went to short tasks, which are ranked first, but for the few that had a claim.
func TestRoomThatComesFreeGoesToTheLongRunningTaskThatHasWaited(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	long := step(1, 8000)
	long.Estimate = time.Minute
	h.submit(sequencer.Spec{Steps: []sequencer.Step{long}})
	h.o.place()
	j := h.submit(lastingSpec(4000))
	h.o.place()
	h.now = h.now.Add(minClaimWait)
	h.reportAllRunning()
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(8, 1000)}, StretchFactor: 100, LatencyAllowance: time.Hour})
	h.o.place()
	c.Assert(h.o.claims, qt.HasLen, 0, qt.Commentf("its end is too far ahead"))
	h.endRun("a0", 1, h.oldestShortRun("a0"))
	h.o.place()
	c.Check(j.liveRuns, qt.HasLen, 1)
	c.Check(h.o.agents["a0"].runs, qt.HasLen, 5, qt.Commentf("short tasks get the rest"))
}
