package orchestrator

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/apportioner"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/sequencer"
)

// Limits of the claims for long-running tasks that fit nowhere.
const (
	// minClaimWait is how long such a task waits before it claims room: half of the time for
	// which a long-running task may be without a run.
	minClaimWait = 3 * time.Second
	// claimInterval bounds the cost of the search for room.
	claimInterval = 250 * time.Millisecond
	// claimLead is how long before a blocked task may start it claims room: short tasks that
	// are at work then have mostly ended by that time.
	claimLead = 2 * time.Second
	// maxOverdue is for how long room is kept for a task that is blocked for longer than it
	// should be, as in an outage of the store.
	maxOverdue = apportioner.MaxDelay - claimLead
)

// claimRoom keeps room for long-running tasks that run nowhere and fit nowhere, and then for those
// on draining workers: short tasks, which fit into each piece of room that comes free, would keep
// all workers too full for them.
func (o *Orchestrator) claimRoom(blocked func(*sequencer.Task) bool, byPool map[string][]*allocator.Candidate, agents map[string]*agent, now, wall time.Time) {
	if now.Sub(o.lastClaims) < claimInterval {
		return
	}
	o.lastClaims = now
	starving := o.starving(blocked, now, wall)
	o.dropClaims(starving)
	if len(starving) == 0 {
		return
	}
	pools := map[string]*apportioner.Apportioner{}
	for pool, candidates := range byPool {
		forecasts := map[string]*allocator.Forecast{}
		for _, candidate := range candidates {
			forecasts[candidate.ID] = allocator.NewForecast(candidate, agents[candidate.ID].expectedEndings(now, blocked))
		}
		for t, cl := range o.claims {
			if forecast := forecasts[cl.agent.id]; forecast != nil && !cl.promised() && claims(t) {
				forecast.Release(t.StepSpec(), t.StepName())
			}
		}
		pools[pool] = apportioner.New(now, forecasts)
	}
	for _, s := range starving {
		if pool := pools[s.job.Placement.Pool]; pool != nil {
			o.claimFor(s, pool, byPool[s.job.Placement.Pool], agents, blocked, now)
		} else {
			delete(o.claims, s.task)
		}
	}
}

// claimFor claims room for a task, or drops its claim if it won't fit anywhere in time.
func (o *Orchestrator) claimFor(s starvingTask, pool *apportioner.Apportioner, candidates []*allocator.Candidate, agents map[string]*agent, blocked func(*sequencer.Task) bool, now time.Time) {
	t, name := s.task, s.task.StepName()
	request := apportioner.Request{Task: t, StepName: name, Workers: o.allowedCandidates(s.job, name, candidates, agents), AnyWorker: !s.job.Placement.PolicyRestricted, StartsAt: s.startsAt}
	held := o.claims[t]
	if held != nil {
		request.Held = held.agent.id
	}
	forecast, at := pool.Claim(request)
	if forecast == nil {
		delete(o.claims, t)
		return
	}
	o.stopFillers(t, name, agents[forecast.ID], forecast.Candidate, blocked, now, at)
	forecast.Reserve(t.StepSpec(), name)
	if held != nil && held.agent.id == forecast.ID {
		return
	}
	o.claims[t] = &claim{task: t, job: s.job, agent: agents[forecast.ID], runs: t.LiveRuns > 0, endBy: now.Add(apportioner.MaxDelay)}
	o.cfg.Count(meter.Claims)
	o.cfg.Log.Info("room claimed", zap.String("task", t.Name()), zap.String("agent", forecast.ID), zap.Duration("fits_in", at.Sub(now)), zap.Duration("starts_in", s.startsAt.Sub(now)), zap.Bool("runs", t.LiveRuns > 0))
}

// starvingTask is a task that claims room.
type starvingTask struct {
	task *sequencer.Task
	job  *job
	// startsAt is when it may start at the latest; blocked tasks wait until then.
	startsAt time.Time
	// moved is set if its run was stopped for the room that it has claimed.
	moved bool
}

// starving returns the long-running tasks that claim room: those that have run nowhere for
// minClaimWait, the ones that have waited longest first, and then those whose workers drain.
func (o *Orchestrator) starving(blocked func(*sequencer.Task) bool, now, wall time.Time) []starvingTask {
	evacuations := o.lastingEvacuations(blocked, now)
	drains := map[string]bool{} // the pools with evacuations
	for _, s := range evacuations {
		drains[s.job.Placement.Pool] = true
	}
	var list []starvingTask
	unblockedAt := o.unblockedAt()
	for _, j := range o.openJobs {
		if !j.lasts() {
			continue
		}
		minWait := minClaimWait
		if drains[j.Placement.Pool] {
			minWait = 0 // what runs gets no room before what doesn't
		}
		for _, t := range j.Runnable(wall) {
			if !claims(t) || t.WaitingSince.IsZero() || isSuspect(t) {
				continue
			}
			startsAt := now
			if blocked(t) {
				if startsAt = unblockedAt(t); now.Sub(startsAt) > maxOverdue {
					continue
				}
				startsAt = later(now, startsAt)
			}
			if o.claims[t] != nil && startsAt.Sub(now) <= apportioner.MaxDelay || now.Sub(t.WaitingSince) >= minWait && startsAt.Sub(now) <= claimLead {
				list = append(list, starvingTask{task: t, job: j, startsAt: startsAt, moved: o.claims[t] != nil && o.claims[t].moving})
			}
		}
	}
	slices.SortFunc(list, compareStarving)
	return append(list, evacuations...)
}

// lastingEvacuations returns the long-running tasks that are to leave draining workers and evacuated domains.
func (o *Orchestrator) lastingEvacuations(blocked func(*sequencer.Task) bool, now time.Time) []starvingTask {
	var list []starvingTask
	for _, a := range o.drainingAgents() {
		for _, r := range o.runsOf(a) {
			if step := r.task.StepSpec(); step.LongRunning && !step.BestEffort && o.mayEvacuate(r, blocked) {
				list = append(list, starvingTask{task: r.task, job: r.job, startsAt: now})
			}
		}
	}
	return append(list, o.roomlessRuns(blocked, now)...)
}

// claims reports whether a task may claim room.
func claims(t *sequencer.Task) bool {
	step := t.StepSpec()
	return step.LongRunning && !step.Gang && !step.BestEffort
}

// lasts reports whether a job has a long-running step.
func (j *job) lasts() bool {
	return slices.ContainsFunc(j.Spec.Steps, func(s sequencer.Step) bool { return s.LongRunning })
}

// dropClaims drops the claims of tasks that don't starve any more.
func (o *Orchestrator) dropClaims(starving []starvingTask) {
	kept := make(map[*sequencer.Task]bool, len(starving))
	for _, s := range starving {
		kept[s.task] = true
	}
	maps.DeleteFunc(o.claims, func(t *sequencer.Task, cl *claim) bool { return !cl.promised() && claims(t) && !kept[t] })
}

// keepMemory keeps on each worker the memory of the largest long-running task of its pool:
// best-effort tasks need no CPU of their own, so that a backlog of them would take it all.
func (o *Orchestrator) keepMemory(byPool map[string][]*allocator.Candidate) {
	largest := map[string]int64{}
	for _, j := range o.openJobs {
		for n := range j.Spec.Steps {
			if step := &j.Spec.Steps[n]; step.LongRunning && !step.BestEffort {
				largest[j.Placement.Pool] = max(largest[j.Placement.Pool], step.Memory)
			}
		}
	}
	for pool, candidates := range byPool {
		for _, c := range candidates {
			c.KeptMemory = min(largest[pool], c.Memory/2) // best-effort tasks always get half
		}
	}
}

// expectedEndings returns the runs of an agent that will end. Those that may be stopped for
// long-running tasks end within apportioner.MaxDelay.
func (a *agent) expectedEndings(now time.Time, blocked func(*sequencer.Task) bool) []allocator.Ending {
	var endings []allocator.Ending
	for _, r := range a.runs {
		step, at := r.task.StepSpec(), now
		switch {
		case r.evict:
		case step.LongRunning:
			continue
		default:
			at = allocator.ExpectedEnd(step, r.startedAt, now)
			if horizon := now.Add(apportioner.MaxDelay); r.fills() && !blocked(r.task) && at.After(horizon) {
				at = horizon
			}
		}
		endings = append(endings, allocator.Ending{Step: step, StepName: r.task.StepName(), At: at})
	}
	return endings
}

// fills reports whether a run may be stopped for a long-running task: it takes what others
// leave, and resumes elsewhere from its checkpoint.
func (r *run) fills() bool {
	step := r.task.StepSpec()
	return step.BestEffort && step.Checkpointable && !step.Gang && !step.LongRunning && r.phase == messenger.PhaseRunning
}

// stopFillers stops best-effort runs of an agent if a task, which is expected to fit there at
// a time, would not do so before apportioner.MaxDelay: as many as are needed, those that throw away least
// first. Such a task has to start in time, so that also those are stopped that had better go on.
func (o *Orchestrator) stopFillers(t *sequencer.Task, name string, a *agent, candidate *allocator.Candidate, blocked func(*sequencer.Task) bool, now, at time.Time) {
	horizon := now.Add(apportioner.MaxDelay)
	if at.Before(horizon) {
		return
	}
	var fillers []*run
	for _, r := range o.runsOf(a) {
		if r.fills() && !r.evict && !blocked(r.task) {
			fillers = append(fillers, r)
		}
	}
	fillers, _ = preemptionOrder(fillers)
	for _, r := range fillers {
		if at, fits := allocator.NewForecast(candidate, a.expectedEndings(now, blocked)).FitsAt(t, name, now); fits && at.Before(horizon) {
			return
		}
		o.cfg.Count(meter.Preempted)
		o.stopFor(r, stopForClaim, "room for "+t.Name())
	}
}
