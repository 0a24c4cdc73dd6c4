package coordinator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
)

// A worker was lost after its owner. The next owner had the ends of its runs at once, and started none of
// the tasks again for 8 s, as it waited for an agent that never had them.
func TestTasksWhoseEndNoOwnerKnewDoNotWaitForAnAbsentAgent(t *testing.T) {
	for name, lose := range map[string]func(f *fleet, owner *entryNode){
		"frozen": func(f *fleet, owner *entryNode) {
			f.setFrozen(owner, true)
			advancer.Sleep(1500 * time.Millisecond) // the agents send the owner nothing more
		},
		"frozen just before": func(f *fleet, owner *entryNode) {
			f.setFrozen(owner, true)
			advancer.Sleep(100 * time.Millisecond)
		},
		"killed": func(f *fleet, owner *entryNode) { f.kill(owner) },
	} {
		t.Run(name, func(t *testing.T) {
			inLastingFleet(t, func(c *qt.C, f *fleet) {
				busy, _ := f.agentsByLoad()
				f.stopAgent(f.idleAgent())
				lose(f, f.owners()[0])
				f.restartWorker(busy)
				advancer.Sleep(takeoverTimeout + restartDelay)
				c.Check(f.runningExcept(nil), qt.Equals, lastingTasks)
			})
		})
	}
}
