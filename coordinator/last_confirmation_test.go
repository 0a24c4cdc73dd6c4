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

// The second owner, which never reached an agent that was lost with the first one, is lost in an outage
// of the store. The third waited as if the second had renewed its lease on the extensions of others.
func TestTheWaitForAnAbsentAgentDoesNotStartAnewWithAnOwnerInAnOutage(t *testing.T) {
	inLastingFleet(t, func(c *qt.C, f *fleet) {
		busy, _ := f.agentsByLoad()
		first := f.owners()[0]
		f.stopAgent(busy)
		f.setFrozen(first, true)
		lostAt := time.Now()
		advancer.Sleep(takeoverTimeout + time.Second) // until all other agents are in the roster
		second := f.owners(first)
		c.Assert(second, qt.HasLen, 1)
		f.setFrozen(first, false)
		f.setFaults(func() { f.storeDown = true })
		advancer.Sleep(2 * time.Second)
		f.setFrozen(second[0], true)
		f.setFaults(func() { f.storeDown = false })
		advancer.Sleep(takeoverTimeout)
		c.Assert(f.owners(first, second[0]), qt.HasLen, 1)
		advancer.Sleep(time.Until(lostAt.Add(lostAgentDelay + 2*time.Second))) // the second renewed any lease for so long
		c.Check(f.runningExcept(busy), qt.Equals, lastingTasks)
	})
}
