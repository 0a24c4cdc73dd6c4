package coordinator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/platform"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// evacuationBound is the time after the acknowledgement of a request from which on nothing may start.
const evacuationBound = 5 * time.Second

// domains is the number of failure domains of a fleet.
const domains = 3

// domainOf returns the failure domain of a worker.
func domainOf(n int) string { return fmt.Sprint("domain-", n%domains) }

// evacuationAudit checks that no worker starts a task in an evacuated domain.
type evacuationAudit struct {
	mu sync.Mutex
	// ackedAt is when the request for a domain was acknowledged that has not been withdrawn.
	ackedAt    map[string]time.Time
	violations []string
	// requests counts the requests, within the starts in evacuated domains before the bound, and beside those in
	// other domains meanwhile.
	requests, within, beside int
	// latest is the longest time from an acknowledgement to a start in the domain.
	latest time.Duration
}

// observe checks a start.
func (a *evacuationAudit) observe(domain string, e faker.PoolEvent) {
	if e.Kind != "start" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	ackedAt, evacuated := a.ackedAt[domain]
	switch {
	case evacuated && e.At.Sub(ackedAt) > evacuationBound:
		a.violations = append(a.violations, fmt.Sprintf("%s#%d started on %s in %s, which was evacuated %s before", e.Task, e.Attempt, e.Incarnation, domain, e.At.Sub(ackedAt)))
	case evacuated:
		a.within++
		a.latest = max(a.latest, e.At.Sub(ackedAt))
	case len(a.ackedAt) > 0:
		a.beside++
	}
}

// add adds what another audit has counted.
func (a *evacuationAudit) add(other *evacuationAudit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests, a.within, a.beside, a.latest = a.requests+other.requests, a.within+other.within, a.beside+other.beside, max(a.latest, other.latest)
}

// evacuate requests the evacuation of a domain, and withdraws it some time after the request was
// acknowledged. While the store is down, the operator tries again.
func (f *fleet) evacuate(domain string, duration time.Duration) {
	a := f.evacuations
	a.mu.Lock()
	_, evacuated := a.ackedAt[domain]
	a.mu.Unlock()
	if evacuated {
		return
	}
	f.awaitStore()
	_, err := f.store.Client().Commit(f.ctx, storer.Transaction{Writes: []storer.Write{{Key: platform.EvacuationKey(domain)}}})
	a.mu.Lock()
	if err == nil && a.ackedAt[domain].IsZero() {
		a.ackedAt[domain] = time.Now()
		a.requests++
	}
	a.mu.Unlock()
	advancer.Sleep(duration)
	f.awaitStore()
	a.mu.Lock()
	delete(a.ackedAt, domain)
	a.mu.Unlock()
	f.store.DeleteKey(platform.EvacuationKey(domain))
}

// awaitStore waits until the store answers.
func (f *fleet) awaitStore() {
	for f.ctx.Err() == nil {
		f.mu.Lock()
		down := f.storeDown
		f.mu.Unlock()
		if !down {
			return
		}
		advancer.Sleep(100 * time.Millisecond)
	}
}

// operatorReads returns a store whose reads of an entry can be cut, while its other calls go on.
func (f *fleet) operatorReads(name string, s *storer.Store) *storer.Store {
	list, watch := s.ListPage, s.Watch
	cut := func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.readsCut[name]
	}
	reads := *s
	reads.ListPage = func(ctx context.Context, prefix, after string) (storer.Page, error) {
		if cut() {
			advancer.Sleep(time.Second)
			return storer.Page{}, storer.ErrUnavailable
		}
		return list(ctx, prefix, after)
	}
	reads.Watch = func(ctx context.Context, prefix string, after uint64, until time.Time) (storer.Page, error) {
		if cut() {
			advancer.Sleep(time.Second)
			return storer.Page{}, storer.ErrUnavailable
		}
		return watch(ctx, prefix, after, until)
	}
	return &reads
}

// injectEvacuation requests the evacuation of one, two or all domains, mostly just before or after
// another fault.
func (f *fleet) injectEvacuation(r *rand.Rand) {
	f.disturb("", maxFaultDuration)
	first := r.IntN(domains)
	evacuated := 1 + r.IntN(2)
	if r.IntN(8) == 0 {
		evacuated = domains
	}
	duration := time.Duration(2000+r.IntN(12000)) * time.Millisecond
	request := func() {
		for n := range evacuated {
			go f.evacuate(domainOf(first+n), duration)
		}
		advancer.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
	}
	before := r.IntN(3) > 0
	if before {
		request()
	}
	owners := f.owners()
	switch n := r.IntN(9); {
	case n < 2:
		f.injectLostOwners(r)
	case n == 8: // all entries start again, and can't read the operator's keys for some time
		f.restartWithoutReads(r)
	case n < 4 && len(owners) > 0: // the watch of the owner is cut
		name := owners[0].name
		f.setFaults(func() { f.readsCut[name] = true })
		time.AfterFunc(time.Duration(1000+r.IntN(9000))*time.Millisecond, func() { f.setFaults(func() { f.readsCut[name] = false }) })
	case n == 4: // an agent, and what is on its way to it, is frozen
		a := f.agents[fmt.Sprintf("agent-%d", r.IntN(len(f.agents)))]
		f.network.SetFrozen(a.name, true)
		time.AfterFunc(time.Duration(500+r.IntN(5000))*time.Millisecond, func() { f.network.SetFrozen(a.name, false) })
	case n == 5:
		f.setFaults(func() { f.workerReplyLoss = 0.3 })
		time.AfterFunc(time.Duration(1000+r.IntN(4000))*time.Millisecond, func() { f.setFaults(func() { f.workerReplyLoss = 0 }) })
	default:
		f.injectFault(r)
	}
	if !before {
		request()
	}
	if r.IntN(3) == 0 {
		f.store.Compact()
	}
}

// restartWithoutReads kills all entries and starts them again, so that none of them has read the
// operator's keys, and lets them do so some seconds later.
func (f *fleet) restartWithoutReads(r *rand.Rand) {
	names := f.entryNames()
	for _, name := range names {
		f.setFaults(func() { f.readsCut[name] = true })
	}
	for n := range names {
		f.kill(f.entry(n))
	}
	for n, name := range names {
		f.startEntry(name, n)
	}
	time.AfterFunc(time.Duration(2000+r.IntN(8000))*time.Millisecond, func() {
		for _, name := range names {
			f.setFaults(func() { f.readsCut[name] = false })
		}
	})
}

// TestHistoriesWithEvacuations adds evacuations beside lost owners, cut watches, outages, compacted
// history, frozen agents and starts that are carried out late. No task may start in a domain later
// than the bound after its evacuation was acknowledged.
func TestHistoriesWithEvacuations(t *testing.T) {
	all := &evacuationAudit{}
	t.Run("histories", func(t *testing.T) {
		for n := range *histories {
			seed := *firstSeed + uint64(n)
			t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := runHistoryWithin(t, seed, evacuationBound, (*fleet).injectEvacuation, &totals{})
					qt.Check(t, f.evacuations.violations, qt.HasLen, 0)
					all.add(f.evacuations)
				})
			})
		}
	})
	t.Logf("%d requests; %d starts in evacuated domains within the bound, the last after %s, %d in others", all.requests, all.within, all.latest, all.beside)
	qt.Check(t, all.requests >= *histories, qt.IsTrue, qt.Commentf("%d requests", all.requests))
	qt.Check(t, all.beside >= *histories, qt.IsTrue, qt.Commentf("%d starts in other domains meanwhile", all.beside))
}

// withEvacuations runs a test of a fleet without faults that follows evacuations.
func withEvacuations(t *testing.T, test func(c *qt.C, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleetWithin(ctx, t, 1, 3, 6, evacuationBound)
		advancer.Sleep(3 * time.Second)
		test(c, f)
		cancel()
		f.close()
		c.Check(f.auditor.Violations(), qt.HasLen, 0)
		c.Check(f.evacuations.violations, qt.HasLen, 0)
		advancer.Sleep(time.Minute)
	})
}

// TestServicesLeaveAnEvacuatedDomain guards against long-running tasks that stay in the domain, and
// against more of a step away than one while they leave.
func TestServicesLeaveAnEvacuatedDomain(t *testing.T) {
	const tasks, services = 9, 2
	withEvacuations(t, func(c *qt.C, f *fleet) {
		for n := range services {
			spec := &sequencer.Spec{
				ID: fmt.Sprintf("%016x", n+1), Queue: "queue", Pool: "pool", MaxAttempts: 4, StretchFactor: 2, LatencyAllowance: time.Second,
				Steps: []sequencer.Step{{Count: tasks, CPU: 500, Memory: 100, LongRunning: true, MaxPerWorker: 2}},
			}
			f.auditor.AddJob(spec)
			c.Assert(f.submitAt(f.entry(n), spec), qt.IsNil)
		}
		advancer.Sleep(3 * time.Second)
		c.Assert(f.runningTasks(), qt.HasLen, tasks*services)
		go f.evacuate(domainOf(0), 40*time.Second)
		for range 6000 {
			advancer.Sleep(5 * time.Millisecond) // a task moves within some 30 ms here
			byService := map[string]int{}
			for task := range f.runningTasks() {
				byService[sequencer.JobOf(task)]++
			}
			for id, running := range byService {
				c.Assert(running >= tasks-1, qt.IsTrue, qt.Commentf("%d of %s run", running, id))
			}
		}
		left := 0
		for n, a := range f.sortedAgents() {
			if domainOf(n) == domainOf(0) {
				left += len(a.worker.Running())
			}
		}
		// Four workers have room for two tasks of each step, so that one of each stays.
		c.Check(left, qt.Equals, services*(tasks-2*4))
		advancer.Sleep(15 * time.Second)
	})
}
