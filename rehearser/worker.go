package rehearser

import (
	"math/rand/v2"
	"time"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/pacer"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/simulator"
)

// Delays of a worker and its agent.
const (
	// paceDelay is the time until a pace takes effect.
	paceDelay = 100 * time.Millisecond
	// defaultSaveInterval is how often a run saves its progress if the pattern doesn't say.
	defaultSaveInterval = 500 * time.Millisecond
	// moveDelay is the time between stopping a run and the next start of its task.
	moveDelay = 150 * time.Millisecond
)

// run is a run on a worker.
type run struct {
	task    *sequencer.Task
	image   string
	serving *simulator.ServingTask // nil for other tasks
	// left is the work left, saved the work left at the last checkpoint, total the work of
	// the task, in thousandths of a core-second.
	left, saved, total float64
	savedAt, startedAt time.Time
	// pacedTime is the time that the agent has let it run, in terms of full pace, resumed is set if
	// it began from a checkpoint.
	pacedTime time.Duration
	resumed   bool
	// restoredAt is when it has read its saved progress and goes on.
	restoredAt time.Time
	// pace is the pace set in percent, applied the one in effect, which follows at paceAt.
	pace, applied int
	paceAt        time.Time
	usedCPU       int64 // as last measured
	tailMs        int64 // as last measured
	stopAt        time.Time
	worksAt       time.Time
	moveTo        *worker
}

// worker is a worker with its agent.
type worker struct {
	id          string
	rack        string // empty if the pattern has none
	remote      float64
	cpu, memory int64
	lost        bool
	runs        []*run
	tasks       simulator.SimulatedWorker
	pacer       *pacer.Pacer
	// saveInterval is how often its runs save their progress.
	saveInterval time.Duration
	updates      uint64 // measurement updates that the owner has learned from
	measureAt    time.Time
}

func newWorker(id string, cpu, memory int64, r *rand.Rand, interference func(bestEffortImage, servingImage string) float64) *worker {
	return &worker{id: id, cpu: cpu, memory: memory, pacer: pacer.New(), saveInterval: defaultSaveInterval, tasks: simulator.SimulatedWorker{Rand: r, Interference: interference}}
}

// candidate returns the worker as a candidate for placement, with its runs reserved
// but for their interference.
func (w *worker) candidate() *allocator.Candidate {
	c := &allocator.Candidate{ID: w.id, CPU: w.cpu, Memory: w.memory, Speed: 1}
	if w.rack != "" {
		c.Labels = []string{w.rack}
	}
	for _, r := range w.runs {
		c.Reserve(r.task.StepSpec(), r.task.StepName())
		if r.task.StepSpec().BestEffort {
			c.BestEffortCPU += r.demand()*int64(r.pace)/100 - r.task.StepSpec().CPU
		}
	}
	return c
}

// away reports whether the data of a task is in another rack.
func (w *worker) away(t *sequencer.Task) bool {
	rack := t.StepSpec().PreferredRack
	return rack != "" && rack != w.rack
}

// demand returns the CPU that a best-effort run is expected to use at full pace.
func (r *run) demand() int64 {
	declared := r.task.StepSpec().CPU
	if r.usedCPU <= 0 || r.pace < 20 {
		return declared
	}
	return min(max(r.usedCPU*100/int64(r.pace), declared/3), declared*2)
}

// usage returns the share of the worker that each best-effort image uses, and the CPU
// that a best-effort run gets of what its pace allows.
func (w *worker) usage(now time.Time, elapsed time.Duration) (map[string]float64, float64) {
	others, wanted := 0.0, 0.0
	loads := w.tasks.Loads(elapsed)
	for _, r := range w.runs {
		cpu := float64(r.task.StepSpec().CPU)
		switch {
		case r.serving != nil:
			others += cpu * loads[r.serving]
		case now.Before(r.restoredAt):
		case r.task.StepSpec().BestEffort:
			wanted += cpu * float64(r.applied) / 100
		default:
			others += cpu
		}
	}
	share := 1.0
	if wanted > 0 {
		share = min(max(float64(w.cpu)-others, 0)/wanted, 1)
	}
	usage := map[string]float64{}
	for _, r := range w.runs {
		if r.task.StepSpec().BestEffort && !now.Before(r.restoredAt) {
			usage[r.image] += share * float64(r.task.StepSpec().CPU) * float64(r.applied) / 100 / float64(w.cpu)
		}
	}
	return usage, share
}

// advance runs the tasks for a step of time and returns the runs that have ended.
func (w *worker) advance(now time.Time, elapsed, step time.Duration) (ended []*run) {
	_, share := w.usage(now, elapsed)
	kept := w.runs[:0]
	for _, r := range w.runs {
		if !now.Before(r.paceAt) {
			r.applied = r.pace
		}
		if r.serving == nil && !now.Before(r.restoredAt) {
			speed := 1.0
			r.pacedTime += step * time.Duration(r.applied) / 100
			if r.task.StepSpec().BestEffort {
				speed = share * float64(r.applied) / 100
			}
			if w.away(r.task) {
				speed /= w.remote
			}
			if now.Before(r.worksAt) {
				speed = 0
			}
			r.left -= float64(r.task.StepSpec().CPU) * speed * step.Seconds()
			if r.task.StepSpec().Checkpointable && now.Sub(r.savedAt) >= w.saveInterval {
				r.savedAt, r.saved = now, r.left
			}
		}
		if r.serving == nil && r.left <= 0 || !r.stopAt.IsZero() && !now.Before(r.stopAt) {
			ended = append(ended, r)
			continue
		}
		kept = append(kept, r)
	}
	w.runs = kept
	return ended
}

// measure updates the measurements and lets the pacer decide. It returns the number of
// changed paces.
func (w *worker) measure(now time.Time, elapsed time.Duration, target time.Duration) int {
	usage, share := w.usage(now, elapsed)
	w.tasks.UpdateMeasurements(elapsed, usage)
	runs := make([]pacer.Run, 0, len(w.runs))
	byTask := map[string]*run{}
	for _, r := range w.runs {
		spec := r.task.StepSpec()
		p := pacer.Run{Task: r.task.Name(), Attempt: 1, Group: r.task.StepName(), Image: r.image, BestEffort: spec.BestEffort, CPU: spec.CPU, PacePercent: r.pace, PacedSince: r.paceAt}
		byTask[p.Task] = r
		if r.serving != nil {
			r.tailMs = int64(r.serving.ReportedTailMs)
			p.LatencyTargetMs, p.TailLatencyMs, p.ProgressPercent = target.Milliseconds(), r.tailMs, 100
		}
		if spec.BestEffort {
			r.usedCPU = int64(share * float64(spec.CPU) * float64(r.applied) / 100)
			if now.Before(r.restoredAt) {
				r.usedCPU = 0
			}
			p.UsedCPU = r.usedCPU
		}
		runs = append(runs, p)
	}
	changes := w.pacer.Decide(now, w.cpu, runs)
	for _, c := range changes {
		r := byTask[c.Task]
		r.pace, r.paceAt = c.PacePercent, now.Add(paceDelay)
	}
	return len(changes)
}

// setServing rebuilds the simulated serving tasks from the runs.
func (w *worker) setServing() {
	w.tasks.Tasks = w.tasks.Tasks[:0]
	for _, r := range w.runs {
		if r.serving != nil {
			w.tasks.Tasks = append(w.tasks.Tasks, r.serving)
		}
	}
}
