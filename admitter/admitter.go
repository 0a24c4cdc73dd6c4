// Package admitter decides at a target's agent which requests run now, which
// wait in a queue and which are refused. The numbers of slots and connections
// are hard limits.
package admitter

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrRefused is the error of a request that did not run and will not run.
var ErrRefused = errors.New("refused")

// Reasons for refusals.
const (
	ReasonDraining  = "leaving"  // the target accepts no new requests
	ReasonQueueFull = "full"     // the queue has no place for the request
	ReasonTooLate   = "late"     // the request would miss its deadline or the contract's latency limit
	ReasonDisplaced = "overtook" // a more important request took its place in the queue
	ReasonCanceled  = "gone"     // the caller canceled the request
)

// Refusal is the error with which a request is refused: the reason, and the
// earliest time of a retry.
type Refusal struct {
	Reason  string
	RetryAt time.Time
}

// Error returns the reason.
func (r *Refusal) Error() string { return "refused: " + r.Reason }

// Is makes every Refusal match ErrRefused.
func (r *Refusal) Is(err error) bool { return err == ErrRefused }

// Config holds the limits and the clock of an Admitter.
type Config struct {
	// Slots limits the requests that run at the same time, Connections those
	// that run or wait.
	Slots, Connections int
	// LatencyLimit is the limit on tail latency in the service's contract; 0 for
	// none. A request that has to wait behind queued ones and would end
	// beyond it is refused at once.
	LatencyLimit time.Duration
	Now          func() time.Time
}

// Request holds the deadline and the priority of a request. A higher priority
// is more important.
type Request struct {
	Deadline time.Time
	Priority int
}

// Admitter admits the requests of one target. It is safe for concurrent use.
type Admitter struct {
	mu sync.Mutex
	// cfg is changed by Configure, with mu held.
	cfg Config
	// running is at most cfg.Slots, and running+len(queue) at most
	// cfg.Connections, unless Configure has lowered the limit since.
	running  int
	queue    requestQueue
	draining bool
	// serviceTime is the mean time that a request holds a slot; 0 before the
	// first one ends.
	serviceTime time.Duration
	retries     retryScheduler
	lastSeq     uint64
	// topPriority is the highest priority of recent requests, last seen at
	// topPriorityAt.
	topPriority   int
	topPriorityAt time.Time
}

// New returns an Admitter.
func New(cfg Config) *Admitter {
	return &Admitter{cfg: cfg}
}

// Configure changes the limits for later requests, and starts queued ones if
// slots become free.
func (a *Admitter) Configure(slots, connections int, latencyLimit time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cfg.Slots, a.cfg.Connections, a.cfg.LatencyLimit = slots, connections, latencyLimit
	a.startQueued(a.cfg.Now())
}

// Drain refuses new and queued requests. Running ones continue.
func (a *Admitter) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	for len(a.queue) > 0 {
		a.refuse(a.queue.pop(), ReasonDraining)
	}
}

// Load returns the numbers of running and queued requests, the number of
// slots and the mean time that a request holds a slot.
func (a *Admitter) Load() (running, waiting, slots int, serviceTime time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running, len(a.queue), a.cfg.Slots, a.serviceTime
}

// Permit is a running request's claim on a slot. Release must be called
// exactly once.
type Permit struct {
	a         *Admitter
	startedAt time.Time
}

// Release frees the slot.
func (p *Permit) Release() {
	p.a.mu.Lock()
	defer p.a.mu.Unlock()
	now := p.a.cfg.Now()
	p.a.running--
	p.a.recordServiceTime(now.Sub(p.startedAt))
	p.a.startQueued(now)
}

// serviceTimeWeight is the weight of one request in the mean service time.
const serviceTimeWeight = 0.05

func (a *Admitter) recordServiceTime(took time.Duration) {
	if a.serviceTime == 0 {
		a.serviceTime = took
		return
	}
	a.serviceTime += time.Duration(serviceTimeWeight * float64(took-a.serviceTime))
}

// Admit returns a Permit when the request may run, or a *Refusal. If ctx ends
// while the request waits, it is refused and never runs.
func (a *Admitter) Admit(ctx context.Context, req Request) (*Permit, error) {
	w := a.submit(req)
	select {
	case <-w.decided:
	case <-ctx.Done():
		a.cancel(w)
		<-w.decided
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	return &Permit{a: a, startedAt: w.startedAt}, nil
}

// submit starts, queues or refuses the request.
func (a *Admitter) submit(req Request) *waiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Now()
	a.lastSeq++
	w := &waiter{Request: req, arrivedAt: now, seq: a.lastSeq, decided: make(chan struct{})}
	switch {
	case a.draining:
		a.refuse(w, ReasonDraining)
	case !req.Deadline.After(now):
		a.refuse(w, ReasonTooLate)
	case a.running < a.cfg.Slots && len(a.queue) == 0:
		a.start(w, now)
	case a.tooLate(w, now, a.queue.position(w)):
		a.refuse(w, ReasonTooLate)
	case a.running+len(a.queue) < a.cfg.Connections-a.reservedPlaces(w, now):
		a.queue.push(w)
	case len(a.queue) > 0 && w.runsBefore(a.queue.last()):
		a.refuse(a.queue.dropLast(), ReasonDisplaced)
		a.queue.push(w)
	default:
		a.refuse(w, ReasonQueueFull)
	}
	return w
}

// topPriorityTTL is how long the highest priority is remembered.
const topPriorityTTL = 10 * time.Second

// reservedPlaces returns how many places of the queue are reserved for
// requests of higher priority, and updates topPriority. With the reserve,
// queued requests are seldom displaced: a refusal should come at once, not
// after a wait.
func (a *Admitter) reservedPlaces(w *waiter, now time.Time) int {
	if w.Priority >= a.topPriority || now.Sub(a.topPriorityAt) > topPriorityTTL {
		a.topPriority, a.topPriorityAt = w.Priority, now
		return 0
	}
	return a.cfg.Slots
}

// tooLate reports whether a request with so many queued before it would
// probably end after its deadline or, unless it is the first in the queue, beyond
// the latency limit. Without slots every request is too late.
func (a *Admitter) tooLate(w *waiter, now time.Time, queuedBefore int) bool {
	if a.cfg.Slots < 1 {
		return true
	}
	end := now.Add(time.Duration(float64(a.serviceTime) * (1 + float64(queuedBefore+1)/float64(a.cfg.Slots))))
	if end.After(w.Deadline) {
		return true
	}
	return a.cfg.LatencyLimit > 0 && queuedBefore > 0 && end.After(w.arrivedAt.Add(a.cfg.LatencyLimit))
}

func (a *Admitter) start(w *waiter, now time.Time) {
	a.running++
	w.startedAt = now
	close(w.decided)
}

func (a *Admitter) refuse(w *waiter, reason string) {
	now := a.cfg.Now()
	w.refusal = &Refusal{Reason: reason, RetryAt: a.retries.next(now, a.drainTime(), a.serviceTime, a.cfg.Slots)}
	close(w.decided)
}

// drainTime returns the expected time until a slot is free for a new request:
// that in which each slot serves its running request and its share of the queue.
func (a *Admitter) drainTime() time.Duration {
	if a.cfg.Slots < 1 {
		return a.serviceTime
	}
	return time.Duration(float64(a.serviceTime) * float64(len(a.queue)+a.cfg.Slots) / float64(a.cfg.Slots))
}

// cancel refuses a request if it is still queued.
func (a *Admitter) cancel(w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.remove(w) {
		a.refuse(w, ReasonCanceled)
	}
}

// startQueued starts queued requests while slots are free, and refuses those
// with less than half the mean service time left until their deadlines.
func (a *Admitter) startQueued(now time.Time) {
	for len(a.queue) > 0 && a.running < a.cfg.Slots {
		w := a.queue.pop()
		if !now.Add(a.serviceTime / 2).Before(w.Deadline) {
			a.refuse(w, ReasonTooLate)
			continue
		}
		a.start(w, now)
	}
}
