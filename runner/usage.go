package runner

import (
	"context"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/decoder"
	"github.com/endivefall/endivefall/parser"
)

// usageTolerance is the factor by which measured usage may exceed the reservation before
// the runner acts; measurements are inexact.
const usageTolerance = 1.05

// throttle limits a task to a share of its processors.
type throttle struct {
	taskID string
	share  float64
}

// enforceReservations acts on tasks that use more than they reserved, before they slow
// down others. The reservation grows if the instance has enough free; otherwise a
// task that exceeds its memory is evicted if it can be resumed or rerun, and one that
// exceeds its processors is throttled.
func (r *Runner) enforceReservations(ctx context.Context) {
	r.mu.Lock()
	var throttles []throttle
	for _, h := range r.held {
		t, ok := r.tasks[h.taskID]
		if h.taskID == "" || !ok || h.stopMode != stopNone {
			continue
		}
		if th, needed := r.enforceReservation(h, t.Used); needed {
			throttles = append(throttles, th)
		}
	}
	r.mu.Unlock()
	for _, th := range throttles {
		if err := r.cfg.Worker.Throttle(ctx, th.taskID, th.share); err != nil {
			r.cfg.Log.Warn("task not throttled", zap.String("task", th.taskID), zap.Error(err))
		}
	}
}

// enforceReservation handles one task, and returns the throttle to apply, if any. The
// caller holds mu.
func (r *Runner) enforceReservation(h *heldGrant, used parser.Resources) (throttle, bool) {
	reserved := h.grant.Need
	overMemory := float64(used.Memory) > usageTolerance*float64(reserved.Memory)
	overProcessors := used.Processors > usageTolerance*reserved.Processors
	if !overMemory && !overProcessors {
		return throttle{}, false
	}
	grown := parser.Resources{
		Processors:   max(reserved.Processors, used.Processors),
		Memory:       max(reserved.Memory, used.Memory+used.Memory/decoder.Size(10)),
		Accelerators: reserved.Accelerators,
	}
	if r.cfg.Reserver.Resize(h.reservationName(), grown) == nil {
		h.grant.Need = grown
		return throttle{}, false
	}
	if overMemory && (h.grant.Checkpointable || h.grant.Idempotent) {
		h.stop(stopEvict)
		r.cfg.Log.Info("task evicted: it exceeded its reserved memory", zap.String("run", h.grant.Run), zap.Int("task", h.index))
		return throttle{}, false
	}
	return throttle{h.taskID, reserved.Processors / used.Processors}, overProcessors
}
