package sequencer

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Task is one task of one occurrence of a job.
type Task struct {
	Job        *Job
	Occurrence int
	Step       int
	Index      int
	// Done is set once a run has ended as done; it is never taken back.
	Done bool
	// FailedAttempts has the attempts that ended by the task's own fault or the worker's,
	// each once, however often their ends are heard of.
	FailedAttempts []uint64
	// Checkpoint is the newest checkpoint known.
	Checkpoint string
	// CheckpointAt is when Saved was heard of.
	CheckpointAt time.Time
	// Attempt is the number of the newest start; the next one is higher.
	Attempt uint64
	// LiveRuns counts the runs that may be going on.
	LiveRuns int
	// FailedWorkers has workers on which a run of the task has failed.
	FailedWorkers []string
	// WaitingSince is when the task's turn came, or its last run ended.
	WaitingSince time.Time
	// NotBefore is when it may be started again, after a refusal.
	NotBefore time.Time
}

// Name returns the task's name for workers: JOB.OCCURRENCE.STEP.INDEX.
func (t *Task) Name() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the step of one occurrence: JOB.OCCURRENCE.STEP.
func (t *Task) StepName() string {
	return t.Job.Spec.ID + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// StepSpec returns the step that the task is of.
func (t *Task) StepSpec() *Step { return &t.Job.Spec.Steps[t.Step] }

// AddFailure notes a failed attempt and says whether it was not known.
func (t *Task) AddFailure(attempt uint64) bool {
	if slices.Contains(t.FailedAttempts, attempt) {
		return false
	}
	t.FailedAttempts = append(t.FailedAttempts, attempt)
	return true
}

// StepNameOf returns the name of the step that a named task is of.
func StepNameOf(name string) string { return name[:max(strings.LastIndexByte(name, '.'), 0)] }

// ParseTaskName takes a task's name apart.
func ParseTaskName(name string) (job string, occurrence, step, index int, err error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, 0, 0, fmt.Errorf("%w: task name %q", ErrInvalid, name)
	}
	var n [3]int
	for i := range n {
		if n[i], err = strconv.Atoi(parts[i+1]); err != nil || n[i] < 0 {
			return "", 0, 0, 0, fmt.Errorf("%w: task name %q", ErrInvalid, name)
		}
	}
	return parts[0], n[0], n[1], n[2], nil
}
