package coordinator_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/endivefall/endivefall/advancer"
)

// maxFaultDuration bounds how long a fault of injectFault, injectFreezeOrFault or
// injectRestartOrFault acts.
const maxFaultDuration = 12 * time.Second

// injectFault injects one random fault.
func (f *fleet) injectFault(r *rand.Rand) {
	f.disturb("", maxFaultDuration)
	afterRandom := func(minMs, maxMs int, do func()) {
		time.AfterFunc(time.Duration(minMs+r.IntN(maxMs-minMs))*time.Millisecond, do)
	}
	set := func(do func()) func() { return func() { f.setFaults(do) } }
	e := f.entry(r.IntN(16))
	a := f.agents[fmt.Sprintf("agent-%d", r.IntN(len(f.agents)))]
	var n int
	_, _ = fmt.Sscanf(e.name, "entry-%d", &n)
	switch r.IntN(9) {
	case 0: // an entry is killed and restarted
		f.kill(e)
		advancer.Sleep(time.Duration(100+r.IntN(2000)) * time.Millisecond)
		f.startEntry(e.name, n)
	case 1: // an entry shuts down gracefully and is restarted
		ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
		e.coordinator.HandOver(ctx)
		cancel()
		f.kill(e)
		f.startEntry(e.name, n)
	case 2: // an agent's process is killed and restarted
		f.stopAgent(a)
		advancer.Sleep(time.Duration(50+r.IntN(3000)) * time.Millisecond)
		f.startAgent(a)
	case 3: // a worker crashes
		f.restartWorker(a)
	case 4: // an agent is partitioned from the entries
		silent := r.IntN(2) == 0
		names := slices.Collect(maps.Keys(f.entries)) // entries keep their names across restarts
		for _, name := range names {
			f.network.SetPartition(a.name, name, true, silent)
		}
		afterRandom(1000, 12000, func() {
			for _, name := range names {
				f.network.SetPartition(a.name, name, false, false)
			}
		})
	case 5: // the store is down
		set(func() { f.storeDown = true })()
		afterRandom(500, 9000, set(func() { f.storeDown = false }))
	case 6: // the store rejects the calls of one instance
		set(func() { f.rejected[e.name] = true })()
		afterRandom(500, 9000, set(func() { f.rejected[e.name] = false }))
	case 7: // replies of the store are lost
		set(func() { f.storeReplyLoss = 0.3 })()
		afterRandom(500, 6000, set(func() { f.storeReplyLoss = 0 }))
	case 8: // replies of workers are lost and their commands applied late
		set(func() { f.workerReplyLoss = 0.1 })()
		afterRandom(1000, 6000, set(func() { f.workerReplyLoss = 0 }))
	}
	if r.IntN(8) == 0 {
		f.store.Compact()
	}
}

// injectFreezeOrFault freezes an entry, mostly the owner, removes an agent with its
// worker, or injects one of the other faults.
func (f *fleet) injectFreezeOrFault(r *rand.Rand) {
	f.disturb("", maxFaultDuration)
	switch n := r.IntN(8); {
	case n < 3:
		e := f.entry(r.IntN(16))
		if owners := f.owners(); len(owners) > 0 && n < 2 {
			e = owners[0]
		}
		f.setFrozen(e, true)
		time.AfterFunc(time.Duration(500+r.IntN(7000))*time.Millisecond, func() { f.setFrozen(e, false) })
	case n == 3:
		a := f.agents[fmt.Sprintf("agent-%d", r.IntN(2))] // the others have room for all tasks
		f.restartWorker(a)
		f.stopAgent(a)
	default:
		f.injectFault(r)
	}
}

// injectRestartOrFault restarts a worker under its ID, beside lost replies or a restart of
// its agent, or injects one of the other faults.
func (f *fleet) injectRestartOrFault(r *rand.Rand) {
	f.disturb("", maxFaultDuration)
	n := r.IntN(6)
	if n > 3 {
		f.injectFault(r)
		return
	}
	a := f.agents[fmt.Sprintf("agent-%d", r.IntN(len(f.agents)))]
	if n > 0 {
		f.setFaults(func() { f.workerReplyLoss = 0.3 })
		time.AfterFunc(time.Duration(1000+r.IntN(4000))*time.Millisecond, func() { f.setFaults(func() { f.workerReplyLoss = 0 }) })
	}
	for range 1 + r.IntN(2) {
		advancer.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
		a.worker.Crash()
		if n == 3 {
			f.stopAgent(a)
		}
		advancer.Sleep(time.Duration(20+r.IntN(1200)) * time.Millisecond)
		f.restartWorkerUnderItsID(a)
		if n == 3 {
			f.startAgent(a)
		}
	}
}

// injectShortListOrFault restarts an agent, mostly while the store is down, whose worker lists
// maxListedEnds ends at once, or injects one of the other faults.
func (f *fleet) injectShortListOrFault(r *rand.Rand) {
	const maxListedEnds = 2
	f.disturb("", maxFaultDuration)
	for _, a := range f.agents {
		a.worker.LimitListedEnds(maxListedEnds)
	}
	if r.IntN(3) == 0 {
		f.injectFault(r)
		return
	}
	if r.IntN(3) > 0 {
		f.setFaults(func() { f.storeDown = true })
		time.AfterFunc(time.Duration(500+r.IntN(5000))*time.Millisecond, func() { f.setFaults(func() { f.storeDown = false }) })
	}
	a := f.agents[fmt.Sprintf("agent-%d", r.IntN(len(f.agents)))]
	for range 1 + r.IntN(2) {
		f.stopAgent(a)
		advancer.Sleep(time.Duration(50+r.IntN(3000)) * time.Millisecond)
		f.startAgent(a)
		advancer.Sleep(time.Duration(r.IntN(500)) * time.Millisecond)
	}
}

// clearFaults ends all injected faults.
func (f *fleet) clearFaults() {
	f.mu.Lock()
	f.storeDown, f.storeReplyLoss, f.workerReplyLoss, f.failingRuns = false, 0, 0, usualFailures
	f.callFaults, f.readsCut = map[string]float64{}, map[string]bool{}
	f.rejected, f.frozen = map[string]bool{}, map[string]bool{}
	f.mu.Unlock()
	for name := range f.entries {
		f.network.SetFrozen(name, false)
		for other := range f.entries {
			f.network.SetPartition(name, other, false, false)
		}
		for _, a := range f.agents {
			f.network.SetPartition(a.name, name, false, false)
		}
	}
	for _, a := range f.agents {
		f.network.SetFrozen(a.name, false)
	}
}
