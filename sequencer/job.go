package sequencer

import (
	"slices"
	"time"
)

// Job is a job with its progress. It is not safe for concurrent use.
type Job struct {
	Spec *Spec
	// Version is the store's version of the job's spec.
	Version uint64
	// ProgressVersion is the store's version of the progress; 0 before the first write.
	ProgressVersion uint64
	// Canceled is set once a cancellation is durable.
	Canceled bool
	// Failed is set once a task has used up its attempts.
	Failed bool
	// DurableState is the state in the ledger. Callers see final states only from here.
	DurableState State
	// Started is set once a task is known to have run. A command to start it is not
	// enough, as callers see how many jobs are queued.
	Started bool
	// GrantTerm is the term of the owner that wrote the agents of the tasks to the ledger, or 0
	// if no owner has done so before each start.
	GrantTerm uint64
	// Placement is where its tasks may start, by the newest version of the configuration that is known.
	Placement Placement
	// tasks has the tasks by occurrence and step; Tasks creates them on first use.
	tasks map[[2]int][]*Task
	// doneCount is the number of tasks that are done, by occurrence and step.
	doneCount map[[2]int]int
}

// NewJob returns a job with its progress from the ledger, which is nil if there is
// none.
func NewJob(spec *Spec, version uint64, p *Progress) *Job {
	j := &Job{Spec: spec, Version: version, tasks: map[[2]int][]*Task{}, doneCount: map[[2]int]int{}}
	j.Placement = spec.Placement()
	if p == nil {
		return j
	}
	if p.Placement != nil {
		j.Move(*p.Placement)
	}
	j.DurableState = p.State
	j.Canceled, j.Failed, j.GrantTerm = p.State == Canceled, p.State == Failed, p.GrantTerm
	for _, record := range p.Tasks {
		t := j.Task(record.Occurrence, record.Step, record.Index)
		if t == nil {
			continue // written by another version of the program; there is no such task
		}
		j.Started = j.Started || record.hasRun()
		t.FailedAttempts, t.Checkpoint, t.Agent = record.FailedAttempts, record.Checkpoint, record.Agent
		t.CrashOdds, t.Crashes = record.CrashOdds, record.Crashes
		for _, crash := range record.Crashes {
			t.Attempt = max(t.Attempt, crash.Attempt)
		}
		for _, attempt := range record.FailedAttempts {
			t.Attempt = max(t.Attempt, attempt)
		}
		if record.Done {
			j.MarkDone(t)
		}
	}
	return j
}

// Occurrences returns the number of times that the steps run.
func (j *Job) Occurrences() int { return max(j.Spec.Repeat, 1) }

// Due returns the wall time at which an occurrence may start, or the zero time if the
// job does not repeat.
func (j *Job) Due(occurrence int) time.Time {
	if j.Spec.Repeat == 0 {
		return time.Time{}
	}
	return j.Spec.FirstDue.Add(time.Duration(occurrence) * j.Spec.Interval)
}

// Tasks returns the tasks of a step of an occurrence.
func (j *Job) Tasks(occurrence, step int) []*Task {
	key := [2]int{occurrence, step}
	list := j.tasks[key]
	if list == nil {
		list = make([]*Task, j.Spec.Steps[step].Count)
		for n := range list {
			list[n] = &Task{Job: j, Occurrence: occurrence, Step: step, Index: n}
		}
		j.tasks[key] = list
	}
	return list
}

// Task returns a task, or nil if it does not exist.
func (j *Job) Task(occurrence, step, index int) *Task {
	if occurrence < 0 || occurrence >= j.Occurrences() || step < 0 || step >= len(j.Spec.Steps) ||
		index < 0 || index >= j.Spec.Steps[step].Count {
		return nil
	}
	return j.Tasks(occurrence, step)[index]
}

// MarkDone records that a task is done. As a gang is done with any of its members, the
// caller marks the others too.
func (j *Job) MarkDone(t *Task) {
	if t.Done {
		return
	}
	t.Done = true
	j.doneCount[[2]int{t.Occurrence, t.Step}]++
}

// StepDone reports whether all tasks of a step are done.
func (j *Job) StepDone(occurrence, step int) bool {
	return j.doneCount[[2]int{occurrence, step}] == j.Spec.Steps[step].Count
}

// StepReady reports whether a step may run: all steps that it depends on are done.
func (j *Job) StepReady(occurrence, step int) bool {
	return !slices.ContainsFunc(j.Spec.Steps[step].DependsOn, func(dependency int) bool { return !j.StepDone(occurrence, dependency) })
}

// Done reports whether all tasks of all occurrences are done.
func (j *Job) Done() bool {
	for occurrence := range j.Occurrences() {
		for n := range j.Spec.Steps {
			if !j.StepDone(occurrence, n) {
				return false
			}
		}
	}
	return true
}

// CurrentOccurrence returns the first occurrence that is not done, or the last.
func (j *Job) CurrentOccurrence() int {
	for occurrence := range j.Occurrences() {
		for n := range j.Spec.Steps {
			if !j.StepDone(occurrence, n) {
				return occurrence
			}
		}
	}
	return j.Occurrences() - 1
}

// Ended reports whether the job is canceled, failed or in a final state, so that no
// task of it may be started.
func (j *Job) Ended() bool { return j.Canceled || j.Failed || j.DurableState.Final() }

// State returns the current state. A final state is valid only once it is the
// DurableState.
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

// Runnable returns the tasks that may be started now: their occurrence is due, their
// step is ready, and they have no live run.
func (j *Job) Runnable(now time.Time) []*Task {
	if j.Ended() {
		return nil
	}
	var list []*Task
	for occurrence := range j.Occurrences() {
		if due := j.Due(occurrence); !due.IsZero() && now.Before(due) {
			break
		}
		for n := range j.Spec.Steps {
			if j.StepDone(occurrence, n) || !j.StepReady(occurrence, n) {
				continue
			}
			for _, t := range j.Tasks(occurrence, n) {
				if !t.Done && t.LiveRuns == 0 {
					list = append(list, t)
				}
			}
		}
	}
	return list
}

// Progress returns the progress to store in the ledger.
func (j *Job) Progress() *Progress {
	p := &Progress{State: j.State()}
	if p.State.Final() {
		return p // no task will run again
	}
	p.GrantTerm = j.GrantTerm
	if placement := j.Placement; placement != j.Spec.Placement() {
		p.Placement = &placement
	}
	for key, list := range j.tasks {
		for _, t := range list {
			record := TaskRecord{Occurrence: key[0], Step: key[1], Index: t.Index, Done: t.Done, FailedAttempts: t.FailedAttempts}
			if !t.Done {
				record.Checkpoint, record.CrashOdds, record.Crashes = t.Checkpoint, t.CrashOdds, t.Crashes
			}
			if t.NeedsGrant() {
				record.Agent = t.Agent
			}
			if record.hasRun() || record.Agent != "" {
				p.Tasks = append(p.Tasks, record)
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
