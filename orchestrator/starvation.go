package orchestrator

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

// Limits of the claims for long-running tasks that fit nowhere.
const (
	// minClaimWait is how long such a task waits before it claims room: half of the time for
	// which a long-running task may be without a run.
	minClaimWait = 3 * time.Second
	// claimInterval bounds the cost of the search for room.
	claimInterval = 250 * time.Millisecond
	// maxClaimDelay is how far ahead a task may be expected to fit, as the room is left idle
	// until then.
	maxClaimDelay = 5 * time.Second
	// workersPerClaim bounds how many workers of a pool are kept from other tasks at a time.
	workersPerClaim = 16
)

// claimRoom keeps room for long-running tasks that fit nowhere, and for those on draining
// workers, on the workers where they will fit soonest: short tasks, which fit into each piece
// of room that comes free, would keep all workers too full for them.
func (o *Orchestrator) claimRoom(blocked func(*sequencer.Task) bool, byPool map[string][]*allocator.Candidate, agents map[string]*agent, now, wall time.Time) {
	if now.Sub(o.lastClaims) < claimInterval {
		return
	}
	o.lastClaims = now
	starving := o.starving(blocked, now, wall)
	if len(starving) == 0 {
		return
	}
	forecasts := map[string]map[string]*allocator.Forecast{}
	for pool, candidates := range byPool {
		forecasts[pool] = map[string]*allocator.Forecast{}
		for _, candidate := range candidates {
			forecasts[pool][candidate.ID] = allocator.NewForecast(candidate, agents[candidate.ID].expectedEndings(now, blocked))
		}
	}
	claims := o.checkClaims(blocked, forecasts, now)
	fullStep := "" // the step for which no worker was found
	for _, t := range starving {
		pool, name := t.Job.Spec.Pool, t.StepName()
		if o.claims[t] != nil || name == fullStep || claims[pool] >= max(1, len(byPool[pool])/workersPerClaim) {
			continue
		}
		j := o.jobs[t.Job.Spec.ID]
		forecast, at := soonest(t, name, o.grantedCandidates(j, name, byPool[pool], agents, now), forecasts[pool], now)
		if forecast == nil {
			fullStep = name
			continue
		}
		o.stopFillers(t, name, agents[forecast.ID], forecast.Candidate, blocked, now, at)
		forecast.Reserve(t.StepSpec(), name)
		o.claims[t] = &claim{task: t, job: j, agent: agents[forecast.ID], endBy: now.Add(maxClaimDelay)}
		claims[pool]++
		o.cfg.Count("claimed")
		o.cfg.Log.Info("room claimed", zap.String("task", t.Name()), zap.String("agent", forecast.ID), zap.Duration("fits_in", at.Sub(now)), zap.Bool("runs", t.LiveRuns > 0))
	}
}

// starving returns the long-running tasks that fit nowhere, the ones that have waited longest
// first, and then those whose workers drain.
func (o *Orchestrator) starving(blocked func(*sequencer.Task) bool, now, wall time.Time) []*sequencer.Task {
	var list []*sequencer.Task
	for _, j := range o.openJobs {
		if !slices.ContainsFunc(j.Spec.Steps, func(s sequencer.Step) bool { return s.LongRunning }) {
			continue
		}
		for _, t := range j.Runnable(wall) {
			step := t.StepSpec()
			if step.LongRunning && !step.Gang && !step.BestEffort && !t.WaitingSince.IsZero() && now.Sub(t.WaitingSince) >= minClaimWait && !isSuspect(t) && !blocked(t) {
				list = append(list, t)
			}
		}
	}
	slices.SortFunc(list, compareWaits)
	for _, a := range o.drainingAgents() {
		for _, r := range o.runsOf(a) {
			if step := r.task.StepSpec(); step.LongRunning && !step.BestEffort && o.mayEvacuate(r, blocked) {
				list = append(list, r.task)
			}
		}
	}
	return list
}

// keepMemory keeps on each worker the memory of the largest long-running task of its pool:
// best-effort tasks need no CPU of their own, so that a backlog of them would take it all.
func (o *Orchestrator) keepMemory(byPool map[string][]*allocator.Candidate) {
	largest := map[string]int64{}
	for _, j := range o.openJobs {
		for n := range j.Spec.Steps {
			if step := &j.Spec.Steps[n]; step.LongRunning && !step.BestEffort {
				largest[j.Spec.Pool] = max(largest[j.Spec.Pool], step.Memory)
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
// long-running tasks end within maxClaimDelay.
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
			if horizon := now.Add(maxClaimDelay); r.fills() && !blocked(r.task) && at.After(horizon) {
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
// a time, would not do so before maxClaimDelay: as many as are needed, those with the least
// progress first.
func (o *Orchestrator) stopFillers(t *sequencer.Task, name string, a *agent, candidate *allocator.Candidate, blocked func(*sequencer.Task) bool, now, at time.Time) {
	horizon := now.Add(maxClaimDelay)
	if at.Before(horizon) {
		return
	}
	var fillers []*run
	for _, r := range o.runsOf(a) {
		if r.fills() && !r.evict && !blocked(r.task) {
			fillers = append(fillers, r)
		}
	}
	slices.SortStableFunc(fillers, func(a, b *run) int { return a.progressPercent - b.progressPercent })
	for _, r := range fillers {
		if at, fits := allocator.NewForecast(candidate, a.expectedEndings(now, blocked)).FitsAt(t, name, now); fits && at.Before(horizon) {
			return
		}
		o.cfg.Count("preempted")
		o.stopRun(r, "room for "+t.Name())
	}
}

// checkClaims drops the claims of tasks that won't fit in time, and returns the number of the
// others by pool, without those of runs that are being moved.
func (o *Orchestrator) checkClaims(blocked func(*sequencer.Task) bool, forecasts map[string]map[string]*allocator.Forecast, now time.Time) map[string]int {
	counts := map[string]int{}
	for t, cl := range o.claims {
		pool, name := cl.job.Spec.Pool, t.StepName()
		if cl.moving && t.LiveRuns > 0 {
			continue
		}
		forecast := forecasts[pool][cl.agent.id]
		if forecast == nil {
			delete(o.claims, t)
			continue
		}
		forecast.Release(t.StepSpec(), name)
		at, fits := forecast.FitsAt(t, name, now)
		if !fits || at.Sub(now) > maxClaimDelay {
			delete(o.claims, t)
			continue
		}
		o.stopFillers(t, name, cl.agent, forecast.Candidate, blocked, now, at)
		forecast.Reserve(t.StepSpec(), name)
		counts[pool]++
	}
	return counts
}

// soonest returns the forecast of the worker on which a task will fit first, and when, or nil
// if that is not within maxClaimDelay.
func soonest(t *sequencer.Task, name string, candidates []*allocator.Candidate, forecasts map[string]*allocator.Forecast, now time.Time) (*allocator.Forecast, time.Time) {
	var best *allocator.Forecast
	var bestAt time.Time
	for _, candidate := range candidates {
		forecast := forecasts[candidate.ID]
		if slices.Contains(t.FailedWorkers, candidate.ID) {
			continue
		}
		if at, fits := forecast.FitsAt(t, name, now); fits && at.Sub(now) <= maxClaimDelay && (best == nil || at.Before(bestAt)) {
			best, bestAt = forecast, at
		}
	}
	return best, bestAt
}
