package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/endivefall/endivefall/advancer"
)

// TestHistoriesWithRestartsBesideALostOwner restarts entries that an owner relies on while that is cut off or frozen, and
// agents whose workers go on or are gone, mostly around outages of the store. A next owner that counted too little would
// start tasks that still run.
func TestHistoriesWithRestartsBesideALostOwner(t *testing.T) {
	runHistories(t, nil, (*fleet).injectRestarts)
}

// injectRestarts loses an owner beside entries and agents that start again, or injects one of the other faults.
func (f *fleet) injectRestarts(r *rand.Rand) {
	if r.IntN(4) == 0 {
		f.injectFreezeOrFault(r)
		return
	}
	f.disturb("", 2*maxFaultDuration)
	randomTime := func(most int) time.Duration { return time.Duration(r.IntN(most)) * time.Millisecond }
	owners := f.owners()
	if len(owners) == 0 {
		return
	}
	owner := owners[0]
	a := f.agents[fmt.Sprintf("agent-%d", r.IntN(len(f.agents)))]
	if r.IntN(2) == 0 {
		f.setFaults(func() { f.storeDown = true })
		time.AfterFunc(time.Second+randomTime(5000), func() { f.setFaults(func() { f.storeDown = false }) })
	}
	advancer.Sleep(randomTime(2500))
	if r.IntN(2) == 0 {
		f.cutOffTogether(owner, a, true, true)
		time.AfterFunc(randomTime(9000), func() { f.cutOffTogether(owner, a, false, false) })
	} else {
		f.setFrozen(owner, true)
		time.AfterFunc(randomTime(7000), func() { f.setFrozen(owner, false) })
	}
	for n := range len(f.entries) {
		if e := f.entry(n); e != owner && r.IntN(3) > 0 {
			f.kill(e)
			advancer.Sleep(randomTime(800))
			f.startEntry(e.name, n)
		}
	}
	for range 1 + r.IntN(2) {
		a := f.agents[fmt.Sprintf("agent-%d", r.IntN(len(f.agents)))]
		gone := r.IntN(3) == 0
		f.stopAgent(a)
		if gone {
			a.worker.Crash()
		}
		advancer.Sleep(randomTime(1500))
		f.startAgent(a)
		if gone {
			advancer.Sleep(randomTime(4000))
			f.restartWorker(a)
		}
	}
}
