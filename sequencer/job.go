package sequencer

import (
	"slices"
	"time"
)

// Job is a job with its progress. It belongs to one goroutine.
type Job struct {
	Spec *Spec
	// Version is the store's version of the job itself.
	Version uint64
	// ProgressVersion is the store's version of the progress; 0 before the first write.
	ProgressVersion uint64
	// Canceled is set once a cancel is durable.
	Canceled bool
	// Failed is set once a task has used up its attempts.
	Failed bool
	// DurableState is the state that the ledger has; what callers see as final.
	DurableState State
	// Started is set once a task is known to have run: an order to start it is
	// not enough, as callers are told how many jobs still wait.
	Started bool
	// steps has the tasks of each step that has been looked at, by occurrence.
	steps map[[2]int][]*Task
	// done counts the tasks that are done, by occurrence and step.
	done map[[2]int]int
}

// NewJob returns a job with the progress that the ledger has; nil for none.
func NewJob(spec *Spec, version uint64, p *Progress) *Job {
	j := &Job{Spec: spec, Version: version, steps: map[[2]int][]*Task{}, done: map[[2]int]int{}}
	if p == nil {
		return j
	}
	j.DurableState = p.State
	j.Canceled, j.Failed = p.State == Canceled, p.State == Failed
	for _, r := range p.Tasks {
		t := j.Task(r.Occurrence, r.Step, r.Index)
		if t == nil {
			continue // another version wrote it; the task does not exist
		}
		j.Started = true
		t.FailedAttempts, t.Checkpoint = r.FailedAttempts, r.Checkpoint
		for _, attempt := range r.FailedAttempts {
			t.Attempt = max(t.Attempt, attempt)
		}
		if r.Done {
			j.MarkDone(t)
		}
	}
	return j
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(j.Spec.Repeat, 1) }

// Due returns the wall time at which an occurrence may begin.
func (j *Job) Due(occurrence int) time.Time {
	if j.Spec.Repeat == 0 {
		return time.Time{}
	}
	return j.Spec.FirstDue.Add(time.Duration(occurrence) * j.Spec.Interval)
}

// Tasks returns the tasks of a step of an occurrence.
func (j *Job) Tasks(occurrence, step int) []*Task {
	key := [2]int{occurrence, step}
	list := j.steps[key]
	if list == nil {
		list = make([]*Task, j.Spec.Steps[step].Count)
		for n := range list {
			list[n] = &Task{Job: j, Occurrence: occurrence, Step: step, Index: n}
		}
		j.steps[key] = list
	}
	return list
}

// Task returns a task, or nil where the job has none such.
func (j *Job) Task(occurrence, step, index int) *Task {
	if occurrence < 0 || occurrence >= j.Occurrences() || step < 0 || step >= len(j.Spec.Steps) ||
		index < 0 || index >= j.Spec.Steps[step].Count {
		return nil
	}
	return j.Tasks(occurrence, step)[index]
}

// MarkDone notes that a task is done. A gang is done with any of its members.
func (j *Job) MarkDone(t *Task) {
	if t.Done {
		return
	}
	t.Done = true
	j.done[[2]int{t.Occurrence, t.Step}]++
}

// StepDone says whether all tasks of a step are done.
func (j *Job) StepDone(occurrence, step int) bool {
	return j.done[[2]int{occurrence, step}] == j.Spec.Steps[step].Count
}

// StepReady says whether a step may run: all steps before it are done.
func (j *Job) StepReady(occurrence, step int) bool {
	return !slices.ContainsFunc(j.Spec.Steps[step].DependsOn, func(before int) bool { return !j.StepDone(occurrence, before) })
}

// Done says whether all tasks of all occurrences are done.
func (j *Job) Done() bool {
	for k := range j.Occurrences() {
		for n := range j.Spec.Steps {
			if !j.StepDone(k, n) {
				return false
			}
		}
	}
	return true
}

// CurrentOccurrence returns the first occurrence that is not done, or the last.
func (j *Job) CurrentOccurrence() int {
	for k := range j.Occurrences() {
		for n := range j.Spec.Steps {
			if !j.StepDone(k, n) {
				return k
			}
		}
	}
	return j.Occurrences() - 1
}

// Ended says whether no task of the job is to be started any more.
func (j *Job) Ended() bool { return j.Canceled || j.Failed || j.DurableState.Final() }

// State is what the job has come to; final states count once they are Durable.
func (j *Job) State() State {
	switch {
	case j.DurableState.Final():
		return j.DurableState
	case j.Canceled:
		return Canceled
	case j.Failed:
		return Failed
	case j.Done():
		return Complete
	case j.Started:
		return Running
	}
	return Queued
}

// Runnable returns the tasks that may be started now: their step is open, their
// time has come, and no run of them is going on.
func (j *Job) Runnable(now time.Time) []*Task {
	if j.Ended() {
		return nil
	}
	var list []*Task
	for k := range j.Occurrences() {
		if due := j.Due(k); !due.IsZero() && now.Before(due) {
			break
		}
		for n := range j.Spec.Steps {
			if j.StepDone(k, n) || !j.StepReady(k, n) {
				continue
			}
			for _, t := range j.Tasks(k, n) {
				if !t.Done && t.LiveRuns == 0 {
					list = append(list, t)
				}
			}
		}
	}
	return list
}

// Progress returns what the ledger is to keep.
func (j *Job) Progress() *Progress {
	p := &Progress{State: j.State()}
	if p.State.Final() {
		return p // nothing of it will run again
	}
	for key, list := range j.steps {
		for _, t := range list {
			if t.Done || len(t.FailedAttempts) > 0 || t.Checkpoint != "" {
				r := TaskRecord{Occurrence: key[0], Step: key[1], Index: t.Index, Done: t.Done, FailedAttempts: t.FailedAttempts}
				if !t.Done {
					r.Checkpoint = t.Checkpoint
				}
				p.Tasks = append(p.Tasks, r)
			}
		}
	}
	slices.SortFunc(p.Tasks, func(a, b TaskRecord) int {
		if a.Occurrence != b.Occurrence {
			return a.Occurrence - b.Occurrence
		}
		if a.Step != b.Step {
			return a.Step - b.Step
		}
		return a.Index - b.Index
	})
	return p
}
