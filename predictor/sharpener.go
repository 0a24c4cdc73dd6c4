package predictor

import (
	"math"
	"time"
)

// How workers smooth the tails that they list: each figure is the mean of the
// one before and of the present tail.
const (
	// figureEvery is the time between two figures.
	figureEvery = 250 * time.Millisecond
	// figureNoise is the relative standard error of a figure.
	figureNoise = 0.04
	// maxSteps bounds the figures that may lie between two readings.
	maxSteps = 4
	// blurred is the relative error from which a tail is not worth knowing.
	blurred = 0.35
)

// Unsmoother undoes the smoothing of listed tails. It belongs to one goroutine.
type Unsmoother struct {
	last map[string]figure
}

// figure is a listed tail in ms.
type figure struct {
	at   time.Time
	tail float64
}

// NewUnsmoother returns a Sharpener that has seen nothing.
func NewUnsmoother() *Unsmoother { return &Unsmoother{last: map[string]figure{}} }

// Unsmooth takes the figure of a run at a time and returns its present tail in ms
// with the standard error; false where the figure does not tell it.
func (s *Unsmoother) Unsmooth(run string, at time.Time, tail float64) (now, spread float64, ok bool) {
	before, seen := s.last[run]
	s.last[run] = figure{at, tail}
	if !seen || tail <= 0 || before.tail <= 0 {
		return 0, 0, false
	}
	steps := math.Round(float64(at.Sub(before.at)) / float64(figureEvery))
	old := math.Pow(0.5, min(max(steps, 1), maxSteps))
	now = (tail - old*before.tail) / (1 - old)
	spread = figureNoise * math.Hypot(tail, old*before.tail) / (1 - old)
	return now, spread, now > 0 && spread < blurred*now
}

// Retain forgets all runs but those named.
func (s *Unsmoother) Retain(runs map[string]bool) {
	for run := range s.last {
		if !runs[run] {
			delete(s.last, run)
		}
	}
}
