package runner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/executor"
	"github.com/endivefall/endivefall/messenger"
)

// run is the goroutine of a lane: it runs the tasks of the grant in turn.
func (r *Runner) run(ctx context.Context, l *lane) {
	defer r.close(l)
	if !r.makeRoom(ctx, l) {
		return
	}
	for index := l.grant.From; index < l.grant.To; index++ {
		if !r.begin(l, index) {
			return
		}
		o, ok := r.attempt(ctx, l, index)
		if !ok {
			// The agent ends. The worker's lease bounds the task, and the next
			// process of the agent finds it.
			r.mu.Lock()
			l.mute = true
			r.mu.Unlock()
			return
		}
		r.mu.Lock()
		l.task = ""
		l.outcomes = append(l.outcomes, o)
		r.tell(l)
		stopped := l.halt != none || o.Status == messenger.AttemptLost
		r.mu.Unlock()
		r.cfg.Log.Info("task ended", zap.String("run", l.grant.Run), zap.Int("task", index),
			zap.Uint64("seq", l.grant.Seq), zap.Uint8("verdict", uint8(o.Status)), zap.String("reason", o.Reason))
		if stopped {
			return
		}
	}
}

// begin says whether the next task may start: the deadline is checked again
// before each effect.
func (r *Runner) begin(l *lane, index int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.halt != none || !l.until.After(r.cfg.Now().Add(stopTime)) || r.ctx.Err() != nil {
		return false
	}
	l.next, l.task, l.began = index, taskID(l.grant, index), r.cfg.Now()
	return true
}

// close frees the reservation and tells the owner that no more will start.
func (r *Runner) close(l *lane) {
	r.cfg.Reserver.Release(l.name())
	r.mu.Lock()
	defer r.mu.Unlock()
	l.closed = true
	l.sent = false
	r.tell(l)
}

// attempt runs one task and returns how it ended; false when the agent ends
// first.
func (r *Runner) attempt(ctx context.Context, l *lane, index int) (messenger.Outcome, bool) {
	o := messenger.Outcome{Index: index}
	t := executor.Task{
		ID: taskID(l.grant, index), Need: l.grant.Need, Payload: l.grant.Payload,
		Checkpoint: l.grant.Checkpoints[index], Metadata: note(l.grant, index),
	}
	for {
		err := r.cfg.Worker.Start(ctx, t, r.startUntil(l))
		if err == nil {
			return r.follow(ctx, l, t, o)
		}
		switch {
		case ctx.Err() != nil:
			return o, false
		case errors.Is(err, executor.ErrLeaseExpired) && r.deadline(l).After(r.cfg.Now()):
			continue // held up on its way; the next start has a fresh lease
		case errors.Is(err, executor.ErrRejected):
			o.Status, o.Reason = messenger.AttemptFailed, err.Error()
			return o, true
		case !r.deadline(l).After(r.cfg.Now()):
			o.Status, o.Reason = messenger.AttemptLost, "worker could not be reached before the deadline"
			return o, true
		}
		sleep(ctx, pause)
	}
}

// startUntil is the worker's lease of a task that starts now.
func (r *Runner) startUntil(l *lane) time.Time {
	until := r.deadline(l)
	if short := r.cfg.Now().Add(startLease); short.Before(until) {
		return short
	}
	return until
}

func (r *Runner) deadline(l *lane) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.until
}

// follow waits for the end of a task that the worker has, and stops it when
// the lane must stop.
func (r *Runner) follow(ctx context.Context, l *lane, t executor.Task, o messenger.Outcome) (messenger.Outcome, bool) {
	since := r.seen()
	for {
		r.mu.Lock()
		got, there := r.report[t.ID]
		fresh := r.version != since
		how, left := l.halt, l.until.Sub(r.cfg.Now())
		r.mu.Unlock()
		switch {
		case there && got.State != executor.Running:
			return judge(o, got, t.Checkpoint), true
		case !there && fresh && r.gone(ctx, t.ID):
			o.Status, o.Reason = messenger.AttemptLost, "worker has lost the task"
			return o, true
		case how != none || left <= stopTime:
			return r.finish(ctx, l, t, o, how)
		}
		select {
		case <-ctx.Done():
			return o, false
		case <-l.wake:
		case <-time.After(min(left-stopTime, time.Second)):
		}
	}
}

func (r *Runner) seen() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// gone asks the worker itself: the report may be older than the start.
func (r *Runner) gone(ctx context.Context, id string) bool {
	rep, err := r.cfg.Worker.Poll(ctx, executor.AnyVersion)
	if err != nil {
		return false
	}
	for _, t := range rep.Tasks {
		if t.ID == id {
			return false
		}
	}
	return true
}

// finish stops a running task, with a checkpoint where that is wanted and can
// be had. The worker stops it at its lease's end in any case.
func (r *Runner) finish(ctx context.Context, l *lane, t executor.Task, o messenger.Outcome, how halt) (messenger.Outcome, bool) {
	call := r.cfg.Worker.Stop
	if l.grant.Checkpointable && how != cancel {
		call = r.cfg.Worker.Checkpoint
	}
	patience := r.deadline(l).Add(2 * pause)
	for {
		got, err := call(ctx, t.ID)
		switch {
		case err == nil:
			o = judge(o, got, t.Checkpoint)
			if o.Status == messenger.AttemptEvicted && got.State == executor.Stopped && !l.grant.Idempotent && how != cancel {
				o.Status, o.Reason = messenger.AttemptLost, "stopped without a checkpoint"
			}
			return o, true
		case ctx.Err() != nil:
			return o, false
		case errors.Is(err, executor.ErrTaskNotFound) || r.cfg.Now().After(patience):
			o.Status, o.Reason = messenger.AttemptLost, err.Error()
			return o, true
		}
		sleep(ctx, pause)
	}
}

// judge turns a worker's final state into an outcome. point is where the
// attempt began.
func judge(o messenger.Outcome, t executor.Task, point string) messenger.Outcome {
	o.Peak = t.Peak
	switch t.State {
	case executor.Done:
		o.Status = messenger.AttemptFinished
	case executor.Failed:
		o.Status, o.Reason = messenger.AttemptFailed, t.Error
	case executor.Checkpointed:
		o.Status, o.Checkpoint = messenger.AttemptEvicted, t.Checkpoint
	case executor.Stopped:
		o.Status, o.Checkpoint = messenger.AttemptEvicted, point
	default:
		o.Status, o.Reason = messenger.AttemptLost, "worker's lease lapsed"
	}
	return o
}
