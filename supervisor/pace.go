package supervisor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/pacer"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/waiter"
)

// repace slows what fills beside tasks that serve, as the pacer decides.
func (w *Supervisor) repace(ctx context.Context) {
	if w.cfg.Pacer == nil {
		return
	}
	w.describe()
	list := make([]pacer.Run, 0, len(w.runs))
	for _, r := range w.sortedRuns() {
		if r.phase == messenger.PhaseRunning {
			list = append(list, pacer.Run{
				Task: r.task, Attempt: r.attempt, Group: sequencer.StepNameOf(r.task), Image: r.traits.Image, BestEffort: r.traits.BestEffort,
				CPU: r.traits.CPU, UsedCPU: r.figure, LatencyTargetMs: r.traits.LatencyTargetMs, TailLatencyMs: r.figure, Percent: r.percent, Pace: r.pace, PacedSince: r.paced,
			})
		}
	}
	changes := w.cfg.Pacer.Decide(w.cfg.Now(), w.beat.CPU, list)
	for n := range list {
		if list[n].LatencyTargetMs > 0 {
			w.runs[key{list[n].Task, list[n].Attempt}].tail = int64(w.cfg.Pacer.TailLatencyMs(list[n].Name()))
		}
	}
	for _, c := range changes {
		r := w.runs[key{c.Task, c.Attempt}]
		if r.pacing {
			continue // two calls may overtake each other
		}
		w.cfg.Log.Info("pace changed", zap.String("task", r.task), zap.Int("from", r.pace), zap.Int("to", c.Pace), zap.String("because", c.Reason),
			zap.Int64("tail", c.TailLatencyMs), zap.Int64("target", c.LatencyTargetMs), zap.Float64("room", c.Headroom), zap.Float64("press", c.Interference))
		r.pace, r.paced, r.pacing = c.Pace, w.cfg.Now(), true
		w.tasks.Go(func() { w.pace(ctx, r) })
	}
}

// pace tells the worker a run's pace until it answers.
func (w *Supervisor) pace(ctx context.Context, r *run) {
	for ctx.Err() == nil {
		w.mu.Lock()
		if r.over {
			w.mu.Unlock()
			return
		}
		call, percent := RunRef{Incarnation: w.beat.Incarnation, Fence: w.fence, Task: r.task, Attempt: r.attempt}, r.pace
		w.mu.Unlock()
		bound, cancel := context.WithTimeout(ctx, callTimeout)
		err := w.cfg.Worker.SetPace(bound, call, percent)
		cancel()
		w.mu.Lock()
		if errors.Is(err, ErrUnknownOutcome) {
			w.raise(call.Fence) // else it might take effect after a later one
		}
		again := errors.Is(err, ErrUnknownOutcome) || errors.Is(err, ErrStaleFence)
		r.pacing = again
		w.mu.Unlock()
		if err != nil {
			w.cfg.Log.Info("pace failed", zap.String("task", call.Task), zap.Int("pace", percent), zap.Error(err))
		}
		if !again {
			return
		}
		waiter.Sleep(ctx, retryPause)
	}
}

// learn takes what the owner knows of images beside each other.
func (w *Supervisor) learn(rows []messenger.Interference) {
	if w.cfg.Pacer == nil {
		return
	}
	for _, row := range rows {
		w.cfg.Pacer.Predictor.Merge(w.cfg.Now(), row.BestEffortImage, row.ServingImage, float64(row.Coefficient), float64(row.StdErr))
	}
}

// crowded says whether tasks that fill stand beside some that serve: their
// figures are then worth reading as soon as they are renewed.
func (w *Supervisor) crowded() bool {
	fills, serves := false, false
	for _, r := range w.runs {
		fills = fills || r.traits.BestEffort
		serves = serves || r.traits.LatencyTargetMs > 0
	}
	return fills && serves
}

// describeEvery is how often the worker's load is told in the log.
const describeEvery = 2 * time.Second

// describe tells what the worker does: what the paces are decided from.
func (w *Supervisor) describe() {
	now := w.cfg.Now()
	if now.Sub(w.described) < describeEvery || len(w.runs) == 0 {
		return
	}
	w.described = now
	var reserved, filling, filled, used int64
	serving, tail := 0, 0.0
	var serves, fills []string
	for _, r := range w.sortedRuns() {
		switch {
		case r.traits.BestEffort:
			filling += r.traits.CPU
			filled += r.figure
			fills = append(fills, fmt.Sprintf("%s:%d/%d@%d", r.traits.Image, r.figure, r.traits.CPU, r.pace))
		default:
			reserved += r.traits.CPU
			if r.traits.LatencyTargetMs > 0 {
				serving++
				serves = append(serves, fmt.Sprintf("%s:%d/%d", r.traits.Image, r.figure, r.traits.LatencyTargetMs))
				tail = max(tail, float64(r.figure)/float64(r.traits.LatencyTargetMs))
			} else {
				used += r.figure
			}
		}
	}
	w.cfg.Log.Info("worker load", zap.String("worker", w.beat.Incarnation), zap.Int64("capacity", w.beat.CPU), zap.Int64("reserved", reserved),
		zap.Int("serving", serving), zap.Float64("tail", tail), zap.Int64("used", used),
		zap.Int64("filling", filling), zap.Int64("filled", filled), zap.Strings("serves", serves), zap.Strings("fills", fills))
}
