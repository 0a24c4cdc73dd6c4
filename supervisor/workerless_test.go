package supervisor_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
)

// An agent that has started again without its worker tells since when nobody can have renewed a lease there. Once it
// knows a worker, its list tells what runs.
func TestAnAgentTellsForHowLongItHasKnownNoWorker(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		c.Assert(h.latestSnapshot().WorkerlessMs, qt.Equals, int64(0))
		h.stop()
		<-h.done
		h.worker.Crash()
		started := time.Now()
		h.startAgent("b2")
		advancer.Sleep(2 * time.Second)
		told := h.latestSnapshot().WorkerlessMs
		c.Assert(told > 1000 && told <= time.Since(started).Milliseconds(), qt.IsTrue, qt.Commentf("%d ms", told))
		c.Assert(h.latestSnapshot().Reconciled, qt.IsFalse)
		h.worker.Restart("life-2", time.UnixMilli(9_000_000))
		h.sup.HandleHeartbeat(context.Background(), h.worker.Heartbeat(1))
		advancer.Sleep(time.Second)
		c.Assert(h.latestSnapshot().WorkerlessMs, qt.Equals, int64(0))
		c.Assert(h.latestSnapshot().Reconciled, qt.IsTrue)
	})
}
