package supervisor_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/messenger"
)

func TestAnEndIsListedUntilItIsDurable(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.send(startCommand("j.0.0.0", 1))
		c.Assert(h.latestSnapshot().Runs, qt.HasLen, 1)
		c.Assert(h.latestSnapshot().Runs[0].Phase, qt.Equals, messenger.PhaseRunning)
		advancer.Sleep(3 * time.Second)
		c.Assert(h.ends(), qt.DeepEquals, []string{"j.0.0.0#1 done"})
		c.Assert(h.count("forgotten"), qt.Equals, 0, qt.Commentf("the owner has not stored the end"))
		last := h.latestSnapshot().RunEnds[0].Seq
		h.set(func() { h.ackedEnd = last })
		advancer.Sleep(2 * time.Second)
		c.Assert(h.count("forgotten"), qt.Equals, 1)
		c.Assert(h.ends(), qt.HasLen, 0)
	})
}

func TestCommandsOfAnEarlierOwnerAreRefused(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() { h.term = 3 })
		h.send(startCommand("j.0.0.0", 1))
		old := startCommand("j.0.0.1", 1)
		old.Term = 2
		h.send(old)
		c.Assert(h.count("start"), qt.Equals, 1)
	})
}

func TestStartsNeverExceedTheWorkersCapacity(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		for n := range 3 {
			h.send(startCommand(fmt.Sprint("j.0.0.", n), 1))
		}
		c.Assert(h.count("start"), qt.Equals, 2)
		c.Assert(h.ends(), qt.DeepEquals, []string{"j.0.0.2#1 never"})
	})
}

func TestADrainingWorkerGetsNoStarts(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.send(startCommand("j.0.0.0", 1))
		heartbeat := h.worker.Heartbeat(2)
		heartbeat.Draining = true
		h.sup.HandleHeartbeat(context.Background(), heartbeat)
		h.send(startCommand("j.0.0.1", 1))
		c.Assert(h.count("start"), qt.Equals, 1)
		c.Assert(h.ends(), qt.DeepEquals, []string{"j.0.0.1#1 never"})
		c.Assert(h.latestSnapshot().Draining, qt.IsTrue)
		h.sup.HandleHeartbeat(context.Background(), h.worker.Heartbeat(3))
		h.send(startCommand("j.0.0.2", 1))
		c.Assert(h.count("start"), qt.Equals, 1, qt.Commentf("draining is not revoked within an incarnation"))
	})
}

func TestRunsEndWhenASilentOwnersLeaseExpires(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() { h.plan = faker.PoolRunPlan{} })
		h.send(startCommand("j.0.0.0", 1))
		h.set(func() { h.acking = false })
		advancer.Sleep(leaseDuration - 500*time.Millisecond)
		c.Assert(h.worker.Running(), qt.HasLen, 1)
		advancer.Sleep(time.Second)
		c.Assert(h.worker.Running(), qt.HasLen, 0)
		h.send(startCommand("j.0.0.1", 1))
		c.Assert(h.count("start"), qt.Equals, 1, qt.Commentf("there is no lease for a start"))
	})
}

func TestAHigherFenceSettlesAStartOfUnknownOutcome(t *testing.T) {
	for name, dropped := range map[string]bool{"carried out late": false, "never": true} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, h *harness) {
				h.set(func() {
					h.fault = func(call string) faker.PoolFault {
						return faker.PoolFault{LoseReply: call == "start", Drop: dropped, ApplyDelay: 3 * time.Second}
					}
				})
				h.send(startCommand("j.0.0.0", 1))
				advancer.Sleep(1500 * time.Millisecond)
				c.Assert(h.ends(), qt.DeepEquals, []string{"j.0.0.0#1 never"})
				advancer.Sleep(5 * time.Second)
				c.Assert(h.count("start"), qt.Equals, 0, qt.Commentf("the run was reported as not started"))
			})
		})
	}
}

func TestRunsOfAnEarlierIncarnationAreLost(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.send(startCommand("j.0.0.0", 1))
		before := h.worker.Heartbeat(7)
		h.worker.Restart("life-2", time.UnixMilli(900))
		h.sup.HandleHeartbeat(context.Background(), h.worker.Heartbeat(1))
		advancer.Sleep(time.Second)
		c.Assert(h.ends(), qt.DeepEquals, []string{"j.0.0.0#1 gone"})
		c.Assert(h.latestSnapshot().WorkerIncarnation, qt.Equals, h.worker.Heartbeat(2).Incarnation())
		h.sup.HandleHeartbeat(context.Background(), before) // delayed by a partition
		advancer.Sleep(time.Second)
		c.Assert(h.latestSnapshot().WorkerIncarnation, qt.Equals, h.worker.Heartbeat(2).Incarnation())
	})
}

// An agent that received a stop just before its own shutdown must not repeat the
// stop without bound, which prevented the shutdown (history seed 1453).
func TestTheAgentEndsWhileAStopIsUnanswered(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() { h.plan = faker.PoolRunPlan{} })
		h.send(startCommand("j.0.0.0", 1))
		h.set(func() {
			h.fault = func(call string) faker.PoolFault { return faker.PoolFault{LoseReply: call == "stop", Drop: true} }
		})
		h.send(messenger.Command{Stop: &messenger.RunStop{Task: "j.0.0.0", Attempt: 1}})
		h.stop()
		select {
		case <-h.done:
		case <-time.After(10 * time.Second):
			c.Fatal("the agent did not end")
		}
	})
}

// The lease of an unreachable worker must not be renewed with each list request
// that gets no reply: its runs would never be given up
// (fault scenario store-away-and-a-worker-gone).
func TestRunsOfAnUnreachableWorkerEndWithTheLastSentLease(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() { h.plan = faker.PoolRunPlan{} })
		h.send(startCommand("j.0.0.0", 1))
		h.set(func() {
			h.fault = func(string) faker.PoolFault { return faker.PoolFault{LoseReply: true, Drop: true} }
		})
		advancer.Sleep(4 * time.Second)
		c.Assert(h.ends(), qt.HasLen, 0, qt.Commentf("the run may still be active at the worker"))
		c.Assert(h.latestSnapshot().MayStart, qt.IsFalse)
		advancer.Sleep(4 * time.Second)
		c.Assert(h.ends(), qt.DeepEquals, []string{"j.0.0.0#1 lapsed"})
		c.Assert(h.worker.Running(), qt.HasLen, 0)
	})
}

// The delay of a slow reply must not be added to the worker's clock that it holds:
// leases would appear to expire too early.
func TestASlowReplyDoesNotAdvanceTheWorkersClockEstimate(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.worker.Restart("life-2", time.UnixMilli(900_000))
		h.set(func() {
			h.fault = func(_ string) faker.PoolFault { return faker.PoolFault{Delay: 600 * time.Millisecond} }
		})
		h.sup.HandleHeartbeat(context.Background(), h.worker.Heartbeat(1))
		advancer.Sleep(10 * time.Millisecond)
		snap := h.latestSnapshot()
		c.Assert(snap.WorkerIncarnation, qt.Equals, h.worker.Heartbeat(2).Incarnation())
		c.Assert(snap.SentAt.After(h.worker.Heartbeat(2).Clock), qt.IsFalse)
	})
}

func TestAStartWithAKeptPayloadRunsWithIt(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		first, second, unknown := startCommand("j.0.0.0", 1), startCommand("j.0.0.1", 1), startCommand("k.0.0.0", 1)
		first.Start.Payload, second.Start.PayloadKept, unknown.Start.PayloadKept = "payload", true, true
		h.send(first)
		h.send(second)
		earlier := h.ownerConn()
		h.send(unknown)
		advancer.Sleep(time.Second)
		c.Check(h.payloads, qt.DeepEquals, map[string]string{"j.0.0.0": "payload", "j.0.0.1": "payload"})
		c.Check(h.ownerConn(), qt.Not(qt.Equals), earlier, qt.Commentf("the owner must send the payload again"))
	})
}
