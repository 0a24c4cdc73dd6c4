package decisions

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/protector"
)

// The service beside which noisy tasks come in waves. Its tail without batch
// work moves with its load.
const (
	calmTail     = 90 * time.Millisecond
	contractTail = 250 * time.Millisecond
	window       = 10 * time.Second
	span         = 40 * time.Minute
	room         = 6 // tasks at once
	ask          = 100
)

// kinds of batch work and their true effect on the tail at full share, which
// no policy but the perfect one may read.
var kindEffect = map[string]float64{"rolls": 0.02, "badges": 0.05, "totals": 0.3, "export": 0.9, "scan": 1.8}

// wave is a time at which some tasks of one kind arrive.
type wave struct {
	at    time.Duration
	kind  string
	tasks int
	work  time.Duration // of each, at full share
}

func waves(seed uint64) []wave {
	rng := rand.New(rand.NewPCG(seed, 3))
	names := []string{"rolls", "badges", "totals", "export", "scan"}
	var list []wave
	for at := 5 * time.Second; at < span; at += time.Duration(20+rng.IntN(40)) * time.Second {
		list = append(list, wave{at, names[rng.IntN(len(names))], 1 + rng.IntN(4), time.Duration(20+rng.IntN(60)) * time.Second})
	}
	return list
}

// batch is a task of a run of the scene.
type batch struct {
	protector.Task
	left  time.Duration
	share float64
}

// verdict is what a policy reached.
type verdict struct {
	met       float64 // part of windows that kept the contract
	work      time.Duration
	evictions int
	changes   int // of shares, for oscillation
}

// control decides at each step: it gets the tasks and the tail as measured.
type control func(now time.Time, tasks []*batch, tail time.Duration, truth func(shares []float64) float64) (evict []int)

// protect runs waves of tasks under a control.
func protect(seed uint64, c control, learn func(kind string, effect float64)) verdict {
	rng := rand.New(rand.NewPCG(seed, 4))
	var v verdict
	var running, queue []*batch
	coming := waves(seed)
	start := time.Unix(1_000_000, 0)
	over, steps := 0.0, 0
	seen := calmTail
	windows, kept, n := 0, 0, 0
	type measurement struct {
		at     time.Duration
		kind   string
		effect float64
	}
	var delayed []measurement
	for at := time.Duration(0); at < span; at += protector.StepInterval {
		now := start.Add(at)
		for len(coming) > 0 && coming[0].at <= at {
			w := coming[0]
			coming = coming[1:]
			for range w.tasks {
				n++
				queue = append(queue, &batch{Task: protector.Task{ID: fmt.Sprintf("%s-%04d", w.kind, n), Kind: w.kind, Evictable: true}, left: w.work, share: 1})
			}
		}
		for len(running) < room && len(queue) > 0 {
			b := queue[0]
			queue = queue[1:]
			b.StartedAt = now
			running = append(running, b)
		}
		// The service's own load moves its tail, and the effects with it.
		swing := 1 + 0.25*triangle(at, 7*time.Minute)
		truth := func(shares []float64) float64 {
			m := 1.0
			for i, b := range running {
				m += kindEffect[b.Kind] * swing * shares[i]
			}
			return float64(calmTail) * swing * m
		}
		was := map[string]float64{}
		for _, b := range running {
			was[b.ID] = b.share
		}
		evicted := c(now, running, seen, truth)
		for _, b := range running {
			if b.share != was[b.ID] {
				v.changes++
			}
		}
		slices.Sort(evicted)
		for _, i := range slices.Backward(evicted) {
			v.evictions++
			queue = append(queue, running[i])
			running = slices.Delete(running, i, i+1)
		}
		shares := make([]float64, len(running))
		for i, b := range running {
			shares[i] = b.share
		}
		tail := truth(shares)
		// The tail as the agent sees it, from some hundred requests.
		seen = time.Duration(tail * (1 + 0.06*rng.NormFloat64()))
		over += above(tail)
		if steps++; steps == int(window/protector.StepInterval) {
			windows++
			// The p99 of a window is within the bound when at most a hundredth
			// of its requests took longer.
			if over/float64(steps) <= 0.01 {
				kept++
			}
			over, steps = 0, 0
		}
		for i, b := range running {
			done := time.Duration(float64(protector.StepInterval) * shares[i])
			b.left -= done
			v.work += done
			if rng.IntN(20) == 0 {
				noisy := kindEffect[b.Kind] * swing * (1 + 0.2*rng.NormFloat64())
				delayed = append(delayed, measurement{at + time.Duration(5+rng.IntN(25))*time.Second, b.Kind, noisy})
			}
		}
		running = slices.DeleteFunc(running, func(b *batch) bool { return b.left <= 0 })
		delayed = slices.DeleteFunc(delayed, func(m measurement) bool {
			if m.at <= at && learn != nil {
				learn(m.kind, m.effect)
			}
			return m.at <= at
		})
	}
	v.met = float64(kept) / float64(windows)
	return v
}

// above returns the part of requests that take longer than the contract's
// bound when their p99 is tail, with the tail of an exponential distribution.
func above(tail float64) float64 {
	return math.Pow(100, -float64(contractTail)/tail)
}

// triangle moves between -1 and 1.
func triangle(at, period time.Duration) float64 {
	x := float64(at%period) / float64(period)
	if x < 0.5 {
		return 4*x - 1
	}
	return 3 - 4*x
}

// guarded is the product's protector.
func guarded() (control, func(string, float64)) {
	p := protector.New(contractTail)
	return func(now time.Time, tasks []*batch, tail time.Duration, _ func([]float64) float64) []int {
		list := make([]protector.Task, len(tasks))
		for i, b := range tasks {
			list[i] = b.Task
		}
		var evict []int
		for _, o := range p.Step(now, list, tail) {
			i := slices.IndexFunc(tasks, func(b *batch) bool { return b.ID == o.ID })
			if o.Evict {
				evict = append(evict, i)
				continue
			}
			tasks[i].share = o.Share
		}
		return evict
	}, p.ObserveInterference
}

// threshold evicts a task whenever the measured tail is over the bound.
func threshold(_ time.Time, tasks []*batch, tail time.Duration, _ func([]float64) float64) []int {
	if tail <= contractTail || len(tasks) == 0 {
		return nil
	}
	return []int{len(tasks) - 1} // the last that came
}

// nothing protects nobody.
func nothing(time.Time, []*batch, time.Duration, func([]float64) float64) []int { return nil }

// perfect knows the true effects and gives the largest shares that keep the
// contract, the least harmful tasks first.
func perfect(_ time.Time, tasks []*batch, _ time.Duration, truth func([]float64) float64) []int {
	order := make([]int, len(tasks))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return int(1000 * (kindEffect[tasks[a].Kind] - kindEffect[tasks[b].Kind]))
	})
	shares := make([]float64, len(tasks))
	for _, i := range order {
		shares[i] = 1
		for shares[i] > 0 && truth(shares) > float64(contractTail)*0.98 {
			shares[i] = max(0, shares[i]-0.01)
		}
		tasks[i].share = shares[i]
	}
	return nil
}

// TestProtectionKeepsTheContract: the contract is met in at least 99% of
// windows, batch keeps at least 80% of what perfect knowledge keeps, with under
// a tenth of the evictions of a simple threshold.
func TestProtectionKeepsTheContract(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var own, simple, ideal, none verdict
	const seeds = 5
	add := func(sum *verdict, v verdict) {
		sum.met += v.met / seeds
		sum.work += v.work
		sum.evictions += v.evictions
		sum.changes += v.changes
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		ctl, learn := guarded()
		add(&own, protect(seed, ctl, learn))
		add(&simple, protect(seed, threshold, nil))
		add(&ideal, protect(seed, perfect, nil))
		add(&none, protect(seed, nothing, nil))
	}
	for _, row := range []struct {
		name string
		v    verdict
	}{{"protector", own}, {"threshold", simple}, {"perfect", ideal}, {"none", none}} {
		t.Logf("%-10s windows met %.4f, batch work %.3f of perfect, evictions %d, share changes a minute %.1f",
			row.name, row.v.met, float64(row.v.work)/float64(ideal.work), row.v.evictions, float64(row.v.changes)/(seeds*span.Minutes()))
	}
	c.Check(own.met >= 0.99, qt.IsTrue, qt.Commentf("met %.4f", own.met))
	c.Check(float64(own.work) >= 0.8*float64(ideal.work), qt.IsTrue)
	c.Check(own.evictions*10 < simple.evictions, qt.IsTrue, qt.Commentf("%d of %d", own.evictions, simple.evictions))
}
