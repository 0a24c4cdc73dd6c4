package orchestrator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
)

// tickFor advances the clock in ticks while the given agents send snapshots.
func (h *harness) tickFor(elapsed time.Duration, snapshots map[string]*messenger.WorkerSnapshot) {
	for end := h.now.Add(elapsed); h.now.Before(end); {
		h.now = h.now.Add(10 * tickInterval)
		for id, snapshot := range snapshots {
			h.o.handleSnapshot(h.o.agents[id], snapshot)
		}
		h.o.tick(context.Background())
		h.commitBatch(50)
	}
}

// An owner whose agents are replaced one after another released its ownership.
func TestDrainedAgentsThatLeftAreNotCountedAsUnreachable(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 6)
	for _, id := range []string{"a0", "a1", "a2", "a3"} {
		h.sendSnapshot(id, &messenger.WorkerSnapshot{Draining: true})
		h.commitBatch(50)
		h.o.Disconnect(h.o.agents[id].link)
		(<-h.o.actions)()
	}
	h.sendSnapshot("a4", &messenger.WorkerSnapshot{})
	h.tickFor(10*time.Second, map[string]*messenger.WorkerSnapshot{"a4": h.o.agents["a4"].snapshot, "a5": h.o.agents["a5"].snapshot})
	c.Assert(h.o.stopReason, qt.IsNil)
	c.Assert(h.o.agents, qt.HasLen, 2)
}
