package allocator

import (
	"slices"

	"github.com/endivefall/endivefall/sequencer"
)

// Shortage is what a worker lacks for a task.
type Shortage struct {
	CPU, Memory, GPU, Label bool
	// Limit is set if the worker runs as many tasks of the step as it may.
	Limit bool
	// Held is set while the worker tries a task that may crash it, or its agent has to
	// confirm earlier starts.
	Held bool
}

// ShortageOf returns what a candidate lacks for a task. It lacks nothing if the task Fits.
func ShortageOf(t *sequencer.Task, stepName string, c *Candidate) Shortage {
	step := t.StepSpec()
	return Shortage{
		CPU:    !step.BestEffort && c.UsedCPU+step.CPU+c.keptFrom(t) > c.CPU,
		Memory: c.UsedMemory+step.Memory > c.Memory,
		GPU:    c.UsedGPU+step.GPU > c.GPU,
		Label:  step.RequiredLabel != "" && !slices.Contains(c.Labels, step.RequiredLabel),
		Limit:  step.MaxPerWorker > 0 && c.TasksByStep[stepName] >= step.MaxPerWorker,
		Held:   c.OnTrial || c.Busy,
	}
}
