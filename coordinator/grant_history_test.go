package coordinator_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
)

// TestLastingTasksRunAgainBesideAbsentAgents loses owners together with agents that never had a
// run, while workers restart beside their agents, and the store is away, or carries out writes late
// and loses its replies. Long-running tasks waited for the absent agents.
func TestLastingTasksRunAgainBesideAbsentAgents(t *testing.T) {
	for n := range *histories {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runAbsentHistory(t, seed) })
		})
	}
}

func runAbsentHistory(t *testing.T, seed uint64) {
	withLastingFleet(t, 4, func(c *qt.C, f *fleet) {
		f.setFaults(func() { f.seed = seed })
		r := rand.New(rand.NewPCG(seed, 2))
		randomTime := func(most time.Duration) time.Duration { return time.Duration(r.Int64N(int64(most))) }
		calmAt := time.Now()
		var lost []*entryNode
		gone, restarted := map[*agentNode]bool{}, map[*agentNode]bool{}
		for range 1 + r.IntN(2) {
			switch r.IntN(3) {
			case 0:
				f.setFaults(func() { f.storeDown = true })
			case 1:
				f.setFaults(func() { f.storeReplyLoss = 0.3 })
			}
			advancer.Sleep(randomTime(2 * time.Second))
			if owners := f.owners(lost...); len(owners) > 0 {
				lost = append(lost, owners[0])
				f.setFrozen(owners[0], true)
			}
			for _, a := range f.sortedAgents() {
				if len(a.worker.Running()) == 0 && len(gone) < maxLostAgents && !gone[a] && !restarted[a] {
					gone[a] = true
					f.stopAgent(a)
					break
				}
			}
			for _, a := range f.sortedAgents() {
				if len(a.worker.Running()) == 0 || r.IntN(2) == 0 {
					continue
				}
				advancer.Sleep(randomTime(500 * time.Millisecond))
				restarted[a] = true
				f.stopAgent(a) // its next process can't tell of the ends of its worker's runs
				f.restartWorker(a)
				f.startAgent(a)
			}
			advancer.Sleep(randomTime(2 * time.Second))
			f.setFaults(func() { f.storeDown, f.storeReplyLoss = false, 0 })
			calmAt = time.Now()
			advancer.Sleep(randomTime(4 * time.Second))
		}
		c.Check(f.idleTasks(calmAt), qt.HasLen, 0)
		c.Check(f.runningTasks(), qt.HasLen, lastingTasks)
	})
}

// sortedAgents returns the agents by name, so that histories with the same seed are alike.
func (f *fleet) sortedAgents() []*agentNode {
	return slices.SortedFunc(maps.Values(f.agents), func(a, b *agentNode) int { return strings.Compare(a.name, b.name) })
}
