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
	"github.com/endivefall/endivefall/supervisor"
)

// An owner that no longer knows of a run may start the task again. Without the
// check the worker would run the task twice at a time.
func TestATaskRunsOnceAtAWorker(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.send(startCommand("j.0.0.0", 1))
		h.send(startCommand("j.0.0.0", 2))
		c.Assert(h.count("start"), qt.Equals, 1)
		c.Assert(h.ends(), qt.DeepEquals, []string{"j.0.0.0#2 never"})
	})
}

// A list reply from before a start lacks the run, but may arrive after the start
// was confirmed.
func TestAListReplyFromBeforeTheStartEndsNoRun(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() { h.listDelay, h.plan = 300*time.Millisecond, faker.PoolRunPlan{} })
		advancer.Sleep(time.Second)
		h.send(startCommand("j.0.0.0", 1))
		h.send(startCommand("j.0.0.1", 1))
		advancer.Sleep(2 * time.Second)
		c.Assert(h.worker.Running(), qt.HasLen, 2)
		c.Assert(h.ends(), qt.HasLen, 0)
	})
}

// Runs that an earlier process of the agent started keep the lease that it sent,
// even if the worker becomes unreachable at once.
func TestRunsOfAnEarlierAgentProcessKeepTheirLease(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() { h.plan = faker.PoolRunPlan{} })
		h.send(startCommand("j.0.0.0", 1))
		h.set(func() { h.acking = false })
		h.stop()
		<-h.done
		h.startAgent("b2")
		c.Assert(h.latestSnapshot().Runs, qt.HasLen, 1)
		h.set(func() {
			h.fault = func(string) faker.PoolFault { return faker.PoolFault{LoseReply: true, Drop: true} }
		})
		advancer.Sleep(2 * time.Second)
		c.Assert(h.worker.Running(), qt.HasLen, 1, qt.Commentf("the lease has not expired"))
		c.Assert(h.ends(), qt.HasLen, 0)
		advancer.Sleep(8 * time.Second)
		c.Assert(h.worker.Running(), qt.HasLen, 0)
		c.Assert(h.ends(), qt.DeepEquals, []string{"j.0.0.0#1 lapsed"})
	})
}

// Heartbeats may arrive out of order.
func TestAnOlderHeartbeatIsIgnored(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		for _, tc := range []struct {
			seq uint64
			cpu int64
		}{{7, 3000}, {6, 9000}} {
			heartbeat := h.worker.Heartbeat(tc.seq)
			heartbeat.CPU = tc.cpu
			h.sup.HandleHeartbeat(context.Background(), heartbeat)
		}
		advancer.Sleep(time.Second)
		c.Assert(h.latestSnapshot().CPU, qt.Equals, int64(3000))
	})
}

// The owner sends a stop once, so the agent must not lose one that it received
// before the start was settled.
func TestAStopOfAStartOfUnknownOutcomeIsCarriedOut(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() {
			h.plan, h.startLost, h.listDelay = faker.PoolRunPlan{}, true, 900*time.Millisecond // longer than the call of the start
		})
		h.send(startCommand("j.0.0.0", 1))
		h.send(messenger.Command{Stop: &messenger.RunStop{Task: "j.0.0.0", Attempt: 1}})
		advancer.Sleep(5 * time.Second)
		c.Assert(h.worker.Running(), qt.HasLen, 0)
		c.Assert(h.ends(), qt.DeepEquals, []string{"j.0.0.0#1 stopped"})
	})
}

// The worker keeps the pace that an earlier process of the agent has set, which the
// next one does not know.
func TestABestEffortRunOfAnEarlierAgentProcessIsNotLeftSlow(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.adoptSlowRun(20)
		advancer.Sleep(time.Second)
		c.Assert(h.latestSnapshot().Runs[0].PacePercent, qt.Equals, 100)
		h.set(func() { c.Assert(h.paces["j.0.0.0"], qt.Equals, 100) })
	})
}

// The agent took a pace that the worker had refused for the present one, and never set it.
func TestAPaceThatTheWorkerRefusedIsSetLater(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() { h.paceError = supervisor.ErrUnhealthy })
		h.adoptSlowRun(20)
		advancer.Sleep(time.Second)
		h.set(func() { h.paceError = nil })
		advancer.Sleep(3 * time.Second)
		h.set(func() { c.Assert(h.paces["j.0.0.0"], qt.Equals, 100) })
	})
}

// A pace without a reply may take effect later than the next one.
func TestAPaceWithoutAReplyIsFencedOff(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() { h.paceError = supervisor.ErrUnknownOutcome })
		h.adoptSlowRun(20)
		advancer.Sleep(time.Second)
		h.set(func() { h.paceError = nil })
		advancer.Sleep(time.Second)
		h.set(func() {
			c.Assert(h.paces["j.0.0.0"], qt.Equals, 100)
			c.Assert(len(h.paceFences) > 1, qt.IsTrue)
			for n := range h.paceFences[1:] {
				c.Assert(h.paceFences[n] < h.paceFences[n+1], qt.IsTrue)
			}
		})
	})
}

// adoptSlowRun lets a new process of the agent adopt a best-effort run, whose pace an
// earlier one has set.
func (h *harness) adoptSlowRun(percent int) {
	h.set(func() { h.plan = faker.PoolRunPlan{} })
	h.send(startCommand("j.0.0.0", 1))
	h.stop()
	<-h.done
	h.set(func() { h.paces["j.0.0.0"] = percent })
	h.startAgent("b2")
	h.c.Assert(h.latestSnapshot().Runs[0].SpecUnknown, qt.IsTrue)
	known := startCommand("j.0.0.0", 1)
	known.Start.AlreadyRunning, known.Start.Spec.BestEffort = true, true
	h.send(known)
}

// Tasks ran twice after an agent had restarted beside more ends than its worker lists at
// once: the snapshots of its next process claimed that nothing else had run there.
func TestSnapshotsAreIncompleteUntilAllEndsAreListed(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() { h.plan = faker.PoolRunPlan{Duration: 600 * time.Millisecond} })
		h.worker.CPU = 100000
		h.sup.HandleHeartbeat(context.Background(), h.worker.Heartbeat(2))
		for n := range 5 {
			h.send(startCommand(fmt.Sprint("j.0.0.", n), 1))
		}
		c.Assert(h.latestSnapshot().Complete, qt.IsTrue)
		h.stop()
		<-h.done
		h.worker.LimitListedEnds(2)
		advancer.Sleep(time.Second)
		h.startAgent("b2")
		for n, want := range []bool{false, false, true} {
			snapshot := h.latestSnapshot()
			c.Assert(snapshot.Reconciled, qt.IsTrue)
			c.Assert(snapshot.EndsUnlisted, qt.Equals, !want)
			c.Assert(snapshot.Complete, qt.Equals, want, qt.Commentf("list %d: %v", n, h.ends()))
			h.set(func() { h.ackedEnd = snapshot.RunEnds[len(snapshot.RunEnds)-1].Seq })
			advancer.Sleep(2 * time.Second)
		}
		c.Assert(h.count("end"), qt.Equals, 5)
		c.Assert(h.count("forgotten"), qt.Equals, 5)
	})
}

// A snapshot has at most maxSnapshotEnds ends, so that it may omit some.
func TestASnapshotThatOmitsEndsIsIncomplete(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		const room, starts = 2, 503
		h.set(func() { h.plan = faker.PoolRunPlan{} })
		for n := range starts {
			cmd := startCommand(fmt.Sprint("j.0.0.", n), 1)
			cmd.Term, cmd.Seq = 1, uint64(n+1)
			c.Assert(h.ownerConn().Send(context.Background(), messenger.Frame{Kind: messenger.KindCommand, Command: &cmd}), qt.IsNil)
		}
		advancer.Sleep(2 * time.Second)
		c.Assert(h.latestSnapshot().RunEnds, qt.HasLen, starts-room-1)
		c.Assert(h.latestSnapshot().Complete, qt.IsFalse)
		h.set(func() { h.ackedEnd = 1 })
		advancer.Sleep(2 * time.Second)
		c.Assert(h.latestSnapshot().Complete, qt.IsTrue)
	})
}
