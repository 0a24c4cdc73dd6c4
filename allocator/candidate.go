package allocator

import (
	"maps"
	"slices"
	"time"

	"github.com/endivefall/endivefall/sequencer"
)

// Candidate is a worker that tasks can be placed on.
type Candidate struct {
	ID string
	// CPU, Memory and GPU are its capacity: thousandths of a core, MB, number of
	// devices.
	CPU, Memory, GPU int64
	// UsedCPU excludes best-effort tasks; UsedMemory and UsedGPU include them.
	UsedCPU, UsedMemory, UsedGPU int64
	// BestEffortCPU is the CPU taken by best-effort tasks, in thousandths of a core.
	// Reserve adds what a task requests.
	BestEffortCPU int64
	// ServingCount is the number of tasks with a tail latency target, ServingCPU the
	// CPU that they reserve, in thousandths of a core.
	ServingCount int
	ServingCPU   int64
	// LongRunningCPU is the part of UsedCPU that long-running tasks reserve, in thousandths of a core.
	LongRunningCPU int64
	// ServingByImage counts the serving tasks by image.
	ServingByImage map[string]int
	// ServingTasks holds the running serving tasks with their headroom.
	ServingTasks []ServingTask
	// SmallPool is set if its pool has fewer than MinSelectiveWorkers.
	SmallPool bool
	// Speed is the worker's speed relative to the other workers; 1 means as fast as
	// they are.
	Speed  float64
	Labels []string
	// Warmup is for how long the worker is still slow after it was cold.
	Warmup time.Duration
	// FailureRate is the probability that a run fails on the worker, from 0 to 1.
	FailureRate float64
	// OnTrial is set while the worker tries a task that is likely to crash it. No other
	// task is placed there.
	OnTrial bool
	// Busy is set while the worker's agent has to confirm earlier starts first.
	Busy bool
	// Unproven is the number of its runs that have just been started.
	Unproven int
	// AtRisk is the harm of a crash of the worker: the number of its runs, and of the
	// core-seconds of work that would be lost.
	AtRisk float64
	// TasksByStep counts the tasks by step, for Step.MaxPerWorker.
	TasksByStep map[string]int
	// ShortCPU is the CPU reserved by short tasks, KeptCPU what is kept for further ones from
	// long-running tasks that have not run yet, both in thousandths of a core.
	ShortCPU, KeptCPU int64
	// KeptMemory is the memory in MB that is kept for long-running tasks from best-effort ones
	// that would gain nothing from their place.
	KeptMemory int64
	// RemoteFactor is how many times as long a task takes outside the rack that holds its data; 0 if that is
	// not known. RackDemand says how much of the worker's rack is wanted by tasks with their data
	// there, from 0 (others need not leave room) to 1.
	RemoteFactor, RackDemand float64
}

// Rack returns the worker's rack, which is its last label.
func (c *Candidate) Rack() string {
	if len(c.Labels) == 0 {
		return ""
	}
	return c.Labels[len(c.Labels)-1]
}

// Clone returns a copy; reservations on it don't change the original.
func (c *Candidate) Clone() *Candidate {
	clone := *c
	clone.TasksByStep, clone.ServingByImage = maps.Clone(c.TasksByStep), maps.Clone(c.ServingByImage)
	clone.ServingTasks = slices.Clone(c.ServingTasks)
	for n := range clone.ServingTasks {
		clone.ServingTasks[n].Reserved = slices.Clip(clone.ServingTasks[n].Reserved)
	}
	return &clone
}

// ServingTask is a task with a tail latency target, which best-effort tasks on the
// same worker slow down.
type ServingTask struct {
	Image string
	// Headroom is the rate, in 1/s, that the task can lose to all best-effort tasks
	// together and still meet its target.
	Headroom float64
	// Reserved is the interference of the best-effort tasks placed already.
	Reserved []Interference
}

// Interference is the rate that a serving task loses to a best-effort image at full
// pace, and the interference coefficient: the rate it would lose if the image used
// the whole worker. Both are in 1/s.
type Interference struct{ Rate, Coefficient float64 }

// MinSelectiveWorkers is the number of a pool's workers from which on a best-effort task waits for a place
// where nothing would have to be slowed. Among 11 it waited for longer than it would be slowed.
const MinSelectiveWorkers = 24

// headroomLeft returns the headroom that the best-effort tasks placed already leave to an image
// with the given interference coefficient. Those with a higher one, which would be slowed first,
// count too: until they are, the serving task is over its target. In a small pool they don't.
func (s *ServingTask) headroomLeft(coefficient float64, smallPool bool) float64 {
	headroom := s.Headroom
	for _, reserved := range s.Reserved {
		if !smallPool || reserved.Coefficient <= coefficient {
			headroom -= reserved.Rate
		}
	}
	return max(headroom, 0)
}

// FreeCPU returns the CPU that is not reserved, in thousandths of a core.
func (c *Candidate) FreeCPU() int64 { return c.CPU - c.UsedCPU }

// ReclaimableCPU returns the CPU that best-effort tasks can expect to get, in
// thousandths of a core: what is not reserved, and what serving tasks reserve but
// leave idle.
func (c *Candidate) ReclaimableCPU() int64 {
	return c.CPU - c.UsedCPU + int64(float64(c.ServingCPU)*(1-servingUtilization))
}

// Reserve adds a task of a step to the worker. stepName is its Task.StepName.
func (c *Candidate) Reserve(step *sequencer.Step, stepName string) {
	if step.BestEffort {
		c.BestEffortCPU += step.CPU
	} else {
		c.UsedCPU += step.CPU
		if step.LongRunning {
			c.LongRunningCPU += step.CPU
		}
	}
	if isShort(step) {
		c.ShortCPU, c.KeptCPU = c.ShortCPU+step.CPU, max(c.KeptCPU-step.CPU, 0)
	}
	c.UsedMemory += step.Memory
	c.UsedGPU += step.GPU
	if step.LatencyTargetMs > 0 {
		c.ServingCount++
		c.ServingCPU += step.CPU
		if c.ServingByImage == nil {
			c.ServingByImage = map[string]int{}
		}
		c.ServingByImage[step.Image]++
	}
	if c.TasksByStep == nil {
		c.TasksByStep = map[string]int{}
	}
	c.TasksByStep[stepName]++
}

// Release takes a task of a step off the worker. It is the inverse of Reserve.
func (c *Candidate) Release(step *sequencer.Step, stepName string) {
	if step.BestEffort {
		c.BestEffortCPU -= step.CPU
	} else {
		c.UsedCPU -= step.CPU
		if step.LongRunning {
			c.LongRunningCPU -= step.CPU
		}
	}
	if isShort(step) {
		c.ShortCPU -= step.CPU
	}
	c.UsedMemory -= step.Memory
	c.UsedGPU -= step.GPU
	if step.LatencyTargetMs > 0 {
		c.ServingCount--
		c.ServingCPU -= step.CPU
		c.ServingByImage[step.Image]--
	}
	c.TasksByStep[stepName]--
}
