package orchestrator

import (
	"time"

	"github.com/endivefall/endivefall/sequencer"
)

// waitingTasks returns the tasks of a job that may run and have no run, and notes since when they
// wait, and since when they are free to start.
func (o *Orchestrator) waitingTasks(j *job, blocked func(*sequencer.Task) bool, now, wall time.Time) []*sequencer.Task {
	waiting := j.Runnable(wall)
	for _, t := range waiting {
		if t.WaitingSince.IsZero() {
			t.WaitingSince = o.runnableSince(j, now)
		}
		if t.FreeSince.IsZero() && !blocked(t) {
			t.FreeSince = now
		}
	}
	return waiting
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
	return func(t *sequencer.Task) time.Time {
		if a := o.agents[t.Agent]; t.NeedsGrant() && a != nil {
			return a.leaseExpiresAt
		}
		return later(all, byTask[t.Name()])
	}
}
