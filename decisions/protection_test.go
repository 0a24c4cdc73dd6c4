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

// The simulated service shares its instance with noisy batch tasks, which arrive in
// waves. Its tail latency without batch tasks varies with its load.
const (
	baselineTail       = 90 * time.Millisecond
	contractTail       = 250 * time.Millisecond
	window             = 10 * time.Second
	protectionDuration = 40 * time.Minute
	maxRunning         = 6 // batch tasks
	ask                = 100
)

// interference maps the kinds of batch tasks to their true interference
// coefficients at full share. Of the controllers, only oracle may read it.
var interference = map[string]float64{"rolls": 0.02, "badges": 0.05, "totals": 0.3, "export": 0.9, "scan": 1.8}

// wave is the arrival of some tasks of one kind.
type wave struct {
	arrivesAt time.Duration
	kind      string
	tasks     int
	duration  time.Duration // of each task, at full share
}

func drawWaves(seed uint64) []wave {
	rng := rand.New(rand.NewPCG(seed, 3))
	names := []string{"rolls", "badges", "totals", "export", "scan"}
	var waves []wave
	for arrivesAt := 5 * time.Second; arrivesAt < protectionDuration; arrivesAt += time.Duration(20+rng.IntN(40)) * time.Second {
		waves = append(waves, wave{arrivesAt, names[rng.IntN(len(names))], 1 + rng.IntN(4), time.Duration(20+rng.IntN(60)) * time.Second})
	}
	return waves
}

// batchTask is a simulated batch task.
type batchTask struct {
	protector.Task
	remaining time.Duration
	share     float64
}

// outcome is the result of a simulation.
type outcome struct {
	contractMet  float64       // fraction of windows within the contract
	work         time.Duration // done by batch tasks, at full share
	evictions    int
	shareChanges int // shows oscillation
}

// controller sets the shares of the tasks at each step, given the measured tail
// latency, and returns the indices of the tasks to evict. trueTail returns the true
// tail latency for some shares.
type controller func(now time.Time, tasks []*batchTask, tail time.Duration, trueTail func(shares []float64) float64) (evict []int)

// simulateProtection runs waves of tasks under a controller. observe, if not nil,
// gets noisy and late measurements of interference.
func simulateProtection(seed uint64, control controller, observe func(kind string, effect float64)) outcome {
	rng := rand.New(rand.NewPCG(seed, 4))
	var out outcome
	var running, queue []*batchTask
	upcoming := drawWaves(seed)
	start := time.Unix(1_000_000, 0)
	exceeding, steps := 0.0, 0
	measuredTail := baselineTail
	windows, windowsMet, n := 0, 0, 0
	type measurement struct {
		observedAt time.Duration
		kind       string
		effect     float64
	}
	var delayed []measurement
	for elapsed := time.Duration(0); elapsed < protectionDuration; elapsed += protector.StepInterval {
		now := start.Add(elapsed)
		for len(upcoming) > 0 && upcoming[0].arrivesAt <= elapsed {
			w := upcoming[0]
			upcoming = upcoming[1:]
			for range w.tasks {
				n++
				queue = append(queue, &batchTask{Task: protector.Task{ID: fmt.Sprintf("%s-%04d", w.kind, n), Kind: w.kind, Evictable: true}, remaining: w.duration, share: 1})
			}
		}
		for len(running) < maxRunning && len(queue) > 0 {
			b := queue[0]
			queue = queue[1:]
			b.StartedAt = now
			running = append(running, b)
		}
		// The tail latency and the interference vary with the service's own load.
		loadFactor := 1 + 0.25*triangleWave(elapsed, 7*time.Minute)
		trueTail := func(shares []float64) float64 {
			m := 1.0
			for i, b := range running {
				m += interference[b.Kind] * loadFactor * shares[i]
			}
			return float64(baselineTail) * loadFactor * m
		}
		shareBefore := map[string]float64{}
		for _, b := range running {
			shareBefore[b.ID] = b.share
		}
		evicted := control(now, running, measuredTail, trueTail)
		for _, b := range running {
			if b.share != shareBefore[b.ID] {
				out.shareChanges++
			}
		}
		slices.Sort(evicted)
		for _, i := range slices.Backward(evicted) {
			out.evictions++
			queue = append(queue, running[i])
			running = slices.Delete(running, i, i+1)
		}
		shares := make([]float64, len(running))
		for i, b := range running {
			shares[i] = b.share
		}
		tail := trueTail(shares)
		// The agent measures the tail latency from about a hundred requests.
		measuredTail = time.Duration(tail * (1 + 0.06*rng.NormFloat64()))
		exceeding += fractionAbove(tail)
		if steps++; steps == int(window/protector.StepInterval) {
			windows++
			// The p99 of a window is within the bound if at most a hundredth of
			// its requests took longer.
			if exceeding/float64(steps) <= 0.01 {
				windowsMet++
			}
			exceeding, steps = 0, 0
		}
		for i, b := range running {
			done := time.Duration(float64(protector.StepInterval) * shares[i])
			b.remaining -= done
			out.work += done
			if rng.IntN(20) == 0 {
				estimate := interference[b.Kind] * loadFactor * (1 + 0.2*rng.NormFloat64())
				delayed = append(delayed, measurement{elapsed + time.Duration(5+rng.IntN(25))*time.Second, b.Kind, estimate})
			}
		}
		running = slices.DeleteFunc(running, func(b *batchTask) bool { return b.remaining <= 0 })
		delayed = slices.DeleteFunc(delayed, func(m measurement) bool {
			if m.observedAt <= elapsed && observe != nil {
				observe(m.kind, m.effect)
			}
			return m.observedAt <= elapsed
		})
	}
	out.contractMet = float64(windowsMet) / float64(windows)
	return out
}

// fractionAbove returns the fraction of requests that take longer than the
// contract's bound, given their p99, for exponentially distributed latencies.
func fractionAbove(p99 float64) float64 {
	return math.Pow(100, -float64(contractTail)/p99)
}

// triangleWave returns a triangle wave between -1 and 1.
func triangleWave(elapsed, period time.Duration) float64 {
	x := float64(elapsed%period) / float64(period)
	if x < 0.5 {
		return 4*x - 1
	}
	return 3 - 4*x
}

// newProtector returns a controller that uses a protector, and the protector's
// observe function.
func newProtector() (controller, func(string, float64)) {
	p := protector.New(contractTail)
	return func(now time.Time, tasks []*batchTask, tail time.Duration, _ func([]float64) float64) []int {
		list := make([]protector.Task, len(tasks))
		for i, b := range tasks {
			list[i] = b.Task
		}
		var evict []int
		for _, o := range p.Step(now, list, tail) {
			i := slices.IndexFunc(tasks, func(b *batchTask) bool { return b.ID == o.ID })
			if o.Evict {
				evict = append(evict, i)
				continue
			}
			tasks[i].share = o.Share
		}
		return evict
	}, p.ObserveInterference
}

// evictAboveBound evicts a task whenever the measured tail latency exceeds the bound.
func evictAboveBound(_ time.Time, tasks []*batchTask, tail time.Duration, _ func([]float64) float64) []int {
	if tail <= contractTail || len(tasks) == 0 {
		return nil
	}
	return []int{len(tasks) - 1} // the last to start
}

// noProtection changes no shares and evicts nothing.
func noProtection(time.Time, []*batchTask, time.Duration, func([]float64) float64) []int { return nil }

// oracle knows the true interference and sets the largest shares that keep the
// contract, starting with the tasks that interfere least.
func oracle(_ time.Time, tasks []*batchTask, _ time.Duration, trueTail func([]float64) float64) []int {
	order := make([]int, len(tasks))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return int(1000 * (interference[tasks[a].Kind] - interference[tasks[b].Kind]))
	})
	shares := make([]float64, len(tasks))
	for _, i := range order {
		shares[i] = 1
		for shares[i] > 0 && trueTail(shares) > float64(contractTail)*0.98 {
			shares[i] = max(0, shares[i]-0.01)
		}
		tasks[i].share = shares[i]
	}
	return nil
}

// TestProtectionKeepsTheContract checks that the contract is met in at least 99% of
// windows, and that batch tasks do at least 80% of the work that they do under the
// oracle, with less than a tenth of the evictions of a simple threshold.
func TestProtectionKeepsTheContract(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var protected, simple, ideal, none outcome
	const seeds = 5
	add := func(sum *outcome, out outcome) {
		sum.contractMet += out.contractMet / seeds
		sum.work += out.work
		sum.evictions += out.evictions
		sum.shareChanges += out.shareChanges
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		control, observe := newProtector()
		add(&protected, simulateProtection(seed, control, observe))
		add(&simple, simulateProtection(seed, evictAboveBound, nil))
		add(&ideal, simulateProtection(seed, oracle, nil))
		add(&none, simulateProtection(seed, noProtection, nil))
	}
	for _, row := range []struct {
		name string
		v    outcome
	}{{"protector", protected}, {"threshold", simple}, {"perfect", ideal}, {"none", none}} {
		t.Logf("%-10s windows met %.4f, batch work %.3f of perfect, evictions %d, share changes a minute %.1f",
			row.name, row.v.contractMet, float64(row.v.work)/float64(ideal.work), row.v.evictions, float64(row.v.shareChanges)/(seeds*protectionDuration.Minutes()))
	}
	c.Check(protected.contractMet >= 0.99, qt.IsTrue, qt.Commentf("met %.4f", protected.contractMet))
	c.Check(float64(protected.work) >= 0.8*float64(ideal.work), qt.IsTrue)
	c.Check(protected.evictions*10 < simple.evictions, qt.IsTrue, qt.Commentf("%d of %d", protected.evictions, simple.evictions))
}
