package coordinator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
)

// An agent left in good order, and its owner was lost 3 s later. Nobody could renew its lease any more, and the
// next owner waited 8 s from its own claim for it.
func TestTasksOfAnAgentThatLeftBeforeItsOwnerWasLostRunOnceItsLeaseIsOver(t *testing.T) {
	for name, tt := range map[string]struct {
		outage time.Duration
		lose   func(f *fleet, owner *entryNode)
	}{
		"frozen":                 {0, func(f *fleet, owner *entryNode) { f.setFrozen(owner, true) }},
		"killed":                 {0, func(f *fleet, owner *entryNode) { f.kill(owner) }},
		"frozen after an outage": {1900 * time.Millisecond, func(f *fleet, owner *entryNode) { f.setFrozen(owner, true) }},
		"killed after an outage": {1900 * time.Millisecond, func(f *fleet, owner *entryNode) { f.kill(owner) }},
	} {
		t.Run(name, func(t *testing.T) {
			inLastingFleet(t, func(c *qt.C, f *fleet) {
				busy, _ := f.agentsByLoad()
				owner := f.owners()[0]
				f.leave(busy)
				advancer.Sleep(3*time.Second - tt.outage)
				f.setFaults(func() { f.storeDown = tt.outage > 0 })
				advancer.Sleep(tt.outage)
				tt.lose(f, owner)
				f.setFaults(func() { f.storeDown = false })
				for len(busy.worker.Running()) > 0 {
					advancer.Sleep(10 * time.Millisecond)
				}
				idleSince := time.Now()
				for f.runningExcept(busy) < lastingTasks && time.Since(idleSince) < time.Minute {
					advancer.Sleep(10 * time.Millisecond)
				}
				c.Check(time.Since(idleSince) <= restartDelay, qt.IsTrue, qt.Commentf("its tasks ran nowhere for %v", time.Since(idleSince)))
			})
		})
	}
}
