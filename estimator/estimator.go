// Package estimator bounds the time of a remote clock without assuming that
// any two wall clocks agree.
package estimator

import (
	"sync"
	"time"
)

// NewMonotonicClock returns a clock that starts at the wall time and then
// follows only the monotonic clock, so that it is not affected when the wall
// clock is set.
func NewMonotonicClock() func() time.Time {
	base := time.Now()
	start := base.Round(0)
	return func() time.Time { return start.Add(time.Since(base)) }
}

// maxDrift is the largest difference in rate between two clocks, as a
// fraction.
const maxDrift = 200e-6

// Estimator bounds the offset of a remote clock from exchanges: the remote
// stamped a message after it was requested and before it arrived. The
// tightest bounds are kept and widened by the possible drift since then, so
// that a slow answer does not loosen them. It is safe for concurrent use.
type Estimator struct {
	mu sync.Mutex
	// low and high bound the remote time minus the local time, as of lowAt
	// and highAt.
	low, high     time.Duration
	lowAt, highAt time.Time
	// hasLow and hasHigh are set once there is a lower and an upper bound.
	hasLow, hasHigh bool
}

// epoch is the reference for offsets; any fixed time will do.
var epoch = time.Unix(0, 0)

func offset(remote, local time.Time) time.Duration { return remote.Sub(epoch) - local.Sub(epoch) }

// Observe records that the remote clock showed stamp at some moment between
// the local times requestedAt and receivedAt. If the message was not
// requested, requestedAt is the zero time.
func (e *Estimator) Observe(stamp, requestedAt, receivedAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	low := offset(stamp, receivedAt)
	high, requested := time.Duration(0), !requestedAt.IsZero()
	if requested {
		high = offset(stamp, requestedAt)
	}
	// Contradictory bounds mean that the remote clock was set.
	if e.hasHigh && low > e.highAfterDrift(receivedAt) || e.hasLow && requested && high < e.lowAfterDrift(receivedAt) {
		e.hasLow, e.hasHigh = false, false
	}
	if !e.hasLow || low >= e.lowAfterDrift(receivedAt) {
		e.low, e.lowAt, e.hasLow = low, receivedAt, true
	}
	if requested && (!e.hasHigh || high <= e.highAfterDrift(receivedAt)) {
		e.high, e.highAt, e.hasHigh = high, requestedAt, true
	}
}

// lowAfterDrift returns the lower bound, widened by the drift since lowAt.
func (e *Estimator) lowAfterDrift(now time.Time) time.Duration {
	return e.low - time.Duration(maxDrift*float64(now.Sub(e.lowAt)))
}

// highAfterDrift returns the upper bound, widened by the drift since highAt.
func (e *Estimator) highAfterDrift(now time.Time) time.Duration {
	return e.high + time.Duration(maxDrift*float64(now.Sub(e.highAt)))
}

// Known reports whether there was an exchange.
func (e *Estimator) Known() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hasLow
}

// Earliest returns the earliest time that the remote clock can show at the
// local time now; the zero time before the first exchange.
func (e *Estimator) Earliest(now time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.hasLow {
		return time.Time{}
	}
	return now.Add(e.lowAfterDrift(now))
}

// farFuture is later than any time that is compared with it.
var farFuture = time.Unix(1<<40, 0)

// Latest returns the latest time that the remote clock can show at the local
// time now; far in the future before the first requested exchange.
func (e *Estimator) Latest(now time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.hasHigh {
		return farFuture
	}
	return now.Add(e.highAfterDrift(now))
}

// RemoteDeadline converts a local deadline to the remote clock: the remote
// clock reaches the result no later than the local clock reaches the
// deadline, apart from drift until then.
func (e *Estimator) RemoteDeadline(now, deadline time.Time) time.Time {
	return e.Earliest(now).Add(deadline.Sub(now))
}
