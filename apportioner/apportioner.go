// Package apportioner decides for which waiting tasks room is kept, and where. It does no I/O.
//
// Load pattern: the workers are full, and short tasks, which fit into each piece of room that
// comes free, keep them too full for larger ones that have waited for longer.
package apportioner

import (
	"slices"
	"time"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/sequencer"
)

const (
	// MaxDelay is how far ahead a task may be expected to fit, as the room is left idle until
	// then.
	MaxDelay = 5 * time.Second
	// othersShare is the part of the room that comes free up to any time within MaxDelay, one in
	// so many, for which no new claim is made: shorter tasks go on.
	othersShare = 2
	// delayStep is the difference in time below which a better worker goes before an earlier one.
	delayStep = 250 * time.Millisecond
)

// Apportioner gives the room on the workers of a pool to one request after the other, those that
// go first in the order of the calls.
type Apportioner struct {
	now       time.Time
	forecasts map[string]*allocator.Forecast
	// claimable is the CPU that new claims may still take up to each delayStep from now, in
	// thousandths of a core; the first claim may exceed it.
	claimable [MaxDelay/delayStep + 1]int64
	// spent is set once a request was refused as it left too little to others.
	spent  bool
	claims int
	unmet  Unmet
}

// Request is a task that is to get room.
type Request struct {
	Task     *sequencer.Task
	StepName string
	// Workers are those that may run it, AnyWorker is set if these are all of the pool.
	Workers   []*allocator.Candidate
	AnyWorker bool
	// Held is the ID of the worker on which it has a claim, or empty.
	Held string
	// StartsAt is the earliest time at which it may start.
	StartsAt time.Time
}

// New returns an Apportioner for the workers of a pool, by their IDs.
func New(now time.Time, forecasts map[string]*allocator.Forecast) *Apportioner {
	a := &Apportioner{now: now, forecasts: forecasts}
	for _, f := range forecasts {
		for n := range a.claimable {
			a.claimable[n] += max(f.FreeCPUAt(now.Add(time.Duration(n)*delayStep)), 0) / othersShare
		}
	}
	return a
}

// Claim returns the worker that keeps room for a request, and when the task will fit there, or
// nil if no worker does in time. The caller reserves the room.
func (a *Apportioner) Claim(r Request) (*allocator.Forecast, time.Time) {
	if f := a.forecasts[r.Held]; f != nil && slices.ContainsFunc(r.Workers, func(c *allocator.Candidate) bool { return c.ID == r.Held }) {
		if at, fits := f.FitsAt(r.Task, r.StepName, a.now); fits && at.Sub(a.now) <= MaxDelay {
			a.take(r, at)
			return f, at
		}
	}
	if r.Held == "" && a.spent || a.unmet.Known(r.Task, r.StepName) {
		return nil, time.Time{}
	}
	f, at := a.soonest(r)
	if f == nil {
		a.unmet.Add(r.Task, r.StepName, r.AnyWorker)
		return nil, time.Time{}
	}
	if r.Held == "" && !a.leavesEnough(r, at) {
		a.spent = true
		return nil, time.Time{}
	}
	a.take(r, at)
	return f, at
}

// leavesEnough reports whether a claim of room that comes free at a time leaves enough to others,
// by then and later. If not, no later request claims any: it would take what comes free from
// those that have waited longer.
func (a *Apportioner) leavesEnough(r Request, at time.Time) bool {
	return a.claims == 0 || slices.Min(a.claimable[a.step(at):]) >= reservedCPU(r.Task.StepSpec())
}

func (a *Apportioner) take(r Request, at time.Time) {
	a.claims++
	for n := a.step(at); n < len(a.claimable); n++ {
		a.claimable[n] -= reservedCPU(r.Task.StepSpec())
	}
}

// step returns the first delayStep that is not before a time.
func (a *Apportioner) step(at time.Time) int {
	return min(int((at.Sub(a.now)+delayStep-1)/delayStep), len(a.claimable)-1)
}

func reservedCPU(step *sequencer.Step) int64 {
	if !step.BestEffort {
		return step.CPU
	}
	return 0
}

// soonest returns the worker on which a request will fit first, of several about as soon the one
// with the lowest cost, or nil if none does within MaxDelay. What fits before the task may start
// is soon enough.
func (a *Apportioner) soonest(r Request) (*allocator.Forecast, time.Time) {
	by := a.now
	if r.StartsAt.After(by) {
		by = r.StartsAt
	}
	var best *allocator.Forecast
	var bestAt time.Time
	bestDelay, bestCost := MaxDelay, 0.0
	for _, c := range r.Workers {
		f := a.forecasts[c.ID]
		if f == nil || slices.Contains(r.Task.FailedWorkers, c.ID) {
			continue
		}
		at, fits := f.FitsAt(r.Task, r.StepName, a.now)
		if !fits || at.Sub(a.now) > MaxDelay {
			continue
		}
		delay := max(at.Sub(by), 0).Truncate(delayStep)
		if best != nil && delay > bestDelay {
			continue
		}
		if cost := allocator.Cost(r.Task, f.Candidate, allocator.Pressure{Pace: 1}); best == nil || delay < bestDelay || cost < bestCost {
			best, bestAt, bestDelay, bestCost = f, at, delay, cost
		}
	}
	return best, bestAt
}
