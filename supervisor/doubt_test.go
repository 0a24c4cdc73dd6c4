package supervisor_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
)

// An owner that has lost sight of a run may order its task again; the worker
// would run both.
func TestATaskRunsOnceAtAWorker(t *testing.T) {
	inBubble(t, func(c *qt.C, p *post) {
		p.order(start("j.0.0.0", 1))
		p.order(start("j.0.0.0", 2))
		c.Assert(p.count("start"), qt.Equals, 1)
		c.Assert(p.ends(), qt.DeepEquals, []string{"j.0.0.0#2 never"})
	})
}

// A listing that was made before a start was confirmed lacks the run and arrives
// after it.
func TestAListingFromBeforeTheStartEndsNothing(t *testing.T) {
	inBubble(t, func(c *qt.C, p *post) {
		p.set(func() { p.late, p.plan = 300*time.Millisecond, faker.PoolRunPlan{} })
		advancer.Sleep(time.Second)
		p.order(start("j.0.0.0", 1))
		p.order(start("j.0.0.1", 1))
		advancer.Sleep(2 * time.Second)
		c.Assert(p.worker.Running(), qt.HasLen, 2)
		c.Assert(p.ends(), qt.HasLen, 0)
	})
}

// What an earlier process of the agent started runs on under the lease that it
// gave, also where the worker falls silent at once.
func TestRunsOfAnEarlierProcessLastAsLongAsItsLease(t *testing.T) {
	inBubble(t, func(c *qt.C, p *post) {
		p.set(func() { p.plan = faker.PoolRunPlan{} })
		p.order(start("j.0.0.0", 1))
		p.set(func() { p.vouching = false })
		p.stop()
		<-p.done
		p.begin("b2")
		c.Assert(p.shown().Runs, qt.HasLen, 1)
		p.set(func() {
			p.fault = func(string) faker.PoolFault { return faker.PoolFault{LoseReply: true, Drop: true} }
		})
		advancer.Sleep(2 * time.Second)
		c.Assert(p.worker.Running(), qt.HasLen, 1, qt.Commentf("the lease goes on"))
		c.Assert(p.ends(), qt.HasLen, 0)
		advancer.Sleep(8 * time.Second)
		c.Assert(p.worker.Running(), qt.HasLen, 0)
		c.Assert(p.ends(), qt.DeepEquals, []string{"j.0.0.0#1 lapsed"})
	})
}

// Heartbeats may overtake each other.
func TestAnOlderHeartbeatTellsNothing(t *testing.T) {
	inBubble(t, func(c *qt.C, p *post) {
		for _, one := range []struct {
			seq uint64
			cpu int64
		}{{7, 3000}, {6, 9000}} {
			beat := p.worker.Heartbeat(one.seq)
			beat.CPU = one.cpu
			p.w.HandleHeartbeat(context.Background(), beat)
		}
		advancer.Sleep(time.Second)
		c.Assert(p.shown().CPU, qt.Equals, int64(3000))
	})
}
