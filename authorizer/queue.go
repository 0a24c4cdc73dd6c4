package authorizer

import "time"

const (
	// ageShare is the part of the validity of a ticket, one in so many, that the query itself may take.
	ageShare = 2
	// shareMemory is how many of the workers that were asked about count for the share of allowed ones.
	shareMemory = 100
)

// queue is what is known of the service's answers to the steps of a queue.
type queue struct {
	// limit is how many workers a query may name, so that its tickets are not too old on arrival.
	limit int
	// took is how long the last query took.
	took time.Duration
	// asked and allowed count the workers that were asked about for the first time, with less weight for
	// older answers.
	asked, allowed float64
}

// share returns the expected share of workers that may run a step. Before the first answers it is a half.
func (q *queue) share() float64 { return (q.allowed + 1) / (q.asked + 2) }

func (q *queue) learn(query *Query, granted int, validity, took time.Duration) {
	q.took = took
	switch {
	case took*ageShare > validity:
		q.limit = max(min(q.limit, len(query.Workers))/2, 1)
	case took*ageShare*2 <= validity && len(query.Workers) >= q.limit:
		q.limit = min(q.limit*2, MaxWorkers)
	}
	if query.unknown == 0 {
		return
	}
	if q.asked > shareMemory {
		q.asked, q.allowed = q.asked/2, q.allowed/2
	}
	known := len(query.Workers) - query.unknown // these are allowed
	q.asked += float64(query.unknown)
	q.allowed += float64(max(granted-known, 0))
}
