package allocator

import "github.com/endivefall/endivefall/sequencer"

// maxIdlePlaces is the number of places for a waiting long-running task from which on one is not
// kept for short tasks.
const maxIdlePlaces = 2

// isShort reports whether tasks of a step reserve CPU for moments only.
func isShort(step *sequencer.Step) bool { return !step.BestEffort && !step.LongRunning }

// yields reports whether a task leaves the CPU that is kept for short tasks: it would hold it for
// minutes, and has not run yet. One that has run is to run again soon.
func yields(t *sequencer.Task) bool {
	step := t.StepSpec()
	return step.LongRunning && !step.BestEffort && t.Attempt == 0 && t.LiveRuns == 0 && !t.UsesKeptCPU
}

// FitsClaim reports whether a task fits on the candidate on which it has claimed room.
func FitsClaim(t *sequencer.Task, stepName string, c *Candidate) bool {
	claimed := *c
	claimed.KeptCPU = 0
	return Fits(t, stepName, &claimed)
}

// keptFrom returns the CPU that is kept from a task. A task that needs more of the worker than is
// not kept gets all of it.
func (c *Candidate) keptFrom(t *sequencer.Task) int64 {
	if yields(t) {
		return min(c.KeptCPU, max(c.CPU-t.StepSpec().CPU, 0))
	}
	return 0
}
