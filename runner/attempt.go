package runner

import (
	"context"
	"errors"
	"time"

	"github.com/endivefall/endivefall/executor"
	"github.com/endivefall/endivefall/messenger"
)

// Ends of an attempt without an outcome.
var (
	// errAgentEnding means that the task is bounded by its lease at the worker, and that
	// the agent's next process adopts it.
	errAgentEnding = errors.New("agent is ending")
	// errNotStarted means that the task has not started and never will.
	errNotStarted = errors.New("task was stopped before its start")
)

// attempt is one attempt at a task of a grant. Until the task has ended, its goroutine
// compares what the grant is to do with what the worker is known to do, and makes the
// call that is due. Only that goroutine uses its fields.
type attempt struct {
	r       *Runner
	h       *heldGrant
	task    executor.Task
	outcome messenger.Outcome
	// started is set once a reply or a report of the worker has shown the task;
	// startVersion is the version of the last report at that time.
	started      bool
	startVersion uint64
	// startableUntil is when no start of unknown outcome can take effect any more,
	// because the lease in it has ended. It is zero while there is no such start.
	startableUntil time.Time
}

// situation is what an attempt compares: what its grant is to do, and what the worker's
// last report says of the task.
type situation struct {
	mode     stopMode
	deadline time.Time
	task     executor.Task
	reported bool
	// reportedSince is whether there was a report since the task was seen as started.
	reportedSince bool
}

// run returns the outcome of the task, or errAgentEnding or errNotStarted.
func (a *attempt) run(ctx context.Context) (messenger.Outcome, error) {
	for {
		ended, err := a.step(ctx)
		if ended || err != nil {
			return a.outcome, err
		}
		if ctx.Err() != nil {
			return a.outcome, errAgentEnding
		}
	}
}

// step makes the call that is due, or waits for a change, and reports whether the task
// has ended.
func (a *attempt) step(ctx context.Context) (bool, error) {
	callCtx, interrupt := context.WithCancel(ctx)
	defer interrupt()
	s := a.compare(interrupt)
	switch {
	case s.reported && s.task.State != executor.Running:
		a.outcome = outcomeOf(a.outcome, s.task, a.task.Checkpoint, a.mayRunAgain(s.mode))
		return true, nil
	case s.mode != stopNone:
		return a.stop(callCtx, s)
	case !a.started:
		return a.start(callCtx), nil
	case !s.reported && s.reportedSince && a.r.taskMissing(callCtx, a.task.ID):
		a.outcome.Status, a.outcome.Reason, a.outcome.Crashed = messenger.AttemptLost, "worker has lost the task", true
		return true, nil
	}
	select {
	case <-ctx.Done():
	case <-a.h.wake:
	case <-time.After(min(s.deadline.Sub(a.r.cfg.Now())-stopMargin, time.Second)):
	}
	return false, nil
}

// compare returns the present situation; a grant whose deadline is near is to stop. A
// change of what the grant is to do calls interrupt from then on.
func (a *attempt) compare(interrupt context.CancelFunc) situation {
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	if !a.h.deadline.After(a.r.cfg.Now().Add(stopMargin)) {
		a.h.stop(stopEvict)
	}
	a.h.interrupt = interrupt
	s := situation{mode: a.h.stopMode, deadline: a.h.deadline}
	s.task, s.reported = a.r.tasks[a.task.ID]
	if s.reported && !a.started {
		a.started, a.startVersion = true, a.r.version
	}
	s.reportedSince = a.started && a.r.version != a.startVersion
	return s
}

// start sends a start and reports whether the worker rejected the task.
func (a *attempt) start(ctx context.Context) bool {
	until := a.r.startLeaseEnd(a.h)
	err := a.r.cfg.Worker.Start(ctx, a.task, until)
	switch {
	case err == nil:
		a.started, a.startVersion = true, a.r.reportVersion()
		return false
	case errors.Is(err, executor.ErrRejected) && a.neverStarts(ctx):
		a.outcome.Status, a.outcome.Reason = messenger.AttemptFailed, err.Error()
		return true
	case errors.Is(err, executor.ErrLeaseExpired), errors.Is(err, executor.ErrRejected):
		// It had no effect.
	case until.After(a.startableUntil):
		a.startableUntil = until
	}
	sleep(ctx, retryDelay)
	return false
}

// neverStarts reports whether no start sent so far has taken effect or can still do so.
func (a *attempt) neverStarts(ctx context.Context) bool {
	return a.startableUntil.IsZero() || a.r.cfg.Now().After(a.startableUntil) && a.r.taskMissing(ctx, a.task.ID)
}

// stop sends a stop, with a checkpoint if the task supports it and is not canceled, and
// reports whether the task has ended. A start of unknown outcome may take effect after
// the stop, so the stop is sent again until that is impossible. If the worker cannot be
// reached, the worker itself stops the task at the end of the task's lease.
func (a *attempt) stop(ctx context.Context, s situation) (bool, error) {
	if !a.started && a.startableUntil.IsZero() {
		return false, errNotStarted
	}
	call := a.r.cfg.Worker.Stop
	if a.h.grant.Checkpointable && s.mode != stopCancel {
		call = a.r.cfg.Worker.Checkpoint
	}
	sentAt := a.r.cfg.Now()
	stopped, err := call(ctx, a.task.ID)
	switch {
	case err == nil:
		a.outcome = outcomeOf(a.outcome, stopped, a.task.Checkpoint, a.mayRunAgain(s.mode))
		return true, nil
	case ctx.Err() != nil:
		return false, nil // the agent is ending, or another call is due
	case errors.Is(err, executor.ErrTaskNotFound) && (a.started || sentAt.After(a.startableUntil)), a.r.cfg.Now().After(s.deadline.Add(2 * retryDelay)):
		a.outcome.Status, a.outcome.Reason = messenger.AttemptLost, err.Error()
		return true, nil
	}
	sleep(ctx, retryDelay)
	return false, nil
}

// mayRunAgain reports whether the owner may be told to run the task again from where the
// attempt began. The owner ignores that for a task that it canceled.
func (a *attempt) mayRunAgain(mode stopMode) bool {
	return a.h.grant.Idempotent || mode == stopCancel
}

// outcomeOf turns a final state at the worker into an outcome. startCheckpoint is the
// checkpoint that the attempt resumed from. A task that was stopped without a checkpoint
// is lost unless it may run again from there.
func outcomeOf(o messenger.Outcome, t executor.Task, startCheckpoint string, mayRunAgain bool) messenger.Outcome {
	o.Peak = t.Peak
	switch {
	case t.State == executor.Done:
		o.Status = messenger.AttemptFinished
	case t.State == executor.Failed:
		o.Status, o.Reason = messenger.AttemptFailed, t.Error
	case t.State == executor.Checkpointed:
		o.Status, o.Checkpoint = messenger.AttemptEvicted, t.Checkpoint
	case t.State == executor.Stopped && !mayRunAgain:
		o.Status, o.Reason = messenger.AttemptLost, "stopped without a checkpoint"
	case t.State == executor.Stopped:
		o.Status, o.Checkpoint = messenger.AttemptEvicted, startCheckpoint
	default:
		o.Status, o.Reason = messenger.AttemptLost, "worker's lease lapsed"
	}
	return o
}
