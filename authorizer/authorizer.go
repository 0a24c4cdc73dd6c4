// Package authorizer decides what the policy service is asked next, and holds what it has answered: which
// workers may run a step, and which tickets are valid. It does no I/O.
//
// Load pattern: a backlog of steps at a service that handles one query of an instance after the other.
// Tickets last about as long as a few queries take. An answer that has to wait behind others is old when it
// arrives, so that queries wait here, where the next one is chosen by what has room at that moment.
package authorizer

import (
	"slices"
	"time"
)

const (
	// MaxWorkers is how many workers the platform allows in one query.
	MaxWorkers = 100
	// maxQueries is how many queries may be in flight: one, and others beside those that are overdue.
	maxQueries = 4
	// maxReady is how many queries of each kind are prepared in a round; the next round prepares others.
	maxReady = 8
	// maxExamined is for how many steps a round looks for workers to ask about, so that a long backlog does not
	// hold up placement. Of the second half, those for which nothing is to be asked are left out for idleDelay, so
	// that the next rounds get to others.
	maxExamined = 64
	idleDelay   = 100 * time.Millisecond
	// minOverdue is the shortest time after which a query is overdue. overdueFactor is how many times as long
	// as the last one of its queue it may take.
	minOverdue    = time.Second
	overdueFactor = 3
	// retryDelay is the delay after a failed query; it doubles with each further one, maxDoublings times.
	retryDelay   = 300 * time.Millisecond
	maxDoublings = 4
)

// Authorizer holds the answers of the policy service. It is not safe for concurrent use.
type Authorizer struct {
	steps  map[string]*step
	queues map[string]*queue
	// round is the number of the present round of placement.
	round uint64
	// examined is the number of steps for which Waits was true in it.
	examined int
	// useful has the queries of the last round of placement whose tickets should be used at once: there is room, and
	// earlier tickets of their steps have not run out unused. others has the rest. Both are in the order of
	// the round, in which prepared counts them.
	useful, others []prepared
	prepared       int
	// inFlight has the queries without an answer, the oldest first.
	inFlight []*Query
	// lastOther is set if the last query was one of others.
	lastOther bool
	// resumeAt is when the next query may be sent after failed ones; failures is how many failed in a row.
	resumeAt time.Time
	failures int
	report   Report
}

// prepared is a query that may be sent next.
type prepared struct {
	query *Query
	// order is its place in the round.
	order int
	// renewal is set if it only renews tickets for which there is no room.
	renewal bool
}

// Query asks the policy service about a step.
type Query struct {
	Step, Queue string
	// Workers are incarnations.
	Workers []string
	sentAt  time.Time
	// unknown is how many of the workers were not asked about before.
	unknown int
}

// Grant allows a worker incarnation to run a step.
type Grant struct {
	Incarnation string
	Ticket      string
}

// Report says how the service keeps up.
type Report struct {
	// Waiting is the number of steps that waited for the service in the last round, Since is since when the
	// first of them has; zero if there are none.
	Waiting int
	Since   time.Time
	// Lapsed is the number of tickets that ran out unused since the last report.
	Lapsed int
}

// New returns an Authorizer that knows no answers.
func New() *Authorizer {
	return &Authorizer{steps: map[string]*step{}, queues: map[string]*queue{}}
}

// Begin begins a round of placement, which asks again for all that it needs.
func (a *Authorizer) Begin() {
	a.round++
	a.examined = 0
	a.useful, a.others, a.prepared = a.useful[:0], a.others[:0], 0
	a.report.Waiting, a.report.Since = 0, time.Time{}
}

// Waits notes that tasks of a step can't start with the tickets that there are, and reports whether Want may
// lead to a query. Only the first call in a round counts for each step.
func (a *Authorizer) Waits(name string, now time.Time) bool {
	s := a.step(name)
	if s.round == a.round {
		return false
	}
	s.round = a.round
	a.noteLapse(s, now)
	if !now.Before(s.ticketsUntil) {
		a.noteWait(s, now)
	}
	isFull := len(a.useful) >= maxReady
	if s.lapses > 0 {
		isFull = len(a.others) >= maxReady
	}
	if isFull || s.asking || now.Before(s.retryAt) || a.examined >= maxExamined {
		return false
	}
	a.examined++
	return true
}

// noteWait counts a step without any valid ticket.
func (a *Authorizer) noteWait(s *step, now time.Time) {
	if s.waitingSince.IsZero() {
		s.waitingSince = now
	}
	a.report.Waiting++
	if a.report.Since.IsZero() || s.waitingSince.Before(a.report.Since) {
		a.report.Since = s.waitingSince
	}
}

// Want prepares a query about a step if one is of use. It is called in the order in which steps get room.
func (a *Authorizer) Want(w Want, now time.Time) {
	s, q := a.step(w.Step), a.queue(w.Queue)
	named, unknown, hasRoom := choose(w, s, q, now)
	isUseful := hasRoom && s.lapses == 0
	if len(named) == 0 || !isUseful && len(a.others) >= maxReady {
		if a.examined > maxExamined/2 {
			s.retryAt = now.Add(idleDelay)
		}
		return
	}
	a.prepared++
	p := prepared{&Query{Step: w.Step, Queue: w.Queue, Workers: named, unknown: unknown}, a.prepared, !hasRoom && unknown == 0}
	if isUseful {
		a.useful = append(a.useful, p)
	} else {
		a.others = append(a.others, p)
	}
}

// Next returns the query to send now, if any. Its answer is passed to Answer, or Fail is called.
func (a *Authorizer) Next(now time.Time) (*Query, bool) {
	if now.Before(a.resumeAt) || !a.mayAsk(now) {
		return nil, false
	}
	list := a.choose()
	if list == nil {
		return nil, false
	}
	query := (*list)[0].query
	*list = (*list)[1:]
	query.sentAt = now
	a.step(query.Step).asking = true
	a.inFlight = append(a.inFlight, query)
	a.lastOther = list == &a.others
	return query, true
}

// choose returns the list whose first query goes next, or nil. The useful ones go first. At most every other query
// is one of the others, if its step goes before theirs: it may make room for itself once it is known where.
func (a *Authorizer) choose() *[]prepared {
	switch {
	case len(a.useful) == 0 && len(a.others) == 0:
		return nil
	case len(a.useful) == 0:
		return &a.others
	case len(a.others) == 0 || a.lastOther || a.others[0].renewal || a.useful[0].order < a.others[0].order:
		return &a.useful
	}
	return &a.others
}

// mayAsk reports whether a query may be sent beside those in flight: if each of them is overdue, as its
// answer may be lost.
func (a *Authorizer) mayAsk(now time.Time) bool {
	return len(a.inFlight) < maxQueries && !slices.ContainsFunc(a.inFlight, func(q *Query) bool {
		return now.Before(q.sentAt.Add(max(minOverdue, a.queue(q.Queue).took*overdueFactor)))
	})
}

// Answer records the answer to a query that arrives now, with tickets that are valid for some time.
func (a *Authorizer) Answer(query *Query, grants []Grant, validity time.Duration, now time.Time) {
	a.end(query)
	a.failures, a.resumeAt = 0, time.Time{}
	q, took := a.queue(query.Queue), now.Sub(query.sentAt)
	s := a.steps[query.Step]
	if s == nil {
		return // its job has ended
	}
	s.failures = 0
	a.report.Lapsed += s.answer(query, grants, validity, took, now)
	q.learn(query, len(grants), validity, took)
}

// Fail records that a query got no usable answer.
func (a *Authorizer) Fail(query *Query, now time.Time) {
	a.end(query)
	a.resumeAt = now.Add(retryDelay << min(a.failures, maxDoublings))
	a.failures++
	if s := a.steps[query.Step]; s != nil {
		s.retryAt = now.Add(retryDelay << min(s.failures, maxDoublings))
		s.failures++
	}
}

func (a *Authorizer) end(query *Query) {
	a.inFlight = slices.DeleteFunc(a.inFlight, func(q *Query) bool { return q == query })
	if s := a.steps[query.Step]; s != nil {
		s.asking = false
	}
}

// Granted reports whether there is a valid ticket for a worker.
func (a *Authorizer) Granted(name, incarnation string, now time.Time) bool {
	s := a.steps[name]
	return s != nil && now.Before(s.tickets[incarnation].until)
}

// HasTickets reports whether there is a valid ticket for any worker.
func (a *Authorizer) HasTickets(name string, now time.Time) bool {
	s := a.steps[name]
	return s != nil && now.Before(s.ticketsUntil)
}

// Allowed reports whether a worker is known to be allowed, with or without a valid ticket.
func (a *Authorizer) Allowed(name, incarnation string) bool {
	s := a.steps[name]
	return s != nil && s.allowed[incarnation]
}

// Use returns the ticket for a start on a worker.
func (a *Authorizer) Use(name, incarnation string) string {
	s := a.steps[name]
	if s == nil {
		return ""
	}
	s.waitingSince = time.Time{}
	t, ok := s.tickets[incarnation]
	if ok {
		t.used = true
		s.tickets[incarnation] = t
	}
	return t.text
}

// Reject records that a start on a worker was refused. Its ticket is not used again, as it may be the cause.
func (a *Authorizer) Reject(name, incarnation string, now time.Time) {
	s := a.steps[name]
	if s == nil {
		return
	}
	delete(s.tickets, incarnation)
	s.delay(now)
}

// Forget drops what is known of a step.
func (a *Authorizer) Forget(name string) {
	delete(a.steps, name)
	isOfStep := func(p prepared) bool { return p.query.Step == name }
	a.useful, a.others = slices.DeleteFunc(a.useful, isOfStep), slices.DeleteFunc(a.others, isOfStep)
}

// InFlight returns the number of queries without an answer.
func (a *Authorizer) InFlight() int { return len(a.inFlight) }

// Report returns how the service has kept up since the last report.
func (a *Authorizer) Report() Report {
	r := a.report
	a.report.Lapsed = 0
	return r
}

// noteLapse drops the tickets of a step that have all run out, and delays its next query if none was used.
func (a *Authorizer) noteLapse(s *step, now time.Time) {
	if len(s.tickets) == 0 || now.Before(s.ticketsUntil) {
		return
	}
	unused := 0
	for _, t := range s.tickets {
		if !t.used {
			unused++
		}
	}
	a.report.Lapsed += unused
	if unused == len(s.tickets) {
		s.delay(s.ticketsUntil)
	} else {
		s.lapses = 0
	}
	clear(s.tickets)
}

func (a *Authorizer) step(name string) *step {
	s := a.steps[name]
	if s == nil {
		s = &step{tickets: map[string]ticket{}, allowed: map[string]bool{}, asked: map[string]bool{}}
		a.steps[name] = s
	}
	return s
}

func (a *Authorizer) queue(name string) *queue {
	q := a.queues[name]
	if q == nil {
		q = &queue{limit: MaxWorkers}
		a.queues[name] = q
	}
	return q
}
