package orchestrator

import (
	"slices"
	"strings"
	"time"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/apportioner"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/sequencer"
)

// evacuate moves tasks off draining workers if another worker has room and they may be
// started again: long-running tasks, and tasks that resume from a checkpoint. Other
// tasks stay and finish there if time allows.
func (o *Orchestrator) evacuate() {
	draining := o.drainingAgents()
	if len(draining) == 0 || !o.ownershipCurrent() {
		return
	}
	byPool, agents := o.candidates()
	blocked := o.startBlocked()
	o.setAside(blocked, byPool, agents)
	for _, a := range draining {
		for _, r := range o.runsOf(a) {
			if o.mayEvacuate(r, blocked) {
				o.evacuateRun(r, byPool[r.job.Placement.Pool], agents)
			}
		}
	}
}

// mayEvacuate reports whether a run may be stopped because its worker drains.
func (o *Orchestrator) mayEvacuate(r *run, blocked func(*sequencer.Task) bool) bool {
	step := r.task.StepSpec()
	return r.phase == messenger.PhaseRunning && !r.evict && !step.Gang && (step.LongRunning || step.Checkpointable) && !blocked(r.task) && o.mayGrant(r.task)
}

// evacuateRun moves a run to a candidate that has room, its own claim included.
func (o *Orchestrator) evacuateRun(r *run, candidates []*allocator.Candidate, agents map[string]*agent) {
	step, name := r.task.StepSpec(), r.task.StepName()
	for _, candidate := range o.allowedCandidates(r.job, name, candidates, agents) {
		claimed := o.claims[r.task] != nil && o.claims[r.task].agent.id == candidate.ID
		if claimed {
			candidate.Release(step, name)
		}
		fits := allocator.Fits(r.task, name, candidate)
		if claimed || fits {
			candidate.Reserve(step, name)
		}
		if fits {
			o.moveRun(r, candidate.ID, "worker is draining")
			o.cfg.Count(meter.Evacuated)
			return
		}
	}
	o.unplacedMoves[r] = o.cfg.Now()
}

// maxMoveTime is how long a run that is stopped to move may take to end before the room for
// its task is given up: a few attempts to stop it.
const maxMoveTime = 3 * time.Second

// setAside reserves room on the candidates for the long-running tasks that run nowhere, those that
// have waited longest first, so that only what they leave goes to tasks that have a run.
func (o *Orchestrator) setAside(blocked func(*sequencer.Task) bool, byPool map[string][]*allocator.Candidate, agents map[string]*agent) {
	now := o.cfg.Now()
	list := o.startingFirst(blocked, 0, now, o.cfg.WallClock())
	if len(list) == 0 {
		return
	}
	o.releaseClaims(byPool)
	defer o.reserveMoves(byPool)
	unmet := map[string]*apportioner.Unmet{}
	for _, s := range list {
		allowed := o.allowedCandidates(s.job, s.task.StepName(), byPool[s.job.Placement.Pool], agents)
		if claimed := o.claimedCandidate(s.task, allowed); claimed != nil {
			claimed.Reserve(s.task.StepSpec(), s.task.StepName())
		} else if candidate := o.pickUnlessUnmet(s, allowed, unmet, now); candidate != nil {
			candidate.Reserve(s.task.StepSpec(), s.task.StepName())
		}
	}
}

// moveRun stops a run to start its task on another agent, and claims room there so that no
// other task takes it.
func (o *Orchestrator) moveRun(r *run, agentID, reason string) {
	o.claims[r.task] = &claim{task: r.task, job: r.job, agent: o.agents[agentID], runs: true, endBy: o.cfg.Now().Add(maxMoveTime), moving: true}
	o.stopFor(r, stopToMove, reason)
}

// drainingAgents returns the agents with a draining worker, ordered by ID.
func (o *Orchestrator) drainingAgents() []*agent {
	var list []*agent
	for _, a := range o.agents {
		if a.link != nil && a.snapshot != nil && a.snapshot.Draining {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *agent) int { return strings.Compare(a.id, b.id) })
	return list
}

// Limits of preemption.
const (
	// preemptDelay is how long a task waits before it preempts less urgent ones.
	preemptDelay = 250 * time.Millisecond
	// preemptInterval prevents a second eviction for the same task before the first
	// one has freed its resources, and bounds the cost of searching for victims.
	preemptInterval = 500 * time.Millisecond
)

// preempt evicts less urgent tasks that resume from a checkpoint, on the worker
// where making room for a waiting task throws away least work.
func (o *Orchestrator) preempt(t *sequencer.Task, name string, candidates []*allocator.Candidate, agents map[string]*agent, now time.Time) {
	if now.Sub(t.FreeSince) < preemptDelay || now.Sub(o.lastPreemption) < preemptInterval {
		return
	}
	o.lastPreemption = now // a search without a result costs as much
	blocked := o.startBlocked()
	var victims []*run
	lowest := 0.0
	for _, candidate := range candidates {
		trial := candidate.Clone()
		var list []*run
		loss := 0.0
		for _, r := range o.preemptibleRuns(agents[candidate.ID], t.Job.Spec.Priority) {
			if allocator.Fits(t, name, trial) {
				break
			}
			step := r.task.StepSpec()
			if blocked(r.task) {
				continue
			}
			if !step.BestEffort {
				trial.UsedCPU -= step.CPU
			}
			trial.UsedMemory -= step.Memory
			trial.UsedGPU -= step.GPU
			list = append(list, r)
			loss += r.preemptible().Loss()
		}
		if len(list) > 0 && allocator.Fits(t, name, trial) && (victims == nil || loss < lowest) {
			victims, lowest = list, loss
		}
	}
	for _, r := range victims {
		o.cfg.Count(meter.Preempted)
		o.stopFor(r, stopForTask, "preempted by "+t.Name())
	}
}

// preemptibleRuns returns the runs of an agent that a task of the given priority
// may evict, in the order of preemptor.Order.
func (o *Orchestrator) preemptibleRuns(a *agent, priority int) []*run {
	var list []*run
	for _, r := range o.runsOf(a) {
		step := r.task.StepSpec()
		if r.job.Spec.Priority > priority && step.Checkpointable && !step.Gang && !step.LongRunning && r.phase == messenger.PhaseRunning && !r.evict {
			list = append(list, r)
		}
	}
	ordered, stoppable := preemptionOrder(list)
	return ordered[:stoppable]
}
