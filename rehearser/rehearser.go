// Package rehearser replays load patterns against the decisions of placement, order, pace
// and relocation in simulated time, without processes or a network.
package rehearser

import (
	"fmt"
	"slices"
	"time"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/delayer"
	"github.com/endivefall/endivefall/predictor"
	"github.com/endivefall/endivefall/sequencer"
)

// Steps of the simulated time.
const (
	step = 50 * time.Millisecond
	// measurementInterval is how often workers measure, and relocationInterval how often
	// throttled runs are looked at.
	measurementInterval, relocationInterval = 250 * time.Millisecond, 250 * time.Millisecond
	// settleTime is how long the serving tasks run before the first job arrives.
	settleTime = 5 * time.Second
	// headroomHorizon is how far ahead headroom is predicted for placement.
	headroomHorizon = 1200 * time.Millisecond
	// lateFactor is the multiple of its objective after which a job earns nothing, and
	// lateShare the part of its worth that it earns until then.
	lateFactor, lateShare = 3, 0.15
	pool                  = "pool"
)

// Policy is what a rehearsal decides by.
type Policy struct {
	Name string
	// Pick returns the worker for a task, or nil.
	Pick func(t *sequencer.Task, stepName string, candidates []*allocator.Candidate, now time.Time, interference func(string, string) float64) *allocator.Candidate
	// Rank returns the place of a job in the queue.
	Rank func(j *sequencer.Job, corrections *allocator.Corrections, now time.Time) allocator.Rank
	// Relocate is set if throttled runs are moved.
	Relocate bool
	// Locality is how it decides about racks.
	Locality Locality
	// KnowsPairs is set if the interference of all pairs is known from the start.
	KnowsPairs bool
}

// Rehearser replays one pattern with one policy.
type Rehearser struct {
	pattern   *Pattern
	policy    Policy
	generator *generator
	start     time.Time
	workers   []*worker
	predictor *predictor.Predictor
	open      []*arrival
	byJob     map[string]*arrival
	// saved has the work left of tasks that were stopped, by name.
	saved  map[string]float64
	report *Report
	// delayer decides which steps wait for their rack; nil if the pattern has no racks, or the policy
	// does not know the factor. waitingSince has the steps that the policy AlwaysWait lets wait.
	delayer      *delayer.Delayer
	waitingSince map[string]time.Time
}

// New returns a Rehearser. Patterns with the same seed have the same jobs, whatever the
// policy.
func New(p *Pattern, seed uint64, policy Policy) *Rehearser {
	r := &Rehearser{
		pattern: p, policy: policy, generator: newGenerator(p, seed), start: time.Unix(1_000_000, 0), predictor: predictor.New(),
		byJob: map[string]*arrival{}, saved: map[string]float64{}, waitingSince: map[string]time.Time{}, report: &Report{Policy: policy.Name, Seed: seed},
	}
	r.generator.drawPairs()
	for n := range p.Workers {
		cpu := p.Sizes[n%len(p.Sizes)]
		r.workers = append(r.workers, newWorker(fmt.Sprintf("w%04d", n), cpu, int64(float64(cpu)*p.Memory), r.generator.r, r.generator.interference))
		if p.Save > 0 {
			r.workers[n].saveInterval = p.Save
		}
		if p.Racks > 0 {
			r.workers[n].rack, r.workers[n].remote = rackName(n*p.Racks/p.Workers), p.Remote
		}
	}
	if p.Racks > 0 && policy.Locality != Unaware {
		r.delayer = delayer.New(delayer.Config{Factor: p.Remote})
	}
	return r
}

// Run replays the pattern and returns what callers got.
func (r *Rehearser) Run() *Report {
	r.learnPairs()
	r.fill()
	jobs := newGenerator(r.pattern, r.report.Seed+1<<32) // arrivals don't depend on the policy
	jobs.jobs = r.generator.jobs
	for at := time.Duration(0); at < settleTime+2*r.pattern.Length; at += step {
		now, elapsed := r.start.Add(at), at-settleTime
		if elapsed >= 0 && elapsed < r.pattern.Length {
			for _, a := range jobs.arrivals(now, elapsed, step) {
				r.add(a)
			}
		}
		r.loseWorkers(elapsed)
		r.endServing(now)
		for n, w := range r.workers {
			if w.lost {
				continue
			}
			for _, ended := range w.advance(now, at, step) {
				r.end(w, ended, now)
			}
			if (at/step+time.Duration(n))%(measurementInterval/step) == 0 {
				r.report.Paces += w.measure(now, at, r.pattern.Serving.Target)
				r.learn(w, now)
			}
		}
		if r.policy.Relocate && at%relocationInterval == 0 {
			r.relocate(now)
		}
		r.place(now)
		if elapsed >= 0 && elapsed < r.pattern.Length {
			r.observe(at)
		}
	}
	r.report.finish(r.byJob, r.start.Add(settleTime+2*r.pattern.Length))
	return r.report
}

func (r *Rehearser) add(a *arrival) {
	r.open = append(r.open, a)
	r.byJob[a.job.Spec.ID] = a
}

// fill adds serving jobs until they reserve their share of the workers.
func (r *Rehearser) fill() {
	if r.pattern.Serving.Images == 0 {
		return
	}
	capacity, reserved := 0.0, 0.0
	for _, w := range r.workers {
		capacity += float64(w.cpu)
	}
	for reserved < r.pattern.Serving.Fill*capacity {
		a := r.generator.serving(r.start)
		reserved += float64(a.job.Spec.Steps[0].CPU) * float64(a.job.Spec.Steps[0].Count)
		r.add(a)
		r.place(r.start)
	}
}

// learnPairs tells the owner the interference of all pairs if the policy says so.
func (r *Rehearser) learnPairs() {
	if !r.policy.KnowsPairs {
		return
	}
	for pair, coefficient := range r.generator.pairs {
		for _, p := range append([]*predictor.Predictor{r.predictor}, r.pacers()...) {
			p.Merge(r.start, pair[0], pair[1], coefficient/r.pattern.Serving.Tail.Seconds(), 1e-6)
		}
	}
}

func (r *Rehearser) pacers() []*predictor.Predictor {
	var list []*predictor.Predictor
	for _, w := range r.workers {
		list = append(list, w.pacer.Predictor)
	}
	return list
}

// learn passes a worker's measurements to the owner.
func (r *Rehearser) learn(w *worker, now time.Time) {
	if w.pacer.MeasurementUpdates == w.updates {
		return
	}
	w.updates = w.pacer.MeasurementUpdates
	usage := predictor.Usage{}
	for _, run := range w.runs {
		if run.task.StepSpec().BestEffort {
			usage[run.image] += float64(run.usedCPU) / float64(w.cpu)
		}
	}
	for _, run := range w.runs {
		if run.serving == nil {
			continue
		}
		tail := w.pacer.TailLatencyMs(run.task.Name() + "/1")
		if tail <= 0 {
			continue
		}
		target := run.task.StepSpec().LatencyTargetMs
		r.predictor.Learn(now, predictor.Sample{Group: run.task.StepName(), Image: run.image, Rate: 1000 / tail, StdErr: 0.12 * 1000 / tail, RequiredRate: predictor.RequiredRate(target)}, usage)
	}
}

func (r *Rehearser) loseWorkers(elapsed time.Duration) {
	for _, l := range r.pattern.Losses {
		if l.At != elapsed {
			continue
		}
		for _, w := range r.workers[:int(l.Share*float64(len(r.workers)))] {
			w.lost = true
			for _, run := range w.runs {
				run.task.LiveRuns = 0
				r.report.Wasted += (run.total - run.left) / 1000
			}
			w.runs = nil
			w.setServing()
		}
	}
}

// endServing ends the serving jobs whose lifetime is over.
func (r *Rehearser) endServing(now time.Time) {
	for _, a := range r.open {
		if a.endsAt.IsZero() || now.Before(a.endsAt) {
			continue
		}
		a.endedAt = now
		for _, w := range r.workers {
			w.runs = slices.DeleteFunc(w.runs, func(run *run) bool { return run.task.Job == a.job })
			w.setServing()
		}
		r.predictor.Forget(a.job.Task(0, 0, 0).StepName())
	}
	r.open = slices.DeleteFunc(r.open, func(a *arrival) bool { return !a.endedAt.IsZero() })
}

// end handles a run that has ended or was stopped.
func (r *Rehearser) end(w *worker, ended *run, now time.Time) {
	ended.task.LiveRuns--
	w.setServing()
	if ended.left <= 0 && ended.serving == nil {
		r.learnRunTime(w, ended, now)
		ended.task.Job.MarkDone(ended.task)
		a := r.byJob[ended.task.Job.Spec.ID]
		if !ended.resumed {
			a.corrections.Learn(ended.task.Step, ended.task.StepSpec().Estimate, ended.pacedTime)
		}
		if a.job.Done() {
			a.endedAt = now
			r.open = slices.DeleteFunc(r.open, func(o *arrival) bool { return o == a })
		}
		return
	}
	r.report.Wasted += (ended.saved - ended.left) / 1000
	r.saved[ended.task.Name()] = ended.saved
	ended.task.WaitingSince, ended.task.FreeSince, ended.task.NotBefore = now, now, now.Add(moveDelay)
}

// observe records how the serving tasks do.
func (r *Rehearser) observe(at time.Duration) {
	for _, a := range r.open {
		if a.class == nil {
			r.report.ServingOwed += float64(a.job.Spec.Steps[0].Count) * step.Seconds()
		}
	}
	for _, w := range r.workers {
		usage, _ := w.usage(r.start.Add(at), at)
		alone := w.tasks.TailLatencies(at, nil)
		for n, tail := range w.tasks.TailLatencies(at, usage) {
			r.report.ServingSeconds += step.Seconds()
			if target := float64(r.pattern.Serving.Target.Milliseconds()); tail > target && alone[n] <= target {
				r.report.OverTarget += step.Seconds()
			}
		}
		for _, run := range w.runs {
			if run.task.StepSpec().BestEffort {
				r.report.BestEffortSeconds += step.Seconds()
				if run.applied == 0 {
					r.report.PausedSeconds += step.Seconds()
				}
			}
		}
	}
}
