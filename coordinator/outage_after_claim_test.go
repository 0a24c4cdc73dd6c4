package coordinator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
)

// The store is away for 9 s from some moment after a claim on. No worker and no agent is lost.
func TestRunsOutliveAnOutageJustAfterAClaim(t *testing.T) {
	for _, after := range []time.Duration{50, 100, 200, 300, 400, 500, 600, 800, 1000, 1500, 2500} {
		after *= time.Millisecond
		t.Run(after.String(), func(t *testing.T) {
			inLastingFleet(t, func(c *qt.C, f *fleet) {
				starts := f.auditor.StartCount()
				owner := f.owners()[0]
				f.kill(owner)
				for len(f.owners(owner)) == 0 {
					advancer.Sleep(10 * time.Millisecond)
				}
				advancer.Sleep(after)
				f.setFaults(func() { f.storeDown = true })
				advancer.Sleep(9 * time.Second)
				c.Check(f.runningExcept(nil), qt.Equals, lastingTasks)
				f.setFaults(func() { f.storeDown = false })
				advancer.Sleep(5 * time.Second)
				c.Check(f.auditor.StartCount(), qt.Equals, starts)
			})
		})
	}
}
