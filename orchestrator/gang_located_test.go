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

// All members of a gang were seen at work after the claim, and one has ended since. The other is
// stopped, so that the gang starts again, whichever agent is absent.
func TestAnIncompleteGangOfLocatedTasksWaitsForNoAbsentAgent(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 2)
	h.o.cfg.Epoch = 100
	spec := sequencer.Spec{
		ID: "00000000000000aa", Pool: "pool", Queue: "queue", AcceptedAt: h.now,
		Steps: []sequencer.Step{{Count: 2, CPU: 10, Memory: 10, Gang: true, Checkpointable: true, Estimate: time.Minute}},
	}
	raw, err := spec.Encode()
	c.Assert(err, qt.IsNil)
	h.o.takeOver([]storer.Item{{Key: JobKey(spec.ID), Value: raw, Version: 20}}, nil,
		[]storer.Item{{Key: registrar.Key("lost"), Value: registrar.Registration{Open: true}.Encode(), Version: 30}})
	status := func(task string) *messenger.WorkerSnapshot {
		return &messenger.WorkerSnapshot{Runs: []messenger.RunStatus{{Task: task, Attempt: 1, Phase: messenger.PhaseRunning, PacePercent: 100}}, Current: true}
	}
	h.sendSnapshot("a0", status("00000000000000aa.0.0.0"))
	h.sendSnapshot("a1", status("00000000000000aa.0.0.1"))
	h.reportEnd("a0", 1, "00000000000000aa.0.0.0", 1, messenger.EndWorkerLost)
	h.now = h.now.Add(time.Second)
	h.o.stopIncompleteGangs()
	h.sendSnapshot("a1", status("00000000000000aa.0.0.1"))
	c.Assert(h.commands("a1"), qt.DeepEquals, []string{"stop 00000000000000aa.0.0.1"})
}
