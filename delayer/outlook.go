package delayer

import (
	"math"
	"time"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/sequencer"
)

// horizons are the times ahead for which an outlook says what comes free.
var horizons = [...]time.Duration{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond,
	600 * time.Millisecond, 800 * time.Millisecond, 1000 * time.Millisecond, 1200 * time.Millisecond, MaxWait,
}

// outlookAge is how long an outlook is used: rounds of placement follow each other more closely.
const outlookAge = 50 * time.Millisecond

// Run is a run on a worker.
type Run struct {
	Step      *sequencer.Step
	StartedAt time.Time
	// Slowdown is how many times as long it takes as it would near its data at full pace.
	Slowdown float64
	// Ending is set once it is being stopped.
	Ending bool
}

// outlook is what is expected to come free on a worker.
type outlook struct {
	at time.Time
	// cpu, bestEffort and memory are the expected sums by horizon, in thousandths of a core and MB.
	cpu, bestEffort, memory [len(horizons)]float64
}

// outlook returns the outlook for a worker.
func (d *Delayer) outlook(worker string, r Request) *outlook {
	if known := d.outlooks[worker]; known != nil {
		return known
	}
	o := &outlook{at: r.Now}
	for _, run := range r.Runs(worker) {
		if run.Step.LongRunning && !run.Ending {
			continue
		}
		expected := time.Duration(float64(d.expected(run.Step)) * max(run.Slowdown, 1))
		elapsed := max(r.Now.Sub(run.StartedAt), 0)
		for n, horizon := range horizons {
			p := 1.0
			if !run.Ending {
				p = endsWithin(d.errorsOf(run.Step).sigma(), expected, elapsed, horizon)
			}
			if run.Step.BestEffort {
				o.bestEffort[n] += p * float64(run.Step.CPU)
			} else {
				o.cpu[n] += p * float64(run.Step.CPU)
			}
			o.memory[n] += p * float64(run.Step.Memory)
		}
	}
	d.outlooks[worker] = o
	return o
}

// room is how many tasks of a step are expected to fit by each horizon, and as far as the step limits
// them on each worker.
type room struct {
	slots, limited [len(horizons)]float64
}

// by returns how many tasks one can count on by a horizon.
func (r *room) by(n int) float64 {
	return min(r.slots[n]-caution*math.Sqrt(max(r.slots[n]-r.slots[0], 0)), r.limited[n])
}

// add adds what is expected on a candidate, and reports whether it can run the tasks at all. What is left
// on it beside whole tasks does not count, as it is lost between tasks of different sizes.
func (r *room) add(o *outlook, c *allocator.Candidate, step *sequencer.Step, stepName string) bool {
	if !fitsEmpty(c, step) {
		return false
	}
	limit := math.Inf(1)
	if step.MaxPerWorker > 0 {
		limit = float64(max(step.MaxPerWorker-c.TasksByStep[stepName], 0))
	}
	for n := range horizons {
		fit := math.Inf(1)
		if step.Memory > 0 {
			fit = min(fit, whole(c.Memory-c.UsedMemory, step.Memory)+o.memory[n]/float64(step.Memory))
		}
		switch {
		case step.CPU == 0:
			fit = min(fit, float64(step.Count)) // nothing but memory keeps them from the worker
		case step.BestEffort:
			// A worker with room for them that was not chosen has services that they would slow:
			// they get room as other best-effort tasks end.
			fit = min(fit, max(min(float64(c.ReclaimableCPU()-c.BestEffortCPU), 0)+o.bestEffort[n], 0)/float64(step.CPU))
		default:
			fit = min(fit, whole(c.FreeCPU(), step.CPU)+o.cpu[n]/float64(step.CPU))
		}
		r.slots[n] += max(fit, 0)
		r.limited[n] += max(min(fit, limit), 0)
	}
	return true
}

// fitsEmpty reports whether a task fits on a worker if nothing else that ends runs there.
func fitsEmpty(c *allocator.Candidate, step *sequencer.Step) bool {
	for _, label := range c.Labels {
		if label == step.RequiredLabel {
			return step.CPU <= c.CPU && step.Memory <= c.Memory && step.GPU <= c.GPU
		}
	}
	return step.RequiredLabel == "" && step.CPU <= c.CPU && step.Memory <= c.Memory && step.GPU <= c.GPU
}

// whole returns how many whole tasks fit into what is free.
func whole(free, size int64) float64 { return float64(max(free, 0) / size) }
