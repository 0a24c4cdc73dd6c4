package coordinator_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/acceptor"
	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/sequencer"
)

var (
	histories = flag.Int("histories", 12, "seeded histories of a fleet under faults")
	logged    = flag.Bool("logged", false, "print the log of each process")
	firstSeed = flag.Uint64("seed", 1, "seed of the first history")
)

// failedSeeds are seeds that once failed, with the cause.
var failedSeeds = []uint64{
	77,   // a transaction with struck agents had 33 entries and was refused for ever
	120,  // an end listed twice was counted twice as failed
	4029, // an isolated owner whose release failed owned its epoch a second time
	243,  // a task ran twice, 7 times of 20; mended by the change for 4029
	138,  // a done end was dropped where the task had been started again
}

// TestHistories plays fleets of entries, agents and workers under kills, cuts,
// outages and lost calls, and checks what workers and callers saw.
func TestHistories(t *testing.T) {
	seeds := slices.Clone(failedSeeds)
	for n := range *histories {
		seeds = append(seeds, *firstSeed+uint64(n))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playHistory(t, seed) })
		})
	}
}

func playHistory(t *testing.T, seed uint64) {
	c := qt.New(t)
	r := rand.New(rand.NewPCG(seed, 0))
	ctx, cancel := context.WithCancel(context.Background())
	f := newFleet(ctx, t, seed, 3, 5)
	advancer.Sleep(3 * time.Second)
	var ids []string
	end := time.Now().Add(40 * time.Second)
	nextFault := time.Now().Add(2 * time.Second)
	for time.Now().Before(end) {
		advancer.Sleep(time.Duration(50+r.IntN(300)) * time.Millisecond)
		if id := f.submit(r); id != "" {
			ids = append(ids, id)
		}
		if len(ids) > 0 && r.Float64() < 0.08 {
			f.cancel(ids[r.IntN(len(ids))], r)
		}
		if len(ids) > 0 {
			f.ask(ids[r.IntN(len(ids))], r)
		}
		if time.Now().After(nextFault) {
			f.trouble(r)
			nextFault = time.Now().Add(time.Duration(500+r.IntN(5000)) * time.Millisecond)
		}
	}
	f.calm()
	// A lost owner and agent cost at most proof and lease, 16 s; the rest is
	// the work that is left.
	advancer.Sleep(60 * time.Second)
	open := f.open(ids)
	cancel()
	f.close()
	c.Check(f.book.Violations(), qt.HasLen, 0)
	c.Check(open, qt.HasLen, 0)
	c.Check(f.book.StartCount() > 50, qt.IsTrue, qt.Commentf("only %d starts", f.book.StartCount()))
	advancer.Sleep(time.Minute) // what was late ends
}

// submit hands a job in at some entry and returns its ID if it was accepted.
func (f *fleet) submit(r *rand.Rand) string {
	id := fmt.Sprintf("%016x", r.Uint64())
	spec := &sequencer.Spec{ID: id, Queue: "queue", Pool: "pool", MaxAttempts: 4, StretchFactor: 2, LatencyAllowance: time.Second}
	for n := range 1 + r.IntN(3) {
		step := sequencer.Step{Count: 1 + r.IntN(4), CPU: int64(500 + r.IntN(1500)), Memory: int64(100 + r.IntN(900)), Estimate: time.Second}
		if n > 0 {
			step.DependsOn = []int{n - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	if r.Float64() < 0.06 {
		spec.Steps = []sequencer.Step{{Count: 2, CPU: 500, Memory: 100, LongRunning: true}}
	}
	f.book.AddJob(spec)
	for range 1 + r.IntN(3) { // a caller that learns nothing asks another entry
		err := f.submitAt(f.some(r.IntN(16)), spec)
		switch {
		case err == nil:
			return id
		case errors.Is(err, acceptor.ErrNotAccepted):
			f.book.RejectJob(id)
			return ""
		}
		advancer.Sleep(time.Duration(5+r.IntN(300)) * time.Millisecond)
	}
	return ""
}

func (f *fleet) submitAt(e *entryNode, spec *sequencer.Spec) error {
	ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
	defer cancel()
	again := *spec
	return e.c.Acceptor.Submit(ctx, &again)
}

func (f *fleet) cancel(id string, r *rand.Rand) {
	ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
	defer cancel()
	f.book.CancelJob(id, false)
	if err := f.some(r.IntN(16)).c.Acceptor.Cancel(ctx, "queue", id); err == nil {
		f.book.CancelJob(id, true)
	}
}

func (f *fleet) ask(id string, r *rand.Rand) {
	ctx, cancel := context.WithTimeout(f.ctx, 2*time.Second)
	defer cancel()
	state, err := f.some(r.IntN(16)).c.Acceptor.State(ctx, "queue", id)
	if errors.Is(err, acceptor.ErrNotFound) {
		f.book.ReportMissing(id)
	}
	if err == nil {
		f.book.CheckState(id, state)
	}
}

// trouble brings one fault about.
func (f *fleet) trouble(r *rand.Rand) {
	later := func(least, most int, do func()) {
		time.AfterFunc(time.Duration(least+r.IntN(most-least))*time.Millisecond, do)
	}
	set := func(do func()) func() { return func() { f.set(do) } }
	e := f.some(r.IntN(16))
	a := f.agents[fmt.Sprintf("agent-%d", r.IntN(len(f.agents)))]
	var n int
	_, _ = fmt.Sscanf(e.name, "entry-%d", &n)
	switch r.IntN(9) {
	case 0: // an entry is killed and comes back
		f.kill(e)
		advancer.Sleep(time.Duration(100+r.IntN(2000)) * time.Millisecond)
		f.startEntry(e.name, n)
	case 1: // an entry is stopped in order
		ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
		e.c.Leave(ctx)
		cancel()
		f.kill(e)
		f.startEntry(e.name, n)
	case 2: // an agent's process is killed and comes back
		f.stopAgent(a)
		advancer.Sleep(time.Duration(50+r.IntN(3000)) * time.Millisecond)
		f.startAgent(a)
	case 3: // a worker crashes
		f.boot(a)
	case 4: // an agent is cut off from the entries
		silent := r.IntN(2) == 0
		names := slices.Collect(maps.Keys(f.entries)) // entries come back under their names
		for _, name := range names {
			f.network.SetPartition(a.name, name, true, silent)
		}
		later(1000, 12000, func() {
			for _, name := range names {
				f.network.SetPartition(a.name, name, false, false)
			}
		})
	case 5: // the store is down
		set(func() { f.down = true })()
		later(500, 9000, set(func() { f.down = false }))
	case 6: // the store turns an instance away
		set(func() { f.away[e.name] = true })()
		later(500, 9000, set(func() { f.away[e.name] = false }))
	case 7: // answers of the store are lost
		set(func() { f.loss = 0.3 })()
		later(500, 6000, set(func() { f.loss = 0 }))
	case 8: // workers leave orders unanswered and carry them out late
		set(func() { f.lossy = 0.1 })()
		later(1000, 6000, set(func() { f.lossy = 0 }))
	}
	if r.IntN(8) == 0 {
		f.store.Compact()
	}
}

// calm ends all troubles.
func (f *fleet) calm() {
	f.mu.Lock()
	f.down, f.loss, f.lossy = false, 0, 0
	f.away = map[string]bool{}
	f.mu.Unlock()
	for name := range f.entries {
		for _, a := range f.agents {
			f.network.SetPartition(a.name, name, false, false)
		}
	}
}

// open returns the accepted jobs that have not come to their end: lasting ones
// must run, the others be over.
func (f *fleet) open(ids []string) []string {
	running := map[string]bool{}
	for _, a := range f.agents {
		for _, task := range a.worker.Running() {
			running[task] = true
		}
	}
	var open []string
	for n, id := range ids {
		ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
		state, err := f.some(n).c.Acceptor.State(ctx, "queue", id)
		cancel()
		if err != nil {
			open = append(open, fmt.Sprintf("%s: %v", id, err))
			continue
		}
		f.book.CheckState(id, state)
		switch {
		case state.Final():
			for task := range running {
				if task[:16] == id {
					open = append(open, fmt.Sprintf("%s is %s and %s runs on", id, state, task))
				}
			}
		case f.book.Spec(id).Steps[0].LongRunning:
			for k := range 2 {
				if name := fmt.Sprintf("%s.0.0.%d", id, k); !running[name] {
					open = append(open, name+" does not run")
				}
			}
		default:
			open = append(open, fmt.Sprintf("%s is %s", id, state))
		}
	}
	return open
}
