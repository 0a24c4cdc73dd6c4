package supervisor

import "slices"

// endHeld reports whether an end is not to be sent yet. An owner that is gone is noticed a second
// later, and an end that was sent to it may be known. So the end of a long-running task is sent
// once the owner has answered since it was known.
func (s *Supervisor) endHeld(e *pendingEnd) bool {
	return e.lasting && !e.sent && s.ownerHeardAt.Before(e.knownAt)
}

// endsUnsent reports whether no snapshot has had some end.
func (s *Supervisor) endsUnsent() bool {
	return slices.ContainsFunc(s.ends, func(e pendingEnd) bool { return e.lasting && !e.sent })
}

// endsHeld reports whether an end is not to be sent yet.
func (s *Supervisor) endsHeld() bool {
	return slices.ContainsFunc(s.ends, func(e pendingEnd) bool { return s.endHeld(&e) })
}
