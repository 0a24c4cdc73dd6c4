package allocator

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Parameters of the correction of estimates.
const (
	// ownSpread is the variance of the logarithm of the times of a step's tasks as a share of
	// that of the error of estimates, which is about 0.9 squared: one ended task says nearly all.
	ownSpread = 0.1
	// otherSteps is how much of what is learned of one step holds for the other steps of the job:
	// the estimates of a job come from one caller, but its steps do different work.
	otherSteps = 0.5
	// maxLogCorrection bounds the correction to a factor of 20.
	maxLogCorrection = 3
	// minTaskTime is the lower bound of the times that are compared; of shorter ones the ratio says
	// little.
	minTaskTime = 50 * time.Millisecond
)

// Corrections is what the ended tasks of a job say about the estimates of its steps, which are off
// by a factor of 2.5 one way or the other. The zero value and nil correct nothing.
type Corrections struct{ steps map[int]*ratio }

// ratio is the sum of the logarithms of the ratios of times to estimates.
type ratio struct {
	sum   float64
	count int
}

// Learn takes over how long a task of a step took, at full pace and on a worker near its data.
func (c *Corrections) Learn(step int, estimate, took time.Duration) {
	if estimate <= 0 {
		return
	}
	if c.steps == nil {
		c.steps = map[int]*ratio{}
	}
	if c.steps[step] == nil {
		c.steps[step] = &ratio{}
	}
	r := c.steps[step]
	r.sum += math.Log(max(took, minTaskTime).Seconds() / max(estimate, minTaskTime).Seconds())
	r.count++
}

// Known reports whether anything is known.
func (c *Corrections) Known() bool { return c != nil && len(c.steps) > 0 }

// Correct returns the estimate of a step by what is known.
func (c *Corrections) Correct(step int, estimate time.Duration) time.Duration {
	if !c.Known() {
		return estimate
	}
	logFactor := 0.0
	if own := c.steps[step]; own != nil {
		logFactor = own.mean()
	} else {
		for _, n := range slices.Sorted(maps.Keys(c.steps)) { // in order, so that replays repeat
			logFactor += otherSteps * c.steps[n].mean() / float64(len(c.steps))
		}
	}
	logFactor = min(max(logFactor, -maxLogCorrection), maxLogCorrection)
	return time.Duration(float64(estimate) * math.Exp(logFactor))
}

// mean returns the expected logarithm of the ratio for the next task.
func (r *ratio) mean() float64 { return r.sum / (float64(r.count) + ownSpread) }
