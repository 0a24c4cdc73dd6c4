package faker

import (
	"slices"
	"time"

	"github.com/endivefall/endivefall/sequencer"
)

// MaxCancelTime is how long the tasks of a job may start and work after its cancel is
// acknowledged while nothing disturbs their worker: four calls to a worker of 700 ms each. A
// start and a list may be under way before the stop is sent, and a stop is sent again
// after as long as it waits for its reply.
const MaxCancelTime = 4 * 700 * time.Millisecond

// disturbance is a time in which faults act on a worker, or on all if it has no name.
type disturbance struct {
	worker   string
	from, to time.Time
}

// workerTaskKey identifies a run by its worker.
type workerTaskKey struct{ worker, incarnation, task string }

// Disturb records that faults act on a worker, or on all of them if the name is empty,
// until a time at which their effects have ended as well.
func (a *PoolAuditor) Disturb(worker string, from, to time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.disturbances = append(a.disturbances, disturbance{worker, from, to})
}

// undisturbed returns the longest time between two times in which nothing disturbed a
// worker.
func (a *PoolAuditor) undisturbed(worker string, from, to time.Time) time.Duration {
	var own []disturbance
	for _, d := range a.disturbances {
		if (d.worker == "" || d.worker == worker) && d.to.After(from) && d.from.Before(to) {
			own = append(own, d)
		}
	}
	slices.SortFunc(own, func(a, b disturbance) int { return a.from.Compare(b.from) })
	longest := time.Duration(0)
	for _, d := range own {
		longest = max(longest, d.from.Sub(from))
		if d.to.After(from) {
			from = d.to
		}
	}
	return max(longest, to.Sub(from))
}

// checkCanceledStart checks that no task of a canceled job starts. The caller holds mu.
func (a *PoolAuditor) checkCanceledStart(j *auditedJob, e PoolEvent) {
	if j.canceled.IsZero() || e.At.Before(j.canceled) {
		return
	}
	if quiet := a.undisturbed(e.Worker, j.canceled, e.At); quiet > MaxCancelTime {
		a.reportf("%s started on %s %s after its cancel, undisturbed for %s", e.Task, e.Incarnation, e.At.Sub(j.canceled), quiet)
	}
}

// endRun records the end of a run. The caller holds mu.
func (a *PoolAuditor) endRun(key workerTaskKey, at time.Time) {
	a.checkCanceledRun(key, at)
	delete(a.runsSince, key)
}

// endRunsOf records the end of all runs of an incarnation. The caller holds mu.
func (a *PoolAuditor) endRunsOf(incarnation string, at time.Time) {
	for key := range a.runsSince {
		if key.incarnation == incarnation {
			a.endRun(key, at)
		}
	}
}

// checkCanceledRun checks that a run did not outlast the cancel of its job. The caller holds
// mu.
func (a *PoolAuditor) checkCanceledRun(key workerTaskKey, until time.Time) {
	id, _, _, _, err := sequencer.ParseTaskName(key.task)
	j, since := a.jobs[id], a.runsSince[key]
	if err != nil || j == nil || j.canceled.IsZero() || since.IsZero() || until.Before(j.canceled) {
		return
	}
	if since.Before(j.canceled) {
		since = j.canceled
	}
	if quiet := a.undisturbed(key.worker, since, until); quiet > MaxCancelTime {
		a.reportf("%s worked on %s for %s after its cancel, undisturbed for %s", key.task, key.incarnation, until.Sub(j.canceled), quiet)
	}
}

// CheckCanceledRuns checks the runs in progress.
func (a *PoolAuditor) CheckCanceledRuns() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key := range a.runsSince {
		a.checkCanceledRun(key, time.Now())
	}
}
