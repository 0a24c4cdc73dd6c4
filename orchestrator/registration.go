package orchestrator

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/estimator"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// registrationCloseDelay is how long an agent may be disconnected before its
// registration is closed. Most agents reconnect sooner.
const registrationCloseDelay = 250 * time.Millisecond

// loadRegistration takes over the record of an agent that the ledger has, if it has one. The write
// of it that was in flight, if any, can take effect no more if that is final. A record that cannot
// be decoded counts as open, as the agent may run any task.
func (o *Orchestrator) loadRegistration(a *agent, item storer.Item, final bool) {
	r := registrar.Registration{}
	if item.Version != 0 {
		var err error
		if r, err = registrar.Decode(item.Value); err != nil {
			o.cfg.Log.Warn("registration can't be decoded; treating it as open", zap.String("agent", a.id), zap.Error(err))
			o.cfg.Count(meter.UnreadableRegistrations)
		}
		a.recordedTasks = r.HeldTasks
	}
	if final {
		a.registration.Set(item.Version, r)
	} else {
		a.registration.SetInDoubt(item.Version, r)
	}
}

// earlierOwnersStopped reports whether the confirmations of every earlier owner have
// expired.
func (o *Orchestrator) earlierOwnersStopped() bool {
	return o.earlierOwnersLeft() <= 0
}

// closedRegistration returns the record of an agent whose registration is closed. It is
// bounded only once the confirmations of every earlier owner have expired: one of them
// may have loaded the registration while it was open, and renew the lease for longer.
func (o *Orchestrator) closedRegistration(a *agent) registrar.Registration {
	r := registrar.Registration{HeldTasks: a.heldTasks(), Bounded: o.earlierOwnersStopped(), Incarnation: a.incarnation}
	if o.endsRenewal(a) {
		r.RenewalsEndedInTerm, r.Epoch, r.EarlierMs = o.cfg.Term, o.cfg.Epoch, max(o.earlierOwnersLeft().Milliseconds()+1, 0)
	}
	return r
}

// boundRegistration writes a closed registration again that was written while an
// earlier owner might still act, or before the agent left or became unreachable.
func (o *Orchestrator) boundRegistration(a *agent) {
	r := &a.registration
	ends := !r.RenewalsEnded() && o.endsRenewal(a)
	bounded := r.Bounded() && !ends
	if r.Version() == 0 || bounded || !r.Closed() || r.Wanted() != registrar.None || !a.reconciled || a.hasUnknownRuns {
		return
	}
	if ends || o.earlierOwnersStopped() {
		r.Want(registrar.Close)
	}
}

// renewedUntil returns until when an earlier owner may have renewed the lease of an agent.
func (o *Orchestrator) renewedUntil(a *agent) time.Time {
	until := earlierKnown(o.cfg.ClaimedAt.Add(o.cfg.PreviousOwnerTTL), o.cfg.EarlierOwnersUntil)
	if !a.registration.Bounded() {
		return until
	}
	until = earlierKnown(until, o.cfg.ClaimedAt.Add(closedConfirmationTTL))
	if o.cfg.EarlierConfirmedBy.IsZero() {
		return until
	}
	return earlierKnown(until, o.cfg.EarlierConfirmedBy.Add(estimator.MaxLocalElapsed(closedConfirmationTTL)))
}

// earlierKnown returns the earlier of two times, the first if the second is not known.
func earlierKnown(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

// updateRegistration opens the registration of a connected agent with a worker. Where the
// worker drains or the agent leaves, no starts are accepted, so that its registration lists
// its tasks; it is removed once nothing is left there, so that no later owner waits for it.
func (o *Orchestrator) updateRegistration(a *agent, snapshot *messenger.WorkerSnapshot) {
	closing := (snapshot.Draining || snapshot.Leaving) && snapshot.Reconciled
	r := &a.registration
	switch {
	case !r.Writing() && a.hasUnknownRuns && r.RenewalsEnded() && !a.leaving && snapshot.Reconciled:
		r.Want(registrar.Close) // it may be renewed from then on, and holds what it did
	case r.Writing() || a.hasUnknownRuns: // its registration stands until it is reconciled
	case closing && snapshot.Complete && len(snapshot.Runs) == 0 && len(snapshot.RunEnds) == 0 && a.idle():
		r.Want(registrar.None)
		if r.Version() != 0 {
			r.Want(registrar.Remove)
		}
	case closing && (r.Record().Open || r.RenewalsEnded() && !a.leaving):
		// The write that names the process that is connected may not have been sent.
		r.Want(registrar.Close)
	case closing:
	case !snapshot.Reconciled: // it may run nothing; expireLease removes its registration
	default:
		r.Want(registrar.None) // what is not sent yet is not needed
		if !r.OpenFor(a.incarnation) {
			r.Want(registrar.Open)
		}
	}
}

// mayLeave reports whether an agent that is to end may do so: the next owner does not wait
// with all older tasks for one whose registration is closed.
func (a *agent) mayLeave() bool { return a.registration.Closed() }

// unreachable reports whether an agent has been disconnected, or silent, for long enough to close
// its registration.
func (a *agent) unreachable(now time.Time) bool {
	silence := now.Sub(a.lastSnapshotAt)
	return a.link == nil && silence > registrationCloseDelay || silence > isolationTimeout/2
}

// idle reports whether the agent has no runs and no ends that are yet to be written
// to the ledger.
func (a *agent) idle() bool { return len(a.runs) == 0 && len(a.pendingEnds) == 0 }

// closeRegistration closes the registration of an unreachable agent, or removes it
// if the agent is idle. It waits for the end of an outage of the store: the write would
// fail, and an agent that returns meanwhile gets no lease under a closed registration.
func (o *Orchestrator) closeRegistration(a *agent, now time.Time) {
	if !a.unreachable(now) || !o.confirmedWithin(closedConfirmationTTL) || !a.registration.Record().Open || a.registration.Writing() || a.registration.Wanted() != registrar.None || !a.reconciled || a.hasUnknownRuns || !o.loaded {
		return
	}
	// No start is sent there until its registration is open again.
	if a.idle() {
		a.registration.Want(registrar.Remove)
	} else {
		a.registration.Want(registrar.Close)
	}
}

// heldTasks returns the tasks that an agent may run, and those whose ends are not
// durable.
func (a *agent) heldTasks() []string {
	var tasks []string
	for key := range a.runs {
		tasks = append(tasks, key.task)
	}
	for _, e := range a.pendingEnds {
		tasks = append(tasks, e.task)
	}
	if a.hasUnknownRuns {
		tasks = append(tasks, a.recordedTasks...)
	}
	return tasks
}

// locate records that a run of a task was at work after this owner's claim, or that no earlier owner knew
// that it was not. A task has one run, so
// that no agent that is not reconciled has one, and no earlier owner starts another.
func (o *Orchestrator) locate(t *sequencer.Task, attempt uint64, failures sequencer.Failures) {
	o.planDue = o.planDue || !t.Located
	t.Locate(attempt, failures)
}

// locateByEnd locates a task by the end of a run that no owner of an earlier term has been told
// of, nor concluded. Each of them counted the run as at work, and started the task nowhere else.
func (o *Orchestrator) locateByEnd(t *sequencer.Task, end messenger.RunEnd) {
	if end.UntoldTerm == o.cfg.Term && t.Attempt <= end.Attempt && !t.StepSpec().Speculative {
		o.locate(t, end.Attempt, sequencer.Failures(end.Failures))
	}
}

// blockedTasks returns which tasks of jobs older than this ownership must wait unless they
// are located: all of them while an agent that is not reconciled has an open registration,
// otherwise the tasks that such agents may run.
func (o *Orchestrator) blockedTasks() (allBlocked bool, blocked map[string]bool) {
	blocked = map[string]bool{}
	for _, a := range o.agents {
		if !a.hasUnknownRuns {
			continue
		}
		if a.registration.Open() {
			return true, nil
		}
		for _, task := range a.recordedTasks {
			blocked[task] = true
		}
	}
	return false, blocked
}

// mayHold reports whether an agent, if there is one, may run a task that no other agent may run.
func (a *agent) mayHold(t *sequencer.Task) bool {
	return a != nil && a.hasUnknownRuns && (a.registration.Open() || slices.Contains(a.recordedTasks, t.Name()))
}

// attemptsMayBeUsedUp reports whether as many runs of a located task may have failed as its job allows,
// though not all of these ends are known.
func attemptsMayBeUsedUp(t *sequencer.Task) bool {
	limit := t.Job.Spec.MaxAttempts
	return limit > 0 && !t.StepSpec().LongRunning && t.MaxFailures().Exceeds(limit)
}

// startBlocked returns a function that reports whether a task may not be started yet, as an
// agent that is not reconciled may run it, or list an end by which its attempts are used up. Its run should
// be stopped only if it must.
func (o *Orchestrator) startBlocked() func(*sequencer.Task) bool {
	all, tasks := o.blockedTasks()
	return func(t *sequencer.Task) bool {
		switch {
		case t.Job.Version >= o.cfg.Epoch || t.Located && !attemptsMayBeUsedUp(t):
			return false
		case t.NeedsGrant():
			return o.agents[t.Agent].mayHold(t)
		}
		return all || tasks[t.Name()]
	}
}

// blockingLogInterval is the shortest time between two log lines about the agents
// that block tasks.
const blockingLogInterval = time.Second

// logBlockingAgents logs which tasks of older jobs wait, for which agent the
// longest, and until when, each time the number of these agents changes.
func (o *Orchestrator) logBlockingAgents(now time.Time) {
	blocking := o.agentsWithUnknownRuns()
	if blocking == o.blockingAgents || now.Sub(o.blockingLoggedAt) < blockingLogInterval {
		return
	}
	o.blockingAgents, o.blockingLoggedAt = blocking, now
	if blocking == 0 {
		o.cfg.Log.Info("no task waits for an agent any more", zap.Uint64("term", o.cfg.Term))
		return
	}
	var last *agent
	open := 0
	for _, a := range o.agents {
		if a.hasUnknownRuns && a.registration.Open() {
			open++
		}
		if a.hasUnknownRuns && (last == nil || a.leaseExpiresAt.After(last.leaseExpiresAt)) {
			last = a
		}
	}
	all, tasks := o.blockedTasks()
	o.cfg.Log.Info("tasks of older jobs wait for agents that are not reconciled", zap.Uint64("term", o.cfg.Term), zap.Int("agents", blocking),
		zap.Int("open_agents", open), zap.Bool("all", all), zap.Int("tasks", len(tasks)), zap.String("last", last.id), zap.Bool("connected", last.link != nil),
		zap.Bool("open", last.registration.Open()), zap.Duration("lease", last.leaseExpiresAt.Sub(now)))
}
