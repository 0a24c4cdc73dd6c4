package orchestrator

import (
	"slices"
	"strings"
	"time"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

// evacuate moves what can be moved off workers that drain: tasks that last, and
// tasks that resume from a checkpoint. The others end there if there is time.
func (o *Orchestrator) evacuate() {
	draining := o.drainingAgents()
	if len(draining) == 0 || !o.ownershipCurrent() {
		return
	}
	byPool, _ := o.candidates()
	for _, a := range draining {
		for _, r := range o.runsOf(a) {
			step, name := r.task.StepSpec(), r.task.StepName()
			if r.phase != messenger.PhaseRunning || r.evict || step.Gang || !step.LongRunning && !step.Checkpoints {
				continue
			}
			for _, s := range byPool[r.job.Spec.Pool] {
				if !allocator.Fits(r.task, name, s) {
					continue
				}
				s.Reserve(step, name)
				o.stopRun(r, "its worker drains")
				o.cfg.Count("evacuated")
				break
			}
		}
	}
}

// drainingAgents returns the agents whose worker drains, in order.
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

// Bounds of preemption.
const (
	// preemptDelay is how long a task waits before less urgent ones make room.
	preemptDelay = 250 * time.Millisecond
	// preemptInterval keeps one wait from evicting twice before room shows, and
	// bounds what looking for victims costs.
	preemptInterval = 500 * time.Millisecond
)

// preempt evicts less urgent tasks that resume from a checkpoint, on the worker
// where the fewest make room for a task that waits.
func (o *Orchestrator) preempt(t *sequencer.Task, name string, candidates []*allocator.Candidate, agents map[string]*agent, now time.Time) {
	if now.Sub(t.WaitingSince) < preemptDelay || now.Sub(o.lastPreemption) < preemptInterval {
		return
	}
	o.lastPreemption = now // looking costs, also in vain
	var victims []*run
	for _, s := range candidates {
		trial := s.Clone()
		var list []*run
		for _, r := range o.preemptibleRuns(agents[s.ID], t.Job.Spec.Priority) {
			if allocator.Fits(t, name, trial) {
				break
			}
			step := r.task.StepSpec()
			if !step.BestEffort {
				trial.UsedCPU -= step.CPU
			}
			trial.UsedMemory -= step.Memory
			trial.UsedGPU -= step.GPU
			list = append(list, r)
		}
		if len(list) > 0 && allocator.Fits(t, name, trial) && (victims == nil || len(list) < len(victims)) {
			victims = list
		}
	}
	for _, r := range victims {
		o.cfg.Count("preempted")
		o.stopRun(r, "more urgent work waits: "+t.Name())
	}
}

// preemptibleRuns returns the runs of an agent that work of a priority may evict: the
// least urgent first, and of those the ones that have got least far.
func (o *Orchestrator) preemptibleRuns(a *agent, priority int) []*run {
	var list []*run
	for _, r := range o.runsOf(a) {
		step := r.task.StepSpec()
		if r.job.Spec.Priority > priority && step.Checkpoints && !step.Gang && !step.LongRunning && r.phase == messenger.PhaseRunning && !r.evict {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *run) int {
		if c := b.job.Spec.Priority - a.job.Spec.Priority; c != 0 {
			return c
		}
		if c := a.progressPercent - b.progressPercent; c != 0 {
			return c
		}
		return strings.Compare(a.key.task, b.key.task)
	})
	return list
}
