package orchestrator

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

// Guards against reporting no pending job before any worker has started a task.
// After a takeover the starts of all waiting jobs are sent at the same moment.
func TestAJobIsPendingUntilATaskOfItIsKnownToRun(t *testing.T) {
	task := "0000000000000001.0.0.0"
	for name, tt := range map[string]struct {
		then    func(h *harness)
		pending int
	}{
		"start sent": {func(*harness) {}, 1},
		"starting":   {func(h *harness) { h.reportPhase("a0", messenger.PhaseStarting) }, 1},
		"refused":    {func(h *harness) { h.reportEnd("a0", 1, task, 1, messenger.EndNotStarted) }, 1},
		"running":    {func(h *harness) { h.reportPhase("a0", messenger.PhaseRunning) }, 0},
		"failed":     {func(h *harness) { h.reportEnd("a0", 1, task, 1, messenger.EndFailed) }, 0},
		"done":       {func(h *harness) { h.reportEnd("a0", 1, task, 1, messenger.EndDone) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 1)
			h.submit(sequencer.Spec{Steps: []sequencer.Step{step(2, 100)}})
			h.o.place()
			c.Assert(h.commands("a0"), qt.HasLen, 2)
			tt.then(h)
			reply := h.o.reply(messenger.StateQuery{Queue: "queue"})
			c.Assert(reply.Pending, qt.Equals, tt.pending)
		})
	}
}
