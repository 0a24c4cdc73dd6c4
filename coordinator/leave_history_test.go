package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/endivefall/endivefall/advancer"
)

// TestHistoriesWithAgentsThatLeaveWithoutAnOwner loses owners, most of them in an outage of the
// store, while workers end and agents leave, some of which start again before the next owner has
// claimed.
func TestHistoriesWithAgentsThatLeaveWithoutAnOwner(t *testing.T) {
	runHistories(t, nil, (*fleet).injectLeavingAgents)
}

// injectLeavingAgents lets agents leave and workers end beside the loss of an owner, or injects
// one of the other faults.
func (f *fleet) injectLeavingAgents(r *rand.Rand) {
	if r.IntN(3) == 0 {
		f.injectFreezeOrFault(r)
		return
	}
	f.disturb("", 2*maxFaultDuration)
	randomTime := func(most int) time.Duration { return time.Duration(r.IntN(most)) * time.Millisecond }
	if r.IntN(3) > 0 {
		f.setFaults(func() { f.storeDown = true })
		time.AfterFunc(time.Second+randomTime(4000), func() { f.setFaults(func() { f.storeDown = false }) })
	}
	if r.IntN(3) == 0 {
		f.setFaults(func() { f.storeReplyLoss = 0.3 })
		time.AfterFunc(randomTime(6000), func() { f.setFaults(func() { f.storeReplyLoss = 0 }) })
	}
	advancer.Sleep(randomTime(1500))
	if owners := f.owners(); len(owners) > 0 {
		f.loseOwnerAlone(owners[r.IntN(len(owners))], r)
	}
	for range 1 + r.IntN(3) {
		a := f.agents[fmt.Sprintf("agent-%d", r.IntN(len(f.agents)))]
		switch r.IntN(4) {
		case 0:
			f.restartWorker(a)
		case 1:
			a.worker.Crash()
			f.leave(a)
			f.restartWorker(a)
			f.startAgent(a)
		default:
			f.leave(a)
			advancer.Sleep(randomTime(500))
			f.startAgent(a)
		}
		advancer.Sleep(randomTime(1000))
	}
}

// loseOwnerAlone freezes an owner for some seconds, or cuts it off from the store and the other
// entries, so that it goes on with all agents while its confirmation lasts.
func (f *fleet) loseOwnerAlone(owner *entryNode, r *rand.Rand) {
	duration := time.Duration(1000+r.IntN(7000)) * time.Millisecond
	if r.IntN(2) == 0 {
		f.setFrozen(owner, true)
		time.AfterFunc(duration, func() { f.setFrozen(owner, false) })
		return
	}
	setCut := func(cut bool) {
		f.setFaults(func() { f.rejected[owner.name] = cut })
		for n := range len(f.entries) {
			if e := f.entry(n); e != owner {
				f.network.SetPartition(owner.name, e.name, cut, true)
			}
		}
	}
	setCut(true)
	time.AfterFunc(duration, func() { setCut(false) })
}
