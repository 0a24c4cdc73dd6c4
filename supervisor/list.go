package supervisor

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/waiter"
)

// listLoop sends list requests, which renew the lease and return the worker's
// active and ended runs.
func (s *Supervisor) listLoop(ctx context.Context) {
	for ctx.Err() == nil {
		started := s.cfg.Now()
		wait := listWait
		select {
		case <-s.listNow:
			wait = 0
		default:
		}
		pause := minListInterval
		if !s.sendList(ctx, wait) {
			pause = retryDelay
		}
		waiter.Sleep(ctx, pause-s.cfg.Now().Sub(started))
	}
}

// sendList sends one list request and reports whether the worker answered it.
func (s *Supervisor) sendList(ctx context.Context, wait time.Duration) bool {
	s.mu.Lock()
	timeout := s.replyTimeout()
	incarnation, startedAt := s.heartbeat.Incarnation(), s.heartbeat.StartedAt
	req := ListRequest{WorkerID: s.heartbeat.WorkerID, Fence: s.fence, LeaseExpiresAt: s.leaseExpiresAt, AckedEnd: s.ackedEnd, Wait: wait}
	if req.WorkerID == "" {
		s.mu.Unlock()
		s.fenceNextIncarnation(ctx)
		return false
	}
	if s.hasColocatedRuns() || s.hasShortRuns() {
		req.Wait = min(req.Wait, measurementWait)
	}
	if !s.reconciled || s.draining && len(s.ends) > 0 {
		req.Wait = 0 // the worker may be gone before it gets the acknowledgement
	}
	if s.draining {
		req.LeaseExpiresAt = time.Time{} // the worker is shutting down; its runs must not be prolonged
	}
	if !s.unreachableSince.IsZero() {
		// The worker may be lost. If the lease were renewed with each unanswered
		// call, its runs would never be given up; they end with the last lease sent.
		// Another incarnation may answer, for which neither lease nor ends are meant.
		req.LeaseExpiresAt, req.AckedEnd = time.Time{}, 0
		req.Wait = 0
		timeout = callTimeout
		if s.cfg.Now().Sub(s.unreachableSince) < probeDuration {
			timeout = probeTimeout
		}
	}
	if req.LeaseExpiresAt.After(s.sentLease) {
		s.sentLease = req.LeaseExpiresAt
	}
	requested := listRequest{fence: s.fence, at: s.cfg.Now(), term: s.term}
	s.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, req.Wait+timeout)
	defer cancel()
	reply, err := s.cfg.Worker.List(callCtx, req)
	receivedAt := s.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heartbeat.Incarnation() != incarnation {
		return true
	}
	switch {
	case errors.Is(err, ErrStaleFence):
		s.fenceStep = max(2*s.fenceStep, 1)
		s.fence = max(s.fence+s.fenceStep, s.fenceFloor(s.heartbeat, reply.Clock))
		s.cfg.Log.Info("fence raised", zap.Uint64("fence", s.fence), zap.String("why", "the worker has seen a higher one"))
		return true
	case errors.Is(err, ErrWrongIncarnation):
		s.endIncarnation("another worker answers", "")
		return false
	case err != nil:
		s.recordFailure(receivedAt, err)
		return false
	case !reply.StartedAt.Equal(startedAt):
		s.endIncarnation("the worker has started again", req.WorkerID)
		return false
	}
	s.fenceStep = 0
	s.replyTime = max(receivedAt.Sub(requested.at)-req.Wait, s.replyTime*7/8)
	s.recordReply(reply, receivedAt)
	s.reconcile(requested, reply)
	return true
}

// replyTimeout returns how long the worker may take for a reply.
func (s *Supervisor) replyTimeout() time.Duration {
	return min(max(replyTimeFactor*s.replyTime, minReplyTimeout), callTimeout)
}

// hasShortRuns reports whether a run that is to end soon is at work, or a start has no reply yet. Its
// end shows in a list only, and one that gets no reply is noticed after the wait.
func (s *Supervisor) hasShortRuns() bool {
	for _, r := range s.runs {
		if !r.spec.LongRunning && !r.ended {
			return true
		}
	}
	return false
}

// recordReply records that the worker is reachable and updates the estimate of
// its clock.
func (s *Supervisor) recordReply(reply *ListReply, receivedAt time.Time) {
	if !s.unreachableSince.IsZero() {
		s.cfg.Log.Info("worker answers again", zap.String("worker", s.heartbeat.Incarnation()), zap.Duration("silent", receivedAt.Sub(s.unreachableSince)),
			zap.Duration("clock", reply.Clock.Sub(s.workerClock)), zap.Uint64("acked", s.ackedEnd))
		s.unreachableSince = time.Time{}
		s.markDirty()
	}
	s.aliveAt, s.brokenAt, s.closed = receivedAt, time.Time{}, false
	if reply.Clock.After(s.workerClock) {
		s.workerClock, s.clockReadAt = reply.Clock, receivedAt
	}
}

// recordFailure records a list request without a reply. Once every lease sent has
// certainly expired, the runs have ended with it.
func (s *Supervisor) recordFailure(now time.Time, err error) {
	if s.unreachableSince.IsZero() {
		s.unreachableSince = now
		if connectionBroke(err) {
			s.brokenAt = now
		}
		s.markDirty() // nothing can be started there
		s.cfg.Log.Warn("worker does not answer", zap.String("worker", s.heartbeat.Incarnation()), zap.Duration("last_reply", now.Sub(s.aliveAt)), zap.Error(err))
	}
	s.endShutDownRuns(err)
	if !s.leasesExpired() {
		return
	}
	for _, r := range s.sortedRuns() {
		s.endRun(r, messenger.RunEnd{Status: messenger.EndLeaseExpired, Reason: "lease ended while the worker was silent"}, 0)
	}
}

// listRequest is the state in which a list was requested.
type listRequest struct {
	fence uint64
	at    time.Time // local
	term  uint64    // the highest that had been received
}

// reconcile updates runs and ends from a list reply.
func (s *Supervisor) reconcile(requested listRequest, reply *ListReply) {
	if reply.Clock.Before(s.workerClock) { // a newer reply has arrived before this one
		s.cfg.Log.Info("list reply ignored; the worker's clock was ahead of it", zap.String("worker", s.heartbeat.Incarnation()), zap.Duration("behind", s.workerClock.Sub(reply.Clock)))
		return
	}
	listed := make(map[runKey]bool, len(reply.Runs)+len(reply.Ends))
	for _, active := range reply.Runs {
		k := runKey{active.Task, active.Attempt}
		listed[k] = true
		r := s.runs[k]
		if r == nil {
			r = &run{task: active.Task, attempt: active.Attempt, specUnknown: true, phase: messenger.PhaseRunning, pacePercent: 100, workerPace: unknownPace, confirmedAt: reply.Clock}
			s.runs[k] = r
			s.cfg.Log.Info("run adopted", zap.String("task", active.Task), zap.Uint64("attempt", active.Attempt), zap.String("worker", s.heartbeat.Incarnation()))
			s.markDirty()
		}
		if r.phase == messenger.PhaseStarting {
			r.phase, r.confirmedAt, r.unansweredFence = messenger.PhaseRunning, reply.Clock, 0
			s.markDirty()
		}
		if r.seenTerm < requested.term {
			r.seenTerm = requested.term
			s.markDirty()
		}
		r.listed, r.crash, r.workedAt = true, nil, requested.at
		r.checkpoint, r.progressPercent, r.measurement = active.Checkpoint, active.ProgressPercent, active.Measurement
	}
	for _, ended := range reply.Ends {
		k := runKey{ended.Task, ended.Attempt}
		listed[k] = true
		if ended.Seq <= s.seenEnd {
			if r := s.runs[k]; r != nil && !r.endIgnored {
				r.endIgnored = true
				s.cfg.Log.Warn("end of a run ignored; its number was handled before", zap.String("task", ended.Task), zap.Uint64("attempt", ended.Attempt),
					zap.Stringer("how", ended.Status), zap.Uint64("listed", ended.Seq), zap.Uint64("seen", s.seenEnd), zap.String("worker", s.heartbeat.Incarnation()))
			}
			continue
		}
		s.seenEnd = ended.Seq
		if r := s.runs[k]; r != nil {
			s.endRun(r, messenger.RunEnd{Status: ended.Status, Checkpoint: ended.Checkpoint}, ended.Seq)
			continue
		}
		s.addEnd(pendingEnd{RunEnd: messenger.RunEnd{Task: ended.Task, Attempt: ended.Attempt, Status: ended.Status, Checkpoint: ended.Checkpoint}, workerSeq: ended.Seq})
	}
	for _, r := range s.sortedRuns() {
		switch {
		case listed[runKey{r.task, r.attempt}] || !reply.Complete:
		case r.phase == messenger.PhaseStarting:
			switch {
			case r.unansweredFence == 0 || requested.fence <= r.unansweredFence:
			case !r.startRepliedAt.IsZero():
				s.endRun(r, messenger.RunEnd{Status: messenger.EndWorkerLost, Reason: "the worker started again after it"}, 0)
			default:
				s.endRun(r, messenger.RunEnd{Status: messenger.EndNotStarted, Reason: "the start got no answer and was fenced off"}, 0)
			}
		case !r.listed && !requested.at.After(r.startRepliedAt): // another incarnation may have started it
		case r.confirmedAt.Before(reply.Clock):
			s.endRun(r, messenger.RunEnd{Status: messenger.EndWorkerLost, Reason: "the worker no longer lists it"}, 0)
		}
	}
	s.endsUnlisted = !reply.Complete
	if !s.reconciled || !s.complete && reply.Complete {
		s.reconciled, s.complete = true, reply.Complete
		s.cfg.Log.Info("worker reconciled", zap.String("worker", s.heartbeat.Incarnation()), zap.Int("runs", len(s.runs)), zap.Int("ends", len(s.ends)), zap.Bool("complete", s.complete))
		s.markDirty()
	}
	s.settleUnknownStops(requested.at, reply.Complete)
	s.adjustPaces()
}
