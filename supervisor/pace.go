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
)

// adjustPaces applies the pacer's decisions, which slow best-effort tasks down
// beside latency-critical ones.
func (s *Supervisor) adjustPaces() {
	if s.cfg.Pacer == nil {
		return
	}
	s.logLoad()
	pacerRuns := make([]pacer.Run, 0, len(s.runs))
	for _, r := range s.sortedRuns() {
		if r.phase == messenger.PhaseRunning && !r.stopRequested {
			pacerRuns = append(pacerRuns, pacer.Run{
				Task: r.task, Attempt: r.attempt, Group: sequencer.StepNameOf(r.task), Image: r.spec.Image, BestEffort: r.spec.BestEffort,
				CPU: r.spec.CPU, UsedCPU: r.measurement, LatencyTargetMs: r.spec.LatencyTargetMs, TailLatencyMs: r.measurement, ProgressPercent: r.progressPercent, PacePercent: r.pacePercent, PacedSince: r.pacedSince,
			})
		}
	}
	changes := s.cfg.Pacer.Decide(s.cfg.Now(), s.heartbeat.CPU, pacerRuns)
	for n := range pacerRuns {
		if pacerRuns[n].LatencyTargetMs > 0 {
			s.runs[runKey{pacerRuns[n].Task, pacerRuns[n].Attempt}].tailLatencyMs = int64(s.cfg.Pacer.TailLatencyMs(pacerRuns[n].Name()))
		}
	}
	for _, c := range changes {
		r := s.runs[runKey{c.Task, c.Attempt}]
		if r.pacePending() {
			continue
		}
		s.cfg.Log.Info("pace changed", zap.String("task", r.task), zap.Int("from", r.pacePercent), zap.Int("to", c.PacePercent), zap.String("because", c.Reason),
			zap.Int64("tail", c.TailLatencyMs), zap.Int64("target", c.LatencyTargetMs), zap.Float64("room", c.Headroom), zap.Float64("press", c.Interference))
		r.pacePercent, r.pacedSince = c.PacePercent, s.cfg.Now()
		s.requestEnforce()
	}
}

// callSetPace sends a run's pace to the worker once.
func (s *Supervisor) callSetPace(ctx context.Context, r *run) {
	s.mu.Lock()
	ref, percent, ended, incarnation, timeout := s.ref(r), r.pacePercent, r.ended, s.heartbeat.Incarnation(), s.replyTimeout()
	s.mu.Unlock()
	if ended {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	err := s.cfg.Worker.SetPace(callCtx, ref, percent)
	cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	r.paceCalling = false
	switch {
	case s.heartbeat.Incarnation() != incarnation: // the outcome says nothing of the next one
	case err == nil:
		r.workerPace = percent
	case errors.Is(err, ErrUnknownOutcome):
		r.workerPace, r.nextPaceAt = unknownPace, s.cfg.Now().Add(retryDelay)
		s.raiseFence(ref.Fence) // otherwise the call could take effect after a later one
	case errors.Is(err, ErrStaleFence):
		r.nextPaceAt = s.cfg.Now().Add(retryDelay)
	default:
		r.nextPaceAt = s.cfg.Now().Add(refusedPaceDelay)
	}
	if err != nil {
		s.cfg.Log.Info("set pace call failed", zap.String("task", ref.Task), zap.Int("pace", percent), zap.Error(err))
	}
}

// refusedPaceDelay is the delay after a set pace call that the worker refused.
const refusedPaceDelay = time.Second

// mergeInterference adds the owner's interference coefficients to the predictor.
func (s *Supervisor) mergeInterference(rows []messenger.Interference) {
	if s.cfg.Pacer == nil {
		return
	}
	for _, row := range rows {
		s.cfg.Pacer.Predictor.Merge(s.cfg.Now(), row.BestEffortImage, row.ServingImage, float64(row.Coefficient), float64(row.StdErr))
	}
}

// hasColocatedRuns reports whether best-effort and latency-critical tasks share the
// worker. Their measurements are then read as soon as they are updated.
func (s *Supervisor) hasColocatedRuns() bool {
	bestEffort, serving := false, false
	for _, r := range s.runs {
		bestEffort = bestEffort || r.spec.BestEffort
		serving = serving || r.spec.LatencyTargetMs > 0
	}
	return bestEffort && serving
}

// loadLogInterval is the minimum time between two log lines of the worker's load.
const loadLogInterval = 2 * time.Second

// logLoad logs the worker's load, from which the paces are decided.
func (s *Supervisor) logLoad() {
	now := s.cfg.Now()
	if now.Sub(s.loadLoggedAt) < loadLogInterval || len(s.runs) == 0 {
		return
	}
	s.loadLoggedAt = now
	var reserved, bestEffortCPU, bestEffortUsed, used int64
	servingCount, maxTailRatio := 0, 0.0
	var servingTasks, bestEffort []string
	for _, r := range s.sortedRuns() {
		switch {
		case r.spec.BestEffort:
			bestEffortCPU += r.spec.CPU
			bestEffortUsed += r.measurement
			bestEffort = append(bestEffort, fmt.Sprintf("%s:%d/%d@%d", r.spec.Image, r.measurement, r.spec.CPU, r.pacePercent))
		default:
			reserved += r.spec.CPU
			if r.spec.LatencyTargetMs > 0 {
				servingCount++
				servingTasks = append(servingTasks, fmt.Sprintf("%s:%d/%d", r.spec.Image, r.measurement, r.spec.LatencyTargetMs))
				maxTailRatio = max(maxTailRatio, float64(r.measurement)/float64(r.spec.LatencyTargetMs))
			} else {
				used += r.measurement
			}
		}
	}
	s.cfg.Log.Info("worker load", zap.String("worker", s.heartbeat.Incarnation()), zap.Int64("capacity", s.heartbeat.CPU), zap.Int64("reserved", reserved),
		zap.Int("serving", servingCount), zap.Float64("tail", maxTailRatio), zap.Int64("used", used),
		zap.Int64("filling", bestEffortCPU), zap.Int64("filled", bestEffortUsed), zap.Strings("serves", servingTasks), zap.Strings("fills", bestEffort))
}
