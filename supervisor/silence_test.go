package supervisor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
)

// loseNext loses the next call of a kind, which the worker never gets.
func (h *harness) loseNext(kind string) {
	h.set(func() {
		lost := false
		h.fault = func(call string) faker.PoolFault {
			if call != kind || lost {
				return faker.PoolFault{}
			}
			lost = true
			return faker.PoolFault{LoseReply: true, Drop: true}
		}
	})
}

// TestCallsWithoutReplyDelayShortTasksLittle guards against tasks of half a second that wait for over a
// second as a worker leaves a start or a list unanswered. Their jobs have 0.6 s left to their objective.
func TestCallsWithoutReplyDelayShortTasksLittle(t *testing.T) {
	t.Run("start", func(t *testing.T) {
		inBubble(t, func(c *qt.C, h *harness) {
			h.loseNext("start")
			h.send(startCommand("j.0.0.0", 1))
			advancer.Sleep(400 * time.Millisecond)
			c.Check(h.ends(), qt.DeepEquals, []string{"j.0.0.0#1 never"})
		})
	})
	t.Run("list", func(t *testing.T) {
		inBubble(t, func(c *qt.C, h *harness) {
			h.send(startCommand("j.0.0.0", 1)) // it ends after a second
			h.loseNext("look")
			advancer.Sleep(1150 * time.Millisecond)
			c.Check(h.ends(), qt.DeepEquals, []string{"j.0.0.0#1 done"})
		})
	})
}

// TestSlowStartsSucceed guards against a worker whose starts take longer than its lists, so that each start
// is given up and none ever runs.
func TestSlowStartsSucceed(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() {
			h.plan = faker.PoolRunPlan{}
			h.fault = func(call string) faker.PoolFault {
				if call != "start" {
					return faker.PoolFault{}
				}
				return faker.PoolFault{Delay: 400 * time.Millisecond}
			}
		})
		for _, task := range []string{"j.0.0.0", "j.0.0.1", "j.0.0.2"} {
			h.send(startCommand(task, 1))
			advancer.Sleep(time.Second)
		}
		c.Check(h.worker.Running(), qt.DeepEquals, []string{"j.0.0.2"}, qt.Commentf("after two without a reply"))
	})
}
