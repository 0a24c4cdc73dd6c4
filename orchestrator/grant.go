package orchestrator

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/sequencer"
)

// A grant names in the ledger the only agent at which a long-running task may run. It is durable
// before the start is sent, and another agent is named only once no run of the task may be at
// work, so that a later owner waits for that agent alone.

// loadGrants keeps the grants of a job from the ledger if no owner since then has started a task
// without one. A job that is newer than the claim has been started by no earlier owner.
func (o *Orchestrator) loadGrants(j *job) {
	switch since := o.cfg.RulesSince; {
	case since > 0 && since <= j.GrantTerm && j.GrantTerm <= o.cfg.Term:
		j.GrantTerm = o.cfg.Term
	case since > 0 && j.Version > o.cfg.Epoch:
		o.recordGrants(j)
	default:
		j.GrantTerm = 0
	}
}

// adoptGrants records where the tasks run that earlier owners have started without grants, once
// no agent may hold a run that this owner does not know.
func (o *Orchestrator) adoptGrants() {
	if o.grantsAdopted || o.cfg.RulesSince == 0 || o.agentsWithUnknownRuns() > 0 {
		return
	}
	o.grantsAdopted = true
	for _, j := range o.openJobs {
		if j.GrantTerm == 0 {
			o.recordGrants(j)
		}
	}
}

// recordGrants writes the agents of a job's runs to the ledger. From now on its tasks are granted
// before they start. All of its runs must be known, so that a task without an agent has none.
func (o *Orchestrator) recordGrants(j *job) {
	if !slices.ContainsFunc(j.Spec.Steps, func(s sequencer.Step) bool { return s.MayBeGranted() }) {
		return
	}
	for _, r := range j.liveRuns {
		if r.task.StepSpec().MayBeGranted() && r.task.LiveRuns > 1 {
			return // one of them is being stopped; no single agent can be named
		}
	}
	j.GrantTerm = o.cfg.Term
	o.markDirty(j)
	j.forgetGrants()
	for _, r := range j.liveRuns {
		if r.task.NeedsGrant() {
			r.task.Agent, j.grantRevisions[r.task] = r.agent.id, j.revision
		}
	}
}

// forgetGrants removes the agents of all tasks: those of a void mark say nothing.
func (j *job) forgetGrants() {
	for n := range j.Spec.Steps {
		if !j.Spec.Steps[n].MayBeGranted() {
			continue
		}
		for occurrence := range j.Occurrences() {
			for _, t := range j.Tasks(occurrence, n) {
				t.Agent = ""
			}
		}
	}
}

// granted reports whether the ledger names an agent for a task.
func (j *job) granted(t *sequencer.Task, a *agent) bool {
	return t.Agent == a.id && j.grantRevisions[t] <= j.durableRevision
}

// maxGrantDelay is the age of the last confirmation of ownership from which a run is not stopped
// to move, as the ledger may not name its next agent soon.
const maxGrantDelay = time.Second

// mayGrant reports whether a task that is stopped to move would soon be granted elsewhere.
func (o *Orchestrator) mayGrant(t *sequencer.Task) bool {
	return !t.NeedsGrant() || o.confirmedWithin(maxGrantDelay)
}

// grant records a run whose start is sent once the ledger names its agent. Until then it takes
// room there.
func (o *Orchestrator) grant(t *sequencer.Task, j *job, a *agent) {
	o.granting[o.addRun(t, j, a, o.nextAttempt(t))] = true
	t.Agent = a.id
	delete(o.claims, t)
	o.writeGrant(t, j)
	o.cfg.Count(meter.Grants)
}

// writeGrant queues the agent of a task for writing at once.
func (o *Orchestrator) writeGrant(t *sequencer.Task, j *job) {
	o.markDirty(j)
	j.grantDue, j.grantRevisions[t] = true, j.revision
	o.progressDue = o.cfg.Now()
}

// putGrantsFirst moves the jobs with new grants to the front of those that are written next, as
// starts wait for them.
func (o *Orchestrator) putGrantsFirst() {
	if len(o.granting) == 0 {
		return
	}
	rank := func(j *job) int {
		if j.grantDue {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(o.dirtyJobs, func(a, b *job) int { return cmp.Compare(rank(a), rank(b)) })
}

// startGranted sends the starts of a job's runs whose grants have become durable.
func (o *Orchestrator) startGranted(j *job) {
	for _, r := range j.liveRuns {
		if o.granting[r] && j.granted(r.task, r.agent) {
			o.startGrantedRun(r)
		}
	}
}

// startGrantedRun sends the start of a run if its agent may still receive it.
func (o *Orchestrator) startGrantedRun(r *run) {
	now := o.cfg.Now()
	if !o.inPool(r.agent, r.job) {
		o.dropGrant(r, "its queue has moved to other workers")
		return
	}
	if !o.mayStartAt(r.job, r.task, r.agent, now) {
		o.dropGrant(r, "its ticket has run out")
		return
	}
	if r.link != r.agent.link || !o.ownershipCurrent() || o.unavailability(r.agent, now) != available {
		o.dropGrant(r, "its agent may receive no starts any more")
		return
	}
	delete(o.granting, r)
	o.cfg.ObserveDuration(meter.GrantWait, now.Sub(r.startedAt))
	r.startedAt = now
	o.sendStart(r)
}

// dropGrant removes a run that was never sent. Its task goes on waiting.
func (o *Orchestrator) dropGrant(r *run, reason string) {
	o.removeRun(r)
	o.planDue = true
	o.cfg.Count(meter.DroppedGrants)
	o.cfg.Log.Info("start dropped before it was sent", zap.String("task", r.key.task), zap.Uint64("attempt", r.key.attempt), zap.String("agent", r.agent.id),
		zap.String("why", reason), zap.Duration("granting", o.cfg.Now().Sub(r.startedAt)))
}

// dropGrantsAt drops the runs that are being granted to an agent whose connection has ended.
func (o *Orchestrator) dropGrantsAt(a *agent) {
	for _, r := range a.runs {
		if o.granting[r] {
			o.dropGrant(r, "the connection ended")
		}
	}
}

// followRun takes back the start of a task that an agent lists, and names that agent in the
// ledger if it names another one.
func (o *Orchestrator) followRun(j *job, t *sequencer.Task, a *agent) {
	if !t.NeedsGrant() {
		return
	}
	for _, r := range j.liveRuns {
		if r.task == t && o.granting[r] {
			o.dropGrant(r, a.id+" lists a run")
		}
	}
	if t.LiveRuns == 0 && t.Agent != a.id {
		o.cfg.Log.Warn("task runs at an agent that it was not granted to", zap.String("task", t.Name()), zap.String("agent", a.id), zap.String("granted", t.Agent))
		t.Agent = a.id
		o.writeGrant(t, j)
	}
}
