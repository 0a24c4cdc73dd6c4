package rehearser

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/predictor"
	"github.com/endivefall/endivefall/relocator"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/simulator"
)

// candidates returns the workers with their runs reserved.
func (r *Rehearser) candidates(now time.Time) ([]*allocator.Candidate, map[string]*worker) {
	var list []*allocator.Candidate
	byID := map[string]*worker{}
	index := map[*worker]*allocator.Candidate{}
	for _, w := range r.workers {
		if w.lost {
			continue
		}
		c := w.candidate()
		c.SmallPool = len(r.workers) < allocator.MinSelectiveWorkers
		for _, run := range w.runs {
			if run.serving == nil {
				continue
			}
			target := run.task.StepSpec().LatencyTargetMs
			headroom, ok := r.predictor.Headroom(run.task.StepName(), "", now, now.Add(headroomHorizon), target)
			if !ok {
				headroom = predictor.RequiredRate(target) / 2
			}
			c.ServingTasks = append(c.ServingTasks, allocator.ServingTask{Image: run.image, Headroom: headroom})
		}
		list, byID[w.id], index[w] = append(list, c), w, c
	}
	for _, w := range r.workers {
		for _, run := range w.runs {
			if !run.task.StepSpec().BestEffort {
				continue
			}
			index[w].AddInterference(run.image, run.demand(), r.predictor.UpperInterference)
			if c := index[run.moveTo]; c != nil {
				c.Reserve(run.task.StepSpec(), run.task.StepName())
				c.AddInterference(run.image, run.demand(), r.predictor.UpperInterference)
			}
		}
	}
	return list, byID
}

func (r *Rehearser) place(now time.Time) {
	type ranked struct {
		a    *arrival
		rank allocator.Rank
	}
	queue := make([]ranked, len(r.open))
	for n, a := range r.open {
		queue[n] = ranked{a, r.policy.Rank(a.job, &a.corrections, now)}
	}
	slices.SortStableFunc(queue, func(a, b ranked) int {
		if c := a.rank.Compare(b.rank); c != 0 {
			return c
		}
		return strings.Compare(a.a.job.Spec.ID, b.a.job.Spec.ID)
	})
	candidates, byID := r.candidates(now)
	if r.delayer != nil {
		r.delayer.Begin(candidates, now)
	}
	for _, q := range queue {
		full := ""
		waiting := q.a.job.Runnable(now)
		for n, t := range waiting {
			if t.WaitingSince.IsZero() {
				t.WaitingSince, t.FreeSince = now, now
			}
			name := t.StepName()
			if now.Before(t.NotBefore) || name == full {
				continue
			}
			c := r.policy.Pick(t, name, candidates, now, r.predictor.UpperInterference)
			if c == nil {
				if r.delayer != nil {
					r.delayer.Unplaced(t.StepSpec(), countStep(waiting[n:]))
				}
				full = name
				continue
			}
			if r.waitsForRack(waiting[n:], c, candidates, byID, now) {
				full = name
				continue
			}
			r.startRun(q.a, t, byID[c.ID], now)
			c.Reserve(t.StepSpec(), name)
			if t.StepSpec().BestEffort {
				c.AddInterference(t.StepSpec().Image, t.StepSpec().CPU, r.predictor.UpperInterference)
			}
		}
	}
}

func (r *Rehearser) startRun(a *arrival, t *sequencer.Task, w *worker, now time.Time) {
	spec := t.StepSpec()
	run := &run{task: t, image: spec.Image, pace: 100, applied: 100, paceAt: now, startedAt: now, savedAt: now, worksAt: now.Add(r.pattern.Delay)}
	if a.class == nil {
		s := r.pattern.Serving
		run.serving = &simulator.ServingTask{Image: spec.Image, BaseTailMs: float64(s.Tail.Milliseconds()), Load: s.Load, LoadAmplitude: s.Swing, Period: s.Period, Phase: a.phase}
	} else {
		run.total = float64(spec.CPU) * a.seconds
		run.left = run.total
		if left, ok := r.saved[t.Name()]; ok {
			run.left, run.resumed = left, true
			run.restoredAt = now.Add(r.pattern.Restore)
		}
		run.saved = run.left
		r.report.wait(a.class, now.Sub(t.WaitingSince))
	}
	r.noteStart(a, t, w, now)
	t.LiveRuns++
	w.runs = append(w.runs, run)
	w.setServing()
	r.tell(w, run, now)
}

// tell passes what the owner knows of a best-effort image to the agent, as a start does.
func (r *Rehearser) tell(w *worker, started *run, now time.Time) {
	if !started.task.StepSpec().BestEffort {
		return
	}
	for _, run := range w.runs {
		if run.serving != nil && r.predictor.HasEstimate(started.image, run.image) {
			coefficient, stdErr := r.predictor.Interference(started.image, run.image)
			w.pacer.Predictor.Merge(now, started.image, run.image, coefficient, stdErr)
		}
	}
}

func (r *Rehearser) relocate(now time.Time) {
	var runs []relocator.Run
	var movable []*run
	for _, w := range r.workers {
		for _, run := range w.runs {
			if run.task.StepSpec().BestEffort && run.task.StepSpec().Checkpointable && run.stopAt.IsZero() {
				movable = append(movable, run)
				runs = append(runs, relocator.Run{
					Task: run.task, Worker: w.id, Pool: pool, PacePercent: run.pace, ProgressPercent: int(100 * (1 - run.left/max(run.total, math.SmallestNonzeroFloat64))), StartedAt: run.startedAt,
				})
			}
		}
	}
	candidates, byID := r.candidates(now)
	for _, m := range relocator.Choose(now, runs, map[string][]*allocator.Candidate{pool: candidates}, len(r.workers), r.predictor.UpperInterference) {
		movable[m.Run].stopAt, movable[m.Run].moveTo = now.Add(step), byID[m.To]
		r.report.Moves++
	}
}
