package supervisor

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/sequencer"
)

// handleCommand carries out a command of the owner. It does not wait for the
// worker.
func (s *Supervisor) handleCommand(ctx context.Context, cmd *messenger.Command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commandSeq = cmd.Seq
	s.markDirty() // the owner limits its commands by how soon they are confirmed
	if cmd.Start != nil && !cmd.Start.AlreadyRunning {
		payload, err := s.payloads.Restore(sequencer.JobOf(cmd.Start.Task), cmd.Start.Payload, cmd.Start.PayloadKept)
		if err != nil {
			s.cfg.Log.Error("payload is not known; closing the connection", zap.String("task", cmd.Start.Task), zap.Error(err))
			s.conn.Close("payload out of step")
			return
		}
		cmd.Start.Payload = payload
	}
	if cmd.Term < s.term {
		s.cfg.Log.Warn("command of an earlier owner refused", zap.Uint64("term", cmd.Term), zap.Uint64("heard", s.term))
		return
	}
	s.hearTerm(cmd.Term)
	if cmd.Stop != nil {
		s.handleStop(cmd.Stop)
		return
	}
	s.handleStart(ctx, cmd.Start)
}

func (s *Supervisor) handleStart(ctx context.Context, cmd *messenger.RunStart) {
	key := runKey{cmd.Task, cmd.Attempt}
	if r := s.runs[key]; r != nil {
		if r.specUnknown {
			r.spec, r.specUnknown, r.failures, r.pacedSince = cmd.Spec, false, cmd.Failures, s.cfg.Now()
			s.requestEnforce()
			s.markDirty()
		}
		return
	}
	if cmd.AlreadyRunning {
		return // the run has ended meanwhile
	}
	r := &run{
		task: cmd.Task, attempt: cmd.Attempt, spec: cmd.Spec, failures: cmd.Failures, phase: messenger.PhaseStarting, checkpoint: cmd.Checkpoint,
		seenTerm: s.term, pacePercent: 100, workerPace: 100, pacedSince: s.cfg.Now(),
	}
	if cmd.StartByMs != 0 {
		r.startBy = s.cfg.Now().Add(time.UnixMilli(cmd.StartByMs).Sub(s.workerNow()))
	}
	s.runs[key] = r
	s.mergeInterference(cmd.Interference)
	if reason := s.rejectReason(cmd); reason != "" {
		s.endRun(r, messenger.RunEnd{Status: messenger.EndNotStarted, Reason: reason}, 0)
		return
	}
	s.cfg.Log.Info("start command accepted", zap.String("task", cmd.Task), zap.Uint64("attempt", cmd.Attempt), zap.Uint64("term", s.term),
		zap.String("worker", s.heartbeat.Incarnation()), zap.Duration("lease", s.leaseExpiresAt.Sub(s.workerNow())))
	s.calls.Go(func() { s.startRun(ctx, r, cmd) })
}

// startOverdue reports, before each try at the worker, whether a run must not be started any more,
// as its domain may have been evacuated since the owner sent the start.
func (s *Supervisor) startOverdue(r *run) bool {
	if r.startBy.IsZero() || s.cfg.Now().Before(r.startBy) {
		return false
	}
	s.cfg.Count(meter.OverdueStarts)
	return true
}

// startLease returns the lease that the start of a run carries. The worker refuses a call that it
// carries out after that time, so that a start with a deadline gets no longer one than the call may
// take from the deadline on. It shortens the lease of no run there, and the next list extends it.
func (s *Supervisor) startLease(r *run) time.Time {
	if r.startBy.IsZero() {
		return s.leaseExpiresAt
	}
	until := s.workerNow().Add(r.startBy.Sub(s.cfg.Now()) + callTimeout)
	if until.Before(s.leaseExpiresAt) {
		return until
	}
	return s.leaseExpiresAt
}

// rejectReason returns why a start can't be carried out, or an empty string.
func (s *Supervisor) rejectReason(cmd *messenger.RunStart) string {
	if reason := s.blockedReason(); reason != "" {
		return reason
	}
	cpu, memory, gpu := cmd.Spec.CPU, cmd.Spec.Memory, cmd.Spec.GPU
	if cmd.Spec.BestEffort {
		cpu = 0
	}
	for _, r := range s.runs {
		if r.task == cmd.Task && r.attempt != cmd.Attempt {
			return "another run of the task is here"
		}
		if r.attempt == cmd.Attempt && r.task == cmd.Task {
			continue
		}
		if !r.spec.BestEffort {
			cpu += r.spec.CPU
		}
		memory += r.spec.Memory
		gpu += r.spec.GPU
	}
	if cpu > s.heartbeat.CPU || memory > s.heartbeat.Memory || gpu > s.heartbeat.GPU {
		return "no room"
	}
	return ""
}

// startRun sends a start to the worker, and again only if the fence was stale and
// has been raised since.
func (s *Supervisor) startRun(ctx context.Context, r *run, cmd *messenger.RunStart) {
	for {
		s.mu.Lock()
		if r.ended || r.phase != messenger.PhaseStarting || r.unansweredFence != 0 {
			s.mu.Unlock()
			return
		}
		if r.stopRequested { // no earlier call has started it
			s.endRun(r, messenger.RunEnd{Status: messenger.EndNotStarted, Reason: "stopped before its start was sent"}, 0)
			s.mu.Unlock()
			return
		}
		if s.startOverdue(r) { // nor has an earlier call
			s.endRun(r, messenger.RunEnd{Status: messenger.EndNotStarted, Reason: "its deadline for the start has passed"}, 0)
			s.mu.Unlock()
			return
		}
		r.startFence, r.startSentAt = s.fence, s.cfg.Now()
		req := StartRequest{
			RunRef:  RunRef{WorkerID: s.heartbeat.WorkerID, Fence: s.fence, Task: r.task, Attempt: r.attempt},
			Payload: cmd.Payload, Checkpoint: cmd.Checkpoint, Ticket: cmd.Ticket, LeaseExpiresAt: s.startLease(r),
		}
		if req.LeaseExpiresAt.After(s.sentLease) {
			s.sentLease = req.LeaseExpiresAt
		}
		timeout := s.replyTimeout()
		if s.unansweredStarts >= maxUnansweredStarts {
			timeout = callTimeout
		}
		s.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		clock, err := s.cfg.Worker.Start(callCtx, req)
		cancel()
		s.mu.Lock()
		retry := s.handleStartResult(r, req.Fence, clock, err)
		s.mu.Unlock()
		if !retry {
			return
		}
	}
}

// handleStartResult processes the result of a start and reports whether the start
// is to be sent again. A list reply may have settled it before: the result then says
// nothing new. A start that outlasted its incarnation is left to the lists of the next one.
func (s *Supervisor) handleStartResult(r *run, fence uint64, clock time.Time, err error) bool {
	if errors.Is(err, ErrUnknownOutcome) {
		s.unansweredStarts++
	} else {
		s.unansweredStarts = 0
	}
	if r.ended || r.phase != messenger.PhaseStarting || r.unansweredFence != 0 {
		return false
	}
	switch {
	case err == nil:
		now := s.cfg.Now()
		r.phase, r.confirmedAt, r.startRepliedAt, s.aliveAt = messenger.PhaseRunning, clock, now, now
		r.workedAt = r.startSentAt
		s.adjustPaces()
	case errors.Is(err, ErrStaleFence) && s.fence > fence:
		return true
	case errors.Is(err, ErrUnknownOutcome):
		r.unansweredFence = fence
		s.raiseFence(fence)
		s.cfg.Log.Warn("outcome of start is unknown; fence raised", zap.String("task", r.task), zap.Uint64("attempt", r.attempt), zap.Uint64("fence", s.fence), zap.Error(err))
		s.requestList()
	default:
		if errors.Is(err, ErrInvalidTicket) {
			s.cfg.Count(meter.RefusedTickets)
		}
		s.endRun(r, messenger.RunEnd{Status: messenger.EndNotStarted, Reason: err.Error(), WorkerUnhealthy: errors.Is(err, ErrUnhealthy)}, 0)
	}
	s.markDirty()
	return false
}

// raiseFence raises the fence above that of a call with an unknown outcome, so that
// the worker refuses the call if it arrives late.
func (s *Supervisor) raiseFence(fence uint64) {
	s.fence = max(s.fence, fence+1, s.fenceFloor(s.heartbeat, s.workerNow()))
}
