package predictor

import (
	"math"
	"time"
)

// Workers smooth the tail latencies that they report: each measurement is the mean of
// the previous one and of the current tail latency.
const (
	// measurementInterval is the time between two measurements.
	measurementInterval = 250 * time.Millisecond
	// measurementStdErr is the relative standard error of a measurement.
	measurementStdErr = 0.04
	// maxSmoothingSteps is the upper bound of the measurements assumed between two
	// readings.
	maxSmoothingSteps = 4
	// maxRelativeStdErr is the relative standard error from which a result is
	// discarded.
	maxRelativeStdErr = 0.35
)

// Unsmoother reverses the smoothing of reported tail latencies. It is not safe for
// concurrent use.
type Unsmoother struct {
	last map[string]measurement
}

// measurement is a tail latency as reported by a worker.
type measurement struct {
	at     time.Time
	tailMs float64
}

// NewUnsmoother returns an Unsmoother without any measurements.
func NewUnsmoother() *Unsmoother { return &Unsmoother{last: map[string]measurement{}} }

// Unsmooth records a measurement of a run and returns the run's current tail latency
// and its standard error, in ms. It returns false if the result would be too
// uncertain.
func (u *Unsmoother) Unsmooth(run string, at time.Time, tailMs float64) (currentMs, stdErr float64, ok bool) {
	before, known := u.last[run]
	u.last[run] = measurement{at, tailMs}
	if !known || tailMs <= 0 || before.tailMs <= 0 {
		return 0, 0, false
	}
	steps := math.Round(float64(at.Sub(before.at)) / float64(measurementInterval))
	oldWeight := math.Pow(0.5, min(max(steps, 1), maxSmoothingSteps))
	currentMs = (tailMs - oldWeight*before.tailMs) / (1 - oldWeight)
	stdErr = measurementStdErr * math.Hypot(tailMs, oldWeight*before.tailMs) / (1 - oldWeight)
	return currentMs, stdErr, currentMs > 0 && stdErr < maxRelativeStdErr*currentMs
}

// Retain drops the measurements of all other runs.
func (u *Unsmoother) Retain(runs map[string]bool) {
	for run := range u.last {
		if !runs[run] {
			delete(u.last, run)
		}
	}
}
