package supervisor

import (
	"context"
	"errors"
	"net"

	"github.com/endivefall/endivefall/messenger"
)

// connectionBroke reports whether a call failed because the connection broke or was
// refused, as when the process of the worker ends, and not for want of a reply in time.
func connectionBroke(err error) bool {
	var netErr net.Error
	timeout := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) || errors.As(err, &netErr) && netErr.Timeout()
	return errors.Is(err, ErrUnknownOutcome) && !timeout
}

// crashOf describes the crash of the current incarnation, which another one has replaced,
// from the view of a run. It returns nil if that is no evidence against the run: the worker
// was draining, the run was not there, or an earlier process of the agent started it.
func (s *Supervisor) crashOf(r *run) *messenger.Crash {
	crash := &messenger.Crash{Worker: s.heartbeat.Incarnation(), StartedAt: r.startSentAt, AliveAt: s.aliveAt, LostAt: s.cfg.Now(), Confirmed: r.phase != messenger.PhaseStarting}
	if !s.brokenAt.IsZero() {
		crash.AliveAt, crash.LostAt = s.brokenAt, s.brokenAt
	}
	if s.heartbeat.Draining || s.draining || r.startSentAt.IsZero() || r.startSentAt.After(crash.LostAt) {
		return nil
	}
	return crash
}
