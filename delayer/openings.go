package delayer

import (
	"math"
	"time"

	"github.com/endivefall/endivefall/sequencer"
)

// openings is how often best-effort tasks that wait for a rack are given a place there. Not only ends
// of runs make room for them, but also the changing headroom of the services, which no estimate
// foretells.
type openings struct {
	// given is the number of tasks that were given a place, waited the time that tasks have waited in
	// seconds, both decayed.
	given, waited float64
}

const (
	// initialGiven and initialWaited are what is assumed at first: a place within 2.5 s, as replayed on racks
	// that are full of services (examples/loads/hot-rack.yaml).
	initialGiven, initialWaited = 8.0, 20.0
	// openingsPeriod is the time constant, in seconds that tasks have waited, with which older waits are
	// forgotten.
	openingsPeriod = 100.0
	// minGiven is the least number given that is assumed, so that a rack is tried again.
	minGiven = 1.0
	// maxGap is the longest time between two rounds that counts as a wait.
	maxGap = 250 * time.Millisecond
)

func newOpenings() openings { return openings{given: initialGiven, waited: initialWaited} }

// exposed notes that tasks have waited.
func (o *openings) exposed(step *sequencer.Step, count int, d time.Duration) {
	if !step.BestEffort {
		return
	}
	waited := float64(count) * min(d, maxGap).Seconds()
	kept := math.Exp(-waited / openingsPeriod)
	o.given, o.waited = o.given*kept, o.waited*kept+waited
}

// opened notes that a task was given a place.
func (o *openings) opened(step *sequencer.Step) {
	if step.BestEffort {
		o.given++
	}
}

// mean returns the mean time until a task is given a place.
func (o *openings) mean() time.Duration {
	return time.Duration(o.waited / max(o.given, minGiven) * float64(time.Second))
}
