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
