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
				idle := f.idleUntilRunning(busy)
				c.Check(idle <= restartDelay, qt.IsTrue, qt.Commentf("its tasks ran nowhere for %v", idle))
			})
		})
	}
}

// An agent was killed, and its owner lost 5 s later, a second before it would have started the agent's tasks
// again. The next owner waited for 8 s from its own claim, as if somebody could have renewed the lease.
func TestTasksOfAnAgentThatWasLostBeforeItsOwnerRunInTime(t *testing.T) {
	for name, lose := range map[string]func(f *fleet, owner *entryNode){
		"frozen": func(f *fleet, owner *entryNode) { f.setFrozen(owner, true) },
		"killed": func(f *fleet, owner *entryNode) { f.kill(owner) },
	} {
		t.Run(name, func(t *testing.T) {
			inLastingFleet(t, func(c *qt.C, f *fleet) {
				busy, _ := f.agentsByLoad()
				owner := f.owners()[0]
				f.stopAgent(busy)
				advancer.Sleep(5 * time.Second)
				lose(f, owner)
				idle := f.idleUntilRunning(busy)
				c.Check(idle <= maxIdleTime, qt.IsTrue, qt.Commentf("its tasks ran nowhere for %v", idle))
			})
		})
	}
}

// The next process of an agent that left or was lost finds an owner that can't write its registration any
// more. The owner after that starts the agent's tasks as soon as the last lease that it knows of is over.
func TestALostOwnerRenewsNoLeaseOfTheNextProcess(t *testing.T) {
	for name, end := range map[string]func(f *fleet, a *agentNode){
		"left": (*fleet).leave,
		"killed": func(f *fleet, a *agentNode) {
			f.stopAgent(a)
			advancer.Sleep(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inLastingFleet(t, func(c *qt.C, f *fleet) {
				busy, _ := f.agentsByLoad()
				owner := f.owners()[0]
				end(f, busy)
				advancer.Sleep(500 * time.Millisecond) // the others know of its registration
				f.setApart(owner, true)
				f.startAgent(busy)
				advancer.Sleep(500 * time.Millisecond)
				c.Assert(f.owners(owner), qt.HasLen, 0, qt.Commentf("it has found the owner that is lost"))
				f.cutOffTogether(owner, busy, true, true)
				advancer.Sleep(lostAgentDelay)
				c.Check(f.owners(owner), qt.HasLen, 1)
				c.Check(f.runningExcept(busy), qt.Equals, lastingTasks)
				f.cutOffTogether(owner, busy, false, false)
			})
		})
	}
}

// The next process of an agent that left connects to its owner, which is cut off from the store with it and can't
// register it. A renewal meanwhile let its tasks run twice, as a later owner counts from the last record.
func TestTasksOfAnAgentThatReturnsToAnOwnerThatIsCutOffRunOnce(t *testing.T) {
	for _, absence := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second} {
		t.Run(absence.String(), func(t *testing.T) {
			inLastingFleet(t, func(c *qt.C, f *fleet) {
				busy, _ := f.agentsByLoad()
				owner := f.owners()[0]
				f.leave(busy)
				advancer.Sleep(absence)
				f.setApart(owner, true)
				f.startAgent(busy)
				advancer.Sleep(500 * time.Millisecond)
				f.cutOffTogether(owner, busy, true, true)
				advancer.Sleep(20 * time.Second)
				f.cutOffTogether(owner, busy, false, false)
				advancer.Sleep(10 * time.Second)
				c.Check(f.runningTasks(), qt.HasLen, lastingTasks)
			})
		})
	}
}

// idleUntilRunning waits until the runs of an agent's worker have ended and all tasks run elsewhere, and
// returns the time between.
func (f *fleet) idleUntilRunning(gone *agentNode) time.Duration {
	for len(gone.worker.Running()) > 0 {
		advancer.Sleep(10 * time.Millisecond)
	}
	idleSince := time.Now()
	for f.runningExcept(gone) < lastingTasks && time.Since(idleSince) < time.Minute {
		advancer.Sleep(10 * time.Millisecond)
	}
	return time.Since(idleSince)
}
