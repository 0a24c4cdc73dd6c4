package orchestrator

import (
	"math"
	"time"
)

// Weights of an agent's record.
const (
	// fade is the weight of the newest end in a share that changes.
	fade = 0.25
	// asideFails is how many failed ends in a row set a worker aside.
	asideFails = 3
	// asideFor is how long it is set aside.
	asideFor = 5 * time.Second
	// busyFor is how long a worker that refuses as unhealthy gets nothing.
	busyFor = 700 * time.Millisecond
)

// record is how runs at a worker have gone.
type record struct {
	// doubt is the fading share of runs that failed; row is how many failed in
	// a row.
	doubt float64
	row   int
	// slow is how much longer its runs take than those of other workers, as a
	// fading logarithm.
	slow float64
	// aside is until when it gets no tasks.
	aside time.Time
}

// Bounds of a worker's speed as placement sees it.
const (
	// noise is the slowness that chance alone may show.
	noise = 0.5
	// minSpeed bounds the speed of the slowest worker.
	minSpeed = 0.15
)

// speed is how fast the worker is, 1 being like the others.
func (r *record) speed() float64 {
	if r.slow < noise {
		return 1
	}
	return max(math.Exp(-r.slow), minSpeed)
}

// good notes a run that was done.
func (r *record) good() {
	r.doubt *= 1 - fade
	r.row = 0
}

// bad notes a run that failed, and says whether the worker is set aside for it.
func (r *record) bad(now time.Time) bool {
	r.doubt += (1 - r.doubt) * fade
	r.row++
	if r.row < asideFails {
		return false
	}
	r.aside = now.Add(asideFor)
	return true
}

// busy notes that the worker refused a start as unhealthy.
func (r *record) busy(now time.Time) { r.aside = now.Add(busyFor) }
