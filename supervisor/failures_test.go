package supervisor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
)

// The next owner knows from the run, and from its end, how many earlier ones may have failed.
func TestAnAgentRepeatsHowManyRunsMayHaveFailed(t *testing.T) {
	for name, tt := range map[string]struct {
		restart  bool
		failures uint32
	}{
		"same process": {false, 3},
		"next process": {true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, h *harness) {
				h.set(func() { h.plan = faker.PoolRunPlan{Duration: 5 * time.Second} })
				command := startCommand("j.0.0.0", 1)
				command.Start.Failures = 3
				h.send(command)
				advancer.Sleep(time.Second)
				if tt.restart {
					h.stop()
					<-h.done
					h.startAgent("b2")
					advancer.Sleep(time.Second)
				}
				c.Assert(h.latestSnapshot().Runs, qt.HasLen, 1)
				c.Assert(h.latestSnapshot().Runs[0].Failures, qt.Equals, tt.failures)
				advancer.Sleep(5 * time.Second)
				c.Assert(h.endOf("j.0.0.0").Failures, qt.Equals, tt.failures)
			})
		})
	}
}
