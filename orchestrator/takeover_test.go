package orchestrator

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// An earlier owner and this one may both have started a task; one of the runs
// continues.
func TestOfTwoRunsOfATaskTheSecondIsStopped(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 2)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	h.o.place()
	name := j.Task(0, 0, 0).Name()
	first, second := "a0", "a1"
	if len(h.commands("a1")) > 0 {
		first, second = "a1", "a0"
	}
	h.reportRunning(first, 10)
	h.sendSnapshot(second, &messenger.WorkerSnapshot{Runs: []messenger.RunStatus{{Task: name, Attempt: 77, Phase: messenger.PhaseRunning}}})
	c.Assert(h.commands(second), qt.DeepEquals, []string{"stop " + name})
	c.Assert(h.commands(first), qt.DeepEquals, []string{"start " + name})
}

// Without its progress it is unknown which tasks of a job have ended, so none may
// run again.
func TestAJobWithUnreadableProgressIsNotStarted(t *testing.T) {
	for name, tt := range map[string]struct {
		progress []byte
		starts   int
	}{
		"readable":   {nil, 1},
		"unreadable": {[]byte("\xff"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 1)
			spec := sequencer.Spec{ID: "00000000000000aa", Pool: "pool", Queue: "queue", AcceptedAt: h.now, Steps: []sequencer.Step{step(1, 10)}}
			raw, err := spec.Encode()
			c.Assert(err, qt.IsNil)
			var progressItems []storer.Item
			if tt.progress != nil {
				progressItems = append(progressItems, storer.Item{Key: ProgressKey(spec.ID), Value: tt.progress, Version: 3})
			}
			h.o.takeOver([]storer.Item{{Key: JobKey(spec.ID), Value: raw, Version: 20}}, progressItems, nil)
			h.o.place()
			c.Assert(h.commands("a0"), qt.HasLen, tt.starts)
		})
	}
}

// Workers refuse an attempt number that is not above an earlier one, and the number
// tells two runs of a task apart in a snapshot.
func TestAttemptsAreAboveThoseOfEarlierOwners(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	h.o.cfg.Term = 3
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	h.o.place()
	c.Assert(j.Task(0, 0, 0).Attempt > 2*attemptsPerTerm, qt.IsTrue)
}

// A new owner waits for registered agents only, so the runs of an unregistered
// agent would be lost.
func TestNothingStartsAtAnUnregisteredAgent(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	h.o.agents["a0"].registration.Want(registrar.Close)
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	h.o.place()
	c.Assert(h.commands("a0"), qt.HasLen, 0)
	h.o.agents["a0"].registration.Want(registrar.None)
	h.o.place()
	c.Assert(h.commands("a0"), qt.HasLen, 1)
}

// A new owner waits for the lease of each registered agent. It must not wait for a
// worker that drained and has finished its last run.
func TestTheRegistrationOfADrainedAgentIsRemovedAtOnce(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 2)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	h.o.place()
	name := j.Task(0, 0, 0).Name()
	id := "a0"
	if len(h.commands("a1")) > 0 {
		id = "a1"
	}
	a := h.o.agents[id]
	h.sendSnapshot(id, &messenger.WorkerSnapshot{Draining: true, Runs: h.runStatuses(id, messenger.PhaseRunning, 10)})
	c.Assert(a.registration.Wanted(), qt.Not(qt.Equals), registrar.Remove, qt.Commentf("a task runs there"))
	c.Assert(a.registration.Wanted(), qt.Equals, registrar.Close, qt.Commentf("it accepts no more starts"))
	h.sendSnapshot(id, &messenger.WorkerSnapshot{Draining: true, RunEnds: []messenger.RunEnd{{Seq: 1, Task: name, Attempt: j.Task(0, 0, 0).Attempt, Status: messenger.EndDone}}})
	c.Assert(a.registration.Wanted(), qt.Not(qt.Equals), registrar.Remove, qt.Commentf("its end is not in the ledger"))
	j.durableRevision = j.revision
	h.sendSnapshot(id, &messenger.WorkerSnapshot{Draining: true})
	c.Assert(a.registration.Wanted(), qt.Equals, registrar.Remove)
	b := h.o.nextBatch()
	c.Assert(b.removedAgents, qt.HasLen, 1)
	c.Assert(b.closedAgents, qt.HasLen, 0)
	a.registration.Set(0, registrar.Registration{})
	h.sendSnapshot(id, &messenger.WorkerSnapshot{Draining: true})
	c.Assert(a.registration.Wanted(), qt.Not(qt.Equals), registrar.Open, qt.Commentf("the registration would be removed again"))
	h.sendSnapshot(id, &messenger.WorkerSnapshot{})
	c.Assert(a.registration.Wanted(), qt.Equals, registrar.Open, qt.Commentf("a new incarnation of its worker starts"))
}

// An owner that waited for a lost agent stopped runs on draining workers, although it
// could not start their tasks elsewhere before the wait was over.
func TestABlockedTaskIsNotEvacuated(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 2)
	h.o.cfg.Epoch = 100
	spec := sequencer.Spec{ID: "00000000000000aa", Pool: "pool", Queue: "queue", AcceptedAt: h.now, Steps: []sequencer.Step{{Count: 1, CPU: 10, Memory: 10, LongRunning: true}}}
	raw, err := spec.Encode()
	c.Assert(err, qt.IsNil)
	h.o.takeOver([]storer.Item{{Key: JobKey(spec.ID), Value: raw, Version: 20}}, nil,
		[]storer.Item{{Key: registrar.Key("lost"), Value: registrar.Registration{Open: true}.Encode(), Version: 30}})
	run := messenger.RunStatus{Task: "00000000000000aa.0.0.0", Attempt: 1, Phase: messenger.PhaseRunning, PacePercent: 100}
	h.sendSnapshot("a1", &messenger.WorkerSnapshot{})
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{Draining: true, DrainRemainingMs: 20000, Runs: []messenger.RunStatus{run}})
	allBlocked, _ := h.o.blockedTasks()
	c.Assert(allBlocked, qt.IsTrue)
	h.o.evacuate()
	c.Check(h.commands("a0"), qt.HasLen, 0)
	h.o.agents["lost"].hasUnknownRuns = false
	h.o.evacuate()
	c.Check(h.commands("a0"), qt.DeepEquals, []string{"stop " + run.Task})
}

// A run was stopped because another worker had room for it, and by the time that it had
// ended a younger task had been started there.
func TestTheRoomOfAnEvacuatedTaskIsNotGivenAway(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{{Count: 1, CPU: 8000, Memory: 10, LongRunning: true}}})
	h.o.place()
	name := j.Task(0, 0, 0).Name()
	c.Assert(h.commands("a0"), qt.DeepEquals, []string{"start " + name})
	h.reportRunning("a0", 10)
	h.connectAgent("a1")
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{Draining: true, DrainRemainingMs: 20000, Runs: h.runStatuses("a0", messenger.PhaseRunning, 10)})
	h.o.evacuate()
	c.Assert(h.commands("a0"), qt.HasLen, 2)
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 8000)}})
	h.o.place()
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{Draining: true, RunEnds: []messenger.RunEnd{{Seq: 1, Task: name, Attempt: j.Task(0, 0, 0).Attempt, Status: messenger.EndStopped}}})
	h.o.place()
	c.Assert(h.commands("a1"), qt.DeepEquals, []string{"start " + name})
}
