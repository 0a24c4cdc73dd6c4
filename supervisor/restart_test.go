package supervisor_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
)

// TestEndsOfAWorkerThatStartedAgainUnderItsIDAreReported guards against the numbers of an
// earlier incarnation's ends being applied to those of the next one.
func TestEndsOfAWorkerThatStartedAgainUnderItsIDAreReported(t *testing.T) {
	for name, clock := range map[string]time.Time{"a later clock": time.UnixMilli(7_000_000), "an earlier clock": time.UnixMilli(900)} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, h *harness) {
				h.send(startCommand("j.0.0.0", 1))
				h.send(startCommand("j.0.0.1", 1))
				advancer.Sleep(2 * time.Second)
				c.Assert(h.ends(), qt.DeepEquals, []string{"j.0.0.0#1 done", "j.0.0.1#1 done"})
				h.set(func() { h.ackedEnd = 2 })
				advancer.Sleep(2 * time.Second)
				c.Assert(h.count("forgotten"), qt.Equals, 2)
				h.worker.Crash()
				advancer.Sleep(700 * time.Millisecond)
				h.worker.Restart("life-1", clock)
				h.sup.HandleHeartbeat(context.Background(), h.worker.Heartbeat(1))
				advancer.Sleep(2 * time.Second)
				h.send(startCommand("j.0.0.2", 1))
				advancer.Sleep(3 * time.Second)
				c.Assert(h.count("start"), qt.Equals, 3)
				c.Assert(h.ends(), qt.DeepEquals, []string{"j.0.0.2#1 done"})
			})
		})
	}
}
