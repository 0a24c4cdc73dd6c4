// Package allocator ranks waiting jobs and chooses a worker for each task. It
// does no I/O.
package allocator

import (
	"slices"
	"time"

	"github.com/endivefall/endivefall/sequencer"
)

// Placement costs. Cost adds them up; the candidate with the lowest sum wins.
const (
	// failureCost is the cost of a failure rate of 1. On the same scale the free
	// CPU of an empty worker costs 1.
	failureCost = 2.0
	// remoteDataCost is the cost of a worker outside the rack that holds the data, where it is not known
	// how much longer work takes there: 1.5 to 2 times as long.
	remoteDataCost = 0.6
	// slowdownCost is the cost of running at half the pace or speed.
	slowdownCost = 0.5
	// headroomCost is the cost to a best-effort task of taking all that a serving task
	// has left of its headroom: what interferes little leaves room for others, and is
	// not throttled when the load rises. maxHeadroomShare bounds the share that counts.
	headroomCost     = 2.0
	maxHeadroomShare = 3.0
	// minPace is the fraction of full pace below which a best-effort task waits
	// for another worker.
	minPace = 0.95
	// maxPaceWait is how long a best-effort task waits for a worker where it is neither
	// slowed nor shares the CPU of other ones, maxLongRunningWait how long one that runs
	// until it is stopped does: those in its way may run as long.
	maxPaceWait        = 12 * time.Second
	maxLongRunningWait = 2 * time.Second
	// emptyWorkerCost is the cost to a task with a reservation of a worker without
	// serving tasks: such workers are kept for best-effort tasks.
	emptyWorkerCost = 1.0
	// mixedImagesCost is the cost to a serving task of a worker where all other
	// serving tasks run another image: best-effort tasks there must then interfere
	// with neither image. It is above emptyWorkerCost, as a worker with many images is
	// of little use to best-effort tasks.
	mixedImagesCost = 2.0
	// warmupCost is the cost of each second for which the worker is still slow. Four such seconds cost
	// more than all terms but failedWorkerCost, so that a cold worker is used last.
	warmupCost = 1.0
	// failedWorkerCost is the cost of a worker on which the task has failed.
	failedWorkerCost = 10.0
	// servingUtilization is the fraction of its reserved CPU that a serving task
	// is expected to use.
	servingUtilization = 0.5
)

// Fits reports whether a candidate has the resources and the label for a task and
// is below the limit of tasks of its step. Best-effort tasks need no free CPU.
func Fits(t *sequencer.Task, stepName string, c *Candidate) bool {
	step := t.StepSpec()
	switch {
	case c.OnTrial || c.Busy:
		return false
	case c.UsedMemory+step.Memory > c.Memory || c.UsedGPU+step.GPU > c.GPU:
		return false
	case !step.BestEffort && c.UsedCPU+step.CPU+c.keptFrom(t) > c.CPU:
		return false
	case step.RequiredLabel != "" && !slices.Contains(c.Labels, step.RequiredLabel):
		return false
	case step.MaxPerWorker > 0 && c.TasksByStep[stepName] >= step.MaxPerWorker:
		return false
	}
	return true
}

// Pick returns the candidate with the lowest cost for a task, or nil if none fits. CPU that is kept
// for short tasks is given up where the task would fit twice without it, as that much is not left
// idle while a task waits.
// A worker on which the task has failed is chosen only if there is no other.
// interference returns the interference coefficient of a best-effort image and a
// serving image.
func Pick(t *sequencer.Task, stepName string, candidates []*Candidate, now time.Time, interference func(bestEffortImage, servingImage string) float64) *Candidate {
	if best := pick(t, stepName, candidates, now, interference); best != nil || !yields(t) {
		return best
	}
	var best *Candidate
	places, bestCost := int64(0), 0.0
	for _, c := range candidates {
		lacks := ShortageOf(t, stepName, c)
		lacks.CPU = c.UsedCPU+t.StepSpec().CPU > c.CPU
		if (lacks != Shortage{}) {
			continue
		}
		places += c.FreeCPU() / max(t.StepSpec().CPU, 1)
		if cost := Cost(t, c, Pressure{Pace: 1}); best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if places < maxIdlePlaces {
		return nil
	}
	return best
}

// pick returns the candidate with the lowest cost for a task among those that it Fits, or nil.
func pick(t *sequencer.Task, stepName string, candidates []*Candidate, now time.Time, interference func(bestEffortImage, servingImage string) float64) *Candidate {
	var best *Candidate
	bestCost := 0.0
	wait := maxPaceWait
	if t.StepSpec().LongRunning {
		wait = maxLongRunningWait
	}
	selective := now.Sub(t.FreeSince) < wait
	for _, c := range candidates {
		if !Fits(t, stepName, c) {
			continue
		}
		pressure := Pressure{Pace: 1}
		if t.StepSpec().BestEffort {
			shares := c.BestEffortCPU > 0 && c.BestEffortCPU+t.StepSpec().CPU > c.ReclaimableCPU()
			if shares && (selective || !c.keepsMemory(t.StepSpec())) {
				continue // would only share the CPU of the best-effort tasks there
			}
			if pressure = ExpectedPressure(t.StepSpec(), c, interference); pressure.Pace < minPace && (selective || !c.keepsMemory(t.StepSpec())) {
				continue
			}
		}
		cost := Cost(t, c, pressure)
		if best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

// keepsMemory reports whether a best-effort task may start beside others without taking
// KeptMemory. The first one on a worker may, so that none waits forever, and so may members of
// gangs, which need all of their places at once.
func (c *Candidate) keepsMemory(step *sequencer.Step) bool {
	return step.LongRunning || step.Gang || c.BestEffortCPU == 0 || c.UsedMemory+step.Memory+c.KeptMemory <= c.Memory
}

// Pressure is what a best-effort task would do to the serving tasks of a worker.
type Pressure struct {
	// Pace is the fraction of full pace at which it can run without exceeding the
	// headroom of one.
	Pace float64
	// HeadroomShare is the largest part of what one has left of its headroom that it
	// would take at full pace; above 1 if it must be throttled.
	HeadroomShare float64
}

// minHeadroom is the lowest headroom, in 1/s, of which shares are computed.
const minHeadroom = 1.0

// ExpectedPressure returns the pressure of a best-effort task on the serving tasks of a
// candidate.
func ExpectedPressure(step *sequencer.Step, c *Candidate, interference func(bestEffortImage, servingImage string) float64) Pressure {
	p := Pressure{Pace: 1}
	for n := range c.ServingTasks {
		serving := &c.ServingTasks[n]
		coefficient := interference(step.Image, serving.Image)
		rate, headroom := coefficient*float64(step.CPU)/float64(max(c.CPU, 1)), serving.headroomLeft(coefficient, c.SmallPool)
		if rate > headroom {
			p.Pace = min(p.Pace, headroom/rate)
		}
		p.HeadroomShare = max(p.HeadroomShare, rate/max(headroom, minHeadroom))
	}
	return p
}

// LacksHeadroom reports whether the serving tasks of a candidate have too little headroom left
// for a best-effort task, which then waits for another worker.
func LacksHeadroom(step *sequencer.Step, c *Candidate, interference func(bestEffortImage, servingImage string) float64) bool {
	return step.BestEffort && ExpectedPressure(step, c, interference).Pace < minPace
}

// AddInterference reserves the rate that the serving tasks lose to an image that uses
// the given CPU, in thousandths of a core.
func (c *Candidate) AddInterference(image string, cpu int64, interference func(bestEffortImage, servingImage string) float64) {
	for n := range c.ServingTasks {
		serving := &c.ServingTasks[n]
		coefficient := interference(image, serving.Image)
		serving.Reserved = append(serving.Reserved, Interference{Rate: coefficient * float64(cpu) / float64(max(c.CPU, 1)), Coefficient: coefficient})
	}
}

// Cost returns the cost of placing a task on a candidate, where it would have the given
// pressure; lower is better. Serving tasks are packed onto few
// workers, so that best-effort tasks, which are slowed beside serving ones, get
// workers of their own.
func Cost(t *sequencer.Task, c *Candidate, pressure Pressure) float64 {
	step := t.StepSpec()
	capacity := float64(max(c.CPU, 1))
	cost := failureCost * c.FailureRate
	switch {
	case step.BestEffort:
		cost += float64(c.CPU-c.ReclaimableCPU()+c.BestEffortCPU+step.CPU) / capacity / max(c.Speed, 0.05)
		cost += slowdownCost * (1/max(pressure.Pace, 0.05) - 1)
		cost += headroomCost * min(pressure.HeadroomShare, maxHeadroomShare)
	default:
		cost += float64(c.FreeCPU()-step.CPU) / capacity / max(c.Speed, 0.05)
		if c.ServingCount == 0 {
			cost += emptyWorkerCost
		} else if step.LatencyTargetMs > 0 {
			cost += mixedImagesCost * (1 - float64(c.ServingByImage[step.Image])/float64(c.ServingCount))
		}
	}
	cost += slowdownCost * (1/max(c.Speed, 0.05) - 1)
	cost += warmupCost * c.Warmup.Seconds()
	cost += rackCost(step, c)
	if slices.Contains(t.FailedWorkers, c.ID) {
		cost += failedWorkerCost
	}
	return cost
}
