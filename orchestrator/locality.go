package orchestrator

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/delayer"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/sequencer"
)

// beginLocality begins a round of placement for the decisions about racks, if it is known how much
// longer tasks take outside of theirs.
func (o *Orchestrator) beginLocality(byPool map[string][]*allocator.Candidate, now time.Time) {
	if o.cfg.RemoteFactor <= 1 {
		return
	}
	waits := 0
	for pool, candidates := range byPool {
		if o.delayers[pool] == nil {
			o.delayers[pool] = delayer.New(delayer.Config{Factor: o.cfg.RemoteFactor})
		}
		o.delayers[pool].Begin(candidates, now)
		waits += o.delayers[pool].Waiting()
	}
	o.cfg.Gauge(meter.RackWaits, float64(waits))
}

// waitsForRack reports whether the first of some waiting tasks of a job, for which the best candidate was
// chosen, waits for a place in its rack, and with it all others of its step.
func (o *Orchestrator) waitsForRack(j *job, waiting []*sequencer.Task, chosen *allocator.Candidate, granted []*allocator.Candidate, now time.Time) bool {
	t := waiting[0]
	step := t.StepSpec()
	if o.delayers[j.Placement.Pool] == nil || step.PreferredRack == "" || step.LongRunning || slices.Contains(chosen.Labels, step.PreferredRack) {
		return false
	}
	near := delayer.Near(step.PreferredRack, granted)
	if allocator.Pick(t, t.StepName(), near, now, o.predictor.UpperInterference) != nil {
		return false // the chosen one is better in spite of its rack
	}
	return o.delays(j, t, countStep(waiting), []delayer.Place{{Rack: step.PreferredRack, Workers: near}}, now)
}

// countStep returns how many of some tasks are of the same step as the first.
func countStep(tasks []*sequencer.Task) int {
	count := 0
	for _, t := range tasks {
		if t.Step == tasks[0].Step && t.Occurrence == tasks[0].Occurrence {
			count++
		}
	}
	return count
}

// noteUnplaced notes that the first of some waiting tasks of a job, and others of its step, have found no room.
func (o *Orchestrator) noteUnplaced(j *job, waiting []*sequencer.Task) {
	if d := o.delayers[j.Placement.Pool]; d != nil {
		d.Unplaced(waiting[0].StepSpec(), countStep(waiting))
	}
}

// gangWaits reports whether a gang, for which candidates were chosen, waits for a rack with room for all of
// it: its own one if it has one, or any if it is tightly coupled.
func (o *Orchestrator) gangWaits(j *job, members []*sequencer.Task, chosen, granted []*allocator.Candidate, now time.Time) bool {
	step := members[0].StepSpec()
	if o.delayers[j.Placement.Pool] == nil || step.LongRunning || step.PreferredRack == "" && !step.TightlyCoupled {
		return false
	}
	var places []delayer.Place
	if rack := step.PreferredRack; rack != "" {
		if len(delayer.Near(rack, chosen)) == len(chosen) {
			return false
		}
		near := delayer.Near(rack, granted)
		if pickGang(members, members[0].StepName(), near, now, o.predictor.UpperInterference) != nil {
			return false
		}
		places = []delayer.Place{{Rack: rack, Workers: near}}
	} else {
		rack := chosen[0].Rack()
		if !slices.ContainsFunc(chosen, func(c *allocator.Candidate) bool { return c.Rack() != rack }) {
			return false
		}
		racks, byRack := groupByRack(granted)
		for _, rack := range racks {
			places = append(places, delayer.Place{Rack: rack, Workers: byRack[rack]})
		}
	}
	return o.delays(j, members[0], len(members), places, now)
}

// delays reports whether tasks of a step wait for one of the places.
func (o *Orchestrator) delays(j *job, t *sequencer.Task, count int, places []delayer.Place, now time.Time) bool {
	decision := o.delayers[j.Placement.Pool].Decide(delayer.Request{
		Task: t, Count: count, Places: places, Runs: o.runsForDelayer, Now: now, Wall: o.cfg.WallClock(),
	})
	if !decision.Wait {
		o.cfg.Count(meter.RackAway.Of(string(decision.Reason)))
		return false
	}
	if decision.First {
		o.cfg.Count(meter.RackWaitsBegun)
		o.cfg.Log.Info("step waits for its rack", zap.String("step", t.StepName()), zap.String("rack", t.StepSpec().PreferredRack), zap.Int("tasks", count),
			zap.Duration("expected", decision.Expected), zap.Float64("gain", decision.Gain), zap.Duration("at_most", decision.Until.Sub(now)))
	}
	return true
}

// runsForDelayer returns the runs on the worker of an agent.
func (o *Orchestrator) runsForDelayer(worker string) []delayer.Run {
	a := o.agents[worker]
	list := make([]delayer.Run, 0, len(a.runs))
	for _, r := range a.runs {
		list = append(list, delayer.Run{Step: r.task.StepSpec(), StartedAt: r.startedAt, Slowdown: o.slowdownOf(r), Ending: r.evict})
	}
	return list
}

// slowdownOf returns how many times as long a run takes as it would near its data at full pace.
func (o *Orchestrator) slowdownOf(r *run) float64 {
	slowdown := 1.0
	if rack := r.task.StepSpec().PreferredRack; rack != "" && r.agent.snapshot != nil && !slices.Contains(r.agent.snapshot.Labels, rack) {
		slowdown = max(o.cfg.RemoteFactor, 1)
	}
	if r.task.StepSpec().BestEffort && r.pacePercent > 0 {
		slowdown *= 100 / float64(r.pacePercent)
	}
	return slowdown
}

// startedNearOrAway records where a task with a preference was started.
func (o *Orchestrator) startedNearOrAway(t *sequencer.Task, near bool, now time.Time) {
	d := o.delayers[t.Job.Placement.Pool]
	if d == nil {
		return
	}
	waited, ended := d.Started(t, near, now)
	starts, waits, times := meter.RackStartsAway, meter.RackWaitsUnpaid, meter.RackWaitUnpaidTime
	if near {
		starts, waits, times = meter.RackStartsNear, meter.RackWaitsPaid, meter.RackWaitPaidTime
	}
	o.cfg.Count(starts)
	if waited > 0 {
		o.cfg.ObserveDuration(times, waited)
	}
	if ended {
		o.cfg.Count(waits)
		o.cfg.Log.Info("step no longer waits for its rack", zap.String("step", t.StepName()), zap.String("rack", t.StepSpec().PreferredRack),
			zap.Bool("near", near), zap.Duration("waited", waited))
	}
}

// startedForRack records the start of a task on a candidate, if it has a preference.
func (o *Orchestrator) startedForRack(t *sequencer.Task, candidate *allocator.Candidate, now time.Time) {
	if rack := t.StepSpec().PreferredRack; rack != "" {
		o.startedNearOrAway(t, slices.Contains(candidate.Labels, rack), now)
	}
}

// startedGang records the start of a gang, if it is tightly coupled and has no preference.
func (o *Orchestrator) startedGang(first *sequencer.Task, chosen []*allocator.Candidate) {
	if step := first.StepSpec(); step.TightlyCoupled && step.PreferredRack == "" {
		rack := chosen[0].Rack()
		o.startedNearOrAway(first, !slices.ContainsFunc(chosen, func(c *allocator.Candidate) bool { return c.Rack() != rack }), o.cfg.Now())
	}
}

// learnRunTime learns how far estimates are off, from a run that was not throttled.
func (o *Orchestrator) learnRunTime(r *run, now time.Time) {
	step := r.task.StepSpec()
	d := o.delayers[r.job.Placement.Pool]
	if d == nil || r.throttled || r.resumed || step.LongRunning || step.TightlyCoupled {
		return
	}
	d.Learn(step, time.Duration(float64(now.Sub(r.startedAt))/o.slowdownOf(r)))
}

// rackWait returns how long the step of a task has waited for its rack.
func (o *Orchestrator) rackWait(t *sequencer.Task, now time.Time) time.Duration {
	if d := o.delayers[t.Job.Placement.Pool]; d != nil {
		waited, _ := d.Waits(t.StepName(), now)
		return waited
	}
	return 0
}
