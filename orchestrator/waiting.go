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
		t.UsesKeptCPU = len(j.liveRuns) == 0 && !t.FreeSince.IsZero() && now.Sub(t.FreeSince) >= maxKeptWait
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

// never stands for a time that is not known.
var never = time.Unix(1<<40, 0)

// unblockedAt returns a function that returns when a blocked task may start at the latest: once the
// leases are over of the agents that it waits for, or never while the lease of one is renewed.
func (o *Orchestrator) unblockedAt() func(*sequencer.Task) time.Time {
	var all time.Time
	byTask := map[string]time.Time{}
	for _, a := range o.agents {
		switch {
		case !a.hasUnknownRuns:
		case a.registration.Open():
			all = later(all, a.unblocksAt())
		default:
			for _, task := range a.recordedTasks {
				byTask[task] = later(byTask[task], a.unblocksAt())
			}
		}
	}
	return func(t *sequencer.Task) time.Time {
		if a := o.agents[t.Agent]; t.NeedsGrant() && a != nil {
			return a.unblocksAt()
		}
		return later(all, byTask[t.Name()])
	}
}

// unblocksAt returns when the tasks that wait for an agent may start at the latest.
func (a *agent) unblocksAt() time.Time {
	if a.link != nil {
		return never
	}
	return a.leaseExpiresAt
}
