package orchestrator

import (
	"math"
	"time"
)

// Weights of an agent's record.
const (
	// failureRateWeight is the weight of the newest end in a share that changes.
	failureRateWeight = 0.25
	// maxConsecutiveFailures is how many failed ends in a row set a worker aside.
	maxConsecutiveFailures = 3
	// exclusionPeriod is how long it is set aside.
	exclusionPeriod = 5 * time.Second
	// unhealthyPeriod is how long a worker that refuses as unhealthy gets nothing.
	unhealthyPeriod = 700 * time.Millisecond
)

// workerHealth is how runs at a worker have gone.
type workerHealth struct {
	// failureRate is the fading share of runs that failed; row is how many failed in
	// a row.
	failureRate float64
	consecutiveFailures   int
	// logSlowdown is how much longer its runs take than those of other workers, as a
	// fading logarithm.
	logSlowdown float64
	// excludedUntil is until when it gets no tasks.
	excludedUntil time.Time
}

// Bounds of a worker's speed as placement sees it.
const (
	// minLogSlowdown is the slowness that chance alone may show.
	minLogSlowdown = 0.5
	// minSpeed bounds the speed of the slowest worker.
	minSpeed = 0.15
)

// speed is how fast the worker is, 1 being like the others.
func (r *workerHealth) speed() float64 {
	if r.logSlowdown < minLogSlowdown {
		return 1
	}
	return max(math.Exp(-r.logSlowdown), minSpeed)
}

// recordSuccess notes a run that was done.
func (r *workerHealth) recordSuccess() {
	r.failureRate *= 1 - failureRateWeight
	r.consecutiveFailures = 0
}

// recordFailure notes a run that failed, and says whether the worker is set aside for it.
func (r *workerHealth) recordFailure(now time.Time) bool {
	r.failureRate += (1 - r.failureRate) * failureRateWeight
	r.consecutiveFailures++
	if r.consecutiveFailures < maxConsecutiveFailures {
		return false
	}
	r.excludedUntil = now.Add(exclusionPeriod)
	return true
}

// recordUnhealthy notes that the worker refused a start as unhealthy.
func (r *workerHealth) recordUnhealthy(now time.Time) { r.excludedUntil = now.Add(unhealthyPeriod) }
