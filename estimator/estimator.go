// Package estimator bounds what a remote clock shows, without trusting any
// wall clock to agree with another.
package estimator

import (
	"sync"
	"time"
)

// NewMonotonicClock returns a clock that starts at the wall time and then only follows
// the monotonic clock, so that a jump of the wall clock does not show.
func NewMonotonicClock() func() time.Time {
	base := time.Now()
	start := base.Round(0)
	return func() time.Time { return start.Add(time.Since(base)) }
}

// drift bounds how much faster or slower one clock runs than another.
const drift = 200e-6

// Estimator bounds a remote clock from exchanges: the remote stamped a message
// after it was asked for and before it arrived. The tightest bounds are kept,
// loosened by what the clocks may have drifted since, so that an answer that
// took long spoils nothing. It is safe for concurrent use.
type Estimator struct {
	mu sync.Mutex
	// low and high bound the remote's clock less the local one, as of lowAt and
	// highAt.
	low, high     time.Duration
	lowAt, highAt time.Time
	// known and capped are set once there is a low and a high bound.
	known, capped bool
}

// epoch is what offsets are counted from; any fixed time does.
var epoch = time.Unix(0, 0)

func offset(remote, local time.Time) time.Duration { return remote.Sub(epoch) - local.Sub(epoch) }

// Observe notes that the remote showed stamp at some moment between the local
// times asked and got. When nothing was asked, asked is the zero time.
func (e *Estimator) Observe(stamp, asked, got time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	low := offset(stamp, got)
	high, capped := time.Duration(0), !asked.IsZero()
	if capped {
		high = offset(stamp, asked)
	}
	// Bounds that contradict each other mean that the remote's clock was set.
	if e.capped && low > e.highNow(got) || e.known && capped && high < e.lowNow(got) {
		e.known, e.capped = false, false
	}
	if !e.known || low >= e.lowNow(got) {
		e.low, e.lowAt, e.known = low, got, true
	}
	if capped && (!e.capped || high <= e.highNow(got)) {
		e.high, e.highAt, e.capped = high, asked, true
	}
}

func (e *Estimator) lowNow(now time.Time) time.Duration {
	return e.low - time.Duration(drift*float64(now.Sub(e.lowAt)))
}

func (e *Estimator) highNow(now time.Time) time.Duration {
	return e.high + time.Duration(drift*float64(now.Sub(e.highAt)))
}

// Known says whether there was an exchange.
func (e *Estimator) Known() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known
}

// Earliest returns a remote time that the remote has surely reached at the
// local time now; the zero time before the first exchange.
func (e *Estimator) Earliest(now time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known {
		return time.Time{}
	}
	return now.Add(e.lowNow(now))
}

// never is later than any time that is compared with it.
var never = time.Unix(1<<40, 0)

// Latest returns a remote time that the remote has surely not passed at the
// local time now; far in the future before the first exchange.
func (e *Estimator) Latest(now time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.capped {
		return never
	}
	return now.Add(e.highNow(now))
}

// RemoteDeadline returns the remote's time for a deadline that the local clock sets:
// the remote reaches it no later than the local clock reaches local.
func (e *Estimator) RemoteDeadline(now, local time.Time) time.Time {
	return e.Earliest(now).Add(local.Sub(now))
}
