// Package allocator decides in which order waiting tasks are served and which
// worker each one goes to. It does no input or output.
package allocator

import (
	"maps"
	"slices"
	"time"

	"github.com/endivefall/endivefall/sequencer"
)

// Candidate is a worker as a place for tasks.
type Candidate struct {
	ID string
	// CPU, Memory and GPU are its capacity: thousandths of a core, MB, count.
	CPU, Memory, GPU int64
	// UsedCPU leaves out the tasks that fill; UsedMemory counts all.
	UsedCPU, UsedMemory, UsedGPU int64
	// BestEffortCPU is the processor that the filling tasks there ask for.
	BestEffortCPU int64
	// ServingCount counts tasks with a target for their tail, ServingCPU what they
	// reserve.
	ServingCount int
	ServingCPU   int64
	// ServingByImage counts the serving tasks by image.
	ServingByImage map[string]int
	// ServingTasks has the tasks with a target, where it is known what presses on them.
	ServingTasks []ServingTask
	// Speed is how fast tasks get on there, 1 being as declared.
	Speed  float64
	Labels []string
	// FailureRate is how likely runs fail there, from 0 to 1.
	FailureRate float64
	// TasksByStep counts the tasks there by step, for steps that spread.
	TasksByStep map[string]int
}

// Rack returns the label that names the worker's rack: the last one.
func (s *Candidate) Rack() string {
	if len(s.Labels) == 0 {
		return ""
	}
	return s.Labels[len(s.Labels)-1]
}

// Clone returns a copy that can be booked without a trace.
func (s *Candidate) Clone() *Candidate {
	c := *s
	c.TasksByStep, c.ServingByImage = maps.Clone(s.TasksByStep), maps.Clone(s.ServingByImage)
	c.ServingTasks = slices.Clone(s.ServingTasks)
	for n := range c.ServingTasks {
		c.ServingTasks[n].Reserved = slices.Clip(c.ServingTasks[n].Reserved)
	}
	return &c
}

// ServingTask is a serving task as filling ones meet it.
type ServingTask struct {
	Image string
	// Headroom is the rate, in 1/s, that it can spare for all that fills the worker.
	Headroom float64
	// Reserved is what fills the worker already.
	Reserved []Interference
}

// Interference is what an image takes from a serving task's rate at full pace, in 1/s,
// and what it would take if it used the whole worker.
type Interference struct{ Rate, Coefficient float64 }

// left returns the room for an image of a press: what presses harder is slowed
// first.
func (s *ServingTask) left(press float64) float64 {
	room := s.Headroom
	for _, t := range s.Reserved {
		if t.Coefficient <= press {
			room -= t.Rate
		}
	}
	return max(room, 0)
}

// FreeCPU returns the processor that no reservation holds.
func (s *Candidate) FreeCPU() int64 { return s.CPU - s.UsedCPU }

// ReclaimableCPU returns the processor that tasks that fill may count on.
func (s *Candidate) ReclaimableCPU() int64 {
	return s.CPU - s.UsedCPU + int64(float64(s.ServingCPU)*(1-servingLoad))
}

// Reserve reserves room for a task.
func (s *Candidate) Reserve(step *sequencer.Step, name string) {
	if step.BestEffort {
		s.BestEffortCPU += step.CPU
	} else {
		s.UsedCPU += step.CPU
	}
	s.UsedMemory += step.Memory
	s.UsedGPU += step.GPU
	if step.LatencyTargetMs > 0 {
		s.ServingCount++
		s.ServingCPU += step.CPU
		if s.ServingByImage == nil {
			s.ServingByImage = map[string]int{}
		}
		s.ServingByImage[step.Image]++
	}
	if s.TasksByStep == nil {
		s.TasksByStep = map[string]int{}
	}
	s.TasksByStep[name]++
}

// Weights of a placement.
const (
	// failureCost is what a certain failure costs against an empty worker.
	failureCost = 2.0
	// farCost is what a worker away from the data costs: work takes 1.5 to 2
	// times as long there.
	farCost = 0.6
	// slowCost is what a filling task costs that will be slowed to a half.
	slowCost = 0.5
	// leastShare is the share of its pace below which a filling task waits for
	// another worker, for as long as patience.
	leastShare = 0.8
	patience   = 12000 * time.Millisecond
	// aloneCost is what a worker without tasks that serve costs one that needs
	// a reservation: such workers are kept for tasks that fill.
	aloneCost = 1.0
	// mixCost is what a worker costs a serving task where all others that serve
	// run another image: what fills must then press on neither.
	mixCost = 0.6
	// avoidCost is what a worker on which the task has failed costs.
	avoidCost = 10.0
	// servingLoad is the part of its reservation that a serving task uses.
	servingLoad = 0.5
)

// Fits says whether a task has room at a seat.
func Fits(t *sequencer.Task, name string, s *Candidate) bool {
	step := t.StepSpec()
	switch {
	case s.UsedMemory+step.Memory > s.Memory || s.UsedGPU+step.GPU > s.GPU:
		return false
	case !step.BestEffort && s.UsedCPU+step.CPU > s.CPU:
		return false
	case step.RequiredLabel != "" && !slices.Contains(s.Labels, step.RequiredLabel):
		return false
	case step.MaxPerWorker > 0 && s.TasksByStep[name] >= step.MaxPerWorker:
		return false
	}
	return true
}

// Pick returns the best seat for a task, or nil. A worker on which the task
// has failed is taken only where no other one is known. Press tells what a
// whole worker's use by one image takes from the spare rate of another.
func Pick(t *sequencer.Task, name string, seats []*Candidate, now time.Time, press func(fills, serves string) float64) *Candidate {
	var best *Candidate
	bestCost := 0.0
	for _, s := range seats {
		if !Fits(t, name, s) {
			continue
		}
		share := 1.0
		if t.StepSpec().BestEffort {
			if s.BestEffortCPU > 0 && s.BestEffortCPU+t.StepSpec().CPU > s.ReclaimableCPU() {
				continue // it would only share what is there
			}
			if share = ExpectedPace(t.StepSpec(), s, press); share < leastShare && now.Sub(t.WaitingSince) < patience {
				continue
			}
		}
		cost := Cost(t, s, share)
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// ExpectedPace returns the part of its full pace at which a filling task can work at a
// seat without pressing a serving one over its room.
func ExpectedPace(step *sequencer.Step, s *Candidate, press func(fills, serves string) float64) float64 {
	share := 1.0
	for n := range s.ServingTasks {
		serve := &s.ServingTasks[n]
		harm := press(step.Image, serve.Image)
		if takes, room := harm*float64(step.CPU)/float64(max(s.CPU, 1)), serve.left(harm); takes > room {
			share = min(share, room/takes)
		}
	}
	return share
}

// AddInterference books what an image that uses some processor at the seat takes from the
// serving tasks.
func (s *Candidate) AddInterference(image string, cpu int64, press func(fills, serves string) float64) {
	for n := range s.ServingTasks {
		serve := &s.ServingTasks[n]
		harm := press(image, serve.Image)
		serve.Reserved = append(serve.Reserved, Interference{Rate: harm * float64(cpu) / float64(max(s.CPU, 1)), Coefficient: harm})
	}
}

// Cost weighs a seat for a task that would work at a share of its pace there;
// less is better. Tasks that serve share few
// workers, so that those that fill have others to themselves: what fills is
// slowed beside what serves.
func Cost(t *sequencer.Task, s *Candidate, share float64) float64 {
	step := t.StepSpec()
	capacity := float64(max(s.CPU, 1))
	cost := failureCost * s.FailureRate
	switch {
	case step.BestEffort:
		cost += float64(s.CPU-s.ReclaimableCPU()+s.BestEffortCPU+step.CPU) / capacity / max(s.Speed, 0.05)
		cost += slowCost * (1/max(share, 0.05) - 1)
	default:
		cost += float64(s.FreeCPU()-step.CPU) / capacity / max(s.Speed, 0.05)
		if s.ServingCount == 0 {
			cost += aloneCost
		} else if step.LatencyTargetMs > 0 {
			cost += mixCost * (1 - float64(s.ServingByImage[step.Image])/float64(s.ServingCount))
		}
	}
	cost += slowCost * (1/max(s.Speed, 0.05) - 1)
	if step.PreferredRack != "" && !slices.Contains(s.Labels, step.PreferredRack) {
		cost += farCost
	}
	if slices.Contains(t.FailedWorkers, s.ID) {
		cost += avoidCost
	}
	return cost
}

// Rank is a job's place among those that wait; less is served first.
type Rank struct {
	// Class is 0 for tasks that last, 1 for jobs that can still be in time, 2
	// for those that are late, 3 for those whose time is long over.
	Class    int
	Priority int
	Due      time.Time
}

// lateFactor is up to how many times its objective a job still earns something.
const lateFactor = 3

// hopeful is the part of the estimated time in which the rest of a job may yet
// be done; estimates are off by more than a half.
const hopeful = 0.6

// RankJob places a job by what it can still earn at a wall time.
func RankJob(j *sequencer.Job, now time.Time) Rank {
	s := j.Spec
	begin, occurrence := s.AcceptedAt, 0
	if s.Repeat > 0 {
		occurrence = j.CurrentOccurrence()
		begin = j.Due(occurrence)
	}
	if s.Steps[0].LongRunning {
		return Rank{Class: 0, Priority: s.Priority, Due: begin}
	}
	chain, left := time.Duration(0), time.Duration(0)
	for n, step := range s.Steps {
		chain += step.Estimate
		if !j.StepDone(occurrence, n) {
			left += step.Estimate
		}
	}
	objective := time.Duration(float64(chain)*s.StretchFactor) + s.LatencyAllowance
	due := begin.Add(objective)
	class := 1
	switch {
	case now.After(begin.Add(lateFactor * objective)):
		class = 3
	case now.Add(time.Duration(hopeful * float64(left))).After(due):
		class = 2
	}
	return Rank{Class: class, Priority: s.Priority, Due: due}
}

// Compare orders ranks.
func (r Rank) Compare(o Rank) int {
	if r.Class != o.Class {
		return r.Class - o.Class
	}
	if r.Priority != o.Priority {
		return r.Priority - o.Priority
	}
	return r.Due.Compare(o.Due)
}
