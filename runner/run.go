package runner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/executor"
	"github.com/endivefall/endivefall/messenger"
)

// run is the goroutine of a grant; it runs the grant's tasks one after another.
func (r *Runner) run(ctx context.Context, h *heldGrant) {
	defer r.closeGrant(h)
	if !r.awaitCapacity(ctx, h) {
		return
	}
	for index := h.grant.From; index < h.grant.To; index++ {
		if !r.beginTask(h, index) {
			return
		}
		o, err := r.newAttempt(h, index).run(ctx)
		if err != nil {
			r.abandon(h, err)
			return
		}
		r.mu.Lock()
		h.taskID = ""
		h.outcomes = append(h.outcomes, o)
		r.sendReport(h)
		done := h.stopMode != stopNone || o.Status == messenger.AttemptLost
		r.mu.Unlock()
		r.cfg.Log.Info("task ended", zap.String("run", h.grant.Run), zap.Int("task", index),
			zap.Uint64("seq", h.grant.Seq), zap.Uint8("verdict", uint8(o.Status)), zap.String("reason", o.Reason))
		if done {
			return
		}
	}
}

// beginTask marks a task as running and reports whether it may start. The deadline is
// checked again before each task.
func (r *Runner) beginTask(h *heldGrant, index int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.stopMode != stopNone || !h.deadline.After(r.cfg.Now().Add(stopMargin)) || r.ctx.Err() != nil {
		return false
	}
	h.index, h.taskID, h.startedAt = index, taskID(h.grant, index), r.cfg.Now()
	return true
}

// closeGrant frees the reservation and reports to the owner that no further task starts.
func (r *Runner) closeGrant(h *heldGrant) {
	r.cfg.Reserver.Release(h.reservationName())
	r.mu.Lock()
	defer r.mu.Unlock()
	h.closed = true
	h.reportSent = false
	r.sendReport(h)
}

// newAttempt returns an attempt at a task that has not been started.
func (r *Runner) newAttempt(h *heldGrant, index int) *attempt {
	return &attempt{r: r, h: h, outcome: messenger.Outcome{Index: index}, task: executor.Task{
		ID: taskID(h.grant, index), Need: h.grant.Need, Payload: h.grant.Payload,
		Checkpoint: h.grant.Checkpoints[index], Metadata: encodeMetadata(h.grant, index),
	}}
}

// abandon handles an attempt that ended without an outcome.
func (r *Runner) abandon(h *heldGrant, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(err, errAgentEnding) {
		h.inDoubt = true
		return
	}
	h.taskID = ""
}

// startLeaseEnd returns when the worker's lease of a task that starts now ends.
func (r *Runner) startLeaseEnd(h *heldGrant) time.Time {
	deadline := r.deadline(h)
	if initial := r.cfg.Now().Add(startLease); initial.Before(deadline) {
		return initial
	}
	return deadline
}

func (r *Runner) deadline(h *heldGrant) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return h.deadline
}

func (r *Runner) reportVersion() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// taskMissing polls the worker anew, because the last report may be older than the start.
func (r *Runner) taskMissing(ctx context.Context, id string) bool {
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
