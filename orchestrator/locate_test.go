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

// A task that was at work after the claim waits for no absent agent. A run that an agent
// lists may have ended before the claim, and an earlier owner have started the task again.
func TestOnlyARunAtWorkAfterTheClaimLocatesItsTask(t *testing.T) {
	for name, tt := range map[string]struct {
		phase       messenger.Phase
		current     bool
		speculative bool
		starts      int
	}{
		"at work":        {messenger.PhaseRunning, true, false, 1},
		"stopping":       {messenger.PhaseStopping, true, false, 1},
		"listed earlier": {messenger.PhaseRunning, false, false, 0},
		"may not begin":  {messenger.PhaseStarting, true, false, 0},
		"one of two":     {messenger.PhaseRunning, true, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 2)
			h.o.cfg.Epoch = 100
			spec := sequencer.Spec{
				ID: "00000000000000aa", Pool: "pool", Queue: "queue", AcceptedAt: h.now,
				Steps: []sequencer.Step{{Count: 2, CPU: 10, Memory: 10, LongRunning: true, Speculative: tt.speculative}},
			}
			raw, err := spec.Encode()
			c.Assert(err, qt.IsNil)
			h.o.takeOver([]storer.Item{{Key: JobKey(spec.ID), Value: raw, Version: 20}}, nil,
				[]storer.Item{{Key: registrar.Key("lost"), Value: registrar.Registration{Open: true}.Encode(), Version: 30}})
			status := messenger.RunStatus{Task: "00000000000000aa.0.0.0", Attempt: 1, Phase: tt.phase, PacePercent: 100}
			h.sendSnapshot("a0", &messenger.WorkerSnapshot{Current: tt.current, Runs: []messenger.RunStatus{status}})
			h.reportEnd("a0", 1, status.Task, 1, messenger.EndWorkerLost)
			h.now = h.now.Add(time.Second)
			h.sendSnapshot("a1", &messenger.WorkerSnapshot{})
			h.sendSnapshot("a0", &messenger.WorkerSnapshot{})
			h.o.place()
			started := append(h.commands("a0"), h.commands("a1")...)
			c.Assert(started, qt.HasLen, tt.starts)
			if tt.starts > 0 {
				c.Assert(started[0], qt.Equals, "start "+status.Task)
			}
		})
	}
}

// Tasks that had failed as often as they may were started again: the next owner saw their last run at work, so
// that they waited for no agent, and did not know of an earlier failure that an agent had yet to list.
func TestALocatedTaskWaitsForAgentsThatMayListItsLastFailure(t *testing.T) {
	const limit = 2
	for name, tt := range map[string]struct {
		failures sequencer.Failures
		status   messenger.EndStatus
		lasting  bool
		starts   int
	}{
		"failed before, and now":         {sequencer.AtMost(1), messenger.EndFailed, false, 0},
		"failed before, stopped now":     {sequencer.AtMost(1), messenger.EndStopped, false, 1},
		"failed now":                     {sequencer.AtMost(0), messenger.EndFailed, false, 1},
		"of an agent that started again": {0, messenger.EndStopped, false, 0},
		"long-running":                   {sequencer.AtMost(7), messenger.EndFailed, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 1)
			h.o.cfg.Epoch = 100
			spec := sequencer.Spec{
				ID: "00000000000000aa", Pool: "pool", Queue: "queue", AcceptedAt: h.now, MaxAttempts: limit,
				Steps: []sequencer.Step{{Count: 2, CPU: 10, Memory: 10, LongRunning: tt.lasting}},
			}
			raw, err := spec.Encode()
			c.Assert(err, qt.IsNil)
			h.o.takeOver([]storer.Item{{Key: JobKey(spec.ID), Value: raw, Version: 20}}, nil,
				[]storer.Item{{Key: registrar.Key("lost"), Value: registrar.Registration{Open: true}.Encode(), Version: 30}})
			status := messenger.RunStatus{Task: "00000000000000aa.0.0.0", Attempt: 2, Phase: messenger.PhaseRunning, PacePercent: 100, Failures: uint32(tt.failures)}
			h.sendSnapshot("a0", &messenger.WorkerSnapshot{Current: true, Runs: []messenger.RunStatus{status}})
			h.reportEnd("a0", 1, status.Task, 2, tt.status)
			h.now = h.now.Add(time.Second)
			h.sendSnapshot("a0", &messenger.WorkerSnapshot{})
			h.o.place()
			c.Assert(h.commands("a0"), qt.HasLen, tt.starts)
			// The other agent returns, and lists the first failure.
			h.connectAgent("lost")
			h.reportEnd("lost", 1, status.Task, 1, messenger.EndFailed)
			if j := h.o.jobs[spec.ID]; !tt.lasting {
				c.Assert(j.Failed, qt.Equals, tt.status == messenger.EndFailed)
			}
		})
	}
}

// A start tells how many runs may have failed before it, so that the next owner knows, too.
func TestAStartTellsHowManyRunsMayHaveFailed(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	failures := func() sequencer.Failures {
		h.now = h.now.Add(time.Second)
		h.sendSnapshot("a0", &messenger.WorkerSnapshot{})
		h.o.place()
		frames := h.sent["a0"]
		return sequencer.Failures(frames[len(frames)-1].Command.Start.Failures)
	}
	c.Assert(failures(), qt.Equals, sequencer.AtMost(0))
	h.reportEnd("a0", 1, j.Task(0, 0, 0).Name(), 1, messenger.EndFailed)
	c.Assert(failures(), qt.Equals, sequencer.AtMost(1))
}
