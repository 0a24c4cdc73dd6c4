package coordinator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
)

// An agent was lost with its owner. No long-running task that nobody had shown to the next owner started for
// 8 s, though the agent never had one of them.
func TestLastingTasksWaitOnlyForTheAgentThatTheyWereGrantedTo(t *testing.T) {
	for name, endRuns := range map[string]func(f *fleet, busy *agentNode){
		"ended unseen": func(f *fleet, busy *agentNode) {
			f.setFrozen(f.owners()[0], true)
			f.stopAgent(busy) // its next process can't tell of the ends of its worker's runs
			f.restartWorker(busy)
			f.startAgent(busy)
		},
		"lapsed in an outage": func(f *fleet, _ *agentNode) {
			f.setFaults(func() { f.storeDown = true })
			for f.runningExcept(nil) > 0 {
				advancer.Sleep(100 * time.Millisecond)
			}
			f.setFrozen(f.owners()[0], true)
			f.setFaults(func() { f.storeDown = false })
		},
	} {
		t.Run(name, func(t *testing.T) {
			inLastingFleet(t, func(c *qt.C, f *fleet) {
				busy, _ := f.agentsByLoad()
				f.stopAgent(f.idleAgent())
				endRuns(f, busy)
				advancer.Sleep(takeoverTimeout + restartDelay)
				c.Check(f.runningExcept(nil), qt.Equals, lastingTasks)
			})
		})
	}
}
