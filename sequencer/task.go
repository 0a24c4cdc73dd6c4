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
	// Done is set once a run has ended successfully; it is never cleared.
	Done bool
	// FailedAttempts has the attempts that failed because of the task or the worker,
	// each once, however often their ends are reported.
	FailedAttempts []uint64
	// CrashOdds are the odds that the task crashes its workers, as quarantiner.Odds.
	CrashOdds float64
	// Crashes has the crashes of workers in which it was lost, each once, since it last
	// made progress and unless another task explains them.
	Crashes []Crash
	// Checkpoint is the latest known checkpoint.
	Checkpoint string
	// CheckpointAt is when Checkpoint was received.
	CheckpointAt time.Time
	// Unprogressed is set once a run was stopped to make room or to move, until a later one saves a
	// checkpoint.
	Unprogressed bool
	// Attempt is the number of the latest attempt; the next one is higher.
	Attempt uint64
	// UsesKeptCPU is set while the task may take CPU that is kept for short tasks: nothing of its job
	// runs, and it has waited for long.
	UsesKeptCPU bool
	// LiveRuns is the number of runs that may still be running.
	LiveRuns int
	// Located is set once an agent has shown this owner a run of the task at work. No earlier
	// owner can have started another one, so that no absent agent has a run of the task. It
	// may list earlier ones that have failed: LocatedFailures bounds those before the run that was
	// shown, LocatedAttempt.
	Located         bool
	LocatedAttempt  uint64
	LocatedFailures Failures
	// Agent is the only agent at which a run of a task that NeedsGrant may be at work or begin;
	// empty if none may.
	Agent string
	// FailedWorkers has the workers on which a run of the task has failed.
	FailedWorkers []string
	// WaitingSince is when the task became runnable, or when its last run ended, as far as any
	// owner knows. FreeSince is since when nothing but room has kept it from a start.
	WaitingSince, FreeSince time.Time
	// NotBefore is the earliest time of the next start, after a refusal.
	NotBefore time.Time
}

// Name returns the task's name, as workers see it: JOB.OCCURRENCE.STEP.INDEX.
func (t *Task) Name() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the step of one occurrence: JOB.OCCURRENCE.STEP.
func (t *Task) StepName() string {
	return t.Job.Spec.ID + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// StepSpec returns the step that the task belongs to.
func (t *Task) StepSpec() *Step { return &t.Job.Spec.Steps[t.Step] }

// NeedsGrant reports whether a start of the task waits until the ledger names its Agent.
func (t *Task) NeedsGrant() bool { return t.Job.GrantTerm > 0 && t.StepSpec().MayBeGranted() }

// AddFailure records a failed attempt and reports whether it is new.
func (t *Task) AddFailure(attempt uint64) bool {
	if slices.Contains(t.FailedAttempts, attempt) {
		return false
	}
	t.FailedAttempts = append(t.FailedAttempts, attempt)
	return true
}

// Crash is a crash of a worker in which a run of a task was lost.
type Crash struct {
	Attempt  uint64 `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"` // the instance of the worker
	Worker   string `cbor:"3,keyasint"` // the incarnation that crashed
	// Confirmed is set if the worker had confirmed the run.
	Confirmed bool `cbor:"4,keyasint,omitempty"`
}

// LostIn reports whether a crash of an attempt is in Crashes.
func (t *Task) LostIn(attempt uint64) bool {
	return slices.ContainsFunc(t.Crashes, func(c Crash) bool { return c.Attempt == attempt })
}

// ConfirmedCrashes returns the number of Crashes for which the worker had confirmed the run.
func (t *Task) ConfirmedCrashes() int {
	n := 0
	for _, crash := range t.Crashes {
		if crash.Confirmed {
			n++
		}
	}
	return n
}

// CrashedInstances returns the number of instances in Crashes.
func (t *Task) CrashedInstances() int {
	instances := map[string]bool{}
	for _, crash := range t.Crashes {
		instances[crash.Instance] = true
	}
	return len(instances)
}

// StepNameOf returns the Task.StepName of the task with the given name.
func StepNameOf(name string) string { return name[:max(strings.LastIndexByte(name, '.'), 0)] }

// JobOf returns the ID of the job of the task with the given name.
func JobOf(name string) string {
	job, _, _ := strings.Cut(name, ".")
	return job
}

// ParseTaskName splits a task's name into its parts.
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
