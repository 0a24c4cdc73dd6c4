package faker

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

// PoolAuditor checks a pool's invariants against the events of its workers and the
// replies to its callers. It is safe for concurrent use.
type PoolAuditor struct {
	mu   sync.Mutex
	jobs map[string]*auditedJob
	// running maps a task to the worker incarnations that run it.
	running map[string][]string
	// ackedDone holds the tasks with an acknowledged successful run; completed those
	// with a successful run, acknowledged or not.
	ackedDone, completed map[string]bool
	// doneAt is when the successful runs of a task ended, lastStart when it was started
	// last, lapsedAt when a lease of a worker incarnation last expired.
	doneAt    map[runOnWorker]time.Time
	lastStart map[string]time.Time
	lapsedAt  map[string]time.Time
	// failures counts the failed runs of a task, ackedFailures those whose end was
	// acknowledged. A worker may crash before that.
	failures, ackedFailures map[string]int
	// failedAt is when the failed runs of a task ended, ackedFailedAt the same of those whose end was acknowledged
	// before a lease of their worker expired, in order.
	failedAt      map[runOnWorker]time.Time
	ackedFailedAt map[string][]time.Time
	// crashes counts the crashes of workers that ran a task, crashesCaused those that it
	// caused, and startsAfterCrashes its starts after it has caused maxCrashes.
	crashes, crashesCaused, startsAfterCrashes map[string]int
	// givenUp has the jobs that failed because of crashes, and whether a task of it caused
	// one.
	givenUp    map[string]bool
	violations []string
	starts     int
	// runsSince has when the runs in progress started, disturbances when faults acted.
	runsSince    map[workerTaskKey]time.Time
	disturbances []disturbance
}

// auditedJob is a job as its caller submitted it.
type auditedJob struct {
	spec *sequencer.Spec
	// canceled is when the cancel was acknowledged. It lies in the future while the
	// outcome of the cancel is unknown.
	canceled time.Time
}

// Limits of what a task may do to workers. A task that has caused maxCrashes crashes may be
// started less than maxStartsAfterCrashes times more. No job is given up below minCrashes.
const (
	minCrashes            = 2
	maxCrashes            = 3
	maxStartsAfterCrashes = 3
)

// NewPoolAuditor returns an auditor without jobs.
func NewPoolAuditor() *PoolAuditor {
	return &PoolAuditor{
		jobs: map[string]*auditedJob{}, running: map[string][]string{}, ackedDone: map[string]bool{}, completed: map[string]bool{},
		failedAt: map[runOnWorker]time.Time{}, ackedFailedAt: map[string][]time.Time{},
		failures: map[string]int{}, ackedFailures: map[string]int{}, crashes: map[string]int{}, crashesCaused: map[string]int{}, startsAfterCrashes: map[string]int{}, givenUp: map[string]bool{}, runsSince: map[workerTaskKey]time.Time{},
		doneAt: map[runOnWorker]time.Time{}, lastStart: map[string]time.Time{}, lapsedAt: map[string]time.Time{},
	}
}

func (a *PoolAuditor) reportf(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

// LongRunning reports whether a task runs until its job is cancelled.
func (a *PoolAuditor) LongRunning(task string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	id, _, step, _, err := sequencer.ParseTaskName(task)
	j := a.jobs[id]
	return err == nil && j != nil && j.spec.Steps[step].LongRunning
}

// Observe records a worker's event and checks it.
func (a *PoolAuditor) Observe(e PoolEvent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch e.Kind {
	case "crash":
		a.crashesCaused[e.Task]++
	case "gone":
		a.endRunsOf(e.Incarnation, e.At)
		for task, incarnations := range a.running {
			if slices.Contains(incarnations, e.Incarnation) {
				a.crashes[task]++
			}
			a.running[task] = slices.DeleteFunc(incarnations, func(id string) bool { return id == e.Incarnation })
		}
	case "start":
		a.starts++
		a.recordStart(e)
	case "end":
		a.endRun(workerTaskKey{e.Worker, e.Incarnation, e.Task}, e.At)
		a.running[e.Task] = slices.DeleteFunc(a.running[e.Task], func(id string) bool { return id == e.Incarnation })
		switch e.Status {
		case messenger.EndDone:
			a.completed[e.Task] = true
			a.doneAt[runOnWorker{e.Incarnation, e.Task, e.Attempt}] = e.At
		case messenger.EndFailed:
			a.failures[e.Task]++
			a.failedAt[runOnWorker{e.Incarnation, e.Task, e.Attempt}] = e.At
		}
	case "lapsed":
		a.lapsedAt[e.Incarnation] = e.At
	case "forgotten":
		switch e.Status {
		case messenger.EndDone:
			a.ackedDone[e.Task] = true
			a.checkAckedDone(e)
		case messenger.EndFailed:
			a.ackedFailures[e.Task]++
			a.checkAckedFailure(e)
		}
	}
}

// runOnWorker identifies a run of a worker incarnation.
type runOnWorker struct {
	incarnation, task string
	attempt           uint64
}

// checkAckedDone checks that a task whose successful run is acknowledged was not started
// again after that run, unless the worker's lease has expired since.
func (a *PoolAuditor) checkAckedDone(e PoolEvent) {
	doneAt := a.doneAt[runOnWorker{e.Incarnation, e.Task, e.Attempt}]
	if lapsed := a.lapsedAt[e.Incarnation].After(doneAt); !lapsed && a.lastStart[e.Task].After(doneAt) {
		a.reportf("%s was started again %s after a run whose completion was acknowledged", e.Task, a.lastStart[e.Task].Sub(doneAt))
	}
}

// checkAckedFailure checks that a task was not started after as many runs of it had failed as its job allows, also
// if their ends are acknowledged only later, unless the worker's lease has expired in between.
func (a *PoolAuditor) checkAckedFailure(e PoolEvent) {
	id := sequencer.JobOf(e.Task)
	failedAt := a.failedAt[runOnWorker{e.Incarnation, e.Task, e.Attempt}]
	if a.jobs[id] == nil || a.lapsedAt[e.Incarnation].After(failedAt) {
		return
	}
	times := append(a.ackedFailedAt[e.Task], failedAt)
	slices.SortFunc(times, time.Time.Compare)
	a.ackedFailedAt[e.Task] = times
	limit := a.jobs[id].spec.MaxAttempts
	if step := a.stepOf(e.Task); limit == 0 || len(times) < limit || step.LongRunning || step.Speculative {
		return
	}
	if last := times[limit-1]; a.lastStart[e.Task].After(last) {
		a.reportf("%s was started %s after %d runs of it had failed", e.Task, a.lastStart[e.Task].Sub(last), limit)
	}
}

// stepOf returns the step of a task of a known job.
func (a *PoolAuditor) stepOf(task string) sequencer.Step {
	id, _, step, _, err := sequencer.ParseTaskName(task)
	if err != nil || a.jobs[id] == nil {
		return sequencer.Step{}
	}
	return a.jobs[id].spec.Steps[step]
}

func (a *PoolAuditor) recordStart(e PoolEvent) {
	id, occurrence, step, _, err := sequencer.ParseTaskName(e.Task)
	j := a.jobs[id]
	if err != nil || j == nil {
		a.reportf("%s started, but its job was not submitted or was rejected", e.Task)
		return
	}
	if others := a.running[e.Task]; len(others) > 0 {
		a.reportf("%s runs on %v and started on %s", e.Task, others, e.Incarnation)
	}
	a.running[e.Task] = append(a.running[e.Task], e.Incarnation)
	a.lastStart[e.Task] = e.At
	a.runsSince[workerTaskKey{e.Worker, e.Incarnation, e.Task}] = e.At
	if a.crashesCaused[e.Task] >= maxCrashes {
		if a.startsAfterCrashes[e.Task]++; a.startsAfterCrashes[e.Task] == maxStartsAfterCrashes {
			a.reportf("%s started %d times more after %d workers had crashed under it", e.Task, maxStartsAfterCrashes, maxCrashes)
		}
	}
	if a.ackedDone[e.Task] {
		a.reportf("%s started on %s after its completion was acknowledged", e.Task, e.Incarnation)
	}
	if j.spec.MaxAttempts > 0 && a.ackedFailures[e.Task] >= j.spec.MaxAttempts {
		a.reportf("%s started after %d failed runs", e.Task, a.ackedFailures[e.Task])
	}
	if !j.canceled.IsZero() && e.At.Sub(j.canceled) > 20*time.Second {
		a.reportf("%s started %s after its cancel", e.Task, e.At.Sub(j.canceled))
	}
	a.checkCanceledStart(j, e)
	for _, dependency := range j.spec.Steps[step].DependsOn {
		for n := range j.spec.Steps[dependency].Count {
			if name := fmt.Sprintf("%s.%d.%d.%d", id, occurrence, dependency, n); !a.completed[name] {
				a.reportf("%s started before %s was done", e.Task, name)
			}
		}
	}
}

// CheckState checks a job state that was returned to a caller.
func (a *PoolAuditor) CheckState(id string, state sequencer.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j := a.jobs[id]
	switch state {
	case sequencer.Complete:
		for step, s := range j.spec.Steps {
			for n := range s.Count {
				if name := fmt.Sprintf("%s.0.%d.%d", id, step, n); !a.completed[name] {
					a.reportf("%s is reported as complete before %s was done", id, name)
				}
			}
		}
	case sequencer.Canceled:
		if j.canceled.IsZero() {
			a.reportf("%s is reported as canceled, but no cancel was sent", id)
		}
	case sequencer.Failed:
		maxFailures, crashes := maxOfJob(id, a.failures), maxOfJob(id, a.crashes)
		if maxFailures >= j.spec.MaxAttempts {
			return
		}
		if crashes < minCrashes {
			a.reportf("%s is reported as failed after %d failed runs of a task and %d crashes", id, maxFailures, crashes)
		}
		a.givenUp[id] = maxOfJob(id, a.crashesCaused) > 0
	}
}

// maxOfJob returns the highest count of any task of a job.
func maxOfJob(id string, counts map[string]int) int {
	highest := 0
	for task, n := range counts {
		if task[:16] == id { // a task name begins with the job ID, 16 hex digits
			highest = max(highest, n)
		}
	}
	return highest
}

// AddJob records a job; call it before the job is submitted.
func (a *PoolAuditor) AddJob(spec *sequencer.Spec) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.jobs[spec.ID] = &auditedJob{spec: spec}
}

// RejectJob records that a job was rejected: any later start is a violation.
func (a *PoolAuditor) RejectJob(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.jobs, id)
}

// Spec returns the spec of an added job.
func (a *PoolAuditor) Spec(id string) *sequencer.Spec {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.jobs[id].spec
}

// CancelJob records a cancel, either as sent, so that it may take effect from now
// on, or as acknowledged.
func (a *PoolAuditor) CancelJob(id string, acknowledged bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j := a.jobs[id]
	switch {
	case acknowledged && (j.canceled.IsZero() || j.canceled.After(time.Now())):
		j.canceled = time.Now()
	case j.canceled.IsZero():
		j.canceled = time.Now().Add(time.Hour)
	}
}

// ReportMissing records that an accepted job was reported as unknown.
func (a *PoolAuditor) ReportMissing(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reportf("%s was accepted, but is reported as unknown", id)
}

// Violations describes the invariant violations found so far.
func (a *PoolAuditor) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.violations)
}

// StartCount returns the number of started runs.
func (a *PoolAuditor) StartCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.starts
}

// GivenUp returns the number of jobs that failed because of crashes, and of those the ones
// that caused none.
func (a *PoolAuditor) GivenUp() (all, harmless int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, caused := range a.givenUp {
		all++
		if !caused {
			harmless++
		}
	}
	return all, harmless
}
