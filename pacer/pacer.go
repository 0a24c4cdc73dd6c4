// Package pacer decides how much the tasks that fill a worker may do beside
// those that serve. It answers one load: tails near or over their target while
// something fills.
package pacer

import (
	"time"
)

// Steps of the control, in percent and shares of the target.
const (
	// every is the time between two decisions; a figure covers half a second.
	every = 500 * time.Millisecond
	// high is the share of the target from which what fills is slowed. Tails
	// swing with their own load up to 0.9 without anything beside them.
	high = 0.94
	// low is the share below which it is let go again.
	low = 0.86
	// up is how many percent points are given back at a time: full work after
	// two seconds of calm.
	up = 25
	// down is the part of its pace that a task keeps near the target, and over
	// keeps over it for the first time.
	down, over = 0.7, 0.35
)

// Run is a run at the worker.
type Run struct {
	Task    string
	Attempt uint64
	Image   string
	Fills   bool
	Target  int64 // bound of the tail in ms; 0 where the task does not serve
	Tail    int64 // tail latency in ms of the last half second
	Percent int
	Pace    int // percent at which it may work
}

// Change is a new pace for a run, with what decided it.
type Change struct {
	Task         string
	Attempt      uint64
	Pace         int
	Because      string
	Tail, Target int64
}

// Pacer decides for one worker. It belongs to one goroutine.
type Pacer struct {
	// next is when the next decision is due.
	next time.Time
	// excess counts the decisions in a row with a tail over its target.
	excess int
}

// New returns a Pacer.
func New() *Pacer { return &Pacer{} }

// Decide returns the paces to change.
func (p *Pacer) Decide(now time.Time, runs []Run) []Change {
	if now.Before(p.next) {
		return nil
	}
	p.next = now.Add(every)
	worst, pressure := Run{}, 0.0
	for _, r := range runs {
		if r.Target > 0 {
			if share := float64(r.Tail) / float64(r.Target); share > pressure {
				worst, pressure = r, share
			}
		}
	}
	if pressure >= 1 {
		p.excess++
	} else {
		p.excess = 0
	}
	var changes []Change
	for _, r := range runs {
		if !r.Fills {
			continue
		}
		pace, because := r.Pace, ""
		switch {
		case p.excess > 1:
			pace, because = 0, "tail stays over its target"
		case p.excess == 1:
			pace, because = int(float64(r.Pace)*over), "tail over its target"
		case pressure >= high:
			pace, because = int(float64(r.Pace)*down), "tail near its target"
		case pressure < low && r.Pace < 100:
			pace, because = min(r.Pace+up, 100), "tail below its target"
		}
		if pace != r.Pace {
			changes = append(changes, Change{Task: r.Task, Attempt: r.Attempt, Pace: pace, Because: because, Tail: worst.Tail, Target: worst.Target})
		}
	}
	return changes
}
