package admitter

import (
	"slices"
	"time"
)

// waiter is a request that has been submitted.
type waiter struct {
	Request
	arrivedAt time.Time
	seq       uint64
	// decided is closed once refusal or startedAt is set.
	decided   chan struct{}
	refusal   *Refusal
	startedAt time.Time
}

// runsBefore orders by priority, then by deadline, then by arrival.
func (w *waiter) runsBefore(other *waiter) bool {
	if w.Priority != other.Priority {
		return w.Priority > other.Priority
	}
	if !w.Deadline.Equal(other.Deadline) {
		return w.Deadline.Before(other.Deadline)
	}
	return w.seq < other.seq
}

// requestQueue is sorted, with the next request to run first. The limit on
// connections keeps it short.
type requestQueue []*waiter

// position returns how many queued requests would run before w.
func (q requestQueue) position(w *waiter) int {
	n, _ := slices.BinarySearchFunc(q, w, func(queued, w *waiter) int {
		if queued.runsBefore(w) {
			return -1
		}
		return 1
	})
	return n
}

func (q *requestQueue) push(w *waiter) {
	*q = slices.Insert(*q, q.position(w), w)
}

func (q *requestQueue) pop() *waiter {
	w := (*q)[0]
	*q = slices.Delete(*q, 0, 1)
	return w
}

func (q requestQueue) last() *waiter { return q[len(q)-1] }

func (q *requestQueue) dropLast() *waiter {
	w := q.last()
	*q = (*q)[:len(*q)-1]
	return w
}

func (q *requestQueue) remove(w *waiter) bool {
	i := slices.Index(*q, w)
	if i < 0 {
		return false
	}
	*q = slices.Delete(*q, i, i+1)
	return true
}
