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
	// relieveEvery is how often slowed runs are looked at.
	relieveEvery = 250 * time.Millisecond
	// slowPace is the percent below which a run is worth a move.
	slowPace = 50
	// settleTime is how long a run is left where it is.
	settleTime = 1200 * time.Millisecond
	// nearEnd is the percent from which a run is left to end.
	nearEnd = 85
	// leastMoves and movesPart bound the moves of one look, as a number and as a
	// part of the agents, so that what they free shows.
	leastMoves, movesPart = 4, 3
	// betterShare is the share of its pace that a run must find elsewhere.
	betterShare = 0.9
)

// relieve moves runs that are slowed beside serving tasks to workers where
// they would not be. A run that saves its progress loses nothing by it.
func (o *Orchestrator) relieve(now time.Time) {
	if now.Sub(o.moved) < relieveEvery || !o.current() {
		return
	}
	o.moved = now
	o.unstick(now)
	var slowed []*run
	for _, r := range o.runs {
		step := r.task.StepSpec()
		if step.BestEffort && step.Checkpoints && !step.Gang && r.phase == messenger.PhaseRunning && !r.evict &&
			r.pace < slowPace && r.percent < nearEnd && now.Sub(r.began) > settleTime {
			slowed = append(slowed, r)
		}
	}
	if len(slowed) == 0 {
		return
	}
	slices.SortFunc(slowed, func(a, b *run) int {
		if c := a.pace - b.pace; c != 0 {
			return c
		}
		return strings.Compare(a.key.task, b.key.task)
	})
	byPool, _ := o.seats()
	moves := 0
	for _, r := range slowed {
		step, name := r.task.StepSpec(), r.task.StepName()
		for _, s := range byPool[r.job.Spec.Pool] {
			if s.ID == r.agent.id || !allocator.Fits(r.task, name, s) || s.BestEffortCPU+step.CPU > s.ReclaimableCPU() ||
				allocator.ExpectedPace(step, s, o.press.UpperInterference) < betterShare {
				continue
			}
			s.Reserve(step, name)
			s.AddInterference(step.Image, step.CPU, o.press.UpperInterference)
			o.stop(r, "it is slowed to "+strconv.Itoa(r.pace)+" percent and would not be at "+s.ID)
			o.cfg.Count("moved")
			moves++
			break
		}
		if moves >= max(leastMoves, len(o.agents)/movesPart) {
			return
		}
	}
}

// stuckAfter is how long a run may make no progress before it is started
// elsewhere. A task of two minutes grows by a percent in 1.2 s.
const stuckAfter = 2500 * time.Millisecond

// unstick stops runs that make no progress though nothing slows them: their
// worker stalls what it started.
func (o *Orchestrator) unstick(now time.Time) {
	for _, r := range o.runs {
		step := r.task.StepSpec()
		if r.phase != messenger.PhaseRunning || r.evict || step.Gang || r.agent.link == nil || r.agent.table == nil || r.agent.table.Unreachable ||
			step.LongRunning && r.percent >= 100 {
			continue
		}
		if r.pace < slowPace {
			r.moved = now // it is slowed on purpose
			continue
		}
		if r.moved.IsZero() || now.Sub(r.moved) < stuckAfter {
			continue
		}
		r.task.FailedWorkers = append(r.task.FailedWorkers, r.agent.id)
		r.agent.record.bad(now)
		o.cfg.Count("stuck")
		o.stop(r, "it makes no progress")
	}
}
