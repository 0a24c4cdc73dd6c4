package orchestrator

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// cancel adds the cancellation of a job to the ledger.
func (h *harness) cancel(j *job) {
	h.o.handleInputs([]storer.Item{{Key: CancelKey(j.Spec.ID), Version: 1000}})
}

// cancelRunning submits a job, starts its task on the first agent and cancels it.
func (h *harness) cancelRunning() *job {
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	h.o.place()
	h.reportRunning("a0", 10)
	h.cancel(j)
	return j
}

func TestTheAgeOfTheOldestStopIsReported(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	j := h.cancelRunning()
	h.now = h.now.Add(2 * time.Second)
	h.o.tick(t.Context())
	c.Assert(h.gauges[meter.OldestStop], qt.Equals, 2.0)
	h.reportEnd("a0", 1, j.Task(0, 0, 0).Name(), j.Task(0, 0, 0).Attempt, messenger.EndStopped)
	h.now = h.now.Add(2 * time.Second)
	h.o.tick(t.Context())
	c.Assert(h.gauges[meter.OldestStop], qt.Equals, 0.0)
}

// stopCount returns the number of stop commands sent to an agent.
func (h *harness) stopCount(id string) int {
	n := 0
	for _, f := range h.sent[id] {
		if f.Kind == messenger.KindCommand && f.Command.Stop != nil {
			n++
		}
	}
	return n
}

// An agent may lose a stop command. The owner sent it once on each connection, and a
// long-running task of a canceled job ran on.
func TestAStopIsSentAgainWhileTheRunIsListed(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	h.cancelRunning()
	c.Assert(h.stopCount("a0"), qt.Equals, 1)
	h.now = h.now.Add(2 * time.Second)
	a := h.o.agents["a0"]
	earlier := *a.snapshot
	h.o.handleSnapshot(a, &earlier)
	c.Assert(h.stopCount("a0"), qt.Equals, 1, qt.Commentf("the agent has not seen the command"))
	h.reportRunning("a0", 10)
	c.Assert(h.stopCount("a0"), qt.Equals, 2)
	h.reportRunning("a0", 10)
	c.Assert(h.stopCount("a0"), qt.Equals, 2, qt.Commentf("the agent needs some time"))
	h.now = h.now.Add(2 * time.Second)
	h.reportPhase("a0", messenger.PhaseStopping)
	c.Assert(h.stopCount("a0"), qt.Equals, 2, qt.Commentf("the agent stops it"))
}

// A run that two agents list was logged and left to work at the second one, also after the
// cancel of its job.
func TestARunOfACanceledJobThatTwoAgentsListIsStoppedAtBoth(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 2)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	h.o.place()
	first, second := "a0", "a1"
	if len(h.commands("a1")) > 0 {
		first, second = "a1", "a0"
	}
	h.reportRunning(first, 10)
	statuses := h.runStatuses(first, messenger.PhaseRunning, 10)
	h.cancel(j)
	for range 2 { // two snapshots in a row
		h.sendSnapshot(second, &messenger.WorkerSnapshot{Runs: statuses})
	}
	c.Assert(h.stopCount(first), qt.Equals, 1)
	c.Assert(h.stopCount(second), qt.Equals, 1)
}

// The owner sent a stop with each snapshot, up to 200 a second.
func TestARunOfAnUnknownJobIsStoppedOnceASecond(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	stray := []messenger.RunStatus{{Task: "00000000000000ff.0.0.0", Attempt: 1, Phase: messenger.PhaseRunning}}
	for range 3 {
		h.sendSnapshot("a0", &messenger.WorkerSnapshot{Runs: stray})
	}
	c.Assert(h.stopCount("a0"), qt.Equals, 1)
	h.now = h.now.Add(2 * time.Second)
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{Runs: stray})
	c.Assert(h.stopCount("a0"), qt.Equals, 2)
	h.now = h.now.Add(2 * time.Second)
	stray[0].Phase = messenger.PhaseStopping
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{Runs: stray})
	c.Assert(h.stopCount("a0"), qt.Equals, 2)
}

// A connection may end between a snapshot and the commands that answer it. The owner used
// the snapshot that it had dropped then, which ended its process.
func TestAConnectionThatEndsUnderASnapshotIsNoFault(t *testing.T) {
	for name, status := range map[string]messenger.RunStatus{
		"stop":         {Phase: messenger.PhaseRunning},
		"spec unknown": {Phase: messenger.PhaseRunning, SpecUnknown: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 1)
			j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
			h.o.place()
			if name == "stop" {
				j.Canceled = true
			}
			status.Task, status.Attempt = j.Task(0, 0, 0).Name(), j.Task(0, 0, 0).Attempt
			h.sendErrors["a0"] = errors.New("connection has ended")
			h.sendSnapshot("a0", &messenger.WorkerSnapshot{Runs: []messenger.RunStatus{status}})
			c.Assert(h.commands("a0"), qt.DeepEquals, []string{"start " + status.Task})
			c.Assert(h.o.runsOf(h.o.agents["a0"]), qt.HasLen, 1)
		})
	}
}

// The age of a stop of a run that is not among those of its agent was not reported.
func TestTheAgeOfTheStopOfAStrayRunIsReported(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	stray := []messenger.RunStatus{{Task: "00000000000000ff.0.0.0", Attempt: 1, Phase: messenger.PhaseRunning}}
	for range 5 {
		h.sendSnapshot("a0", &messenger.WorkerSnapshot{Runs: stray})
		h.now = h.now.Add(maxStopAge)
		h.o.tick(t.Context())
	}
	c.Assert(h.gauges[meter.OldestStop], qt.Equals, (5 * maxStopAge).Seconds())
}

// Each kind of stop goes the same way, and was lost the same way.
func TestEveryKindOfStopIsSentAgain(t *testing.T) {
	listElsewhere := func(h *harness, j *job) {
		h.sendSnapshot("a1", &messenger.WorkerSnapshot{Runs: []messenger.RunStatus{{Task: j.Task(0, 0, 0).Name(), Attempt: 77, Phase: messenger.PhaseRunning}}})
	}
	for name, tt := range map[string]struct {
		speculative bool
		stop        func(h *harness, j *job)
		agent       string
	}{
		"eviction": {false, func(h *harness, j *job) {
			for _, r := range j.liveRuns {
				h.o.stopRun(r, "preempted")
			}
		}, "a0"},
		"move": {false, func(h *harness, j *job) {
			for _, r := range j.liveRuns {
				h.o.moveRun(r, "a1", "worker is draining")
			}
		}, "a0"},
		"run of a task that runs elsewhere": {false, listElsewhere, "a1"},
		"copy of a finished task": {true, func(h *harness, j *job) {
			first := j.Task(0, 0, 0).Attempt
			listElsewhere(h, j)
			h.reportEnd("a0", 1, j.Task(0, 0, 0).Name(), first, messenger.EndDone)
		}, "a1"},
		"run that a later owner adopts": {false, func(h *harness, j *job) {
			h.cancel(j)
			listElsewhere(h, j)
		}, "a1"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 1)
			step := step(1, 10)
			step.Speculative = tt.speculative
			j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step}})
			h.o.place()
			h.reportRunning("a0", 10)
			h.connectAgent("a1")
			tt.stop(h, j)
			c.Assert(h.stopCount(tt.agent), qt.Equals, 1)
			h.now = h.now.Add(2 * time.Second)
			h.reportRunning(tt.agent, 10)
			c.Assert(h.stopCount(tt.agent), qt.Equals, 2)
		})
	}
}
