package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/endivefall/endivefall/advancer"
)

// TestHistoriesWithThinLinksAndPowerLoss adds losses of power of all processes and
// workers, and links of entries that carry little.
func TestHistoriesWithThinLinksAndPowerLoss(t *testing.T) {
	runHistories(t, nil, (*fleet).injectPowerLossOrFault)
}

// Rates of thin links, in bytes a second.
const minRate, maxRate = 8_000, 60_000

// injectPowerLossOrFault makes everything lose power, limits the links of the entries, or
// injects one of the other faults, among them those of a take-over.
func (f *fleet) injectPowerLossOrFault(r *rand.Rand) {
	switch r.IntN(6) {
	case 0:
		f.losePower(r)
	case 1, 2:
		for n := range f.entries {
			f.network.SetRate(n, float64(minRate+r.IntN(maxRate-minRate)))
		}
	case 3:
		f.injectFreezeOrFault(r)
	default:
		f.injectFault(r)
	}
}

// losePower ends all processes and workers and starts them again in random order.
func (f *fleet) losePower(r *rand.Rand) {
	var entries []*entryNode
	for n := range len(f.entries) {
		entries = append(entries, f.entry(n))
		f.kill(entries[n])
	}
	for n := range len(f.agents) {
		f.stopAgent(f.agents[fmt.Sprintf("agent-%d", n)])
		f.agents[fmt.Sprintf("agent-%d", n)].worker.Crash()
	}
	advancer.Sleep(time.Duration(200+r.IntN(2000)) * time.Millisecond)
	for _, n := range r.Perm(len(f.agents)) {
		a := f.agents[fmt.Sprintf("agent-%d", n)]
		f.restartWorker(a)
		f.startAgent(a)
		if n < len(entries) {
			f.startEntry(entries[n].name, n)
		}
		advancer.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
	}
}
