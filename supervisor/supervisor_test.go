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

func TestARunIsStartedListedAndForgottenOnlyWhenDurable(t *testing.T) {
	inBubble(t, func(c *qt.C, p *post) {
		p.order(start("j.0.0.0", 1))
		c.Assert(p.shown().Runs, qt.HasLen, 1)
		c.Assert(p.shown().Runs[0].Phase, qt.Equals, messenger.PhaseRunning)
		advancer.Sleep(3 * time.Second)
		c.Assert(p.ends(), qt.DeepEquals, []string{"j.0.0.0#1 done"})
		c.Assert(p.count("forgotten"), qt.Equals, 0, qt.Commentf("the ledger does not have it"))
		last := p.shown().RunEnds[0].Seq
		p.set(func() { p.durable = last })
		advancer.Sleep(2 * time.Second)
		c.Assert(p.count("forgotten"), qt.Equals, 1)
		c.Assert(p.ends(), qt.HasLen, 0)
	})
}

func TestOrdersOfAnEarlierOwnerAreRefused(t *testing.T) {
	inBubble(t, func(c *qt.C, p *post) {
		p.set(func() { p.term = 3 })
		p.order(start("j.0.0.0", 1))
		old := start("j.0.0.1", 1)
		old.Term = 2
		p.order(old)
		c.Assert(p.count("start"), qt.Equals, 1)
	})
}

func TestAWorkerIsNeverGivenMoreThanItsRoom(t *testing.T) {
	inBubble(t, func(c *qt.C, p *post) {
		for n := range 3 {
			p.order(start(fmt.Sprint("j.0.0.", n), 1))
		}
		c.Assert(p.count("start"), qt.Equals, 2)
		c.Assert(p.ends(), qt.DeepEquals, []string{"j.0.0.2#1 never"})
	})
}

func TestADrainingWorkerIsGivenNothing(t *testing.T) {
	inBubble(t, func(c *qt.C, p *post) {
		p.order(start("j.0.0.0", 1))
		beat := p.worker.Heartbeat(2)
		beat.Draining = true
		p.w.HandleHeartbeat(context.Background(), beat)
		p.order(start("j.0.0.1", 1))
		c.Assert(p.count("start"), qt.Equals, 1)
		c.Assert(p.ends(), qt.DeepEquals, []string{"j.0.0.1#1 never"})
		c.Assert(p.shown().Draining, qt.IsTrue)
		p.w.HandleHeartbeat(context.Background(), p.worker.Heartbeat(3))
		p.order(start("j.0.0.2", 1))
		c.Assert(p.count("start"), qt.Equals, 1, qt.Commentf("notice is not taken back within a life"))
	})
}

func TestRunsEndWithTheLeaseOfASilentOwner(t *testing.T) {
	inBubble(t, func(c *qt.C, p *post) {
		p.set(func() { p.plan = faker.PoolRunPlan{} })
		p.order(start("j.0.0.0", 1))
		p.set(func() { p.vouching = false })
		advancer.Sleep(lease - 500*time.Millisecond)
		c.Assert(p.worker.Running(), qt.HasLen, 1)
		advancer.Sleep(time.Second)
		c.Assert(p.worker.Running(), qt.HasLen, 0)
		p.order(start("j.0.0.1", 1))
		c.Assert(p.count("start"), qt.Equals, 1, qt.Commentf("there is no lease to start under"))
	})
}

func TestAStartWithoutAnAnswerIsSettledByTheFence(t *testing.T) {
	for name, dropped := range map[string]bool{"carried out late": false, "never": true} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, p *post) {
				p.set(func() {
					p.fault = func(call string) faker.PoolFault {
						return faker.PoolFault{LoseReply: call == "start", Drop: dropped, ApplyDelay: 3 * time.Second}
					}
				})
				p.order(start("j.0.0.0", 1))
				advancer.Sleep(1500 * time.Millisecond)
				c.Assert(p.ends(), qt.DeepEquals, []string{"j.0.0.0#1 never"})
				advancer.Sleep(5 * time.Second)
				c.Assert(p.count("start"), qt.Equals, 0, qt.Commentf("told as never begun"))
			})
		})
	}
}

func TestRunsOfAnEarlierLifeAreGone(t *testing.T) {
	inBubble(t, func(c *qt.C, p *post) {
		p.order(start("j.0.0.0", 1))
		before := p.worker.Heartbeat(7)
		p.worker.Restart("life-2", time.UnixMilli(900))
		p.w.HandleHeartbeat(context.Background(), p.worker.Heartbeat(1))
		advancer.Sleep(time.Second)
		c.Assert(p.ends(), qt.DeepEquals, []string{"j.0.0.0#1 gone"})
		c.Assert(p.shown().WorkerIncarnation, qt.Equals, "life-2")
		p.w.HandleHeartbeat(context.Background(), before) // delayed by a partition
		advancer.Sleep(time.Second)
		c.Assert(p.shown().WorkerIncarnation, qt.Equals, "life-2")
	})
}

// An agent that was told to stop a run just before its own end did not end: the
// stop was repeated without bound (history seed 1453).
func TestTheAgentEndsWhileAStopIsUnanswered(t *testing.T) {
	inBubble(t, func(c *qt.C, p *post) {
		p.set(func() { p.plan = faker.PoolRunPlan{} })
		p.order(start("j.0.0.0", 1))
		p.set(func() {
			p.fault = func(call string) faker.PoolFault { return faker.PoolFault{LoseReply: call == "stop", Drop: true} }
		})
		p.order(messenger.Command{Stop: &messenger.RunStop{Task: "j.0.0.0", Attempt: 1}})
		p.stop()
		select {
		case <-p.done:
		case <-time.After(10 * time.Second):
			c.Fatal("the agent did not end")
		}
	})
}

// The lease of a worker that had gone was extended with each look that got no
// answer, so that its runs were never given up (store-away-and-a-worker-gone).
func TestRunsOfASilentWorkerEndWithTheLeaseThatItHeardOfLast(t *testing.T) {
	inBubble(t, func(c *qt.C, p *post) {
		p.set(func() { p.plan = faker.PoolRunPlan{} })
		p.order(start("j.0.0.0", 1))
		p.set(func() {
			p.fault = func(string) faker.PoolFault { return faker.PoolFault{LoseReply: true, Drop: true} }
		})
		advancer.Sleep(4 * time.Second)
		c.Assert(p.ends(), qt.HasLen, 0, qt.Commentf("it may still run there"))
		c.Assert(p.shown().MayStart, qt.IsFalse)
		advancer.Sleep(4 * time.Second)
		c.Assert(p.ends(), qt.DeepEquals, []string{"j.0.0.0#1 lapsed"})
		c.Assert(p.worker.Running(), qt.HasLen, 0)
	})
}

// A clock that was read during a slow call is not taken for later than it was:
// leases would seem to have ended before they have.
func TestASlowAnswerDoesNotMakeTheWorkersClockFast(t *testing.T) {
	inBubble(t, func(c *qt.C, p *post) {
		p.worker.Restart("life-2", time.UnixMilli(900_000))
		p.set(func() {
			p.fault = func(_ string) faker.PoolFault { return faker.PoolFault{Delay: 600 * time.Millisecond} }
		})
		p.w.HandleHeartbeat(context.Background(), p.worker.Heartbeat(1))
		advancer.Sleep(10 * time.Millisecond)
		shown := p.shown()
		c.Assert(shown.WorkerIncarnation, qt.Equals, "life-2")
		c.Assert(shown.SentAt.After(p.worker.Heartbeat(2).Clock), qt.IsFalse)
	})
}
