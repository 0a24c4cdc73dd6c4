package orchestrator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// Tasks ran twice after an agent had restarted beside more ends than its worker lists at
// once: the owner took the runs behind them for runs that had never started.
func TestRunsMissingFromAnIncompleteSnapshotAreNotStartedAgain(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(3, 10)}})
	h.o.place()
	h.reportRunning("a0", 10)
	a := h.o.agents["a0"]
	a.incarnation, a.lastEnd = "b2", 0
	first := messenger.RunEnd{Seq: 1, Task: j.Task(0, 0, 0).Name(), Attempt: 1, Status: messenger.EndDone}
	h.sendIncomplete("a0", &messenger.WorkerSnapshot{RunEnds: []messenger.RunEnd{first}})
	h.sendIncomplete("a0", &messenger.WorkerSnapshot{})
	h.commitBatch(50) // the registration of the new process
	c.Assert(j.liveRuns, qt.HasLen, 2)
	h.now = h.now.Add(time.Second)
	h.o.place()
	c.Assert(h.commands("a0"), qt.HasLen, 3)

	second := messenger.RunEnd{Seq: 2, Task: j.Task(0, 0, 1).Name(), Attempt: 1, Status: messenger.EndDone}
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{RunEnds: []messenger.RunEnd{second}})
	c.Assert(j.liveRuns, qt.HasLen, 0)
	h.now = h.now.Add(time.Second)
	h.o.place()
	c.Assert(h.commands("a0")[3:], qt.DeepEquals, []string{"start " + j.Task(0, 0, 2).Name()}, qt.Commentf("it never ran"))
}

// A new owner started the tasks of an earlier one again whose ends an agent had not listed
// yet.
func TestOldJobsWaitForACompleteSnapshot(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	h.o.cfg.Epoch = 100
	spec := sequencer.Spec{ID: "00000000000000aa", Pool: "pool", Queue: "queue", AcceptedAt: h.now, Steps: []sequencer.Step{step(1, 10)}}
	raw, err := spec.Encode()
	c.Assert(err, qt.IsNil)
	h.connectAgent("a1")
	h.o.agents["a1"].reconciled, h.o.agents["a1"].snapshot = false, nil
	h.o.takeOver([]storer.Item{{Key: JobKey(spec.ID), Value: raw, Version: 20}}, nil,
		[]storer.Item{{Key: registrar.Key("a1"), Value: registrar.Registration{Open: true}.Encode(), Version: 30}})
	h.sendIncomplete("a1", &messenger.WorkerSnapshot{})
	h.o.place()
	c.Assert(append(h.commands("a0"), h.commands("a1")...), qt.HasLen, 0)
	h.sendSnapshot("a1", &messenger.WorkerSnapshot{})
	h.o.place()
	c.Assert(append(h.commands("a0"), h.commands("a1")...), qt.HasLen, 1)
}

// An agent that drains and leaves before it has listed all ends may have run any task.
func TestAnAgentThatLeavesBeforeACompleteSnapshotKeepsItsLease(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 2)
	a := h.o.agents["a0"]
	a.leaseExpiresAt = h.now.Add(5 * time.Second)
	h.sendIncomplete("a0", &messenger.WorkerSnapshot{Draining: true})
	c.Assert(a.registration.Wanted(), qt.Not(qt.Equals), registrar.Remove)
	lease := a.leaseExpiresAt
	h.o.Disconnect(a.link)
	(<-h.o.actions)()
	c.Assert(a.leaseExpiresAt, qt.Equals, lease)
}

// After an outage of the store a worker listed the first of its many ends only. The runs behind
// them had ended, and were stopped for want of progress; the worker counted as failing.
func TestARunWhoseEndMayBeUnlistedIsNotStuck(t *testing.T) {
	for name, tt := range map[string]struct {
		unlisted bool
		failures int
	}{
		"all ends are listed":  {false, 1},
		"ends may be unlisted": {true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 1)
			h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
			h.o.place()
			for range 10 {
				snapshot := &messenger.WorkerSnapshot{Runs: h.runStatuses("a0", messenger.PhaseRunning, 10), EndsUnlisted: tt.unlisted}
				h.sendSnapshot("a0", snapshot)
				h.now = h.now.Add(relocationInterval)
				h.o.relocateSlowedRuns(h.now)
				h.now = h.now.Add(relocationInterval)
			}
			c.Assert(h.stopCount("a0") > 0, qt.Equals, tt.failures > 0)
			c.Assert(h.o.agents["a0"].health.consecutiveFailures, qt.Equals, tt.failures)
		})
	}
}

// Long-running tasks that were at work were all stopped as stuck, as their agents had not been heard for 3.5 s.
func TestRunsOfAnAgentThatIsNotHeardAreNotStuck(t *testing.T) {
	for name, silent := range map[string]func(h *harness){
		"cut off": func(*harness) {},
		"without its worker": func(h *harness) {
			h.sendSnapshot("a0", &messenger.WorkerSnapshot{Runs: h.runStatuses("a0", messenger.PhaseRunning, 50), Unreachable: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 1)
			h.submit(lastingSpec(1000))
			h.o.place()
			h.reportRunning("a0", 50)
			for range 14 {
				h.now = h.now.Add(250 * time.Millisecond)
				silent(h)
				h.o.relocateSlowedRuns(h.now)
			}
			h.reportRunning("a0", 50) // held back by the cut
			h.now = h.now.Add(relocationInterval)
			h.o.relocateSlowedRuns(h.now)
			c.Check(h.stopCount("a0"), qt.Equals, 0)
			for range 20 {
				h.now = h.now.Add(relocationInterval)
				h.reportRunning("a0", 50)
				h.o.relocateSlowedRuns(h.now)
			}
			c.Check(h.stopCount("a0") > 0, qt.IsTrue, qt.Commentf("it is stuck, as its agent shows"))
		})
	}
}
