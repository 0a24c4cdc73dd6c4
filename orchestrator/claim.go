package orchestrator

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/sequencer"
)

// claim keeps room on the worker of an agent for a task that starts there next.
type claim struct {
	task  *sequencer.Task
	job   *job
	agent *agent
	// endBy is when the claim ends if a run of the task has not ended, moving is set once
	// that run is stopped.
	endBy  time.Time
	moving bool
}

// void reports whether the task of a claim needs no room any more, or can't move in time.
func (cl *claim) void(now time.Time) bool {
	return cl.task.Done || cl.job.Ended() || cl.task.LiveRuns > 0 && !now.Before(cl.endBy)
}

// reserveClaims reserves the claimed room on the candidates and drops the claims that have
// become void.
func (o *Orchestrator) reserveClaims(index map[string]*allocator.Candidate, now time.Time) {
	for t, cl := range o.claims {
		if cl.void(now) {
			delete(o.claims, t)
		} else if candidate := index[cl.agent.id]; candidate != nil {
			candidate.Reserve(t.StepSpec(), t.StepName())
		}
	}
}

// placeClaimed starts the waiting tasks that have claimed room, the ones that have waited
// longest first. They go before all others, which would take it.
func (o *Orchestrator) placeClaimed(blocked func(*sequencer.Task) bool, byPool map[string][]*allocator.Candidate, agents map[string]*agent, now time.Time) {
	var waiting []*claim
	for _, cl := range o.claims {
		if cl.task.LiveRuns == 0 {
			waiting = append(waiting, cl)
		}
	}
	slices.SortFunc(waiting, func(a, b *claim) int { return compareWaits(a.task, b.task) })
	for _, cl := range waiting {
		t := cl.task
		granted := o.grantedCandidates(cl.job, t.StepName(), byPool[cl.job.Spec.Pool], agents, now)
		n := slices.IndexFunc(granted, func(c *allocator.Candidate) bool { return c.ID == cl.agent.id })
		if n < 0 || blocked(t) || isSuspect(t) || !o.placeClaim(cl, granted[n], now) {
			delete(o.claims, t)
		}
	}
}

// compareWaits orders tasks by how long they wait, the longest first.
func compareWaits(a, b *sequencer.Task) int {
	return cmp.Or(a.WaitingSince.Compare(b.WaitingSince), strings.Compare(a.Job.Spec.ID, b.Job.Spec.ID), a.Occurrence-b.Occurrence, a.Step-b.Step, a.Index-b.Index)
}

// placeClaim starts the task of a claim on its candidate if it fits there, and reports whether
// the claim is still of use.
func (o *Orchestrator) placeClaim(cl *claim, candidate *allocator.Candidate, now time.Time) bool {
	t, name := cl.task, cl.task.StepName()
	candidate.Release(t.StepSpec(), name)
	held := now.Before(t.NotBefore) || candidate.Busy || !o.mayStart(1)
	if held || !allocator.Fits(t, name, candidate) {
		candidate.Reserve(t.StepSpec(), name)
		return held || t.StepSpec().LongRunning
	}
	if o.startTask(t, cl.job, cl.agent) {
		o.reserve(candidate, t)
	}
	o.setBusy(candidate, cl.agent)
	return false
}
