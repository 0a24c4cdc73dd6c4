package supervisor

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
)

// HandleHeartbeat processes a heartbeat of the worker. A new incarnation must
// answer a call before it is accepted, because a delayed heartbeat may belong to
// an incarnation older than the current one.
func (s *Supervisor) HandleHeartbeat(ctx context.Context, heartbeat Heartbeat) {
	s.mu.Lock()
	known := s.heartbeat.Incarnation() == heartbeat.Incarnation()
	if known && heartbeat.Seq > s.heartbeat.Seq {
		if heartbeat.Draining && !s.heartbeat.Draining {
			s.cfg.Log.Info("worker is draining", zap.String("worker", heartbeat.Incarnation()), zap.Time("leaves", heartbeat.EarliestExit), zap.Int("runs", len(s.runs)))
			s.markDirty()
		}
		if before := s.heartbeat; heartbeat.CPU != before.CPU || heartbeat.Memory != before.Memory || heartbeat.GPU != before.GPU {
			s.cfg.Log.Info("capacity of the worker changed", zap.String("worker", heartbeat.Incarnation()), zap.Int64("cpu", heartbeat.CPU), zap.Int64("cpu_before", before.CPU),
				zap.Int64("memory", heartbeat.Memory), zap.Int64("memory_before", before.Memory), zap.Int("runs", len(s.runs)))
			s.markDirty()
		}
		if heartbeat.Domain == "" { // it can't be read; tasks would start there although the domain is evacuated
			heartbeat.Domain = s.heartbeat.Domain
		}
		heartbeat.Draining = heartbeat.Draining || s.heartbeat.Draining
		s.heartbeat = heartbeat
	}
	s.mu.Unlock()
	if !known {
		s.confirmIncarnation(ctx, heartbeat)
	}
}

// HandleDeregister records that the worker is shutting down. A deregistration names no
// incarnation: where several have one ID, it counts only for one that drains, as a worker
// does before it deregisters.
func (s *Supervisor) HandleDeregister(workerID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heartbeat.WorkerID != workerID {
		return
	}
	if !s.heartbeat.StartedAt.IsZero() && !s.heartbeat.Draining {
		s.cfg.Log.Info("ignoring deregistration; the worker is not draining", zap.String("worker", s.heartbeat.Incarnation()))
		return
	}
	s.draining = true
	s.cfg.Log.Info("worker is shutting down", zap.String("worker", s.heartbeat.Incarnation()), zap.Int("runs", len(s.runs)))
	s.markDirty()
}

// confirmIncarnation makes an incarnation of the worker the current one if it is the
// one that answers.
func (s *Supervisor) confirmIncarnation(ctx context.Context, heartbeat Heartbeat) {
	reply, fence, err := s.probeIncarnation(ctx, heartbeat)
	receivedAt := s.cfg.Now()
	if err != nil || !reply.StartedAt.Equal(heartbeat.StartedAt) {
		s.cfg.Log.Info("ignoring heartbeat; the worker incarnation does not answer", zap.String("worker", heartbeat.Incarnation()), zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heartbeat.Incarnation() == heartbeat.Incarnation() {
		return
	}
	s.endIncarnation("replaced by "+heartbeat.Incarnation(), heartbeat.WorkerID)
	if s.earlierWorkerID != heartbeat.WorkerID {
		for _, r := range s.sortedRuns() { // of an incarnation that ended before
			s.endRun(r, messenger.RunEnd{Status: messenger.EndWorkerLost, Reason: "replaced by " + heartbeat.Incarnation()}, 0)
		}
	}
	s.heartbeat, s.workerlessSince = heartbeat, time.Time{}
	s.workerClock, s.clockReadAt, s.aliveAt = reply.Clock, receivedAt, receivedAt
	s.fence = max(fence, s.fenceFloor(heartbeat, reply.Clock))
	// An earlier process of the agent may have sent leases up to this time.
	s.sentLease = reply.Clock.Add(s.cfg.LeaseDuration)
	s.cfg.Log.Info("worker incarnation confirmed", zap.String("worker", heartbeat.Incarnation()), zap.Uint64("fence", s.fence), zap.Int64("cpu", heartbeat.CPU), zap.Int64("memory", heartbeat.Memory), zap.Strings("labels", heartbeat.Labels))
	s.requestList()
	s.markDirty()
}

// maxFenceStep bounds by how much a fence is raised at once.
const maxFenceStep = 1 << 40

// probeIncarnation lists the worker that a heartbeat names, to find out which incarnation
// answers, and returns the fence that the worker has seen from it.
func (s *Supervisor) probeIncarnation(ctx context.Context, heartbeat Heartbeat) (reply *ListReply, fence uint64, err error) {
	list := func(fence uint64) (*ListReply, error) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return s.cfg.Worker.List(ctx, ListRequest{WorkerID: heartbeat.WorkerID, Fence: fence})
	}
	// This request changes nothing. A worker that has seen a higher fence refuses it,
	// without saying which incarnation it is.
	reply, err = list(fence)
	if err == nil && (heartbeat.StartedAt.IsZero() || !reply.StartedAt.Equal(heartbeat.StartedAt)) {
		return reply, fence, nil
	}
	// A worker that has seen none may still get calls that were meant for an earlier
	// incarnation.
	for step := uint64(1); step <= maxFenceStep && (errors.Is(err, ErrStaleFence) || err == nil && fence == 0); step *= 2 {
		fence = max(fence+step, s.probeFence(heartbeat, reply.Clock))
		reply, err = list(fence)
	}
	return reply, fence, err
}

// probeFence returns the fence with which to list the worker that a heartbeat names.
func (s *Supervisor) probeFence(heartbeat Heartbeat, clock time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heartbeat.WorkerID == heartbeat.WorkerID {
		return s.fence
	}
	return s.fenceFloor(heartbeat, clock)
}

// fenceFloor returns a fence above those that this process of the agent and earlier ones
// have used for a worker whose clock shows the given time. Where each start has an ID of
// its own, that clock is one: it advances faster than fences are raised. Otherwise it may
// start anew below them, and the time of day is one unless it has stepped back; a worker
// that has seen a higher fence says so.
func (s *Supervisor) fenceFloor(heartbeat Heartbeat, clock time.Time) uint64 {
	if heartbeat.StartedAt.IsZero() {
		return uint64(clock.UnixMilli())
	}
	floor := uint64(max(heartbeat.StartedAt.UnixMilli(), s.cfg.WallClock().UnixMilli()))
	if s.earlierWorkerID == heartbeat.WorkerID {
		floor = max(floor, s.earlierFence+1)
	}
	return floor
}

// endIncarnation clears the state of the worker's incarnation until another one is
// confirmed, and ends its runs. If the next one has the same worker ID, it may have
// carried out a start that no list has shown yet, so that such runs stay until its lists
// settle them.
func (s *Supervisor) endIncarnation(reason, nextWorkerID string) {
	if s.heartbeat.Incarnation() == "" {
		return
	}
	s.cfg.Log.Warn("worker incarnation ended", zap.String("worker", s.heartbeat.Incarnation()), zap.String("why", reason), zap.Int("runs", len(s.runs)),
		zap.Bool("draining", s.heartbeat.Draining || s.draining), zap.Duration("last_reply", s.cfg.Now().Sub(s.aliveAt)), zap.Bool("broken", !s.brokenAt.IsZero()))
	for _, r := range s.sortedRuns() {
		r.crash = s.crashOf(r)
		if s.heartbeat.WorkerID == nextWorkerID && !r.listed && r.startFence != 0 {
			r.phase, r.unansweredFence = messenger.PhaseStarting, r.startFence
			r.pacePercent, r.workerPace, r.nextStopAt = 100, unknownPace, time.Time{}
			continue
		}
		s.endRun(r, messenger.RunEnd{Status: messenger.EndWorkerLost, Reason: reason}, 0)
	}
	for i := range s.ends {
		s.ends[i].workerSeq = 0 // the numbers belong to that incarnation
	}
	s.earlierWorkerID, s.earlierStartedAt, s.earlierFence = s.heartbeat.WorkerID, s.heartbeat.StartedAt, s.fence
	s.heartbeat, s.workerlessSince, s.reconciled, s.complete, s.endsUnlisted = Heartbeat{}, s.cfg.Now(), false, false, false
	s.draining, s.closed = false, false
	s.fence, s.seenEnd, s.ackedEnd, s.appliedSentAt = 0, 0, 0, time.Time{}
	s.leaseExpiresAt, s.sentLease, s.workerClock, s.unreachableSince = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	s.aliveAt, s.brokenAt = time.Time{}, time.Time{}
	s.markDirty()
}

// fenceNextIncarnation raises the fence of a worker that has started again under its ID,
// before its heartbeat arrives: calls to the earlier incarnation may still be on their way.
func (s *Supervisor) fenceNextIncarnation(ctx context.Context) {
	s.mu.Lock()
	earlier := Heartbeat{WorkerID: s.earlierWorkerID, StartedAt: s.earlierStartedAt}
	if earlier.StartedAt.IsZero() { // its next incarnation has another ID
		s.mu.Unlock()
		return
	}
	fence := s.fenceFloor(earlier, time.Time{})
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := s.cfg.Worker.List(ctx, ListRequest{WorkerID: earlier.WorkerID, Fence: fence}); err != nil {
		s.cfg.Log.Debug("next incarnation of the worker not fenced", zap.String("worker", earlier.WorkerID), zap.Uint64("fence", fence), zap.Error(err))
	}
}
