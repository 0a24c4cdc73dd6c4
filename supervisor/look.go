package supervisor

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/waiter"
)

// lookLoop keeps the lease and reads the worker's lists.
func (w *Supervisor) lookLoop(ctx context.Context) {
	for ctx.Err() == nil {
		started := w.cfg.Now()
		wait := lookWait
		select {
		case <-w.looks:
			wait = 0
		default:
		}
		pause := lookPause
		if !w.look(ctx, wait) {
			pause = retryPause
		}
		waiter.Sleep(ctx, pause-w.cfg.Now().Sub(started))
	}
}

// look asks the worker once and says whether it answered.
func (w *Supervisor) look(ctx context.Context, wait time.Duration) bool {
	w.mu.Lock()
	l := ListRequest{Incarnation: w.beat.Incarnation, Fence: w.fence, LeaseExpiresAt: w.lease, AckedEnd: w.acked, Wait: wait}
	if l.Incarnation == "" {
		w.mu.Unlock()
		return false
	}
	if w.crowded() {
		l.Wait = min(l.Wait, figureWait)
	}
	if !w.surveyed || w.left {
		l.Wait = 0
	}
	if w.left {
		l.LeaseExpiresAt = time.Time{} // it ends by itself; nothing is to keep its runs
	}
	if !w.failing.IsZero() {
		l.LeaseExpiresAt = w.sent // it may be gone; then what runs there ends with this
	}
	if l.LeaseExpiresAt.After(w.sent) {
		w.sent = l.LeaseExpiresAt
	}
	w.mu.Unlock()
	bound, cancel := context.WithTimeout(ctx, l.Wait+callTimeout)
	defer cancel()
	listing, err := w.cfg.Worker.List(bound, l)
	got := w.cfg.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.beat.Incarnation != l.Incarnation {
		return true
	}
	switch {
	case errors.Is(err, ErrStaleFence):
		w.fence = max(w.fence+1, uint64(listing.Clock.UnixMilli()))
		w.cfg.Log.Info("fence raised", zap.Uint64("fence", w.fence), zap.String("why", "the worker has seen a higher one"))
		return true
	case errors.Is(err, ErrWrongIncarnation):
		w.endLife("another life answers")
		return false
	case err != nil:
		w.missed(got, err)
		return false
	}
	w.answered(listing, got)
	w.apply(ctx, l.Fence, listing)
	return true
}

// answered notes that the worker lives.
func (w *Supervisor) answered(l *ListReply, got time.Time) {
	if !w.failing.IsZero() {
		w.cfg.Log.Info("worker answers again", zap.String("worker", w.beat.Incarnation), zap.Duration("silent", got.Sub(w.failing)))
		w.failing = time.Time{}
		w.touch()
	}
	if l.Clock.After(w.clock) {
		w.clock, w.at = l.Clock, got
	}
}

// missed notes a call without an answer. Once every lease has surely ended, so
// have the runs.
func (w *Supervisor) missed(now time.Time, err error) {
	if w.failing.IsZero() {
		w.failing = now
		w.cfg.Log.Warn("worker does not answer", zap.String("worker", w.beat.Incarnation), zap.Error(err))
	}
	if !w.lapsed() {
		return
	}
	for _, r := range w.sortedRuns() {
		w.finish(r, messenger.RunEnd{Status: messenger.EndLeaseExpired, Reason: "lease ended while the worker was silent"}, 0)
	}
}

// apply compares the table with what the worker lists under a fence.
func (w *Supervisor) apply(ctx context.Context, fence uint64, l *ListReply) {
	if l.Clock.Before(w.clock) {
		return // a newer answer has overtaken this one
	}
	listed := make(map[key]bool, len(l.Runs)+len(l.Ends))
	for _, a := range l.Runs {
		k := key{a.Task, a.Attempt}
		listed[k] = true
		r := w.runs[k]
		if r == nil {
			r = &run{task: a.Task, attempt: a.Attempt, adopted: true, phase: messenger.PhaseRunning, pace: 100, since: l.Clock}
			w.runs[k] = r
			w.cfg.Log.Info("run adopted", zap.String("task", a.Task), zap.Uint64("attempt", a.Attempt), zap.String("worker", w.beat.Incarnation))
			w.touch()
		}
		if r.phase == messenger.PhaseStarting {
			r.phase, r.since, r.doubt = messenger.PhaseRunning, l.Clock, 0
			w.touch()
		}
		r.saved, r.percent, r.figure = a.Checkpoint, a.ProgressPercent, a.Measurement
	}
	for _, e := range l.Ends {
		k := key{e.Task, e.Attempt}
		listed[k] = true
		if e.Seq <= w.seen {
			continue
		}
		w.seen = e.Seq
		if r := w.runs[k]; r != nil {
			w.finish(r, messenger.RunEnd{Status: e.Status, Checkpoint: e.Checkpoint}, e.Seq)
			continue
		}
		w.list(messenger.RunEnd{Task: e.Task, Attempt: e.Attempt, Status: e.Status, Checkpoint: e.Checkpoint}, e.Seq)
	}
	for _, r := range w.sortedRuns() {
		switch {
		case listed[key{r.task, r.attempt}] || !l.Complete:
		case r.phase == messenger.PhaseStarting:
			if r.doubt != 0 && fence > r.doubt {
				w.finish(r, messenger.RunEnd{Status: messenger.EndNotStarted, Reason: "the start got no answer and was fenced off"}, 0)
			}
		case r.since.Before(l.Clock):
			w.finish(r, messenger.RunEnd{Status: messenger.EndWorkerLost, Reason: "the worker no longer lists it"}, 0)
		}
	}
	if !w.surveyed {
		w.surveyed = true
		w.cfg.Log.Info("worker surveyed", zap.String("worker", w.beat.Incarnation), zap.Int("runs", len(w.runs)), zap.Int("ends", len(w.ends)))
		w.touch()
	}
	w.repace(ctx)
}
