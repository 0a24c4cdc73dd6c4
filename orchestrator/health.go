package orchestrator

import (
	"math"
	"time"
)

// Parameters of a worker's health.
const (
	// failureRateWeight is the weight of the newest result in the moving failure
	// rate.
	failureRateWeight = 0.25
	// failuresToExclude is how many consecutive failures exclude a worker from
	// placement.
	failuresToExclude = 3
	// exclusionPeriod is how long such a worker is excluded.
	exclusionPeriod = 5 * time.Second
	// unhealthyPeriod is how long a worker is excluded after it refused a start as
	// unhealthy.
	unhealthyPeriod = 700 * time.Millisecond
)

// workerHealth tracks the results of the runs on a worker.
type workerHealth struct {
	// failureRate is the moving average of the share of failed runs;
	// consecutiveFailures counts the failures since the last success.
	failureRate         float64
	consecutiveFailures int
	// logSlowdown is the moving average of the logarithm of how much longer its
	// runs take than those of other workers.
	logSlowdown float64
	// excludedUntil is when the worker may receive tasks again.
	excludedUntil time.Time
}

// Limits of the speed that placement assumes for a worker.
const (
	// minLogSlowdown is the logarithm of the slowdown up to which a difference may
	// be random.
	minLogSlowdown = 0.5
	// minSpeed is the lowest speed that is assumed.
	minSpeed = 0.15
)

// speed returns the relative speed of the worker; 1 means as fast as the others.
func (h *workerHealth) speed() float64 {
	if h.logSlowdown < minLogSlowdown {
		return 1
	}
	return max(math.Exp(-h.logSlowdown), minSpeed)
}

// recordSuccess records a run that finished.
func (h *workerHealth) recordSuccess() {
	h.failureRate *= 1 - failureRateWeight
	h.consecutiveFailures = 0
}

// recordFailure records a failed run and reports whether it excludes the worker.
func (h *workerHealth) recordFailure(now time.Time) bool {
	h.failureRate += (1 - h.failureRate) * failureRateWeight
	h.consecutiveFailures++
	if h.consecutiveFailures < failuresToExclude {
		return false
	}
	h.excludedUntil = now.Add(exclusionPeriod)
	return true
}

// recordUnhealthy records that the worker refused a start as unhealthy.
func (h *workerHealth) recordUnhealthy(now time.Time) { h.excludedUntil = now.Add(unhealthyPeriod) }
