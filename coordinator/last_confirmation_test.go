package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
)

// An owner and an agent are lost as an outage of the store begins. The next owner, which can claim only
// once it is over, waited from then on.
func TestTheWaitForALostAgentBeginsWithTheLastConfirmation(t *testing.T) {
	for _, outage := range []time.Duration{0, 2, 4} {
		outage *= time.Second
		t.Run(fmt.Sprint(outage), func(t *testing.T) {
			inLastingFleet(t, func(c *qt.C, f *fleet) {
				busy, _ := f.agentsByLoad()
				f.setFaults(func() { f.storeDown = outage > 0 })
				f.stopAgent(busy)
				f.setFrozen(f.owners()[0], true)
				lostAt := time.Now()
				advancer.Sleep(outage)
				f.setFaults(func() { f.storeDown = false })
				advancer.Sleep(time.Until(lostAt.Add(lostAgentDelay)))
				c.Check(f.runningExcept(busy), qt.Equals, lastingTasks)
			})
		})
	}
}
