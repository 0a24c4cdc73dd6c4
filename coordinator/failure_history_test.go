package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/endivefall/endivefall/advancer"
)

// TestHistoriesWithFailuresAroundOutages lets most runs fail around outages of the store at whose end the owner and some
// agents are killed. The next owner started tasks that had failed as often as they may, as an agent that listed the
// first failure was not back yet.
func TestHistoriesWithFailuresAroundOutages(t *testing.T) {
	runHistories(t, nil, (*fleet).injectOutageAmidFailures)
}

// injectOutageAmidFailures stops the store for some seconds and then kills the owner and some agents, or injects one of
// the other faults.
func (f *fleet) injectOutageAmidFailures(r *rand.Rand) {
	f.setFaults(func() { f.failingRuns, f.maxAttempts = 0.6, 2 })
	if r.IntN(4) == 0 {
		f.injectFreezeOrFault(r)
		return
	}
	f.disturb("", maxFaultDuration)
	f.setFaults(func() { f.storeDown = true })
	advancer.Sleep(time.Duration(500+r.IntN(4000)) * time.Millisecond)
	for n := range len(f.entries) {
		if e := f.entry(n); e.isOwner() {
			f.kill(e)
			defer f.startEntry(e.name, n)
			break
		}
	}
	for range 1 + r.IntN(2) {
		a := f.agents[fmt.Sprintf("agent-%d", r.IntN(len(f.agents)))]
		f.stopAgent(a)
		advancer.Sleep(time.Duration(r.IntN(200)) * time.Millisecond)
		f.setFaults(func() { f.storeDown = false })
		advancer.Sleep(time.Duration(500+r.IntN(2500)) * time.Millisecond)
		f.startAgent(a)
	}
	f.setFaults(func() { f.storeDown = false })
}
