// Package estimator bounds what a remote clock shows, without trusting any
// wall clock to agree with another.
package estimator

import (
	"sync"
	"time"
)

// Steady returns a clock that starts at the wall time and then only follows
// the monotonic clock, so that a jump of the wall clock does not show.
func Steady() func() time.Time {
	base := time.Now()
	start := base.Round(0)
	return func() time.Time { return start.Add(time.Since(base)) }
}

// Estimator bounds a remote clock from one exchange: the remote stamped a
// message after it was asked for and before it arrived.
type Estimator struct {
	mu sync.Mutex
	// stamp is the remote's time; asked <= the local moment of the stamp <= got.
	stamp, asked, got time.Time
	// known is true after the first exchange.
	known bool
}

// Observe notes that the remote showed stamp at some moment between the local
// times asked and got. When nothing was asked, asked is the zero time.
func (e *Estimator) Observe(stamp, asked, got time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stamp, e.asked, e.got, e.known = stamp, asked, got, true
}

// Known says whether there was an exchange.
func (e *Estimator) Known() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known
}

// Earliest returns a remote time that the remote has surely reached at the
// local time now.
func (e *Estimator) Earliest(now time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stamp.Add(now.Sub(e.got))
}

// Latest returns a remote time that the remote has surely not passed at the
// local time now.
func (e *Estimator) Latest(now time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stamp.Add(now.Sub(e.asked))
}

// Until returns the remote's time for a deadline that the local clock sets:
// the remote reaches it no later than the local clock reaches local.
func (e *Estimator) Until(now, local time.Time) time.Time {
	return e.Earliest(now).Add(local.Sub(now))
}
