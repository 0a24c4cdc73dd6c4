package orchestrator

import (
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

// neverPause is how long a task waits after a start that was refused.
const neverPause = 60 * time.Millisecond

// ended takes an end that an agent lists.
func (o *Orchestrator) ended(a *agent, row messenger.RunEnd) {
	p := pendingEnd{n: row.Seq, task: row.Task}
	key := runKey{row.Task, row.Attempt}
	if r := o.runs[key]; r != nil && r.agent == a {
		o.over(r, row)
		p.job, p.change = r.job, r.job.changes
	} else {
		p.job, p.change = o.strayEnd(a, row)
	}
	if row.Status != messenger.EndDone && row.Status != messenger.EndFailed {
		p.job = nil // the ledger keeps nothing of it
	}
	a.ends = append(a.ends, p)
}

// strayEnd takes an end of a run that is not known here: an earlier owner
// started it, or it was given up. A task that was done is done, also where it
// has been started again since; of other ends only the newest attempt's count.
func (o *Orchestrator) strayEnd(a *agent, row messenger.RunEnd) (*job, uint64) {
	id, k, step, index, err := sequencer.ParseTaskName(row.Task)
	j := o.jobs[id]
	if err != nil || j == nil || j.Ended() {
		return nil, 0
	}
	t := j.Task(k, step, index)
	if t == nil || t.Done {
		return j, j.changes // what made it done may not be written yet
	}
	old := t.Attempt > row.Attempt
	if old && row.Status != messenger.EndDone && row.Status != messenger.EndFailed {
		return nil, 0
	}
	o.cfg.Log.Info("end of a run that was not known", zap.String("task", row.Task), zap.Uint64("attempt", row.Attempt), zap.Stringer("how", row.Status), zap.String("agent", a.id))
	t.Attempt = max(t.Attempt, row.Attempt)
	if old {
		row.Checkpoint = ""
	}
	o.score(j, t, a, row)
	return j, j.changes
}

// over takes a run out of the table and draws the conclusions of its end.
func (o *Orchestrator) over(r *run, row messenger.RunEnd) {
	delete(o.runs, r.key)
	delete(r.job.live, r.key)
	delete(r.agent.runs, r.key)
	r.task.LiveRuns--
	now := o.cfg.Now()
	o.cfg.Log.Info("end", zap.String("task", row.Task), zap.Uint64("attempt", row.Attempt), zap.Stringer("how", row.Status),
		zap.String("reason", row.Reason), zap.String("agent", r.agent.id), zap.Duration("ran", now.Sub(r.began)), zap.Int("percent", r.percent))
	o.cfg.Count("end_" + row.Status.String())
	if row.Status == messenger.EndDone {
		o.cfg.ObserveDuration("run", now.Sub(r.began))
		r.agent.record.good()
		o.learn(r, now)
	}
	o.score(r.job, r.task, r.agent, row)
}

// score notes an end at its task and its job.
func (o *Orchestrator) score(j *job, t *sequencer.Task, a *agent, row messenger.RunEnd) {
	now := o.cfg.Now()
	t.WaitingSince = now
	if row.Checkpoint != "" {
		t.Checkpoint, t.CheckpointAt = row.Checkpoint, now
	}
	o.plan = true
	if row.Status == messenger.EndDone || row.Status == messenger.EndFailed {
		j.Started = true
	}
	step := t.StepSpec()
	switch row.Status {
	case messenger.EndDone:
		if step.LongRunning {
			return
		}
		if step.Gang {
			for _, other := range j.Tasks(t.Occurrence, t.Step) {
				j.MarkDone(other)
			}
		}
		j.MarkDone(t)
		for _, r := range j.live {
			if r.task == t {
				o.stop(r, "another run of the task is done")
			}
		}
		o.changed(j)
		if j.Done() {
			delete(o.open, j.Spec.ID)
		}
	case messenger.EndFailed:
		if a.record.bad(now) {
			o.cfg.Log.Warn("worker set aside", zap.String("agent", a.id), zap.Float64("doubt", a.record.doubt), zap.Int("row", a.record.row))
		}
		if step.LongRunning {
			return
		}
		t.FailedWorkers = append(t.FailedWorkers, a.id)
		if step.Gang {
			t = j.Tasks(t.Occurrence, t.Step)[0] // a gang fails once, however many members do
		}
		if !t.AddFailure(row.Attempt) {
			return
		}
		if j.Spec.MaxAttempts > 0 && len(t.FailedAttempts) >= j.Spec.MaxAttempts && !j.Ended() {
			j.Failed = true
			o.cfg.Log.Info("job failed", zap.String("job", j.Spec.ID), zap.String("task", row.Task), zap.Uint64s("attempts", t.FailedAttempts))
			o.close(j)
		}
		o.changed(j)
	case messenger.EndNotStarted:
		t.NotBefore = now.Add(neverPause)
		if row.WorkerUnhealthy {
			a.record.busy(now)
		}
	}
}

// changed says that a job's progress is to be written.
func (o *Orchestrator) changed(j *job) {
	j.changes++
	if !j.queued {
		j.queued = true
		o.dirty = append(o.dirty, j)
	}
}

// saveEvery is how often a job's new checkpoints are written: what is lost when
// owner and workers lose power together. A write costs less than two seconds
// of a core.
const saveEvery = 1500 * time.Millisecond

// saved notes a new checkpoint of a job.
func (o *Orchestrator) saved(j *job, now time.Time) {
	if now.Sub(j.saved) >= saveEvery {
		j.saved = now
		o.changed(j)
	}
}

// settle lets an agent forget the ends that the ledger has.
func (o *Orchestrator) settle(a *agent) {
	n := 0
	for n < len(a.ends) && (a.ends[n].job == nil || a.ends[n].job.written >= a.ends[n].change) {
		a.durable = a.ends[n].n
		n++
	}
	a.ends = a.ends[n:]
}

// tell sends agents what has become durable.
func (o *Orchestrator) tell() {
	for _, a := range o.agents {
		o.settle(a)
		if a.link != nil && a.told < a.durable {
			a.told = a.durable
			o.post(a, messenger.Frame{Kind: messenger.KindSnapshotAck, SnapshotAck: &messenger.SnapshotAck{Term: o.cfg.Term, AckedEnd: a.durable}})
		}
	}
}
