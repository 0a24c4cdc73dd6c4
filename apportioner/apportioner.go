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
	// othersShare is the part of the room that comes free within MaxDelay, one in so many, for
	// which no new claim is made: shorter tasks go on.
	othersShare = 2
	// delayStep is the difference in time below which a better worker goes before an earlier one.
	delayStep = 250 * time.Millisecond
)

// Apportioner gives the room on the workers of a pool to one request after the other, those that
// go first in the order of the calls.
type Apportioner struct {
	now       time.Time
	forecasts map[string]*allocator.Forecast
	// claimable is the CPU that new claims may still take, in thousandths of a core; the first
	// claim may exceed it.
	claimable int64
	claims    int
	unmet     Unmet
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
		a.claimable += max(f.FreeCPUAt(now.Add(MaxDelay)), 0) / othersShare
	}
	return a
}

// Claim returns the worker that keeps room for a request, and when the task will fit there, or
// nil if no worker does in time. The caller reserves the room.
func (a *Apportioner) Claim(r Request) (*allocator.Forecast, time.Time) {
	if f := a.forecasts[r.Held]; f != nil && slices.ContainsFunc(r.Workers, func(c *allocator.Candidate) bool { return c.ID == r.Held }) {
		if at, fits := f.FitsAt(r.Task, r.StepName, a.now); fits && at.Sub(a.now) <= MaxDelay {
			a.take(r)
			return f, at
		}
	}
	if r.Held == "" && !a.mayClaim(r) || a.unmet.Known(r.Task, r.StepName) {
		return nil, time.Time{}
	}
	f, at := a.soonest(r)
	if f == nil {
		a.unmet.Add(r.Task, r.StepName, r.AnyWorker)
		return nil, time.Time{}
	}
	a.take(r)
	return f, at
}

// mayClaim reports whether a request leaves enough room to others. If not, no later request
// claims any: it would take what comes free from those that have waited longer.
func (a *Apportioner) mayClaim(r Request) bool {
	if a.claims > 0 && reservedCPU(r) > a.claimable {
		a.claimable = -1
	}
	return a.claims == 0 || a.claimable >= 0
}

func (a *Apportioner) take(r Request) {
	a.claims++
	a.claimable -= reservedCPU(r)
}

func reservedCPU(r Request) int64 {
	if step := r.Task.StepSpec(); !step.BestEffort {
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
