package limiter

import (
	"container/list"
	"time"
)

// Bodies accounts for the bytes of large request bodies. It is not safe for concurrent use.
type Bodies struct {
	// capacity bounds the bytes in use, unless a single body has them all.
	capacity int64
	// grace is how long a body may be incomplete before it can be closed to make room.
	grace time.Duration
	// used is the sum of the charges of all bodies.
	used int64
	// incomplete holds each body of which more is expected, the oldest first.
	incomplete list.List
}

// NewBodies returns an account of bodies that may occupy capacity bytes.
func NewBodies(capacity int64, grace time.Duration) *Bodies {
	return &Bodies{capacity: capacity, grace: grace}
}

// Used returns the bytes that are charged.
func (b *Bodies) Used() int64 { return b.used }

// Begin adds a body that begins to arrive at now. Times of calls must not decrease.
// Evict is for the caller's use when Charge returns the body.
func (b *Bodies) Begin(now time.Time, evict func()) *Body {
	body := &Body{startedAt: now, Evict: evict}
	body.position = b.incomplete.PushBack(body)
	return body
}

// Charge adds n bytes to an incomplete body. If they exceed the capacity, the body that has been
// incomplete for longest, and for longer than the grace period, is ended, and so on until there
// is room. It returns the bodies that were ended and whether the bytes were charged. A body that
// was ended, or that gets no room, has no charge any more.
func (b *Bodies) Charge(body *Body, n int64, now time.Time) (ended []*Body, ok bool) {
	if body.position == nil {
		return nil, false
	}
	for b.used+n > b.capacity && b.used > body.charged {
		front := b.incomplete.Front()
		oldest, _ := front.Value.(*Body)
		if oldest == body || now.Sub(oldest.startedAt) <= b.grace {
			b.End(body)
			return ended, false
		}
		b.End(oldest)
		ended = append(ended, oldest)
	}
	body.charged += n
	b.used += n
	return ended, true
}

// Complete marks a body of which all has arrived. It keeps its charge until End. It returns false
// if the body has ended or was complete before.
func (b *Bodies) Complete(body *Body) bool {
	if body.position == nil {
		return false
	}
	b.incomplete.Remove(body.position)
	body.position = nil
	return true
}

// End releases the charge of a body. Calls after the first have no effect.
func (b *Bodies) End(body *Body) {
	b.Complete(body)
	b.used -= body.charged
	body.charged = 0
}
