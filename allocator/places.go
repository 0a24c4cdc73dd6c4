package allocator

import (
	"math"

	"github.com/endivefall/endivefall/sequencer"
)

// Places returns how many tasks like one fit on a candidate together.
func Places(t *sequencer.Task, stepName string, c *Candidate) int {
	if !Fits(t, stepName, c) {
		return 0
	}
	step := t.StepSpec()
	places := int64(math.MaxInt32)
	for _, resource := range []struct{ free, need int64 }{
		{c.Memory - c.UsedMemory, step.Memory}, {c.GPU - c.UsedGPU, step.GPU}, {c.CPU - c.UsedCPU - c.keptFrom(t), step.CPU},
	} {
		if resource.need > 0 {
			places = min(places, max(resource.free/resource.need, 1)) // best-effort tasks fit without free CPU
		}
	}
	if step.MaxPerWorker > 0 {
		places = min(places, int64(step.MaxPerWorker-c.TasksByStep[stepName]))
	}
	return int(places)
}
