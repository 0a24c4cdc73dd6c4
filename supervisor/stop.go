package supervisor

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
)

// handleStop records that a run is to be stopped. A run that is not known may still be at
// the worker, as no list of it may have been seen yet.
func (s *Supervisor) handleStop(cmd *messenger.RunStop) {
	key := runKey{cmd.Task, cmd.Attempt}
	r := s.runs[key]
	if r == nil {
		if _, known := s.unknownStops[key]; !known {
			s.unknownStops[key] = s.cfg.Now()
			s.cfg.Log.Info("stop command for a run that is not known", zap.String("task", cmd.Task), zap.Uint64("attempt", cmd.Attempt), zap.Uint64("term", s.term),
				zap.Bool("reconciled", s.reconciled))
			s.requestList()
		}
		return
	}
	if r.stopRequested {
		return
	}
	s.cfg.Log.Info("stop command accepted", zap.String("task", cmd.Task), zap.Uint64("attempt", cmd.Attempt), zap.Uint64("term", s.term), zap.Uint8("phase", uint8(r.phase)))
	r.stopRequested, r.stopRequestedAt = true, s.cfg.Now()
	s.markDirty()
	s.requestEnforce()
}

// settleUnknownStops applies the stops of runs that were not known to those that a list
// reply has shown, and drops the others that are older than its request.
func (s *Supervisor) settleUnknownStops(requestedAt time.Time, complete bool) {
	for key, receivedAt := range s.unknownStops {
		switch r := s.runs[key]; {
		case r != nil:
			r.stopRequested, r.stopRequestedAt = true, receivedAt
			s.cfg.Log.Info("stop command accepted", zap.String("task", key.task), zap.Uint64("attempt", key.attempt), zap.Duration("waited", s.cfg.Now().Sub(receivedAt)))
			s.requestEnforce()
		case !complete || requestedAt.Before(receivedAt):
			continue
		default:
			s.cfg.Log.Info("stop command dropped; the worker does not list the run", zap.String("task", key.task), zap.Uint64("attempt", key.attempt))
			s.cfg.Count(meter.DroppedStops)
		}
		delete(s.unknownStops, key)
	}
}

// callStop sends one stop to the worker.
func (s *Supervisor) callStop(ctx context.Context, r *run) {
	s.mu.Lock()
	ref, ended, timeout, calledAt := s.ref(r), r.ended, s.replyTimeout(), s.cfg.Now()
	s.mu.Unlock()
	if ended {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	err := s.cfg.Worker.Stop(callCtx, ref)
	cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	r.stopCalling, r.nextStopAt = false, calledAt.Add(callTimeout)
	if errors.Is(err, ErrStaleFence) && s.fence > ref.Fence {
		r.nextStopAt = s.cfg.Now()
	}
	if err != nil {
		s.cfg.Log.Info("stop call failed", zap.String("task", r.task), zap.Uint64("attempt", r.attempt), zap.Error(err))
	}
	s.requestList()
}

const (
	// stopReportInterval is the time between two reports of outstanding stops.
	stopReportInterval = time.Second
	// maxStopAge is the age from which an outstanding stop is logged: a few calls to a
	// worker that does not answer.
	maxStopAge = 4 * callTimeout
)

// reportStops reports the age of the oldest stop whose run has not ended.
func (s *Supervisor) reportStops() {
	now := s.cfg.Now()
	if now.Before(s.reportStopsAt) {
		return
	}
	s.reportStopsAt = now.Add(stopReportInterval)
	oldest, outstanding := now, len(s.unknownStops)
	var oldestRun *run // the one with the oldest stop; nil for one that is not known
	for _, r := range s.runs {
		if !r.stopRequested {
			continue
		}
		outstanding++
		if r.stopRequestedAt.Before(oldest) {
			oldest, oldestRun = r.stopRequestedAt, r
		}
	}
	for _, receivedAt := range s.unknownStops {
		if receivedAt.Before(oldest) {
			oldest, oldestRun = receivedAt, nil
		}
	}
	age := now.Sub(oldest)
	s.cfg.Gauge(meter.OldestStop, age.Seconds())
	if age < maxStopAge {
		return
	}
	reachable := zap.Bool("reachable", s.unreachableSince.IsZero())
	if oldestRun == nil {
		s.cfg.Log.Warn("stop of a run that is not known is outstanding", zap.Duration("age", age), zap.Int("outstanding", outstanding), zap.Bool("reconciled", s.reconciled), reachable)
		return
	}
	s.cfg.Log.Warn("stop is outstanding", zap.String("task", oldestRun.task), zap.Uint64("attempt", oldestRun.attempt), zap.Duration("age", age), zap.Int("outstanding", outstanding),
		zap.Uint8("phase", uint8(oldestRun.phase)), zap.Bool("listed", oldestRun.listed), zap.Bool("start_unknown", oldestRun.unansweredFence != 0), reachable, zap.String("worker", s.heartbeat.Incarnation()))
}
