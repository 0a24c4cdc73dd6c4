package admitter

import "time"

// Bounds of the time when a refused caller is told to come back.
const (
	soonest  = 10 * time.Millisecond
	furthest = 30 * time.Second
	// spare is the part of the slots kept for callers that were not refused;
	// the rest is dealt out to those that come back.
	spare = 0.5
)

// pacer deals out times to come back, one after another at the rate that the
// slots can serve, so that refused callers do not return in one wave.
type pacer struct {
	// last is the time dealt out last.
	last time.Time
}

// next returns a time to come back. drain is the time until a slot is free for
// a new request, hold the mean time that a slot is held.
func (p *pacer) next(now time.Time, drain, hold time.Duration, slots int) time.Time {
	first := now.Add(max(drain, soonest))
	step := time.Duration(float64(hold) / (float64(max(slots, 1)) * (1 - spare)))
	p.last = p.last.Add(max(step, time.Microsecond))
	// A time that is too far off is of no use: another lap begins.
	if p.last.Before(first) || p.last.After(now.Add(furthest)) {
		p.last = first
	}
	return p.last
}
