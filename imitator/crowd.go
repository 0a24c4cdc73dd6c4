// Package imitator models tasks that share a worker, for tests and stand-ins.
package imitator

import (
	"math"
	"math/rand/v2"
	"time"
)

// How a Crowd lists tails.
const (
	// FigureEvery is the time between two figures of a worker.
	FigureEvery = 250 * time.Millisecond
	// maxLoad bounds the load of a serving task: its tail is finite.
	maxLoad = 0.99
	// noise is the relative standard error of a figure.
	noise = 0.04
)

// Server is a serving task of a Crowd.
type Server struct {
	Image string
	// Base is its tail in ms without any load.
	Base float64
	// Load is its own mean load, Swing the part of it by which it swings, Period
	// and Phase when.
	Load, Swing   float64
	Period, Phase time.Duration
	// Bursts are when requests come in a burst: its load grows by Burst and falls
	// again within BurstLasts.
	Bursts     []time.Duration
	Burst      float64
	BurstLasts time.Duration
	// Listed is the newest figure in ms.
	Listed float64
}

// own is the task's own load at a time.
func (s *Server) own(at time.Duration) float64 {
	load := s.Load * (1 + s.Swing*math.Sin(2*math.Pi*float64(at+s.Phase)/float64(s.Period)))
	for _, begin := range s.Bursts {
		if since := at - begin; since > 0 && since < s.BurstLasts {
			load += s.Burst * math.Sin(math.Pi*float64(since)/float64(s.BurstLasts))
		}
	}
	return load
}

// Crowd is a model of tasks that serve on one worker beside others that fill it:
// each serving task is a queue, and what fills takes from its rate. Figures are
// smoothed and noisy, as workers list them.
type Crowd struct {
	Servers []*Server
	// Press is what a whole worker's use by a filling image adds to the load of
	// a serving one.
	Press func(fills, serves string) float64
	Rand  *rand.Rand
}

// Tails returns the tails in ms at a time since the beginning, beside what fills
// the worker: shares of it by image.
func (c *Crowd) Tails(at time.Duration, use map[string]float64) []float64 {
	tails := make([]float64, len(c.Servers))
	for n, s := range c.Servers {
		load := s.own(at)
		for image, u := range use {
			load += c.Press(image, s.Image) * u
		}
		tails[n] = s.Base / (1 - min(load, maxLoad))
	}
	return tails
}

// Tick renews the figures.
func (c *Crowd) Tick(at time.Duration, use map[string]float64) {
	for n, tail := range c.Tails(at, use) {
		s := c.Servers[n]
		if s.Listed == 0 {
			s.Listed = tail
		}
		s.Listed = (s.Listed + tail*(1+noise*c.Rand.NormFloat64())) / 2
	}
}
