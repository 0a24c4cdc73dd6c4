package supervisor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/messenger"
)

var stopCommand = messenger.Command{Stop: &messenger.RunStop{Task: "j.0.0.0", Attempt: 1}}

func TestTheAgeOfAnOutstandingStopIsReported(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		age := func() (seconds float64) {
			h.set(func() { seconds = h.gauges["oldest_stop_seconds"] })
			return seconds
		}
		h.set(func() {
			h.plan = faker.PoolRunPlan{}
			h.fault = func(call string) faker.PoolFault { return faker.PoolFault{LoseReply: call == "stop", Drop: true} }
		})
		h.send(startCommand("j.0.0.0", 1))
		h.send(stopCommand)
		advancer.Sleep(4 * time.Second)
		c.Assert(age() > 2, qt.IsTrue)
		h.set(func() { h.fault = nil })
		advancer.Sleep(3 * time.Second)
		c.Assert(age(), qt.Equals, 0.0)
	})
}
