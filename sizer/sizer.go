// Package sizer corrects the declared sizes of tasks by what tasks of the same
// kind were measured to use.
package sizer

import (
	"math"
	"sync"

	"github.com/endivefall/endivefall/decoder"
	"github.com/endivefall/endivefall/parser"
)

const (
	// enough is how many tasks of a kind must be measured before its size is
	// corrected.
	enough = 5
	// margin is the part that a reservation has above the highest use that was
	// seen, when enough tasks were measured; it shrinks with the root of their
	// number, as the chance does that the next one is higher by much.
	margin = 0.15
	// fade is what a high use counts for after each further task, so that one
	// outlier does not hold forever.
	fade = 0.998
	// least is the smallest part of its declared size that a task gets.
	least = 0.05
	// most is the largest part.
	most = 4
	// exact is how far above its declared size a task may be measured to be
	// and still count as within it.
	exact = 1.02
)

// Sizer corrects sizes. It is safe for concurrent use.
type Sizer struct {
	mu    sync.Mutex
	kinds map[string]*seen
}

// seen is what is known of a kind.
type seen struct {
	tasks              int
	processors, memory float64
}

// New returns a Sizer that knows nothing.
func New() *Sizer { return &Sizer{kinds: map[string]*seen{}} }

// Observe takes the highest use of a task. A task without a measurement tells
// nothing.
func (s *Sizer) Observe(kind string, peak parser.Resources) {
	if peak.Processors <= 0 && peak.Memory <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if k == nil {
		k = &seen{}
		s.kinds[kind] = k
	}
	k.tasks++
	k.processors = max(k.processors*fade, peak.Processors)
	k.memory = max(k.memory*fade, float64(peak.Memory))
}

// Size returns what a task of a kind should reserve. Accelerators are never
// corrected: a task holds them whole.
func (s *Sizer) Size(kind string, declared parser.Resources) parser.Resources {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if k == nil || k.tasks < enough {
		return declared
	}
	return parser.Resources{
		Processors:   k.correct(k.processors, declared.Processors),
		Memory:       decoder.Size(k.correct(k.memory, float64(declared.Memory))),
		Accelerators: declared.Accelerators,
	}
}

// correct moves a declared amount towards the measured peak. A task that takes
// whatever it is given shows its reservation as its peak, so the margin alone
// never raises a size above what was declared.
func (k *seen) correct(peak, declared float64) float64 {
	size := peak * (1 + margin*math.Sqrt(enough/float64(k.tasks)))
	if peak <= declared*exact {
		size = min(size, declared)
	}
	return min(max(size, least*declared), most*declared)
}
