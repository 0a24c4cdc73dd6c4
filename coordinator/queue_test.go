package coordinator_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/acceptor"
	"github.com/endivefall/endivefall/advancer"
)

// configure puts a version of the configuration in force that sends the queue to the workers of a pool.
func (f *fleet) configure(version uint64, pool string) {
	for n := range len(f.entries) {
		f.entry(n).coordinator.Acceptor.Configure(queuesOf(version, pool))
	}
}

// queuesOf returns a version of the configuration that sends the queue to the workers of a pool.
func queuesOf(version uint64, pool string) *acceptor.Queues {
	return acceptor.NewQueues(version, 0, []acceptor.Queue{{Name: "queue", Host: "h", Prefix: "/q/", Pool: pool, MaxAttempts: 4, StretchFactor: 2}})
}

// A queue moved to another service, and the workers of the earlier one were taken away. Its accepted tasks never
// ran again, though the workers of the other service were idle. The next owner knows where the queue was
// sent, too.
func TestAcceptedTasksRunOnThePoolThatTheirQueueMovesTo(t *testing.T) {
	for name, loseOwner := range map[string]func(f *fleet){
		"same owner": func(*fleet) {},
		"next owner": func(f *fleet) { f.kill(f.owners()[0]) },
	} {
		t.Run(name, func(t *testing.T) {
			inLastingFleet(t, func(c *qt.C, f *fleet) {
				lost := f.agents["agent-0"]
				for _, a := range f.agents {
					if a != lost {
						a.worker.SetPool("next")
						f.restartWorker(a)
					}
				}
				advancer.Sleep(maxTakeoverTime)
				moving := len(lost.worker.Running())
				c.Assert(moving, qt.Equals, int(min(lastingTasks, workerCPU/1000)))
				f.configure(2, "next")
				advancer.Sleep(time.Second)
				f.stopAgent(lost)
				lost.worker.Crash()
				loseOwner(f)
				advancer.Sleep(maxTakeoverTime)
				c.Check(f.runningTasks(), qt.HasLen, lastingTasks)
			})
		})
	}
}

// TestHistoriesWithQueuesThatMove sends the queue of all jobs to one of two pools and back, at each entry at another time, beside
// all faults. Entries that start again have the first version of the configuration. Jobs that waited for the workers of
// another pool never ended.
func TestHistoriesWithQueuesThatMove(t *testing.T) {
	runHistories(t, nil, (*fleet).injectMoveOrFault)
}

// lastMove is when the queue moves for the last time, from the first fault on.
const lastMove = 36 * time.Second

// injectMoveOrFault sends the queue to a pool, or injects one of the other faults.
func (f *fleet) injectMoveOrFault(r *rand.Rand) {
	f.mu.Lock()
	f.configVersion++
	version := f.configVersion
	f.mu.Unlock()
	if version == 1 {
		for n := range 2 {
			a := f.agents[fmt.Sprintf("agent-%d", n)]
			a.worker.SetPool("next")
			f.restartWorker(a)
		}
		time.AfterFunc(lastMove, func() {
			f.setFaults(func() { f.acceptedPool = "pool" })
			f.configure(1<<20, "pool")
			for n := range 2 { // no worker is left in the other pool
				a := f.agents[fmt.Sprintf("agent-%d", n)]
				a.worker.SetPool("pool")
				f.restartWorker(a)
			}
		})
	}
	if r.IntN(2) == 0 {
		f.injectFreezeOrFault(r)
		return
	}
	f.disturb("", maxFaultDuration)
	pool := []string{"pool", "next"}[r.IntN(2)]
	f.setFaults(func() { f.acceptedPool = pool })
	for n := range len(f.entries) {
		queues := queuesOf(version+1, pool)
		time.AfterFunc(time.Duration(r.IntN(3000))*time.Millisecond, func() { f.entry(n).coordinator.Acceptor.Configure(queues) })
	}
}

// poolOfNewJobs returns the pool of jobs as they are accepted.
func (f *fleet) poolOfNewJobs() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return cmp.Or(f.acceptedPool, "pool")
}
