package admitter

import (
	"slices"
	"time"
)

// waiter is a request in the line.
type waiter struct {
	Request
	came   time.Time
	number uint64
	// decided is closed after refusal or began is set.
	decided chan struct{}
	refusal *Refusal
	began   time.Time
}

// ahead orders by priority, then by deadline, then by arrival.
func (w *waiter) ahead(o *waiter) bool {
	if w.Priority != o.Priority {
		return w.Priority > o.Priority
	}
	if !w.Deadline.Equal(o.Deadline) {
		return w.Deadline.Before(o.Deadline)
	}
	return w.number < o.number
}

// line is sorted, the next to run first. It is short: connections bound it.
type line []*waiter

// before returns how many in the line would run before w.
func (l line) before(w *waiter) int {
	n, _ := slices.BinarySearchFunc(l, w, func(in, w *waiter) int {
		if in.ahead(w) {
			return -1
		}
		return 1
	})
	return n
}

func (l *line) push(w *waiter) {
	*l = slices.Insert(*l, l.before(w), w)
}

func (l *line) pop() *waiter {
	w := (*l)[0]
	*l = slices.Delete(*l, 0, 1)
	return w
}

func (l line) worst() *waiter { return l[len(l)-1] }

func (l *line) drop() *waiter {
	w := l.worst()
	*l = (*l)[:len(*l)-1]
	return w
}

func (l *line) remove(w *waiter) bool {
	i := slices.Index(*l, w)
	if i < 0 {
		return false
	}
	*l = slices.Delete(*l, i, i+1)
	return true
}
