package rehearser

import (
	"slices"
	"time"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/delayer"
	"github.com/endivefall/endivefall/sequencer"
)

// Locality is how a policy decides about racks.
type Locality int

// Ways to decide about racks.
const (
	// Decide asks the delayer.
	Decide Locality = iota
	// NeverWait starts tasks away at once, where no near place is better by its cost.
	NeverWait
	// AlwaysWait lets each step that finds no near place wait for delayer.MaxWait.
	AlwaysWait
	// Unaware does not know the factor.
	Unaware
)

// waitsForRack reports whether the first of some waiting tasks of a job, for which the best candidate was
// chosen, waits for a place in its rack, as the orchestrator decides it.
func (r *Rehearser) waitsForRack(waiting []*sequencer.Task, chosen *allocator.Candidate, candidates []*allocator.Candidate, byID map[string]*worker, now time.Time) bool {
	t := waiting[0]
	rack, name := t.StepSpec().PreferredRack, t.StepName()
	if r.delayer == nil || rack == "" || slices.Contains(chosen.Labels, rack) || r.policy.Locality == NeverWait {
		return false
	}
	near := delayer.Near(rack, candidates)
	if r.policy.Pick(t, name, near, now, r.predictor.UpperInterference) != nil {
		return false
	}
	if r.policy.Locality == AlwaysWait {
		if r.waitingSince[name].IsZero() {
			r.waitingSince[name] = now
		}
		return len(near) > 0 && now.Sub(r.waitingSince[name]) < delayer.MaxWait
	}
	return r.delayer.Decide(delayer.Request{
		Task: t, Count: countStep(waiting), Places: []delayer.Place{{Rack: rack, Workers: near}}, Runs: func(id string) []delayer.Run { return byID[id].delayerRuns() },
		Now: now, Wall: now,
	}).Wait
}

// countStep returns how many of some tasks are of the same step as the first.
func countStep(tasks []*sequencer.Task) int {
	count := 0
	for _, t := range tasks {
		if t.Step == tasks[0].Step {
			count++
		}
	}
	return count
}

// delayerRuns returns the runs of a worker.
func (w *worker) delayerRuns() []delayer.Run {
	list := make([]delayer.Run, 0, len(w.runs))
	for _, run := range w.runs {
		list = append(list, delayer.Run{Step: run.task.StepSpec(), StartedAt: run.startedAt, Slowdown: w.slowdown(run), Ending: !run.stopAt.IsZero()})
	}
	return list
}

// slowdown returns how many times as long a run takes as it would near its data at full pace.
func (w *worker) slowdown(run *run) float64 {
	slowdown := 1.0
	if w.away(run.task) {
		slowdown = w.remote
	}
	if run.applied > 0 {
		slowdown *= 100 / float64(run.applied)
	}
	return slowdown
}

// noteStart records the start of a task whose data is in a rack.
func (r *Rehearser) noteStart(a *arrival, t *sequencer.Task, w *worker, now time.Time) {
	if a.class == nil || t.StepSpec().PreferredRack == "" {
		return
	}
	if w.away(t) {
		r.report.Away++
	} else {
		r.report.Near++
	}
	if r.delayer != nil {
		r.delayer.Started(t, !w.away(t), now)
	}
}

// learnRunTime learns how far estimates are off.
func (r *Rehearser) learnRunTime(w *worker, ended *run, now time.Time) {
	if _, resumed := r.saved[ended.task.Name()]; r.delayer == nil || resumed || ended.applied < 100 {
		return
	}
	r.delayer.Learn(ended.task.StepSpec(), time.Duration(float64(now.Sub(ended.startedAt))/w.slowdown(ended)))
}
