package admitter

import "time"

// Limits of the retry times for refused requests.
const (
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 30 * time.Second
	// newRequestShare is the fraction of the slots kept for requests that
	// were not refused before. The rest is shared by retries.
	newRequestShare = 0.5
)

// retryScheduler assigns retry times one after another, at the rate that the
// slots can serve, so that refused requests do not return in one burst.
type retryScheduler struct {
	// last is the retry time assigned last.
	last time.Time
}

// next returns a retry time. drainTime is the time until a slot is free for a
// new request, serviceTime the mean time that a request holds a slot.
func (s *retryScheduler) next(now time.Time, drainTime, serviceTime time.Duration, slots int) time.Time {
	first := now.Add(max(drainTime, minRetryDelay))
	step := time.Duration(float64(serviceTime) / (float64(max(slots, 1)) * (1 - newRequestShare)))
	s.last = s.last.Add(max(step, time.Microsecond))
	// A time too far in the future is useless to the caller, so assignment
	// starts over.
	if s.last.Before(first) || s.last.After(now.Add(maxRetryDelay)) {
		s.last = first
	}
	return s.last
}
