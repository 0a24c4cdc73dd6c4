package faker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/supervisor"
)

// withFault executes a call under the fault injected into it.
func (w *PoolWorker) withFault(ctx context.Context, call string, apply func() error) error {
	f := w.faultOf(call)
	return f.deliver(ctx, f.execute(ctx, apply))
}

func (w *PoolWorker) faultOf(call string) PoolFault {
	if w.Fault == nil {
		return PoolFault{}
	}
	return w.Fault(call)
}

// execute executes a call under the fault.
func (f PoolFault) execute(ctx context.Context, apply func() error) error {
	if f.LoseReply {
		if !f.Drop {
			time.AfterFunc(f.ApplyDelay, func() { _ = apply() })
		}
		<-ctx.Done()
		return errNoReply(ctx)
	}
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return errNoReply(ctx)
		}
	}
	if f.Refusal != nil {
		return f.Refusal
	}
	return apply()
}

// deliver waits for the transit of a reply and returns the error that the caller gets.
func (f PoolFault) deliver(ctx context.Context, err error) error {
	if f.ReplyDelay <= 0 {
		return err
	}
	select {
	case <-time.After(f.ReplyDelay):
		return err
	case <-ctx.Done():
		return errNoReply(ctx)
	}
}

// errNoReply returns the error of a call that waited for its reply in vain.
func errNoReply(ctx context.Context) error {
	return fmt.Errorf("%w: %w", supervisor.ErrUnknownOutcome, ctx.Err())
}

// checkCall checks a call's worker ID and fencing number. If they are valid, it
// ends expired runs and stores the fencing number. The caller holds mu.
func (w *PoolWorker) checkCall(id string, fence uint64) error {
	switch {
	case w.id == "":
		return fmt.Errorf("%w: %w", supervisor.ErrUnknownOutcome, syscall.ECONNREFUSED)
	case id != w.id:
		return supervisor.ErrWrongIncarnation
	case fence < w.fence:
		return supervisor.ErrStaleFence
	}
	w.expireRuns()
	w.fence = fence
	return nil
}

func (w *PoolWorker) extendLease(until time.Time) {
	if until.IsZero() {
		return
	}
	if latest := w.clock().Add(w.MaxLease); w.MaxLease > 0 && until.After(latest) {
		until = latest
	}
	if local := w.toLocalTime(until); local.After(w.leaseExpiresAt) {
		w.leaseExpiresAt = local
		time.AfterFunc(time.Until(local)+time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.expireRuns()
		})
	}
}

func (w *PoolWorker) listRuns(ctx context.Context, req supervisor.ListRequest) (*supervisor.ListReply, error) {
	var reply *supervisor.ListReply
	var changed chan struct{}
	starts := 0
	listOnce := func() error {
		w.mu.Lock()
		defer w.mu.Unlock()
		if starts != 0 && (w.starts != starts || w.id == "") {
			return fmt.Errorf("%w: %w", supervisor.ErrUnknownOutcome, io.EOF) // the connection ended with its incarnation
		}
		starts = w.starts
		err := w.checkCall(req.WorkerID, req.Fence)
		if errors.Is(err, supervisor.ErrUnknownOutcome) || errors.Is(err, supervisor.ErrWrongIncarnation) {
			return err
		}
		// A call with a stale fencing number is refused, but still gets the clock.
		reply = &supervisor.ListReply{StartedAt: w.startedAt, Clock: w.clock(), Complete: true}
		if err != nil {
			return err
		}
		w.extendLease(req.LeaseExpiresAt)
		for len(w.endedRuns) > 0 && w.endedRuns[0].Seq <= req.AckedEnd {
			w.emit("forgotten", w.endedRuns[0].Task, w.endedRuns[0].Attempt, w.endedRuns[0].Status)
			w.endedRuns = w.endedRuns[1:]
		}
		for task, r := range w.runs {
			percent := 100
			if r.plan.Duration > 0 {
				percent = int(100 * time.Since(r.startedAt) / r.plan.Duration)
			}
			reply.Runs = append(reply.Runs, supervisor.ActiveRun{Task: task, Attempt: r.attempt, ProgressPercent: percent, Checkpoint: fmt.Sprint(percent), Measurement: r.measure()})
		}
		reply.Ends = slices.Clone(w.endedRuns)
		if w.maxListedEnds > 0 && len(reply.Ends) >= w.maxListedEnds {
			reply.Ends, reply.Complete = reply.Ends[:w.maxListedEnds], false
		}
		changed = w.changed
		return nil
	}
	f := w.faultOf("look")
	err := f.execute(ctx, listOnce)
	if err == nil && req.Wait > 0 {
		select {
		case <-changed:
			err = listOnce()
		case <-time.After(req.Wait):
			err = listOnce()
		case <-ctx.Done():
			err = errNoReply(ctx)
		}
	}
	if err = f.deliver(ctx, err); errors.Is(err, supervisor.ErrUnknownOutcome) {
		return nil, err // a call whose reply is lost may still be executed
	}
	return reply, err
}

func (w *PoolWorker) startRun(ctx context.Context, req supervisor.StartRequest) (time.Time, error) {
	var clock time.Time
	err := w.withFault(ctx, "start", func() error {
		w.mu.Lock()
		defer w.mu.Unlock()
		if err := w.checkCall(req.WorkerID, req.Fence); err != nil {
			return err
		}
		clock = w.clock()
		if r := w.runs[req.Task]; r != nil && r.attempt == req.Attempt {
			return nil
		}
		if w.endedAttempts[req.Task] >= req.Attempt {
			return supervisor.ErrStaleAttempt
		}
		if !req.LeaseExpiresAt.After(clock) {
			return supervisor.ErrLeaseExpired
		}
		w.extendLease(req.LeaseExpiresAt)
		plan := w.Plan(req.Task, req.Attempt)
		r := &poolRun{attempt: req.Attempt, startedAt: time.Now(), plan: plan, pacePercent: 100}
		status, duration := messenger.EndDone, plan.Duration
		if plan.Fails {
			status = messenger.EndFailed
		}
		if duration == 0 {
			duration = time.Hour
		}
		starts := w.starts
		r.timer = time.AfterFunc(duration, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.starts != starts || w.runs[req.Task] != r {
				return
			}
			w.expireRuns()
			if plan.Crashes && w.runs[req.Task] == r {
				w.emit("crash", req.Task, req.Attempt, 0)
				w.crash()
				return
			}
			w.endRun(req.Task, status)
		})
		w.runs[req.Task] = r
		w.emit("start", req.Task, req.Attempt, 0)
		return nil
	})
	if errors.Is(err, supervisor.ErrUnknownOutcome) {
		return time.Time{}, err // a call whose reply is lost may still be executed
	}
	return clock, err
}

func (r *poolRun) measure() int64 {
	if r.plan.Measure == nil {
		return 0
	}
	return r.plan.Measure(time.Since(r.startedAt))
}

func (w *PoolWorker) setPace(ctx context.Context, ref supervisor.RunRef, percent int) error {
	return w.withFault(ctx, "pace", func() error {
		w.mu.Lock()
		defer w.mu.Unlock()
		if err := w.checkCall(ref.WorkerID, ref.Fence); err != nil {
			return err
		}
		r := w.runs[ref.Task]
		if r == nil || r.attempt != ref.Attempt {
			return supervisor.ErrInvalidRequest
		}
		r.pacePercent = percent
		return nil
	})
}

func (w *PoolWorker) stopRun(ctx context.Context, ref supervisor.RunRef) error {
	return w.withFault(ctx, "stop", func() error {
		w.mu.Lock()
		defer w.mu.Unlock()
		if err := w.checkCall(ref.WorkerID, ref.Fence); err != nil {
			return err
		}
		w.endedAttempts[ref.Task] = max(w.endedAttempts[ref.Task], ref.Attempt)
		if r := w.runs[ref.Task]; r != nil && r.attempt <= ref.Attempt {
			w.endRun(ref.Task, messenger.EndStopped)
		}
		return nil
	})
}
