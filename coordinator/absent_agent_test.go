package coordinator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/sequencer"
)

const (
	// lostAgentDelay bounds how long the tasks of an agent that is lost with its owner run
	// nowhere while the store answers: 6 s after their last run, and 3 s.
	lostAgentDelay = 9 * time.Second
	// restartDelay bounds how long a task runs nowhere after its worker was lost, if nothing
	// else was.
	restartDelay = 2 * time.Second
	// lastingTasks is the number of tasks of newLastingFleet.
	lastingTasks = 10
)

// newLastingFleet returns a fleet of some entries, and five agents on which lastingTasks
// long-running tasks run.
func newLastingFleet(ctx context.Context, c *qt.C, t *testing.T, entries int) *fleet {
	f := newFleet(ctx, t, 1, entries, 5)
	advancer.Sleep(3 * time.Second)
	spec := &sequencer.Spec{ID: "00000000000000aa", Queue: "queue", Pool: "pool", Steps: []sequencer.Step{{Count: lastingTasks, CPU: 1000, Memory: 100, LongRunning: true}}}
	f.auditor.AddJob(spec)
	c.Assert(f.submitAt(f.entry(0), spec), qt.IsNil)
	advancer.Sleep(2 * time.Second)
	return f
}

// agentsByLoad returns an agent whose worker has runs, and another one.
func (f *fleet) agentsByLoad() (busy, other *agentNode) {
	for _, a := range f.agents {
		if len(a.worker.Running()) > 0 {
			busy = a
		}
	}
	for _, a := range f.agents {
		if a != busy {
			other = a
		}
	}
	return busy, other
}

// runningExcept returns the number of runs on the workers of all agents but one.
func (f *fleet) runningExcept(lost *agentNode) int {
	n := 0
	for _, a := range f.agents {
		if a != lost {
			n += len(a.worker.Running())
		}
	}
	return n
}

// inLastingFleet runs a test in a bubble, and checks the invariants at its end.
func inLastingFleet(t *testing.T, test func(c *qt.C, f *fleet)) {
	synctest.Test(t, func(t *testing.T) { withLastingFleet(t, 3, test) })
}

// withLastingFleet runs a test with a fleet of some entries, and checks the invariants at its end.
func withLastingFleet(t *testing.T, entries int, test func(c *qt.C, f *fleet)) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	f := newLastingFleet(ctx, c, t, entries)
	test(c, f)
	f.clearFaults()
	advancer.Sleep(10 * time.Second)
	cancel()
	f.close()
	c.Check(f.auditor.Violations(), qt.HasLen, 0)
	advancer.Sleep(time.Minute)
}

// An agent was killed as its owner froze. The next owner saw a task at work elsewhere, and
// did not start it again for 16 s when that run ended.
func TestATaskSeenAtWorkDoesNotWaitForAnAbsentAgent(t *testing.T) {
	inLastingFleet(t, func(c *qt.C, f *fleet) {
		busy, absent := f.agentsByLoad()
		f.stopAgent(absent)
		f.setFrozen(f.owners()[0], true)
		advancer.Sleep(takeoverTimeout + time.Second)
		before := f.runningExcept(absent)
		c.Assert(before > 0, qt.IsTrue)
		f.restartWorker(busy)
		c.Assert(f.runningExcept(absent) < before, qt.IsTrue)
		advancer.Sleep(restartDelay)
		c.Check(f.runningExcept(absent) >= before, qt.IsTrue, qt.Commentf("%d of %d run", f.runningExcept(absent), before))
	})
}

// An agent and its owner are lost at once. The tasks of the agent waited 16 s, as if the
// store had been away.
func TestTasksOfAnAgentLostWithItsOwnerStartInTime(t *testing.T) {
	for name, lose := range map[string]func(f *fleet, owner *entryNode){
		"frozen": func(f *fleet, owner *entryNode) { f.setFrozen(owner, true) },
		"killed": func(f *fleet, owner *entryNode) { f.kill(owner) },
	} {
		t.Run(name, func(t *testing.T) {
			inLastingFleet(t, func(c *qt.C, f *fleet) {
				busy, _ := f.agentsByLoad()
				owner := f.owners()[0]
				f.stopAgent(busy)
				lose(f, owner)
				// The worker goes on until the lease ends.
				advancer.Sleep(lostAgentDelay + maxWorkerLease)
				c.Check(f.runningExcept(busy), qt.Equals, lastingTasks)
			})
		})
	}
}

// Each of two further owners is lost some seconds after its claim. The tasks of an agent
// that none of them reached waited for its lease anew with each.
func TestTheWaitForAnAbsentAgentDoesNotStartAnewWithEachOwner(t *testing.T) {
	inLastingFleet(t, func(c *qt.C, f *fleet) {
		busy, _ := f.agentsByLoad()
		lost := f.owners()[0]
		f.stopAgent(busy)
		f.setFrozen(lost, true)
		advancer.Sleep(7 * time.Second)
		f.setFrozen(lost, false)
		second := f.owners(lost)
		c.Assert(second, qt.HasLen, 1)
		f.setFrozen(second[0], true)
		advancer.Sleep(takeoverTimeout)
		c.Assert(f.owners(second[0]), qt.HasLen, 1)
		advancer.Sleep(lostAgentDelay + maxWorkerLease - 7*time.Second - takeoverTimeout)
		c.Check(f.runningExcept(busy), qt.Equals, lastingTasks)
	})
}
