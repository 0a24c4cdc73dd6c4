package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
)

// An owner and an agent are lost in an outage of the store. The next owner waited as if the lost
// one had acted for 10 s on its last confirmation: as the others had extended it once for all of
// that, or as their live keys had expired meanwhile.
func TestTasksOfAnAgentLostWithItsOwnerInAnOutageStartInTime(t *testing.T) {
	for _, tt := range []struct{ outage, lostAfter time.Duration }{{1900, 1500}, {3000, 1200}, {4000, 2500}, {5000, 4000}} {
		tt.outage, tt.lostAfter = tt.outage*time.Millisecond, tt.lostAfter*time.Millisecond
		t.Run(fmt.Sprintf("%v after %v", tt.outage, tt.lostAfter), func(t *testing.T) {
			inLastingFleet(t, func(c *qt.C, f *fleet) {
				busy, _ := f.agentsByLoad()
				f.setFaults(func() { f.storeDown = true })
				advancer.Sleep(tt.lostAfter)
				f.stopAgent(busy)
				f.setFrozen(f.owners()[0], true)
				lostAt := time.Now()
				advancer.Sleep(tt.outage - tt.lostAfter)
				f.setFaults(func() { f.storeDown = false })
				// The worker goes on until the lease ends.
				advancer.Sleep(time.Until(lostAt.Add(maxWorkerLease + lostAgentDelay)))
				c.Check(f.runningExcept(busy), qt.Equals, lastingTasks)
			})
		})
	}
}
