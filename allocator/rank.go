package allocator

import (
	"time"

	"github.com/endivefall/endivefall/sequencer"
)

// Rank is a job's position in the queue; lower ranks go first.
type Rank struct {
	Class    Class
	Priority int
	Due      time.Time
	// Waiting is the number of tasks that a best-effort job has left to start, those of later steps
	// included.
	Waiting int
}

// Class orders jobs by what they need and by what callers still get of them.
type Class int

// Classes in the order of the queue.
const (
	// Short jobs with a reservation can still meet their objective. They hold CPU for
	// moments only, so that long-running ones, which take all that is left, would delay
	// them by more than they delay those.
	Short Class = iota
	// LongRunning jobs have no objective.
	LongRunning
	// Filling jobs are best-effort jobs that can still meet their objective.
	Filling
	// Late jobs will miss it.
	Late
	// Worthless jobs are so late that they are of no use to callers.
	Worthless
)

// String returns the name of the class in metrics.
func (c Class) String() string {
	names := [...]string{"short", "long_running", "filling", "late", "worthless"}
	if c >= 0 && int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}

// maxLatenessFactor is the multiple of its objective after which a completed job is
// worth nothing.
const maxLatenessFactor = 3

// optimisticEstimateFactor is the fraction of the estimated time in which the rest of
// a job may still complete; estimates are off by more than a half.
const optimisticEstimateFactor = 0.6

// turnPerTask is how much later the turn of a best-effort job is for each task but one that it has left
// to start, those of later steps included. A job counts only once all of its tasks are done: room that is
// spread over many jobs makes all of them late, and a wide job takes the room of several others. Jobs
// with few tasks left go first, and each job has its turn before later ones of its class. In replays of bursts, 100 ms serves
// fewer jobs in time, and an order by the number alone leaves more of the wide ones without value.
const turnPerTask = 300 * time.Millisecond

// RankJob returns the rank of a job at a wall time, by whether it can still meet its
// objective, as far as its ended tasks show.
func RankJob(j *sequencer.Job, corrections *Corrections, now time.Time) Rank {
	spec := j.Spec
	begin, occurrence := spec.AcceptedAt, 0
	if spec.Repeat > 0 {
		occurrence = j.CurrentOccurrence()
		begin = j.Due(occurrence)
	}
	if spec.Steps[0].LongRunning {
		return Rank{Class: LongRunning, Priority: spec.Priority, Due: begin}
	}
	total, remaining := time.Duration(0), time.Duration(0)
	for n, step := range spec.Steps {
		estimate := corrections.Correct(n, step.Estimate)
		total += estimate
		if !j.StepDone(occurrence, n) {
			remaining += estimate
		}
	}
	objective := time.Duration(float64(total)*spec.StretchFactor) + spec.LatencyAllowance
	due := begin.Add(objective)
	class := Short
	switch {
	case now.After(begin.Add(maxLatenessFactor * objective)):
		class = Worthless
	case now.Add(time.Duration(optimisticEstimateFactor * float64(remaining))).After(due):
		class = Late
	case spec.Steps[0].BestEffort:
		class = Filling
	}
	rank := Rank{Class: class, Priority: spec.Priority, Due: due}
	if spec.Steps[0].BestEffort {
		rank.Waiting = waitingTasks(j, occurrence)
	}
	return rank
}

// waitingTasks returns the number of tasks of an occurrence that are neither done nor have a run.
func waitingTasks(j *sequencer.Job, occurrence int) int {
	waiting := 0
	for n := range j.Spec.Steps {
		if j.StepDone(occurrence, n) {
			continue
		}
		if !j.StepReady(occurrence, n) {
			waiting += j.Spec.Steps[n].Count
			continue
		}
		for _, t := range j.Tasks(occurrence, n) {
			if !t.Done && t.LiveRuns == 0 {
				waiting++
			}
		}
	}
	return waiting
}

// Compare returns a negative number if r goes before o, and a positive one if it
// goes after it.
func (r Rank) Compare(other Rank) int {
	if r.Class != other.Class {
		return int(r.Class - other.Class)
	}
	if r.Priority != other.Priority {
		return r.Priority - other.Priority
	}
	return r.turn().Compare(other.turn())
}

// turn is the date by which jobs of a class and priority are ordered. Jobs that are of no more use go
// by their dates.
func (r Rank) turn() time.Time {
	if r.Class == Worthless {
		return r.Due
	}
	return r.Due.Add(time.Duration(max(r.Waiting-1, 0)) * turnPerTask)
}
