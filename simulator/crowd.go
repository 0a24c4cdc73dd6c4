// Package simulator models tasks that share a worker, for tests and stand-ins.
package simulator

import (
	"math"
	"math/rand/v2"
	"time"
)

// How a Crowd lists tails.
const (
	// MeasurementInterval is the time between two figures of a worker.
	MeasurementInterval = 250 * time.Millisecond
	// maxLoad bounds the load of a serving task: its tail is finite.
	maxLoad = 0.99
	// noise is the relative standard error of a figure.
	noise = 0.04
)

// ServingTask is a serving task of a Crowd.
type ServingTask struct {
	Image string
	// BaseTailMs is its tail in ms without any load.
	BaseTailMs float64
	// Load is its own mean load, LoadAmplitude the part of it by which it swings, Period
	// and Phase when.
	Load, LoadAmplitude float64
	Period, Phase       time.Duration
	// BurstStarts are when requests come in a burst: its load grows by Burst and falls
	// again within BurstLasts.
	BurstStarts   []time.Duration
	BurstLoad     float64
	BurstDuration time.Duration
	// ReportedTailMs is the newest figure in ms.
	ReportedTailMs float64
}

// own is the task's own load at a time.
func (s *ServingTask) own(at time.Duration) float64 {
	load := s.Load * (1 + s.LoadAmplitude*math.Sin(2*math.Pi*float64(at+s.Phase)/float64(s.Period)))
	for _, begin := range s.BurstStarts {
		if since := at - begin; since > 0 && since < s.BurstDuration {
			load += s.BurstLoad * math.Sin(math.Pi*float64(since)/float64(s.BurstDuration))
		}
	}
	return load
}

// SimulatedWorker is a model of tasks that serve on one worker beside others that fill it:
// each serving task is a queue, and what fills takes from its rate. Figures are
// smoothed and noisy, as workers list them.
type SimulatedWorker struct {
	Tasks []*ServingTask
	// Interference is what a whole worker's use by a filling image adds to the load of
	// a serving one.
	Interference func(fills, serves string) float64
	Rand         *rand.Rand
}

// TailLatencies returns the tails in ms at a time since the beginning, beside what fills
// the worker: shares of it by image.
func (c *SimulatedWorker) TailLatencies(at time.Duration, use map[string]float64) []float64 {
	tails := make([]float64, len(c.Tasks))
	for n, s := range c.Tasks {
		load := s.own(at)
		for image, u := range use {
			load += c.Interference(image, s.Image) * u
		}
		tails[n] = s.BaseTailMs / (1 - min(load, maxLoad))
	}
	return tails
}

// UpdateMeasurements renews the figures.
func (c *SimulatedWorker) UpdateMeasurements(at time.Duration, use map[string]float64) {
	for n, tail := range c.TailLatencies(at, use) {
		s := c.Tasks[n]
		if s.ReportedTailMs == 0 {
			s.ReportedTailMs = tail
		}
		s.ReportedTailMs = (s.ReportedTailMs + tail*(1+noise*c.Rand.NormFloat64())) / 2
	}
}
