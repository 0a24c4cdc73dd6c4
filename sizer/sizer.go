// Package sizer corrects the declared sizes of tasks by the measured usage of
// tasks of the same kind.
package sizer

import (
	"math"
	"sync"

	"github.com/endivefall/endivefall/decoder"
	"github.com/endivefall/endivefall/parser"
)

const (
	// minTasks is the number of tasks of a kind that must be measured before
	// its size is corrected.
	minTasks = 5
	// peakMargin is the fraction of the peak usage that is added to a
	// reservation after minTasks measurements. It shrinks with the square
	// root of their number, as does the probability that the next task uses
	// much more.
	peakMargin = 0.15
	// peakDecay is the factor by which a peak decays with each further task,
	// so that a single outlier does not count forever.
	peakDecay = 0.998
	// minScale and maxScale limit a reservation, as multiples of the declared
	// size.
	minScale = 0.05
	maxScale = 4
	// declaredTolerance is the multiple of the declared size up to which a
	// measured peak counts as within it.
	declaredTolerance = 1.02
)

// Sizer corrects sizes. A kind is the team and name of a job, of which all runs
// have tasks of similar size. It is safe for concurrent use.
type Sizer struct {
	mu    sync.Mutex
	kinds map[string]*kindUsage
}

// kindUsage holds the number of measured tasks of a kind and their decayed
// peak usage; memory is in bytes.
type kindUsage struct {
	tasks                      int
	peakProcessors, peakMemory float64
}

// New returns a Sizer without measurements.
func New() *Sizer { return &Sizer{kinds: map[string]*kindUsage{}} }

// Observe records the peak usage of a task. A task without a measurement is
// ignored.
func (s *Sizer) Observe(kind string, peak parser.Resources) {
	if peak.Processors <= 0 && peak.Memory <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if k == nil {
		k = &kindUsage{}
		s.kinds[kind] = k
	}
	k.tasks++
	k.peakProcessors = max(k.peakProcessors*peakDecay, peak.Processors)
	k.peakMemory = max(k.peakMemory*peakDecay, float64(peak.Memory))
}

// Size returns what a task of a kind should reserve. Accelerators are not
// corrected, since a task holds them whole.
func (s *Sizer) Size(kind string, declared parser.Resources) parser.Resources {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if k == nil || k.tasks < minTasks {
		return declared
	}
	return parser.Resources{
		Processors:   k.correct(k.peakProcessors, declared.Processors),
		Memory:       decoder.Size(k.correct(k.peakMemory, float64(declared.Memory))),
		Accelerators: declared.Accelerators,
	}
}

// correct moves a declared amount towards the measured peak. A task that uses
// everything it reserves has its reservation as its peak, so the margin alone
// never raises a size above the declared one.
func (k *kindUsage) correct(peak, declared float64) float64 {
	size := peak * (1 + peakMargin*math.Sqrt(minTasks/float64(k.tasks)))
	if peak <= declared*declaredTolerance {
		size = min(size, declared)
	}
	return min(max(size, minScale*declared), maxScale*declared)
}
