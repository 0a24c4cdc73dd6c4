package supervisor

import (
	"context"
	"time"

	"github.com/endivefall/endivefall/messenger"
)

// enforceInterval is the longest time between two comparisons of what the runs are to do
// with what the worker is known to do.
const enforceInterval = 200 * time.Millisecond

// enforceLoop makes the calls that runs still need, until ctx ends. Whatever changes the
// knowledge of a run, in whatever order, a stop or a pace that it lacks is sent again.
func (s *Supervisor) enforceLoop(ctx context.Context) {
	ticker := time.NewTicker(enforceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
		case <-ticker.C:
		}
		s.enforce(ctx)
	}
}

// requestEnforce makes enforceLoop compare at once.
func (s *Supervisor) requestEnforce() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// enforce begins the calls that are due. A run has at most one stop and one set pace call
// in flight, as concurrent calls may arrive in any order.
func (s *Supervisor) enforce(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportStops()
	if s.heartbeat.Incarnation() == "" {
		return
	}
	now := s.cfg.Now()
	for _, r := range s.runs {
		switch {
		case r.stopRequested:
			// Also while the outcome of the start is unknown: the worker refuses a start
			// that arrives after the stop.
			if !r.stopCalling && !now.Before(r.nextStopAt) {
				r.stopCalling = true
				s.calls.Go(func() { s.callStop(ctx, r) })
			}
		case r.phase == messenger.PhaseRunning && r.pacePending() && s.cfg.Pacer != nil && r.spec.BestEffort:
			if !r.paceCalling && !now.Before(r.nextPaceAt) {
				r.paceCalling = true
				s.calls.Go(func() { s.callSetPace(ctx, r) })
			}
		}
	}
}

// ref returns the reference to a run in a call under the present fence.
func (s *Supervisor) ref(r *run) RunRef {
	return RunRef{WorkerID: s.heartbeat.WorkerID, Fence: s.fence, Task: r.task, Attempt: r.attempt}
}
