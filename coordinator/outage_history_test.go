package coordinator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/supervisor"
)

// A lasting task is to run again this long after its last run, if there was no disturbance for
// calmTime.
const (
	maxIdleTime = 6 * time.Second
	calmTime    = 7 * time.Second
	// maxLostAgents leaves room for twice the tasks.
	maxLostAgents = 2
)

// TestLastingTasksRunAgainAfterOwnersAreLostInOutages loses one or two owners around outages of
// the store of 1 to 5 s, while agents leave or are killed and workers restart. Long-running
// tasks have to run again within maxIdleTime, and not only in the end.
func TestLastingTasksRunAgainAfterOwnersAreLostInOutages(t *testing.T) {
	for n := range *histories {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runOutageHistory(t, seed) })
		})
	}
}

func runOutageHistory(t *testing.T, seed uint64) {
	withLastingFleet(t, 4, func(c *qt.C, f *fleet) {
		r := rand.New(rand.NewPCG(seed, 1))
		calmAt := time.Now()
		after := func(delay time.Duration, do func()) {
			calmAt = later(calmAt, time.Now().Add(delay))
			time.AfterFunc(delay, do)
		}
		randomTime := func(most time.Duration) time.Duration { return time.Duration(r.Int64N(int64(most))) }
		var lost []*entryNode
		gone := map[*agentNode]bool{}
		for range 1 + r.IntN(2) {
			begins := randomTime(time.Second)
			ends := begins + time.Second + randomTime(4*time.Second)
			after(begins, func() { f.setFaults(func() { f.storeDown = true }) })
			after(ends, func() { f.setFaults(func() { f.storeDown = false }) })
			after(randomTime(ends+time.Second), func() {
				if owners := f.owners(lost...); len(owners) > 0 {
					lost = append(lost, owners[0])
					f.setFrozen(owners[0], true)
				}
			})
			for range 1 + r.IntN(3) {
				a := f.agents[fmt.Sprintf("agent-%d", r.IntN(len(f.agents)))]
				at := randomTime(ends + time.Second)
				switch {
				case gone[a] || len(gone) == maxLostAgents || r.IntN(2) == 0:
					after(at, func() { f.restartWorker(a) })
				case r.IntN(2) == 0:
					gone[a] = true
					after(at, func() { f.stopAgent(a) })
				default:
					gone[a] = true
					after(at, func() { f.leave(a) })
				}
			}
			advancer.Sleep(ends + randomTime(4*time.Second))
		}
		c.Check(f.idleTasks(calmAt), qt.HasLen, 0)
		c.Check(f.runningTasks(), qt.HasLen, lastingTasks)
	})
}

// idleTasks watches the tasks of newLastingFleet for some time after a last disturbance, and
// returns those that run nowhere for too long.
func (f *fleet) idleTasks(calmAt time.Time) map[string]time.Duration {
	seenAt, idle := map[string]time.Time{}, map[string]time.Duration{}
	for task := range lastingTasks {
		seenAt[fmt.Sprintf("00000000000000aa.0.0.%d", task)] = time.Now()
	}
	for end := calmAt.Add(30 * time.Second); time.Now().Before(end); advancer.Sleep(100 * time.Millisecond) {
		for task := range f.runningTasks() {
			seenAt[task] = time.Now()
		}
		for task, at := range seenAt {
			if time.Now().After(calmAt.Add(calmTime)) && time.Since(at) > max(maxIdleTime, idle[task]) {
				idle[task] = time.Since(at)
			}
		}
	}
	return idle
}

// leave lets an agent end as one that is told to: it waits for an owner to know its runs.
func (f *fleet) leave(a *agentNode) {
	ctx, cancel := context.WithTimeout(f.ctx, supervisor.LeaveTimeout)
	defer cancel()
	a.supervisor.AwaitOwner(ctx)
	f.stopAgent(a)
}

// runningTasks returns the tasks that run on any worker.
func (f *fleet) runningTasks() map[string]bool {
	running := map[string]bool{}
	for _, a := range f.agents {
		for _, task := range a.worker.Running() {
			running[task] = true
		}
	}
	return running
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
