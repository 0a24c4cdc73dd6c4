package orchestrator

import (
	"slices"
	"strconv"
	"time"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/relocator"
)

// relocationInterval is how often throttled runs are checked.
const relocationInterval = 250 * time.Millisecond

// relocateSlowedRuns moves best-effort runs that are throttled beside serving tasks
// to workers where they would not be. A run with checkpoints loses no progress by
// it.
func (o *Orchestrator) relocateSlowedRuns(now time.Time) {
	if now.Sub(o.lastRelocation) < relocationInterval || !o.ownershipCurrent() {
		return
	}
	o.lastRelocation = now
	o.stopStuckRuns(now)
	blocked := o.startBlocked()
	var movable []*run
	var runs []relocator.Run
	for _, r := range o.runs {
		step := r.task.StepSpec()
		if step.BestEffort && step.Checkpointable && !step.Gang && r.phase == messenger.PhaseRunning && !r.evict && !blocked(r.task) && r.agent.answers(now) && r.movesAgain(now) {
			movable = append(movable, r)
			runs = append(runs, relocator.Run{
				Task: r.task, Worker: r.agent.id, Pool: r.job.Placement.Pool, PacePercent: r.pacePercent, ProgressPercent: r.progressPercent, StartedAt: r.startedAt,
				MayRunOn: o.policyOf(r.job, r.task),
			})
		}
	}
	if !slices.ContainsFunc(movable, func(r *run) bool { return r.pacePercent < relocator.SlowedPacePercent }) {
		return
	}
	byPool, agents := o.candidates()
	o.setAside(blocked, byPool, agents)
	for _, move := range relocator.Choose(now, runs, byPool, len(o.agents), o.predictor.UpperInterference) {
		r := movable[move.Run]
		o.moveRun(r, move.To, "throttled to "+strconv.Itoa(r.pacePercent)+" percent; would run faster on "+move.To)
		o.cfg.Count(meter.Moved)
	}
}

// slowedPacePercent is the pace below which a run makes no progress that counts.
const slowedPacePercent = 50

// stuckTimeout is how long a run may make no progress before it is restarted on
// another worker. A task of two minutes progresses by one percent in 1.2 s.
const stuckTimeout = 2500 * time.Millisecond

// stopStuckRuns stops runs that make no progress although they are not throttled,
// because their worker stalls them.
func (o *Orchestrator) stopStuckRuns(now time.Time) {
	blocked := o.startBlocked()
	for _, r := range o.runs {
		step := r.task.StepSpec()
		if blocked(r.task) || r.phase != messenger.PhaseRunning || r.evict || step.Gang || step.LongRunning && r.progressPercent >= 100 {
			continue
		}
		if !r.agent.answers(now) || r.pacePercent < slowedPacePercent || r.agent.snapshot.EndsUnlisted {
			r.progressedAt = now // nothing is known of its progress, it is throttled on purpose, or it may have ended
			continue
		}
		if r.progressedAt.IsZero() || now.Sub(r.progressedAt) < stuckTimeout {
			continue
		}
		r.task.FailedWorkers = append(r.task.FailedWorkers, r.agent.id)
		if r.job.resultsOf(r.task.Step).recordFailure(r.agent.id) {
			r.agent.health.recordFailure(now)
		}
		o.cfg.Count(meter.Stuck)
		o.stopRun(r, "no progress")
	}
}
