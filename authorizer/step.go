package authorizer

import "time"

const (
	// startTime is the time in which a start reaches its worker. A tenth of the validity is kept for it where
	// tickets are valid for less than ten times as long.
	startTime      = 100 * time.Millisecond
	startTimeShare = 10
	// useAtOnce is for how long a ticket is used though it may have run out on the way, as the service may
	// count from its answer: the time until the next round of placement.
	useAtOnce = 100 * time.Millisecond
)

// step is what is known of a step.
type step struct {
	// tickets are by worker incarnation. All of them are used until ticketsUntil at the latest.
	tickets      map[string]ticket
	ticketsUntil time.Time
	// asked are the incarnations about which an answer was received, allowed those of them that may run the
	// step; neither changes.
	asked, allowed map[string]bool
	// asking is set while a query is in flight.
	asking bool
	// failures counts the failed queries since the last answer, lapses how often in a row all tickets ran out
	// unused or one was refused.
	failures, lapses int
	// took is how long the last query took.
	took time.Duration
	// retryAt is when the service may be asked again.
	retryAt time.Time
	// round is the last round of placement in which it waited.
	round uint64
	// waitingSince is since when the step waits for a ticket; zero if it doesn't.
	waitingSince time.Time
}

type ticket struct {
	text string
	// until is when the ticket is used at the latest; used is set once a start was sent with it.
	until time.Time
	used  bool
}

// answer records an answer, and returns how many unused tickets were replaced.
func (s *step) answer(query *Query, grants []Grant, validity, took time.Duration, now time.Time) (replaced int) {
	s.took = took
	for _, incarnation := range query.Workers {
		s.asked[incarnation] = true
		if t, ok := s.tickets[incarnation]; ok && !t.used {
			replaced++
		}
		delete(s.tickets, incarnation)
	}
	if replaced > 0 {
		s.lapses++
	}
	until := query.sentAt.Add(validity - min(startTime, validity/startTimeShare))
	if atOnce := now.Add(useAtOnce); until.Before(atOnce) {
		until = atOnce
	}
	for _, grant := range grants {
		if s.asked[grant.Incarnation] {
			s.allowed[grant.Incarnation] = true
			s.tickets[grant.Incarnation] = ticket{text: grant.Ticket, until: until}
		}
	}
	if len(grants) > 0 && until.After(s.ticketsUntil) {
		s.ticketsUntil = until
	}
	return replaced
}

// delay delays the next query about a step that has no use for its tickets, from some time on: each time for
// twice as long, so that it leaves most of the service's time to others.
func (s *step) delay(from time.Time) {
	s.retryAt = from.Add(s.took << min(s.lapses, maxDoublings))
	s.lapses++
}
