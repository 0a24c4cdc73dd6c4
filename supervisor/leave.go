package supervisor

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// LeaveTimeout is how long an agent that is to end should wait in AwaitOwner: until
// another entry has taken over from an owner that does not answer.
const LeaveTimeout = 3 * time.Second

// AwaitOwner waits until an owner has applied a snapshot that was sent after the call,
// or until ctx ends. That owner then knows which runs the agent leaves; without one, the
// next owner can only wait for their leases. It returns at once if there is no worker.
// From the call on the agent starts nothing.
func (s *Supervisor) AwaitOwner(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	incarnation, called, since := s.heartbeat.Incarnation(), s.cfg.Now(), s.workerNow()
	s.mu.Unlock()
	s.markDirty()
	for {
		s.mu.Lock()
		known := s.heartbeat.Incarnation() == "" || s.heartbeat.Incarnation() != incarnation || !s.appliedSentAt.Before(since)
		runs := len(s.runs)
		s.mu.Unlock()
		if known || ctx.Err() != nil {
			s.cfg.Log.Info("leaving", zap.Bool("owner_knows", known), zap.Int("runs", runs), zap.Duration("waited", s.cfg.Now().Sub(called)))
			return
		}
		select {
		case <-s.applied:
		case <-ctx.Done():
		}
	}
}
