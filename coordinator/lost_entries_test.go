package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
)

// maxGap is how long a long-running task may run nowhere from its last run, or from when the last process is back: it
// has to run again before it has had no run for 3 s, counted from 6 s on.
const maxGap = 9 * time.Second

// killEntries kills all entries at once and returns the owner of before. None of them reaches the store any more, so
// that the owner does not release.
func (f *fleet) killEntries() *entryNode {
	owner := f.owners()[0]
	entries := len(f.entries)
	for n := range entries {
		name := f.entry(n).name
		f.setFaults(func() { f.rejected[name] = true })
	}
	for n := range entries {
		f.kill(f.entry(n))
	}
	for n := range entries {
		name := f.entry(n).name
		f.setFaults(func() { f.rejected[name] = false })
	}
	return owner
}

// Power was lost, and no entry came back. The claim of a new one states the longest time, and the tasks of a worker that
// was lost waited for that and the lease, though its agent was back.
func TestTasksOfALostWorkerDoNotWaitForTheOwnerThatWasLostWithItsAgent(t *testing.T) {
	inLastingFleet(t, func(c *qt.C, f *fleet) {
		busy, _ := f.agentsByLoad()
		f.killEntries()
		for _, a := range f.agents {
			f.stopAgent(a)
		}
		busy.worker.Crash()
		advancer.Sleep(time.Second)
		for _, a := range f.agents {
			f.startAgent(a)
		}
		advancer.Sleep(time.Second)
		for n := range len(f.entries) {
			f.startEntry(fmt.Sprint("new-entry-", n), len(f.entries)+n)
		}
		idle := f.idleUntilRunning(busy)
		c.Check(idle <= maxGap, qt.IsTrue, qt.Commentf("its tasks ran nowhere for %v after the last process was back", idle))
	})
}

// All entries were killed, and the owner and an agent with its worker did not come back. The next processes of the
// other entries waited as if their earlier ones had extended the owner's confirmation to the end.
func TestTasksOfALostAgentDoNotWaitForExtensionsOfProcessesThatHaveEnded(t *testing.T) {
	inLastingFleet(t, func(c *qt.C, f *fleet) {
		busy, _ := f.agentsByLoad()
		entries := len(f.entries)
		owner := f.killEntries()
		f.stopAgent(busy)
		busy.worker.Crash()
		advancer.Sleep(time.Second)
		for n := range entries {
			if name := fmt.Sprint("entry-", n); name != owner.name {
				f.startEntry(name, n)
			}
		}
		idle := f.idleUntilRunning(busy)
		c.Check(idle <= maxGap, qt.IsTrue, qt.Commentf("its tasks ran nowhere for %v after the last process was back", idle))
	})
}
