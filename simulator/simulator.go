// Package simulator models the tail latencies of tasks that share a worker, for tests.
package simulator

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of the model.
const (
	// MeasurementInterval is the time between two measurements of a worker.
	MeasurementInterval = 250 * time.Millisecond
	// maxLoad is the upper bound of a serving task's load, which keeps its tail
	// latency finite.
	maxLoad = 0.99
	// measurementStdErr is the relative standard error of a measurement.
	measurementStdErr = 0.04
)

// ServingTask is a serving task of a SimulatedWorker. Loads are fractions of the rate
// that the task can handle.
type ServingTask struct {
	Image string
	// BaseTailMs is the tail latency without any load.
	BaseTailMs float64
	// Load is the task's own mean load. It swings as a sine with a relative amplitude of
	// LoadAmplitude, by Period and Phase.
	Load, LoadAmplitude float64
	Period, Phase       time.Duration
	// BurstStarts are the start times of request bursts: the load rises by BurstLoad and
	// falls again within BurstDuration.
	BurstStarts   []time.Duration
	BurstLoad     float64
	BurstDuration time.Duration
	// ReportedTailMs is the latest measurement of the tail latency.
	ReportedTailMs float64
}

// ownLoad returns the task's load at a time, without interference.
func (s *ServingTask) ownLoad(at time.Duration) float64 {
	load := s.Load * (1 + s.LoadAmplitude*math.Sin(2*math.Pi*float64(at+s.Phase)/float64(s.Period)))
	for _, burstStart := range s.BurstStarts {
		if elapsed := at - burstStart; elapsed > 0 && elapsed < s.BurstDuration {
			load += s.BurstLoad * math.Sin(math.Pi*float64(elapsed)/float64(s.BurstDuration))
		}
	}
	return load
}

// SimulatedWorker models serving and best-effort tasks on one worker. Each serving task
// is a queue, and best-effort tasks lower the rate that it can handle. Measurements are
// smoothed and noisy, as those of real workers.
type SimulatedWorker struct {
	Tasks []*ServingTask
	// Interference returns what a best-effort image that uses the whole worker adds to
	// the load of a serving image.
	Interference func(bestEffortImage, servingImage string) float64
	Rand         *rand.Rand
}

// TailLatencies returns the tail latencies in ms at a time since the start. usage maps
// best-effort images to the fraction of the worker that they use.
func (w *SimulatedWorker) TailLatencies(at time.Duration, usage map[string]float64) []float64 {
	tails := make([]float64, len(w.Tasks))
	for n, s := range w.Tasks {
		load := s.ownLoad(at)
		for _, image := range slices.Sorted(maps.Keys(usage)) { // in order, so that replays repeat
			share := usage[image]
			load += w.Interference(image, s.Image) * share
		}
		tails[n] = s.BaseTailMs / (1 - min(load, maxLoad))
	}
	return tails
}

// Loads returns the own load of each task at a time since the start.
func (w *SimulatedWorker) Loads(at time.Duration) map[*ServingTask]float64 {
	loads := make(map[*ServingTask]float64, len(w.Tasks))
	for _, s := range w.Tasks {
		loads[s] = min(s.ownLoad(at), maxLoad)
	}
	return loads
}

// UpdateMeasurements measures the tail latencies at a time since the start.
func (w *SimulatedWorker) UpdateMeasurements(at time.Duration, usage map[string]float64) {
	for n, tail := range w.TailLatencies(at, usage) {
		s := w.Tasks[n]
		if s.ReportedTailMs == 0 {
			s.ReportedTailMs = tail
		}
		s.ReportedTailMs = (s.ReportedTailMs + tail*(1+measurementStdErr*w.Rand.NormFloat64())) / 2
	}
}
