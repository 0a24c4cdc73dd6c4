package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/endivefall/endivefall/advancer"
)

// TestHistoriesWithSuspendedOwners suspends owners for less than it takes to replace them, while agents end
// that then close their own registrations. The owner renewed no lease any more after it had woken.
func TestHistoriesWithSuspendedOwners(t *testing.T) {
	runHistories(t, nil, (*fleet).injectSuspendedOwner)
}

// injectSuspendedOwner suspends an owner for a moment beside agents that end, mostly while replies of the
// store are lost, or injects one of the other faults.
func (f *fleet) injectSuspendedOwner(r *rand.Rand) {
	if r.IntN(4) == 0 {
		f.injectFreezeOrFault(r)
		return
	}
	f.disturb("", maxFaultDuration)
	if r.IntN(2) == 0 {
		f.setFaults(func() { f.storeReplyLoss = 0.3 })
		time.AfterFunc(time.Duration(r.IntN(4000))*time.Millisecond, func() { f.setFaults(func() { f.storeReplyLoss = 0 }) })
	}
	owners := f.owners()
	if len(owners) == 0 {
		return
	}
	f.setFrozen(owners[0], true)
	time.AfterFunc(time.Duration(1000+r.IntN(700))*time.Millisecond, func() { f.setFrozen(owners[0], false) })
	a := f.agents[fmt.Sprintf("agent-%d", r.IntN(len(f.agents)))]
	f.leave(a)
	advancer.Sleep(time.Duration(r.IntN(1000)) * time.Millisecond)
	f.startAgent(a)
}

// maxFirstLeaseTime is how long a worker that has started may be without a lease: the time after which the
// platform takes it for one in touch.
const maxFirstLeaseTime = 3 * time.Second

// leaseless returns the names of the agents that run beside a worker that has been up for long enough and
// holds no lease.
func (f *fleet) leaseless() []string {
	var names []string
	for _, a := range f.agents {
		select {
		case <-a.done:
		default:
			if a.worker.LeaselessSince(time.Now().Add(-maxFirstLeaseTime)) {
				names = append(names, a.name)
			}
		}
	}
	slices.Sort(names)
	return names
}
