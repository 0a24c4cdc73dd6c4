package orchestrator

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/evacuator"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/sequencer"
)

const (
	// evacuationInterval is the time between two rounds of moves out of evacuated domains.
	evacuationInterval = 250 * time.Millisecond
	// stayLogInterval is the shortest time between two log lines about what stays there.
	stayLogInterval = 2 * time.Second
	// minMeasuredPercent is the progress from which the time that is left is derived from it.
	minMeasuredPercent = 10
)

// evacuateDomains moves runs out of evacuated domains, and logs what stays there.
func (o *Orchestrator) evacuateDomains(now time.Time) {
	if now.Sub(o.lastEvacuation) < evacuationInterval {
		return
	}
	o.lastEvacuation = now
	clear(o.roomless)
	leaving := o.evacuatedRuns()
	if len(leaving) == 0 || !o.ownershipCurrent() {
		return
	}
	byPool, agents := o.candidates()
	blocked := o.startBlocked()
	o.setAside(blocked, byPool, agents)
	steps := map[string]*evacuator.Step{}
	contended := o.contendedPools(byPool, blocked, now)
	stays := map[string]int{}
	for _, r := range leaving {
		stays[o.leave(r, steps, contended, byPool, agents, blocked, now)]++
	}
	delete(stays, "")
	if len(stays) > 0 && now.Sub(o.staysLoggedAt) >= stayLogInterval {
		o.staysLoggedAt = now
		o.cfg.Log.Info("runs stay in evacuated domains", zap.Strings("domains", o.evacuations.Domains()), zap.Any("runs", stays))
	}
}

const (
	// contentionDelay is how long a task waits for room before its pool counts as contended.
	contentionDelay = 250 * time.Millisecond
	// contendedPart is the share of the CPU of the workers that may receive tasks, as one in so many,
	// that stays free for bursts of short tasks and for best-effort work.
	contendedPart = 4
)

// contendedPools returns the pools in which tasks wait for room, or will when the next burst comes.
func (o *Orchestrator) contendedPools(byPool map[string][]*allocator.Candidate, blocked func(*sequencer.Task) bool, now time.Time) map[string]bool {
	pools := map[string]bool{}
	for pool, candidates := range byPool {
		free, capacity := int64(0), int64(0)
		for _, c := range candidates {
			free += c.FreeCPU()
			capacity += c.CPU
		}
		pools[pool] = free*contendedPart < capacity
	}
	wall := o.cfg.WallClock()
	for _, j := range o.openJobs {
		pool := j.Placement.Pool
		pools[pool] = pools[pool] || slices.ContainsFunc(j.Runnable(wall), func(t *sequencer.Task) bool {
			return !t.FreeSince.IsZero() && now.Sub(t.FreeSince) >= contentionDelay && !blocked(t)
		})
	}
	return pools
}

// evacuatedRuns returns the runs in evacuated domains whose workers don't drain, those with a claim
// of room first.
func (o *Orchestrator) evacuatedRuns() []*run {
	var list []*run
	for _, a := range o.agents {
		if o.isEvacuated(a) && !a.snapshot.Draining {
			list = append(list, o.runsOf(a)...)
		}
	}
	slices.SortFunc(list, func(a, b *run) int {
		if claimed := o.claims[a.task] != nil; claimed != (o.claims[b.task] != nil) {
			if claimed {
				return -1
			}
			return 1
		}
		return strings.Compare(a.key.task, b.key.task)
	})
	return list
}

// leave moves a run out of its domain if it may leave now and there is room, and returns why it
// stays otherwise.
func (o *Orchestrator) leave(r *run, steps map[string]*evacuator.Step, contended map[string]bool, byPool map[string][]*allocator.Candidate, agents map[string]*agent, blocked func(*sequencer.Task) bool, now time.Time) string {
	choice := o.evacueeOf(r, steps, now)
	choice.Contended = contended[r.job.Placement.Pool]
	action := evacuator.Choose(choice)
	switch {
	case r.evict:
		return "stopping"
	case action != evacuator.Move:
		return action.String()
	case !r.agent.answers(now): // a stop might not arrive
		choice.Keep()
		return "unreachable"
	case !o.mayEvacuate(r, blocked):
		choice.Keep()
		return "blocked"
	}
	candidates := byPool[r.job.Placement.Pool]
	to := o.pickForMove(r, o.allowedCandidates(r.job, r.task.StepName(), candidates, agents), now)
	if to == nil {
		o.unplacedMoves[r] = now
		if choice.Step != nil {
			o.roomless[r] = true // its turn lasts until it has room
		}
		return "no_room"
	}
	o.cfg.Log.Info("run leaves an evacuated domain", zap.String("task", r.key.task), zap.String("domain", r.agent.snapshot.Domain), zap.String("from", r.agent.id), zap.String("to", to.ID), zap.Int("percent", r.progressPercent))
	o.moveRun(r, to.ID, "its domain is evacuated")
	o.cfg.Count(meter.Evacuated)
	return ""
}

// pickForMove returns a candidate with room for the task of a run, its own claim included, and
// reserves the room, or nil.
func (o *Orchestrator) pickForMove(r *run, allowed []*allocator.Candidate, now time.Time) *allocator.Candidate {
	step, name := r.task.StepSpec(), r.task.StepName()
	claimed := o.claimedCandidate(r.task, allowed)
	if claimed != nil {
		claimed.Release(step, name)
	}
	to := allocator.Pick(r.task, name, allowed, now, o.predictor.UpperInterference)
	switch {
	case to != nil:
		o.reserve(to, r.task)
	case claimed != nil:
		claimed.Reserve(step, name)
	}
	return to
}

// evacueeOf describes a run in an evacuated domain. steps has the long-running steps of the round.
func (o *Orchestrator) evacueeOf(r *run, steps map[string]*evacuator.Step, now time.Time) evacuator.Run {
	spec := r.task.StepSpec()
	choice := evacuator.Run{
		Gang: spec.Gang, Checkpointable: spec.Checkpointable, Remaining: r.remaining(now),
		Saved: r.task.Checkpoint != "", CheckpointAge: now.Sub(r.task.CheckpointAt),
	}
	if !spec.LongRunning {
		return choice
	}
	name := r.task.StepName()
	if steps[name] == nil {
		steps[name] = &evacuator.Step{MaxUnavailable: spec.MaxUnavailable, Unavailable: unavailableBeside(r, now)}
	}
	choice.Step, choice.AtWork = steps[name], r.atWork(now)
	return choice
}

// unavailableBeside returns how many tasks of the step of a run, itself included, are not known to
// be fully at work.
func unavailableBeside(r *run, now time.Time) int {
	atWork := map[*sequencer.Task]bool{}
	for _, other := range r.job.liveRuns {
		if other.atWork(now) {
			atWork[other.task] = true
		}
	}
	n := 0
	for _, t := range r.job.Tasks(r.task.Occurrence, r.task.Step) {
		if !t.Done && !atWork[t] {
			n++
		}
	}
	return n
}

// atWork reports whether a long-running task is fully at work in a run that is not being stopped, as
// far as an agent that answers says.
func (r *run) atWork(now time.Time) bool {
	return r.phase == messenger.PhaseRunning && !r.evict && r.progressPercent >= 100 && r.agent.answers(now)
}

// remaining returns for how long a run is expected to go on: by its progress if that tells, by the
// estimate of its submitter otherwise.
func (r *run) remaining(now time.Time) time.Duration {
	if r.progressPercent >= minMeasuredPercent && !r.resumed {
		return now.Sub(r.startedAt) * time.Duration(100-r.progressPercent) / time.Duration(r.progressPercent)
	}
	return allocator.ExpectedEnd(r.task.StepSpec(), r.startedAt, now).Sub(now)
}

// roomlessRuns returns the long-running tasks that are to leave evacuated domains and found no room
// in the last round.
func (o *Orchestrator) roomlessRuns(blocked func(*sequencer.Task) bool, now time.Time) []starvingTask {
	var list []starvingTask
	for r := range o.roomless {
		if o.runs[r.key] == r && !r.task.StepSpec().BestEffort && o.mayEvacuate(r, blocked) {
			list = append(list, starvingTask{task: r.task, job: r.job, startsAt: now})
		}
	}
	slices.SortFunc(list, func(a, b starvingTask) int { return strings.Compare(a.task.Name(), b.task.Name()) })
	return list
}
