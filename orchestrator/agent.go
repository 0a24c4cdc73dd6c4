package orchestrator

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/differ"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/quarantiner"
	"github.com/endivefall/endivefall/sequencer"
)

// agent is the state of an agent that may hold work.
type agent struct {
	id string
	// link is the current connection, or nil; incarnation identifies the process at
	// its other end.
	link        *AgentLink
	incarnation string
	// lastSnapshotAt is the local time of its last snapshot.
	lastSnapshotAt time.Time
	// snapshot is the last one, complete; snapshots restores it from the changes that
	// link carries.
	snapshot  *messenger.WorkerSnapshot
	snapshots differ.Decoder
	// payloads has the payloads that the agent keeps, if it does.
	payloads differ.PayloadEncoder
	// keyVersion is the version of its key in the ledger, or 0 if it has none. The
	// lease of an agent without a key is not renewed.
	keyVersion uint64
	// mayRunAny is set while the agent's registration is open, and is to stay so, so
	// that it may run any task. Runs are started only on such agents.
	mayRunAny bool
	// recordOpen is set while its registration in the ledger is open, renewalBounded
	// while it is closed and states that every owner renews the lease only within
	// closedConfirmationTTL.
	recordOpen, renewalBounded bool
	// recordedTasks are the tasks that a closed registration of an earlier owner
	// lists as possibly running.
	recordedTasks []string
	// openPending, closePending and removalPending are set while the registration
	// is to be written as open, written as closed, or removed; writing is set while
	// that write is in flight.
	openPending, closePending, removalPending, writing bool
	// leaseExpiresAt is the local time until which its runs may continue without a
	// lease renewal.
	leaseExpiresAt time.Time
	// reconciled is set once a complete snapshot was received in this term;
	// hasUnknownRuns while an earlier owner may have left runs there that are not
	// known here.
	reconciled, hasUnknownRuns bool
	// seq is the number of the last command on link.
	seq uint64
	// lastEnd is the newest end handled from this incarnation, durableEnd the
	// newest end that it may discard, ackedEnd the newest end that was acknowledged
	// to it.
	lastEnd, durableEnd, ackedEnd uint64
	// pendingEnds are the ends after durableEnd.
	pendingEnds []pendingEnd
	// runs are the runs that may be active there.
	runs map[runKey]*run
	// strays are runs that its snapshots list, and that are to be stopped, though they are
	// not in runs.
	strays map[runKey]*stray
	// measurementUpdates is the update count of the last measurements that were
	// learned.
	measurementUpdates uint64
	// silentSince is the local time of the last snapshot from which on its worker, which
	// was not draining, could start nothing; it is kept once the worker can again.
	silentSince time.Time
	// health tracks the recent results of its runs.
	health workerHealth
}

// pendingEnd is an end that the agent must keep until it is durable in the ledger.
type pendingEnd struct {
	seq  uint64
	task string
	// job is nil if nothing of the end is written to the ledger.
	job      *job
	revision uint64
}

func (o *Orchestrator) agent(id string) *agent {
	a := o.agents[id]
	if a == nil {
		a = &agent{id: id, runs: map[runKey]*run{}, strays: map[runKey]*stray{}}
		o.agents[id] = a
	}
	return a
}

// reachable reports whether commands can be sent to the agent.
func (a *agent) reachable() bool { return a.link != nil && !a.link.ended }

// Connect registers a new connection to an agent.
func (o *Orchestrator) Connect(l *AgentLink) {
	o.enqueue(func() {
		a := o.agent(l.ID)
		if a.incarnation != l.Incarnation {
			a.incarnation, a.lastEnd, a.durableEnd, a.ackedEnd, a.pendingEnds = l.Incarnation, 0, 0, 0, nil
		}
		a.link, a.seq, a.snapshot, a.lastSnapshotAt, a.measurementUpdates = l, 0, nil, o.cfg.Now(), 0
		a.snapshots, a.payloads, a.strays = differ.Decoder{}, differ.PayloadEncoder{}, map[runKey]*stray{}
		o.starts.Drop(a.id)
		o.cfg.Log.Info("agent connected", zap.String("agent", l.ID), zap.String("born", l.Incarnation))
	})
}

// Disconnect handles the end of a connection.
func (o *Orchestrator) Disconnect(l *AgentLink) {
	o.enqueue(func() {
		if a := o.agents[l.ID]; a != nil && a.link == l {
			if a.snapshot != nil && a.snapshot.Reconciled && a.snapshot.Draining && len(a.snapshot.Runs) == 0 && len(o.runsOf(a)) == 0 {
				a.leaseExpiresAt = o.cfg.Now() // it accepted no more starts and had no runs
			}
			a.link, a.snapshot = nil, nil
			o.starts.Drop(a.id)
			o.cfg.Log.Info("agent disconnected", zap.String("agent", l.ID), zap.Duration("lease", a.leaseExpiresAt.Sub(o.cfg.Now())))
		}
	})
}

// HandleFrame handles a frame from an agent.
func (o *Orchestrator) HandleFrame(l *AgentLink, f messenger.Frame) {
	if f.Kind != messenger.KindWorkerSnapshot {
		return
	}
	o.enqueue(func() {
		if a := o.agents[l.ID]; a != nil && a.link == l {
			o.handleSnapshot(a, f.WorkerSnapshot)
		}
	})
}

// handleSnapshot processes the snapshot of an agent's worker and acknowledges it.
// The acknowledgement renews the lease if the agent has a key in the ledger,
// ownership is confirmed recently enough and the snapshot is reconciled.
func (o *Orchestrator) handleSnapshot(a *agent, received *messenger.WorkerSnapshot) {
	if received.Term > o.cfg.Term {
		o.stopReason = ErrOwnershipLost
		return
	}
	snapshot, err := a.snapshots.Restore(received)
	if err != nil {
		o.cfg.Log.Error("snapshot ignored; closing the connection", zap.String("agent", a.id), zap.Error(err))
		a.link.Close("snapshot out of step")
		return
	}
	now := o.cfg.Now()
	o.starts.Confirmed(a.id, snapshot.Seq, now)
	o.planDue, o.startsHeld = o.planDue || o.startsHeld, false
	if a.snapshot != nil && a.snapshot.MayStart && !snapshot.MayStart && !snapshot.Draining {
		a.silentSince = now
	}
	a.snapshot, a.lastSnapshotAt = snapshot, now
	if o.loaded {
		o.applySnapshot(a, snapshot)
		o.updateRegistration(a, snapshot)
	}
	o.ackSnapshot(a)
}

// ackSnapshot acknowledges the last snapshot of an agent and renews its lease if it
// may.
func (o *Orchestrator) ackSnapshot(a *agent) {
	snapshot := a.snapshot
	ack := &messenger.SnapshotAck{Term: o.cfg.Term, AckedEnd: a.durableEnd, WorkerIncarnation: snapshot.WorkerIncarnation}
	if o.loaded && o.confirmedWithin(closedConfirmationTTL) {
		ack.AppliedSentAt = snapshot.SentAt
	}
	if o.mayRenew(a) && snapshot.Reconciled {
		ack.EchoSentAt = snapshot.SentAt
		if expiresAt := o.cfg.Now().Add(o.maxLeaseElapsed()); snapshot.Term == o.cfg.Term {
			a.leaseExpiresAt = expiresAt // no earlier owner can renew it any more
		} else {
			a.leaseExpiresAt = later(a.leaseExpiresAt, expiresAt)
		}
	}
	a.ackedEnd = a.durableEnd
	o.sendFrame(a, messenger.Frame{Kind: messenger.KindSnapshotAck, SnapshotAck: ack})
}

func (o *Orchestrator) sendFrame(a *agent, f messenger.Frame) {
	if a.link == nil {
		return
	}
	if err := a.link.TrySend(f); err != nil {
		o.cfg.Log.Info("snapshot not acknowledged", zap.String("agent", a.id), zap.Error(err))
	}
}

// applySnapshot updates the known runs of an agent from its snapshot.
func (o *Orchestrator) applySnapshot(a *agent, snapshot *messenger.WorkerSnapshot) {
	reported := map[runKey]bool{}
	var newEnds []messenger.RunEnd
	for _, end := range snapshot.RunEnds {
		reported[runKey{end.Task, end.Attempt}] = true
		if end.Seq > a.lastEnd {
			a.lastEnd = end.Seq
			newEnds = append(newEnds, end)
		}
	}
	o.judgeCrashes(a, newEnds)
	for _, end := range newEnds {
		o.handleRunEnd(a, end)
	}
	o.advanceDurableEnd(a)
	if !snapshot.Reconciled {
		return
	}
	for _, status := range snapshot.Runs {
		reported[runKey{status.Task, status.Attempt}] = true
		o.handleRunStatus(a, status)
	}
	o.learnInterference(a, snapshot)
	if !a.reconciled || a.hasUnknownRuns {
		a.reconciled, a.hasUnknownRuns, a.recordedTasks = true, false, nil
		o.planDue = true
		o.cfg.Log.Info("agent reconciled", zap.String("agent", a.id), zap.Int("runs", len(snapshot.Runs)), zap.Int("ends", len(snapshot.RunEnds)), zap.Int("missing", o.agentsWithUnknownRuns()))
	}
	if len(snapshot.RunEnds) >= maxListedEnds {
		return // unlisted runs may have ended among the omitted ends
	}
	maps.DeleteFunc(a.strays, func(key runKey, _ *stray) bool { return !reported[key] })
	for _, r := range o.runsOf(a) {
		if reported[r.key] || r.link == a.link && r.seq > snapshot.Seq {
			continue
		}
		o.endRun(r, messenger.RunEnd{Task: r.key.task, Attempt: r.key.attempt, Status: messenger.EndNotStarted, Reason: "unknown to the agent"})
	}
}

// maxListedEnds is the most ends that an agent lists in one snapshot.
const maxListedEnds = 500

// runsOf returns an agent's runs, in any order.
func (o *Orchestrator) runsOf(a *agent) []*run { return slices.Collect(maps.Values(a.runs)) }

// agentsWithUnknownRuns counts the agents that may hold runs of an earlier owner.
func (o *Orchestrator) agentsWithUnknownRuns() int {
	n := 0
	for _, a := range o.agents {
		if a.hasUnknownRuns {
			n++
		}
	}
	return n
}

// handleRunStatus updates a run from the snapshot of its agent.
func (o *Orchestrator) handleRunStatus(a *agent, status messenger.RunStatus) {
	key := runKey{status.Task, status.Attempt}
	r := o.runs[key]
	if r == nil {
		if r = o.adoptRun(a, status); r == nil {
			return
		}
	}
	if r.agent != a {
		if r.evict || r.job.Ended() || r.task.Done {
			o.stopStray(a, status, "no longer needed; "+r.agent.id+" lists it, too")
			return
		}
		o.cfg.Log.Error("run is listed by two agents", zap.String("task", status.Task), zap.Uint64("attempt", status.Attempt), zap.String("agent", a.id), zap.String("other", r.agent.id))
		return
	}
	if status.SpecUnknown {
		o.sendCommand(a, &messenger.Command{Start: o.runStart(r, true)})
	}
	now := o.cfg.Now()
	if status.ProgressPercent > r.progressPercent || r.progressedAt.IsZero() {
		r.progressedAt = now
	}
	if status.Phase != messenger.PhaseStarting {
		r.job.Started = true
	}
	r.phase, r.progressPercent, r.measurement, r.pacePercent = status.Phase, status.ProgressPercent, status.Measurement, status.PacePercent
	r.throttled = r.throttled || status.PacePercent < 100
	if status.Phase == messenger.PhaseRunning && a.snapshot.MayStart {
		r.aliveAt = now
	}
	if status.Checkpoint != "" && status.Checkpoint != r.task.Checkpoint || r.task.StepSpec().LongRunning && status.ProgressPercent >= 100 {
		r.progressed = true
		if r.oddsNow() < quarantiner.Suspect {
			suspectOf(r.task).Crashes = nil
		}
	}
	if status.Checkpoint != "" && status.Checkpoint != r.task.Checkpoint {
		r.task.Checkpoint, r.task.CheckpointAt = status.Checkpoint, now
		o.queueCheckpointSave(r.job, now)
	}
	if r.evict || r.job.Ended() || r.task.Done {
		o.stopRun(r, "no longer needed")
	}
}

// adoptRun adds a run that an earlier owner started. It stops the run if its job is
// unknown.
func (o *Orchestrator) adoptRun(a *agent, status messenger.RunStatus) *run {
	id, occurrence, step, index, err := sequencer.ParseTaskName(status.Task)
	j := o.jobs[id]
	if err != nil || j == nil || j.Task(occurrence, step, index) == nil {
		o.stopStray(a, status, "its job is not known")
		return nil
	}
	t := j.Task(occurrence, step, index)
	r := &run{key: runKey{status.Task, status.Attempt}, task: t, job: j, agent: a, phase: status.Phase, pacePercent: 100, startedAt: o.cfg.Now(), resumed: true}
	if t.LiveRuns > 0 && !t.StepSpec().Speculative {
		r.evict = true
		o.cfg.Log.Warn("stopping a run of a task that runs elsewhere", zap.String("task", status.Task), zap.Uint64("attempt", status.Attempt), zap.String("agent", a.id))
	}
	t.Attempt = max(t.Attempt, status.Attempt)
	t.LiveRuns++
	o.runs[r.key], j.liveRuns[r.key], a.runs[r.key] = r, r, r
	return r
}

// expireLease ends the runs of an agent once its lease has certainly expired, unless
// the agent reports their ends itself.
func (o *Orchestrator) expireLease(a *agent, now time.Time) {
	reporting := a.link != nil && a.snapshot != nil && a.snapshot.Reconciled && now.Sub(a.lastSnapshotAt) < isolationTimeout
	if reporting || now.Before(a.leaseExpiresAt) || !o.loaded {
		return
	}
	for _, r := range o.runsOf(a) {
		// The agent rejects a command that arrives now, as it has no lease.
		o.endRun(r, messenger.RunEnd{Task: r.key.task, Attempt: r.key.attempt, Status: messenger.EndLeaseExpired, Reason: "agent unreachable and lease expired"})
	}
	if a.hasUnknownRuns {
		a.hasUnknownRuns, a.recordedTasks, o.planDue = false, nil, true
		o.cfg.Log.Info("lease of an unreachable agent expired", zap.String("agent", a.id), zap.Time("vouched", a.leaseExpiresAt))
	}
	a.reconciled = false
	switch {
	case a.writing || a.openPending:
	case a.keyVersion == 0:
		if a.link == nil { // nothing is left of it
			delete(o.agents, a.id)
		}
	case now.After(a.leaseExpiresAt.Add(registrationRemovalDelay)):
		a.closePending, a.removalPending = false, true
	}
}

// registrationRemovalDelay is the delay between the expiry of the lease of an
// absent agent and the removal of its registration, after which a new owner does
// not wait for it.
const registrationRemovalDelay = 2 * time.Second
