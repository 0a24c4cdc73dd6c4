package orchestrator

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/messenger"
)

// Bounds of moving tasks that are slowed.
const (
	// relocationInterval is how often slowed runs are looked at.
	relocationInterval = 250 * time.Millisecond
	// slowedPacePercent is the percent below which a run is worth a move.
	slowedPacePercent = 50
	// minRelocationAge is how long a run is left where it is.
	minRelocationAge = 1200 * time.Millisecond
	// nearEndPercent is the percent from which a run is left to end.
	nearEndPercent = 85
	// minMovesPerRound and agentsPerMove bound the moves of one look, as a number and as a
	// part of the agents, so that what they free shows.
	minMovesPerRound, agentsPerMove = 4, 3
	// minTargetPace is the share of its pace that a run must find elsewhere.
	minTargetPace = 0.9
)

// relocateSlowedRuns moves runs that are slowed beside serving tasks to workers where
// they would not be. A run that saves its progress loses nothing by it.
func (o *Orchestrator) relocateSlowedRuns(now time.Time) {
	if now.Sub(o.lastRelocation) < relocationInterval || !o.ownershipCurrent() {
		return
	}
	o.lastRelocation = now
	o.stopStuckRuns(now)
	var slowed []*run
	for _, r := range o.runs {
		step := r.task.StepSpec()
		if step.BestEffort && step.Checkpoints && !step.Gang && r.phase == messenger.PhaseRunning && !r.evict &&
			r.pacePercent < slowedPacePercent && r.progressPercent < nearEndPercent && now.Sub(r.startedAt) > minRelocationAge {
			slowed = append(slowed, r)
		}
	}
	if len(slowed) == 0 {
		return
	}
	slices.SortFunc(slowed, func(a, b *run) int {
		if c := a.pacePercent - b.pacePercent; c != 0 {
			return c
		}
		return strings.Compare(a.key.task, b.key.task)
	})
	byPool, _ := o.candidates()
	moves := 0
	for _, r := range slowed {
		step, name := r.task.StepSpec(), r.task.StepName()
		for _, s := range byPool[r.job.Spec.Pool] {
			if s.ID == r.agent.id || !allocator.Fits(r.task, name, s) || s.BestEffortCPU+step.CPU > s.ReclaimableCPU() ||
				allocator.ExpectedPace(step, s, o.predictor.UpperInterference) < minTargetPace {
				continue
			}
			s.Reserve(step, name)
			s.AddInterference(step.Image, step.CPU, o.predictor.UpperInterference)
			o.stopRun(r, "it is slowed to "+strconv.Itoa(r.pacePercent)+" percent and would not be at "+s.ID)
			o.cfg.Count("moved")
			moves++
			break
		}
		if moves >= max(minMovesPerRound, len(o.agents)/agentsPerMove) {
			return
		}
	}
}

// stuckTimeout is how long a run may make no progress before it is started
// elsewhere. A task of two minutes grows by a percent in 1.2 s.
const stuckTimeout = 2500 * time.Millisecond

// stopStuckRuns stops runs that make no progress though nothing slows them: their
// worker stalls what it started.
func (o *Orchestrator) stopStuckRuns(now time.Time) {
	for _, r := range o.runs {
		step := r.task.StepSpec()
		if r.phase != messenger.PhaseRunning || r.evict || step.Gang || r.agent.link == nil || r.agent.snapshot == nil || r.agent.snapshot.Unreachable ||
			step.LongRunning && r.progressPercent >= 100 {
			continue
		}
		if r.pacePercent < slowedPacePercent {
			r.progressedAt = now // it is slowed on purpose
			continue
		}
		if r.progressedAt.IsZero() || now.Sub(r.progressedAt) < stuckTimeout {
			continue
		}
		r.task.FailedWorkers = append(r.task.FailedWorkers, r.agent.id)
		r.agent.health.recordFailure(now)
		o.cfg.Count("stuck")
		o.stopRun(r, "it makes no progress")
	}
}
