package orchestrator

import (
	"maps"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/quarantiner"
	"github.com/endivefall/endivefall/sequencer"
)

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
	a.snapshot, a.lastSnapshotAt, a.leaving = snapshot, now, snapshot.Leaving
	o.addToRoster(a)
	if o.loaded {
		o.applySnapshot(a, snapshot)
		o.updateRegistration(a, snapshot)
	}
	o.ackSnapshot(a)
	a.confirmedSeq = snapshot.Seq
	o.sendQueued(a) // after the acknowledgement, which renews the lease
}

// ackSnapshot acknowledges the last snapshot of an agent and renews its lease if it
// may.
func (o *Orchestrator) ackSnapshot(a *agent) {
	snapshot := a.snapshot
	ack := &messenger.SnapshotAck{Term: o.cfg.Term, AckedEnd: a.durableEnd, WorkerIncarnation: snapshot.WorkerIncarnation}
	if o.loaded && o.confirmedWithin(closedConfirmationTTL) && (!snapshot.Leaving || a.mayLeave()) {
		ack.AppliedSentAt = snapshot.SentAt
	}
	if o.mayRenew(a) && snapshot.Reconciled {
		ack.EchoSentAt, a.lastRenewal = snapshot.SentAt, renewal{snapshot.WorkerIncarnation, snapshot.SentAt}
		if expiresAt := o.cfg.Now().Add(o.maxLeaseElapsed()); snapshot.Term == o.cfg.Term {
			a.leaseExpiresAt = expiresAt // no earlier owner can renew it any more
		} else {
			a.leaseExpiresAt = later(a.leaseExpiresAt, expiresAt)
		}
	} else if a.registration.RenewalsEnded() && a.lastRenewal.worker == snapshot.WorkerIncarnation && !a.lastRenewal.sentAt.After(snapshot.SentAt) {
		ack.EchoSentAt = a.lastRenewal.sentAt // which may not have arrived
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
		o.boundWorkerless(a, snapshot)
		return
	}
	for _, status := range snapshot.Runs {
		reported[runKey{status.Task, status.Attempt}] = true
		o.handleRunStatus(a, status)
	}
	o.learnInterference(a, snapshot)
	if !snapshot.Complete {
		return // a run that is missing may be at work, or have ended
	}
	if !a.reconciled || a.hasUnknownRuns {
		a.reconciled, a.hasUnknownRuns, a.recordedTasks = true, false, nil
		o.planDue = true
		o.cfg.Log.Info("agent reconciled", zap.String("agent", a.id), zap.Int("runs", len(snapshot.Runs)), zap.Int("ends", len(snapshot.RunEnds)), zap.Int("missing", o.agentsWithUnknownRuns()))
	}
	maps.DeleteFunc(a.strays, func(key runKey, _ *stray) bool { return !reported[key] })
	for _, r := range o.runsOf(a) {
		if reported[r.key] || r.link == a.link && r.seq > snapshot.Seq {
			continue
		}
		o.endRun(r, messenger.RunEnd{Task: r.key.task, Attempt: r.key.attempt, Status: messenger.EndNotStarted, Reason: "unknown to the agent"})
	}
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
	if status.SpecUnknown && (r.specQueuedOn != a.link || a.snapshot.Seq >= r.specSeq) {
		r.specQueuedOn, r.specSeq = a.link, notSent
		o.queueCommand(a, queuedCommand{kind: specCommand, run: r})
	}
	if a.snapshot.Current && a.snapshot.Term == o.cfg.Term && status.Phase != messenger.PhaseStarting && !r.task.StepSpec().Speculative {
		o.locate(r.task, status.Attempt, sequencer.Failures(status.Failures))
	}
	now := o.cfg.Now()
	if status.ProgressPercent > r.progressPercent || r.progressedAt.IsZero() {
		r.progressedAt = now
	}
	if status.Phase != messenger.PhaseStarting {
		r.job.Started = true
	}
	r.addPacedTime(now)
	r.phase, r.progressPercent, r.measurement, r.pacePercent = status.Phase, status.ProgressPercent, status.Measurement, status.PacePercent
	r.throttled = r.throttled || status.PacePercent < 100
	if status.Phase == messenger.PhaseRunning && a.snapshot.MayStart {
		r.aliveAt = now
	}
	if status.Checkpoint != "" && status.Checkpoint != r.task.Checkpoint || r.task.StepSpec().LongRunning && status.ProgressPercent >= 100 {
		r.progressed = true
		r.job.resultsOf(r.task.Step).succeeded = true
		if r.oddsNow() < quarantiner.Suspect {
			suspectOf(r.task).Crashes = nil
		}
	}
	if status.Checkpoint != "" && status.Checkpoint != r.task.Checkpoint {
		r.task.Checkpoint, r.task.CheckpointAt = status.Checkpoint, now
		r.noteSaved()
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
	o.followRun(j, t, a)
	r := &run{key: runKey{status.Task, status.Attempt}, task: t, job: j, agent: a, phase: status.Phase, pacePercent: 100, startedAt: o.cfg.Now(), resumed: true, failures: sequencer.Failures(status.Failures)}
	if t.LiveRuns > 0 && !t.StepSpec().Speculative {
		r.evict = true
		o.cfg.Log.Warn("stopping a run of a task that runs elsewhere", zap.String("task", status.Task), zap.Uint64("attempt", status.Attempt), zap.String("agent", a.id))
	}
	t.Attempt = max(t.Attempt, status.Attempt)
	t.LiveRuns++
	o.runs[r.key], j.liveRuns[r.key], a.runs[r.key] = r, r, r
	return r
}
