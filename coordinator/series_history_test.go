package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/endivefall/endivefall/advancer"
)

// TestHistoriesWithOwnersLostInSeries adds owners that are lost one after the other, frozen or
// cut off together with an agent, while agents leave or are killed.
func TestHistoriesWithOwnersLostInSeries(t *testing.T) {
	runHistories(t, nil, (*fleet).injectLostOwners)
}

// injectLostOwners loses two or three owners in a row, or injects one of the other faults.
func (f *fleet) injectLostOwners(r *rand.Rand) {
	if r.IntN(3) == 0 {
		f.injectFreezeOrFault(r)
		return
	}
	f.disturb("", 2*maxFaultDuration)
	for range 2 + r.IntN(2) {
		owners := f.owners()
		if len(owners) == 0 {
			advancer.Sleep(time.Second)
			continue
		}
		f.loseOwner(owners[r.IntN(len(owners))], r)
		advancer.Sleep(time.Duration(300+r.IntN(4000)) * time.Millisecond)
	}
}

// loseOwner freezes or cuts off an owner for some seconds, at the moment at which an agent
// leaves, is killed, restarted, or cut off with it.
func (f *fleet) loseOwner(owner *entryNode, r *rand.Rand) {
	duration := time.Duration(1000+r.IntN(7000)) * time.Millisecond
	a := f.agents[fmt.Sprintf("agent-%d", r.IntN(len(f.agents)))]
	switch r.IntN(5) {
	case 0:
		f.cutOffTogether(owner, a, true, true)
		silent := r.IntN(2) == 0
		time.AfterFunc(duration, func() { f.cutOffTogether(owner, a, false, silent) })
		return
	case 1:
		f.stopAgent(a)
		advancer.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
		f.startAgent(a)
	case 2:
		f.stopAgent(a)
		f.startAgent(a)
	case 3:
		f.restartWorker(a)
	}
	f.setFrozen(owner, true)
	time.AfterFunc(duration, func() { f.setFrozen(owner, false) })
}

// cutOffTogether cuts an entry and an agent off from all others and from the store, or ends
// that. They reach each other.
func (f *fleet) cutOffTogether(e *entryNode, a *agentNode, cut, silent bool) {
	f.setFaults(func() { f.rejected[e.name], f.rejected[a.name] = cut, cut })
	for _, name := range f.entryNames() {
		if name != e.name {
			f.network.SetPartition(e.name, name, cut, silent)
			f.network.SetPartition(a.name, name, cut, silent)
		}
	}
	for name := range f.agents {
		if name != a.name {
			f.network.SetPartition(e.name, name, cut, silent)
		}
	}
}
