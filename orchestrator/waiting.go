package orchestrator

import (
	"time"

	"github.com/endivefall/endivefall/sequencer"
)

// waitingTasks returns the tasks that may run and have no run, by job, and notes since when they
// wait, and since when they are free to start.
func (o *Orchestrator) waitingTasks(blocked func(*sequencer.Task) bool, now, wall time.Time) map[*job][]*sequencer.Task {
	waiting := make(map[*job][]*sequencer.Task, len(o.openJobs))
	for _, j := range o.openJobs {
		waiting[j] = j.Runnable(wall)
		for _, t := range waiting[j] {
			o.noteWait(t, j, blocked, now)
		}
	}
	o.waitsNoted = true
	return waiting
}

func (o *Orchestrator) noteWait(t *sequencer.Task, j *job, blocked func(*sequencer.Task) bool, now time.Time) {
	if t.WaitingSince.IsZero() {
		t.WaitingSince = o.runnableSince(j, now)
	}
	if t.FreeSince.IsZero() && !blocked(t) {
		t.FreeSince = now
	}
}

// runnableSince returns since when a task is runnable that is first seen to be so. One of an older
// job has been, since the claim at least, if it is in the first round of placement.
func (o *Orchestrator) runnableSince(j *job, now time.Time) time.Time {
	if !o.waitsNoted && j.Version < o.cfg.Epoch {
		return o.cfg.ClaimedAt
	}
	return now
}

// unblockedAt returns a function that returns when a blocked task may start at the latest: once the
// leases are over of the agents that it waits for.
func (o *Orchestrator) unblockedAt() func(*sequencer.Task) time.Time {
	var all time.Time
	byTask := map[string]time.Time{}
	for _, a := range o.agents {
		switch {
		case !a.hasUnknownRuns:
		case a.mayRunAny:
			all = later(all, a.leaseExpiresAt)
		default:
			for _, task := range a.recordedTasks {
				byTask[task] = later(byTask[task], a.leaseExpiresAt)
			}
		}
	}
	return func(t *sequencer.Task) time.Time { return later(all, byTask[t.Name()]) }
}
