package coordinator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/supervisor"
)

// An agent was told to end in an outage of the store, in which the owner was lost. It left an open
// registration, and the next owner started no older task again for 8 s that nobody had shown.
func TestOlderTasksDoNotWaitForAnAgentThatLeftInAnOutage(t *testing.T) {
	inLastingFleet(t, func(c *qt.C, f *fleet) {
		busy, _ := f.agentsByLoad()
		leaving := f.idleAgent()
		f.setFaults(func() { f.storeDown = true })
		owner := f.owners()[0]
		left := make(chan struct{})
		go func() {
			defer close(left)
			f.leave(leaving)
		}()
		advancer.Sleep(1500 * time.Millisecond)
		f.setFrozen(owner, true)
		advancer.Sleep(400 * time.Millisecond)
		f.setFaults(func() { f.storeDown = false })
		f.stopAgent(busy) // its next process can't tell of the ends of its worker's runs
		f.restartWorker(busy)
		f.startAgent(busy)
		advancer.Sleep(supervisor.LeaveTimeout)
		<-left
		advancer.Sleep(2 * restartDelay)
		c.Check(f.runningExcept(leaving), qt.Equals, lastingTasks)
	})
}

// idleAgent returns an agent whose worker has no runs, or nil.
func (f *fleet) idleAgent() *agentNode {
	for _, a := range f.agents {
		if len(a.worker.Running()) == 0 {
			return a
		}
	}
	return nil
}
