package orchestrator

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/messenger"
)

// Limits of the relocation of throttled runs.
const (
	// relocationInterval is how often throttled runs are checked.
	relocationInterval = 250 * time.Millisecond
	// slowedPacePercent is the pace below which a run is worth relocating.
	slowedPacePercent = 50
	// minRelocationAge is how long a run stays where it was started.
	minRelocationAge = 1200 * time.Millisecond
	// nearEndPercent is the progress from which a run is left to finish.
	nearEndPercent = 85
	// minMovesPerRound and agentsPerMove limit the relocations of one round: to a
	// number, or to one for each agentsPerMove agents if that is more. The effect
	// on the freed workers is then visible before the next round.
	minMovesPerRound, agentsPerMove = 4, 3
	// minTargetPace is the share of full pace that a run must be expected to reach
	// on its new worker.
	minTargetPace = 0.9
)

// relocateSlowedRuns moves best-effort runs that are throttled beside serving tasks
// to workers where they would not be. A run with checkpoints loses no progress by
// it.
func (o *Orchestrator) relocateSlowedRuns(now time.Time) {
	if now.Sub(o.lastRelocation) < relocationInterval || !o.ownershipCurrent() {
		return
	}
	o.lastRelocation = now
	o.stopStuckRuns(now)
	var slowed []*run
	blocked := o.startBlocked()
	for _, r := range o.runs {
		step := r.task.StepSpec()
		if !blocked(r) && step.BestEffort && step.Checkpointable && !step.Gang && r.phase == messenger.PhaseRunning && !r.evict &&
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
		for _, candidate := range byPool[r.job.Spec.Pool] {
			if candidate.ID == r.agent.id || !allocator.Fits(r.task, name, candidate) || candidate.BestEffortCPU+step.CPU > candidate.ReclaimableCPU() ||
				allocator.ExpectedPace(step, candidate, o.predictor.UpperInterference) < minTargetPace {
				continue
			}
			candidate.Reserve(step, name)
			candidate.AddInterference(step.Image, step.CPU, o.predictor.UpperInterference)
			o.moveRun(r, candidate.ID, "throttled to "+strconv.Itoa(r.pacePercent)+" percent; would run faster on "+candidate.ID)
			o.cfg.Count("moved")
			moves++
			break
		}
		if moves >= max(minMovesPerRound, len(o.agents)/agentsPerMove) {
			return
		}
	}
}

// stuckTimeout is how long a run may make no progress before it is restarted on
// another worker. A task of two minutes progresses by one percent in 1.2 s.
const stuckTimeout = 2500 * time.Millisecond

// stopStuckRuns stops runs that make no progress although they are not throttled,
// because their worker stalls them.
func (o *Orchestrator) stopStuckRuns(now time.Time) {
	blocked := o.startBlocked()
	for _, r := range o.runs {
		step := r.task.StepSpec()
		if blocked(r) || r.phase != messenger.PhaseRunning || r.evict || step.Gang || r.agent.link == nil || r.agent.snapshot == nil || r.agent.snapshot.Unreachable ||
			step.LongRunning && r.progressPercent >= 100 {
			continue
		}
		if r.pacePercent < slowedPacePercent {
			r.progressedAt = now // throttled on purpose
			continue
		}
		if r.progressedAt.IsZero() || now.Sub(r.progressedAt) < stuckTimeout {
			continue
		}
		r.task.FailedWorkers = append(r.task.FailedWorkers, r.agent.id)
		r.agent.health.recordFailure(now)
		o.cfg.Count("stuck")
		o.stopRun(r, "no progress")
	}
}
