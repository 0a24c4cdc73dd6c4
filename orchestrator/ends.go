package orchestrator

import (
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/sequencer"
)

// refusedStartDelay is how long a task waits after a refused start.
const refusedStartDelay = 60 * time.Millisecond

// failingTaskDelay is how long a long-running task waits after a failure if its step has
// failed on several workers and worked on none.
const failingTaskDelay = 500 * time.Millisecond

// handleRunEnd processes an end that an agent lists.
func (o *Orchestrator) handleRunEnd(a *agent, end messenger.RunEnd) {
	pending := pendingEnd{seq: end.Seq, task: end.Task}
	key := runKey{end.Task, end.Attempt}
	if r := o.runs[key]; r != nil && r.agent == a {
		o.locateByEnd(r.task, end)
		o.endRun(r, end)
		pending.job, pending.revision = r.job, r.job.revision
	} else {
		pending.job, pending.revision = o.handleUnknownRunEnd(a, end)
	}
	if end.Status != messenger.EndDone && end.Status != messenger.EndFailed && !o.crashCounted(end) {
		pending.job = nil // nothing of it is written to the ledger
	}
	a.pendingEnds = append(a.pendingEnds, pending)
}

// handleUnknownRunEnd processes the end of a run that is not known here: an earlier
// owner started it, or this owner has removed it already, as after the expiry of the
// agent's lease. A finished task stays done even if it has been started again since.
// A failed attempt always counts; other ends count only if no newer attempt exists.
func (o *Orchestrator) handleUnknownRunEnd(a *agent, end messenger.RunEnd) (*job, uint64) {
	id, occurrence, step, index, err := sequencer.ParseTaskName(end.Task)
	j := o.jobs[id]
	if err != nil || j == nil || j.Ended() {
		return nil, 0
	}
	t := j.Task(occurrence, step, index)
	if t == nil || t.Done {
		return j, j.revision // the progress that marks it done may not be written yet
	}
	stale := t.Attempt > end.Attempt
	if stale && end.Status != messenger.EndDone && end.Status != messenger.EndFailed {
		return nil, 0
	}
	o.cfg.Log.Info("end of an unknown run", zap.String("task", end.Task), zap.Uint64("attempt", end.Attempt), zap.Stringer("how", end.Status), zap.String("agent", a.id))
	t.Attempt = max(t.Attempt, end.Attempt)
	if stale {
		end.Checkpoint = ""
	}
	o.locateByEnd(t, end)
	o.applyRunEnd(j, t, a, end)
	return j, j.revision
}

// endRun removes a run and applies the consequences of its end.
func (o *Orchestrator) endRun(r *run, end messenger.RunEnd) {
	o.removeRun(r)
	now := o.cfg.Now()
	if r.phase != messenger.PhaseStarting {
		r.task.WaitingSince = now // whatever its end says, it has worked
	}
	o.cfg.Log.Info("run ended", zap.String("task", end.Task), zap.Uint64("attempt", end.Attempt), zap.Stringer("how", end.Status),
		zap.String("reason", end.Reason), zap.String("agent", r.agent.id), zap.Duration("ran", now.Sub(r.startedAt)), zap.Int("percent", r.progressPercent))
	o.cfg.Count(meter.RunEnds.Of(end.Status.String()))
	if end.Crash == nil {
		clearSuspicion(r, end.Status == messenger.EndDone || end.Status == messenger.EndFailed)
	}
	if end.Status == messenger.EndDone {
		o.cfg.ObserveDuration(meter.RunTimes, now.Sub(r.startedAt))
		r.agent.health.recordSuccess()
		o.learnSpeed(r, now)
		o.learnTime(r, now)
		o.learnRunTime(r, now)
	}
	o.applyRunEnd(r.job, r.task, r.agent, end)
}

// removeRun removes a run from those that may be active.
func (o *Orchestrator) removeRun(r *run) {
	delete(o.runs, r.key)
	delete(o.granting, r)
	delete(r.job.liveRuns, r.key)
	delete(r.agent.runs, r.key)
	r.task.LiveRuns--
}

// applyRunEnd updates the task and the job of a run that ended.
func (o *Orchestrator) applyRunEnd(j *job, t *sequencer.Task, a *agent, end messenger.RunEnd) {
	now := o.cfg.Now()
	if end.Status != messenger.EndNotStarted || t.WaitingSince.IsZero() {
		t.WaitingSince = now
	}
	t.FreeSince = time.Time{}
	if end.Checkpoint != "" {
		t.Checkpoint, t.CheckpointAt = end.Checkpoint, now
	}
	o.planDue = true
	if end.Status == messenger.EndDone || end.Status == messenger.EndFailed {
		j.Started = true
	}
	step := t.StepSpec()
	switch end.Status {
	case messenger.EndDone:
		j.resultsOf(t.Step).succeeded = true
		if step.LongRunning {
			return
		}
		if step.Gang {
			for _, other := range j.Tasks(t.Occurrence, t.Step) {
				j.MarkDone(other)
			}
		}
		j.MarkDone(t)
		for _, r := range j.liveRuns {
			if r.task == t {
				o.stopRun(r, "another run of the task finished")
			}
		}
		o.markDirty(j)
		if j.Done() {
			delete(o.openJobs, j.Spec.ID)
		}
	case messenger.EndFailed:
		againstWorker := j.resultsOf(t.Step).recordFailure(a.id)
		if againstWorker && a.health.recordFailure(now) {
			o.cfg.Log.Warn("worker excluded after consecutive failures", zap.String("agent", a.id), zap.Float64("doubt", a.health.failureRate), zap.Int("row", a.health.consecutiveFailures))
		}
		if step.LongRunning {
			if !againstWorker {
				t.NotBefore = now.Add(failingTaskDelay) // nothing else bounds its attempts
			}
			return
		}
		t.FailedWorkers = append(t.FailedWorkers, a.id)
		if step.Gang {
			t = j.Tasks(t.Occurrence, t.Step)[0] // failures of several members count once
		}
		if !t.AddFailure(end.Attempt) {
			return
		}
		if j.Spec.MaxAttempts > 0 && len(t.FailedAttempts) >= j.Spec.MaxAttempts && !j.Ended() {
			j.Failed = true
			o.cfg.Log.Info("job failed", zap.String("job", j.Spec.ID), zap.String("task", end.Task), zap.Uint64s("attempts", t.FailedAttempts))
			o.closeJob(j)
		}
		o.markDirty(j)
	case messenger.EndNotStarted:
		t.NotBefore = now.Add(refusedStartDelay)
		o.rejectTicket(t, a, now)
		if end.WorkerUnhealthy {
			a.health.recordUnhealthy(now)
		}
	}
}

// markDirty queues a job's progress for writing: at once if the job has ended, otherwise
// soon, together with further changes, or later if the ledger has rejected it. Until then the
// agents keep the ends.
func (o *Orchestrator) markDirty(j *job) {
	j.revision++
	if o.heldWrites[j] {
		return
	}
	due := o.cfg.Now()
	if !j.State().Final() {
		due = due.Add(progressWriteDelay)
	}
	if len(o.dirtyJobs) == 0 || due.Before(o.progressDue) {
		o.progressDue = due
	}
	if !j.dirty {
		j.dirty = true
		o.dirtyJobs = append(o.dirtyJobs, j)
	}
}

// checkpointSaveInterval is how often a job's new checkpoints are written. It
// bounds the progress that is lost when the owner and the workers lose power
// together. A write costs less than two seconds of a core.
const checkpointSaveInterval = 1500 * time.Millisecond

// queueCheckpointSave queues a job's progress for writing after a new checkpoint, at
// most once in checkpointSaveInterval.
func (o *Orchestrator) queueCheckpointSave(j *job, now time.Time) {
	if now.Sub(j.checkpointsSavedAt) >= checkpointSaveInterval {
		j.checkpointsSavedAt = now
		o.markDirty(j)
	}
}

// advanceDurableEnd drops the leading pending ends that are durable in the ledger,
// so that the agent may discard them.
func (o *Orchestrator) advanceDurableEnd(a *agent) {
	n := 0
	for n < len(a.pendingEnds) && (a.pendingEnds[n].job == nil || a.pendingEnds[n].job.durableRevision >= a.pendingEnds[n].revision) {
		a.durableEnd = a.pendingEnds[n].seq
		n++
	}
	a.pendingEnds = a.pendingEnds[n:]
}

// ackDurableEnds acknowledges newly durable ends to the agents.
func (o *Orchestrator) ackDurableEnds() {
	for _, a := range o.agents {
		o.advanceDurableEnd(a)
		if a.link != nil && a.ackedEnd < a.durableEnd {
			a.ackedEnd = a.durableEnd
			o.sendFrame(a, messenger.Frame{Kind: messenger.KindSnapshotAck, SnapshotAck: &messenger.SnapshotAck{Term: o.cfg.Term, AckedEnd: a.durableEnd}})
		}
	}
}
