package coordinator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/acceptor"
	"github.com/endivefall/endivefall/advancer"
)

// configure puts a version of the configuration in force that sends the queue to the workers of a pool.
func (f *fleet) configure(version uint64, pool string) {
	for n := range len(f.entries) {
		f.entry(n).coordinator.Acceptor.Configure(acceptor.NewQueues(version, 0, []acceptor.Queue{{Name: "queue", Host: "h", Prefix: "/q/", Pool: pool, MaxAttempts: 4, StretchFactor: 2}}))
	}
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
