package orchestrator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// reportCrash delivers the ends of all runs of an agent, whose worker has crashed.
func (h *harness) reportCrash(id string) {
	a := h.o.agents[id]
	var ends []messenger.RunEnd
	for _, r := range h.o.runsOf(a) {
		ends = append(ends, messenger.RunEnd{
			Seq: a.lastEnd + uint64(len(ends)) + 1, Task: r.key.task, Attempt: r.key.attempt, Status: messenger.EndWorkerLost,
			Crash: &messenger.Crash{Worker: "life-" + id, StartedAt: r.startedAt, AliveAt: h.now, LostAt: h.now, Confirmed: !h.unconfirmed},
		})
	}
	h.sendSnapshot(id, &messenger.WorkerSnapshot{RunEnds: ends})
}

// agentOf returns the ID of the agent that runs a task, or an empty string.
func (h *harness) agentOf(t *sequencer.Task) string {
	for _, r := range h.o.runs {
		if r.task == t {
			return r.agent.id
		}
	}
	return ""
}

// pass advances the clock, with snapshots of all agents and rounds of placement.
func (h *harness) pass(d time.Duration) {
	const interval = 50 * time.Millisecond
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(min(interval, end.Sub(h.now)))
		for id := range h.o.agents {
			h.reportRunning(id, 1)
		}
		h.o.place()
	}
}

func TestATaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 6)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	task := j.Task(0, 0, 0)
	crashes := 0
	for range 10 {
		h.o.place()
		h.pass(10 * time.Millisecond)
		id := h.agentOf(task)
		if id == "" {
			break
		}
		crashes++
		h.reportCrash(id)
	}
	c.Assert(j.Failed, qt.IsTrue)
	c.Assert(crashes <= 3, qt.IsTrue, qt.Commentf("%d workers crashed", crashes))
}

// crashAfter starts the waiting tasks, lets them work for a time and crashes the worker
// that runs a task. It returns the ID of its agent, or an empty string if it does not run.
func (h *harness) crashAfter(t *sequencer.Task, worked time.Duration) string {
	h.o.place()
	h.pass(worked)
	id := h.agentOf(t)
	if id != "" {
		h.reportCrash(id)
	}
	return id
}

func TestALongRunningTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 4)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{{Count: 3, CPU: 100, Memory: 10, LongRunning: true}}})
	for n := 0; n < 10 && !j.Failed; n++ {
		h.crashAfter(j.Task(0, 0, 1), 10*time.Millisecond)
		h.pass(time.Second)
	}
	c.Assert(j.Failed, qt.IsTrue)
}

func TestAGangThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 4)
	gang := step(2, 10)
	gang.Gang = true
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{gang}})
	for n := 0; n < 10 && !j.Failed; n++ {
		id := h.crashAfter(j.Task(0, 0, 1), 10*time.Millisecond)
		for _, other := range h.o.runsOf(h.o.agents[id]) {
			h.o.endRun(other, messenger.RunEnd{Status: messenger.EndGangMemberLost})
		}
		for _, r := range j.liveRuns {
			h.o.endRun(r, messenger.RunEnd{Task: r.key.task, Attempt: r.key.attempt, Status: messenger.EndGangMemberLost})
		}
	}
	c.Assert(j.Failed, qt.IsTrue)
}

// TestATaskBesideCrashesIsNotGivenUp crashes the worker of a task again and again, after
// it has worked for longer than a task that is the cause.
func TestATaskBesideCrashesIsNotGivenUp(t *testing.T) {
	for name, spec := range map[string]sequencer.Step{
		"short":        step(1, 10),
		"long-running": {Count: 1, CPU: 10, Memory: 10, LongRunning: true},
		"with checkpoints": {
			Count: 1, CPU: 10, Memory: 10, Estimate: time.Minute, Checkpointable: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 4)
			j := h.submit(sequencer.Spec{Steps: []sequencer.Step{spec}})
			crashes := maxCrashes - 1
			if name != "short" { // they show progress between the crashes
				crashes = 3 * maxCrashes
			}
			for n := range crashes {
				h.o.place()
				id := h.agentOf(j.Task(0, 0, 0))
				h.now = h.now.Add(1500 * time.Millisecond)
				h.sendSnapshot(id, &messenger.WorkerSnapshot{Runs: []messenger.RunStatus{{
					Task: j.Task(0, 0, 0).Name(), Attempt: j.Task(0, 0, 0).Attempt, Phase: messenger.PhaseRunning, ProgressPercent: 100, PacePercent: 100, Checkpoint: map[bool]string{true: "saved" + string(rune('a'+n))}[spec.Checkpointable],
				}}})
				h.reportCrash(id)
				h.pass(10 * time.Millisecond)
			}
			c.Assert(j.Failed, qt.IsFalse)
		})
	}
}

// TestOtherTasksOfACrashedWorkerAreNotGivenUp has twenty tasks that are lost with one that
// crashes its workers, and start again at the same moment as it.
func TestOtherTasksOfACrashedWorkerAreNotGivenUp(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 4)
	bad := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	var others []*job
	for range 20 {
		others = append(others, h.submit(sequencer.Spec{Steps: []sequencer.Step{{Count: 1, CPU: 100, Memory: 10, Estimate: time.Minute}}}))
	}
	for n := 0; n < 20 && !bad.Failed; n++ {
		if h.crashAfter(bad.Task(0, 0, 0), 10*time.Millisecond) == "" {
			h.pass(300 * time.Millisecond)
		}
	}
	c.Assert(bad.Failed, qt.IsTrue)
	for _, j := range others {
		c.Check(j.Failed, qt.IsFalse, qt.Commentf("%s", j.Spec.ID))
	}
	h.pass(time.Second)
	for _, j := range others {
		c.Check(h.agentOf(j.Task(0, 0, 0)), qt.Not(qt.Equals), "", qt.Commentf("%s does not run", j.Spec.ID))
	}
}

func TestNothingStartsBesideALikelySuspect(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 2)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	first := h.crashAfter(j.Task(0, 0, 0), 10*time.Millisecond)
	h.o.place()
	second := h.agentOf(j.Task(0, 0, 0))
	c.Assert(second, qt.Not(qt.Equals), first, qt.Commentf("another instance tells the task from the instance"))
	other := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(8, 10)}})
	h.o.place()
	c.Assert(h.commands(second), qt.HasLen, 1)
	c.Assert(h.commands(first), qt.HasLen, 1+8)
	c.Assert(other.liveRuns, qt.HasLen, 8)
	h.pass(2 * time.Second)
	byPool, _ := h.o.candidates()
	for _, candidate := range byPool["pool"] {
		c.Check(candidate.OnTrial, qt.IsFalse, qt.Commentf("the suspect has worked for long enough"))
	}
}

// TestACrashCountsOnce reports one crash again: by another process of the agent, and to
// another owner.
func TestACrashCountsOnce(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 3)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	id := h.crashAfter(j.Task(0, 0, 0), 10*time.Millisecond)
	task := j.Task(0, 0, 0)
	odds := task.CrashOdds
	crash := messenger.RunEnd{
		Seq: 1, Task: task.Name(), Attempt: 1, Status: messenger.EndWorkerLost,
		Crash: &messenger.Crash{Worker: "life-" + id, StartedAt: h.now.Add(-10 * time.Millisecond), AliveAt: h.now, LostAt: h.now},
	}
	h.o.agents[id].incarnation, h.o.agents[id].lastEnd = "c", 0
	h.sendSnapshot(id, &messenger.WorkerSnapshot{RunEnds: []messenger.RunEnd{crash}})
	c.Check(task.Crashes, qt.HasLen, 1)
	c.Check(task.CrashOdds, qt.Equals, odds)

	next := h.takeOver(j)
	task = next.o.jobs[j.Spec.ID].Task(0, 0, 0)
	c.Check(task.CrashOdds, qt.Equals, odds)
	next.sendSnapshot(id, &messenger.WorkerSnapshot{RunEnds: []messenger.RunEnd{crash}})
	c.Check(task.Crashes, qt.HasLen, 1)
	c.Check(task.CrashOdds, qt.Equals, odds)
}

// takeOver returns the harness of a new owner that has read the progress of a job.
func (h *harness) takeOver(j *job) *harness {
	spec, err := j.Spec.Encode()
	h.c.Assert(err, qt.IsNil)
	progress, err := j.Progress().Encode()
	h.c.Assert(err, qt.IsNil)
	next := newHarness(h.c, len(h.o.agents))
	next.now = h.now
	next.o.takeOver([]storer.Item{{Key: JobKey(j.Spec.ID), Value: spec, Version: j.Version}}, []storer.Item{{Key: ProgressKey(j.Spec.ID), Value: progress, Version: 30}}, nil)
	return next
}

func TestANewOwnerKnowsOfEarlierCrashes(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 6)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	crashes := 0
	for ; !j.Failed && crashes < 10; crashes++ {
		c.Assert(h.crashAfter(j.Task(0, 0, 0), 10*time.Millisecond), qt.Not(qt.Equals), "")
		if !j.Failed {
			h = h.takeOver(j)
			j = h.o.jobs[j.Spec.ID]
		}
	}
	c.Assert(crashes <= 3, qt.IsTrue, qt.Commentf("%d crashes", crashes))
}

// The agent must keep the end until another owner would know of the crash.
func TestACrashIsAcknowledgedOnlyWhenItIsDurable(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 2)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	id := h.crashAfter(j.Task(0, 0, 0), 10*time.Millisecond)
	c.Assert(h.o.agents[id].durableEnd, qt.Equals, uint64(0))
	h.o.handleCommit(h.o.nextBatch(), 40, nil)
	c.Assert(h.o.agents[id].durableEnd, qt.Equals, uint64(1))
}

// TestCrashesBeforeAConfirmationAreWeakEvidence has starts that no worker has confirmed: they
// may not have reached it.
func TestCrashesBeforeAConfirmationAreWeakEvidence(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 6)
	h.unconfirmed = true
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	crashes := 0
	for ; !j.Failed && crashes < 10; crashes++ {
		c.Assert(h.crashAfter(j.Task(0, 0, 0), 10*time.Millisecond), qt.Not(qt.Equals), "")
	}
	c.Assert(crashes > 2 && crashes <= 5, qt.IsTrue, qt.Commentf("%d crashes", crashes))
}

// TestATaskThatOnlyOneInstanceTakesIsGivenUp has other instances that are full. The task
// crashed the one that was left again and again.
func TestATaskThatOnlyOneInstanceTakesIsGivenUp(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 3)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	crashes := 0
	for ; !j.Failed && crashes < 10; crashes++ {
		h.o.agents["a1"].snapshot.Memory, h.o.agents["a2"].snapshot.Memory = 0, 0
		h.o.place()
		id := h.agentOf(j.Task(0, 0, 0))
		c.Assert(id, qt.Equals, "a0")
		h.now = h.now.Add(10 * time.Millisecond)
		h.reportCrash(id)
	}
	c.Assert(crashes, qt.Equals, 3)
}
