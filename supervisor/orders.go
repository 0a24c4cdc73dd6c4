package supervisor

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/waiter"
)

// obey carries out an order of the owner. It does not wait for the worker.
func (w *Supervisor) obey(ctx context.Context, o *messenger.Command) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq = o.Seq
	if o.Term < w.term {
		w.cfg.Log.Warn("order of an earlier owner refused", zap.Uint64("term", o.Term), zap.Uint64("heard", w.term))
		return
	}
	w.term = o.Term
	if o.Stop != nil {
		w.obeyStop(ctx, o.Stop)
		return
	}
	w.obeyStart(ctx, o.Start)
}

func (w *Supervisor) obeyStart(ctx context.Context, s *messenger.RunStart) {
	k := key{s.Task, s.Attempt}
	if r := w.runs[k]; r != nil {
		if r.adopted {
			r.traits, r.adopted = s.Spec, false
			w.touch()
		}
		return
	}
	if s.AlreadyRunning {
		return // it has ended since
	}
	r := &run{
		task: s.Task, attempt: s.Attempt, traits: s.Spec, phase: messenger.PhaseStarting, saved: s.Checkpoint,
		pace: 100, paced: w.cfg.Now(),
	}
	w.runs[k] = r
	w.learn(s.Interference)
	if why := w.unfit(s); why != "" {
		w.finish(r, messenger.RunEnd{Status: messenger.EndNotStarted, Reason: why}, 0)
		return
	}
	w.cfg.Log.Info("run ordered", zap.String("task", s.Task), zap.Uint64("attempt", s.Attempt), zap.Uint64("term", w.term),
		zap.String("worker", w.beat.Incarnation), zap.Duration("lease", w.lease.Sub(w.workerNow())))
	w.tasks.Go(func() { w.start(ctx, r, s) })
}

// unfit says why a start can't be carried out; empty where it can.
func (w *Supervisor) unfit(s *messenger.RunStart) string {
	if why := w.startable(); why != "" {
		return why
	}
	cpu, memory, gpu := s.Spec.CPU, s.Spec.Memory, s.Spec.GPU
	if s.Spec.BestEffort {
		cpu = 0
	}
	for _, r := range w.runs {
		if r.task == s.Task && r.attempt != s.Attempt {
			return "another run of the task is here"
		}
		if r.attempt == s.Attempt && r.task == s.Task {
			continue
		}
		if !r.traits.BestEffort {
			cpu += r.traits.CPU
		}
		memory += r.traits.Memory
		gpu += r.traits.GPU
	}
	if cpu > w.beat.CPU || memory > w.beat.Memory || gpu > w.beat.GPU {
		return "no room"
	}
	return ""
}

// start calls the worker until it is known whether the run began.
func (w *Supervisor) start(ctx context.Context, r *run, s *messenger.RunStart) {
	for {
		w.mu.Lock()
		if r.over || r.phase != messenger.PhaseStarting {
			w.mu.Unlock()
			return
		}
		call := StartRequest{
			RunRef:  RunRef{Incarnation: w.beat.Incarnation, Fence: w.fence, Task: r.task, Attempt: r.attempt},
			Payload: s.Payload, Checkpoint: s.Checkpoint, Ticket: s.Ticket, LeaseExpiresAt: w.lease,
		}
		if w.lease.After(w.sent) {
			w.sent = w.lease
		}
		w.mu.Unlock()
		bound, cancel := context.WithTimeout(ctx, callTimeout)
		clock, err := w.cfg.Worker.Start(bound, call)
		cancel()
		w.mu.Lock()
		again := w.started(ctx, r, call.Fence, clock, err)
		stop := r.stop && !r.over && r.phase == messenger.PhaseRunning
		w.mu.Unlock()
		if stop {
			w.stop(ctx, r)
		}
		if !again {
			return
		}
	}
}

// started takes the outcome of a start and says whether it is to be sent again.
func (w *Supervisor) started(ctx context.Context, r *run, fence uint64, clock time.Time, err error) bool {
	if r.over {
		return false
	}
	switch {
	case err == nil:
		if r.phase == messenger.PhaseStarting {
			r.phase, r.since = messenger.PhaseRunning, clock
			w.repace(ctx)
		}
	case errors.Is(err, ErrStaleFence) && w.fence > fence:
		return true
	case errors.Is(err, ErrUnknownOutcome):
		r.doubt = fence
		w.raise(fence)
		w.cfg.Log.Warn("start without an answer; fence raised", zap.String("task", r.task), zap.Uint64("attempt", r.attempt), zap.Uint64("fence", w.fence), zap.Error(err))
		w.hurry()
	default:
		w.finish(r, messenger.RunEnd{Status: messenger.EndNotStarted, Reason: err.Error(), WorkerUnhealthy: errors.Is(err, ErrUnhealthy)}, 0)
	}
	w.touch()
	return false
}

// raise raises the fence above one under which a call got no answer.
func (w *Supervisor) raise(fence uint64) {
	w.fence = max(w.fence, fence+1, uint64(w.workerNow().UnixMilli()))
}

func (w *Supervisor) obeyStop(ctx context.Context, s *messenger.RunStop) {
	r := w.runs[key{s.Task, s.Attempt}]
	if r == nil || r.stop {
		return
	}
	r.stop = true
	w.cfg.Log.Info("stop ordered", zap.String("task", s.Task), zap.Uint64("attempt", s.Attempt), zap.Uint64("term", w.term))
	if r.phase == messenger.PhaseRunning {
		w.tasks.Go(func() { w.stop(ctx, r) })
	}
}

// stop calls the worker until the run has ended.
func (w *Supervisor) stop(ctx context.Context, r *run) {
	for ctx.Err() == nil {
		w.mu.Lock()
		if r.over {
			w.mu.Unlock()
			return
		}
		r.phase = messenger.PhaseStopping
		call := RunRef{Incarnation: w.beat.Incarnation, Fence: w.fence, Task: r.task, Attempt: r.attempt}
		w.mu.Unlock()
		bound, cancel := context.WithTimeout(ctx, callTimeout)
		err := w.cfg.Worker.Stop(bound, call)
		cancel()
		if err != nil {
			w.cfg.Log.Info("stop failed", zap.String("task", r.task), zap.Uint64("attempt", r.attempt), zap.Error(err))
		}
		w.hurry()
		waiter.Sleep(ctx, callTimeout)
	}
}
