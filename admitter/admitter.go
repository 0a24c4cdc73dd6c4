// Package admitter decides at a target's agent which requests run now, which
// wait and which are refused. Slots and connections are hard limits.
package admitter

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrRefused says that a request did not run and never will.
var ErrRefused = errors.New("refused")

// Reasons of a refusal.
const (
	ReasonDraining  = "leaving"  // the target takes no new work
	ReasonQueueFull = "full"     // more important requests fill the queue
	ReasonTooLate   = "late"     // the request would miss its deadline or contract
	ReasonDisplaced = "overtook" // a more important request took the place in the queue
	ReasonCanceled  = "gone"     // the caller gave up
)

// Refusal tells why a request did not run, and when to come back.
type Refusal struct {
	Reason  string
	RetryAt time.Time
}

// Error names the reason.
func (r *Refusal) Error() string { return "refused: " + r.Reason }

// Is makes every Refusal an ErrRefused.
func (r *Refusal) Is(err error) bool { return err == ErrRefused }

// Config is what an Admitter needs.
type Config struct {
	// Slots bounds the requests that run at once, Connections those that run
	// or wait.
	Slots, Connections int
	// Bound is the service's contract on tail latency. A request that would
	// wait past it is refused at once; 0 for no bound.
	Bound time.Duration
	Now   func() time.Time
}

// Request is what a request wants. A higher priority is more important.
type Request struct {
	Deadline time.Time
	Priority int
}

// Admitter admits the requests of one target. It is safe for concurrent use.
type Admitter struct {
	mu sync.Mutex
	// cfg may be changed by Configure, under mu.
	cfg Config
	// running is at most cfg.Slots, unless Configure lowered that meanwhile;
	// running+len(line) is at most cfg.Connections in the same way.
	running int
	line    line
	leaving bool
	// hold is the mean time that a slot is held; 0 before the first request.
	hold   time.Duration
	pacer  pacer
	number uint64
	// top is the highest priority seen lately, topAt when.
	top   int
	topAt time.Time
}

// New returns an Admitter.
func New(cfg Config) *Admitter {
	return &Admitter{cfg: cfg}
}

// Configure changes the limits for requests from now on.
func (a *Admitter) Configure(slots, connections int, bound time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cfg.Slots, a.cfg.Connections, a.cfg.Bound = slots, connections, bound
	a.advance(a.cfg.Now())
}

// Drain refuses all that is new and all that waits.
func (a *Admitter) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	for len(a.line) > 0 {
		a.refuse(a.line.pop(), ReasonDraining)
	}
}

// Load tells how many requests run and wait, the slots, and the mean time that
// a slot is held.
func (a *Admitter) Load() (running, waiting, slots int, hold time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running, len(a.line), a.cfg.Slots, a.hold
}

// Permit is the right to run. Release it exactly once.
type Permit struct {
	a     *Admitter
	began time.Time
}

// Release frees the slot.
func (t *Permit) Release() {
	t.a.mu.Lock()
	defer t.a.mu.Unlock()
	now := t.a.cfg.Now()
	t.a.running--
	t.a.learn(now.Sub(t.began))
	t.a.advance(now)
}

// learnt is the weight of one request in the mean hold time.
const learnt = 0.05

func (a *Admitter) learn(held time.Duration) {
	if a.hold == 0 {
		a.hold = held
		return
	}
	a.hold += time.Duration(learnt * float64(held-a.hold))
}

// Admit returns when the request may run, or with a *Refusal. When ctx ends
// while it waits, the request is refused and never runs.
func (a *Admitter) Admit(ctx context.Context, ask Request) (*Permit, error) {
	w := a.enter(ask)
	select {
	case <-w.decided:
	case <-ctx.Done():
		a.leave(w)
		<-w.decided
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	return &Permit{a: a, began: w.began}, nil
}

// enter decides at once or puts the request in the line.
func (a *Admitter) enter(ask Request) *waiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Now()
	a.number++
	w := &waiter{Request: ask, came: now, number: a.number, decided: make(chan struct{})}
	switch {
	case a.leaving:
		a.refuse(w, ReasonDraining)
	case !ask.Deadline.After(now):
		a.refuse(w, ReasonTooLate)
	case a.running < a.cfg.Slots && len(a.line) == 0:
		a.start(w, now)
	case a.late(w, now, a.line.before(w)):
		a.refuse(w, ReasonTooLate)
	case a.running+len(a.line) < a.cfg.Connections-a.reserve(w, now):
		a.line.push(w)
	case len(a.line) > 0 && w.ahead(a.line.worst()):
		a.refuse(a.line.drop(), ReasonDisplaced)
		a.line.push(w)
	default:
		a.refuse(w, ReasonQueueFull)
	}
	return w
}

// topSeen is how long the most important class is remembered.
const topSeen = 10 * time.Second

// reserve returns how many places of the line are kept for more important
// classes, so that they seldom have to push out what waits already: a refusal
// should come at once.
func (a *Admitter) reserve(w *waiter, now time.Time) int {
	if w.Priority >= a.top || now.Sub(a.topAt) > topSeen {
		a.top, a.topAt = w.Priority, now
		return 0
	}
	return a.cfg.Slots
}

// late says whether a request with so many before it would end too late.
func (a *Admitter) late(w *waiter, now time.Time, before int) bool {
	if a.cfg.Slots < 1 {
		return true
	}
	ends := now.Add(time.Duration(float64(a.hold) * (1 + float64(before+1)/float64(a.cfg.Slots))))
	if ends.After(w.Deadline) {
		return true
	}
	return a.cfg.Bound > 0 && before > 0 && ends.After(w.came.Add(a.cfg.Bound))
}

func (a *Admitter) start(w *waiter, now time.Time) {
	a.running++
	w.began = now
	close(w.decided)
}

func (a *Admitter) refuse(w *waiter, reason string) {
	now := a.cfg.Now()
	w.refusal = &Refusal{Reason: reason, RetryAt: a.pacer.next(now, a.drain(), a.hold, a.cfg.Slots)}
	close(w.decided)
}

// drain returns the time in which one slot's share of the line is served.
func (a *Admitter) drain() time.Duration {
	if a.cfg.Slots < 1 {
		return a.hold
	}
	return time.Duration(float64(a.hold) * float64(len(a.line)+a.cfg.Slots) / float64(a.cfg.Slots))
}

// leave takes a request whose caller gave up out of the line.
func (a *Admitter) leave(w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.line.remove(w) {
		a.refuse(w, ReasonCanceled)
	}
}

// advance starts waiting requests while slots are free, and refuses those that
// can no longer make it.
func (a *Admitter) advance(now time.Time) {
	for len(a.line) > 0 && a.running < a.cfg.Slots {
		w := a.line.pop()
		if !now.Add(a.hold / 2).Before(w.Deadline) {
			a.refuse(w, ReasonTooLate)
			continue
		}
		a.start(w, now)
	}
}
