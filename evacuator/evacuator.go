// Package evacuator decides which tasks may start while failure domains are evacuated, until when
// a start that was sent may begin, and which running tasks leave an evacuated domain. It does no
// I/O.
//
// Load pattern: one of three domains is emptied within seconds of the operator's request, beside
// long-running services with a few dozen tasks, of which few may be away at once, and short batch
// tasks that end sooner than they could move. The owner learns of the request by watches that may
// be cut, while the store goes on confirming its ownership.
package evacuator

import "time"

const (
	// MaxLag is by how much the view may be older than the newest confirmation of ownership. The
	// watches of a store that answers within half a second stay below it.
	MaxLag = 2 * time.Second
	// StartTime is what an agent needs at most to start a task that it was told to start just
	// before the deadline: one call to the worker.
	StartTime = 700 * time.Millisecond
	// clockMargin is kept for clocks of workers that run up to 2.1% slow over the few seconds from
	// the last snapshot to the deadline.
	clockMargin = 100 * time.Millisecond
	// MinFlightTime is how long a start may be on its way to an agent when the view is old, as in
	// an outage of the store. It is many times the transit between domains. Beside a view that is
	// older than the confirmation by MaxLag, and a confirmation of 2 s, up to which the store may
	// have served others, it leaves StartTime of a bound of 5 s.
	MinFlightTime = 300 * time.Millisecond
)

// Refusal is why no task may start in a domain.
type Refusal int

// Reasons to refuse starts.
const (
	// Allowed refuses nothing.
	Allowed Refusal = iota
	// Evacuated domains get no starts.
	Evacuated
	// Unknown means that the evacuated domains have not been read yet.
	Unknown
	// Outdated means that the view is too old beside the confirmation of ownership: a request may
	// have been written since.
	Outdated
)

// Policy is how evacuations are obeyed.
type Policy struct {
	// Bound is the time from the acknowledgement of a request until which tasks may still start in
	// the domain. Without one, requests that are known are obeyed, and nothing else.
	Bound time.Duration
}

// Check returns why no task may start in a domain, given the view and the time at which the
// newest confirmation of ownership was sent. In an outage of the store, in which nobody can
// request an evacuation, both age together.
func (p Policy) Check(v View, domain string, confirmedAt time.Time) Refusal {
	switch {
	case v.Evacuated(domain):
		return Evacuated
	case p.Bound <= 0:
		return Allowed
	case !v.Known():
		return Unknown
	case confirmedAt.Sub(v.ReadAt) > MaxLag:
		return Outdated
	}
	return Allowed
}

// StartBy returns the local time after which a start that is sent now must not begin any more;
// zero without a bound. A request that the view lacks was acknowledged after the view was read, so
// that Bound counts from then at the earliest. The view is older than the bound allows
// only in an outage of the store, just after which a request may be written: the start then gets
// MinFlightTime.
func (p Policy) StartBy(v View, now time.Time) time.Time {
	if p.Bound <= 0 {
		return time.Time{}
	}
	startBy := v.ReadAt.Add(p.Bound - StartTime - clockMargin)
	if earliest := now.Add(MinFlightTime); startBy.Before(earliest) {
		return earliest
	}
	return startBy
}
