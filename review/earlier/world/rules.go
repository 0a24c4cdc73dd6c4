package main

import (
	"fmt"
	"time"
)

// startedAfterDone returns the breaks of TWICE: a start after a run of the task has ended
// done, if that end is taken note of then or later, unless the worker's lease lapsed between
// the two.
func (r *record) startedAfterDone() []string {
	type endKey struct {
		worker string
		n      int64
		task   string
	}
	events := r.all()
	noted := map[endKey]int{}
	for i, e := range events {
		if e.kind == "noted" {
			noted[endKey{e.worker, e.n, e.task}] = i
		}
	}
	var broken []string
	doneAt := map[string]event{}
	for i, e := range events {
		switch {
		case e.kind == "end" && e.how == "done":
			at, ok := noted[endKey{e.worker, e.n, e.task}]
			if !ok {
				continue
			}
			lapsed := false
			for _, between := range events[i:at] {
				lapsed = lapsed || between.kind == "lease-lapsed" && between.worker == e.worker
			}
			if _, known := doneAt[e.task]; !lapsed && !known {
				doneAt[e.task] = e
			}
		case e.kind == "start":
			if done, ok := doneAt[e.task]; ok {
				broken = append(broken, fmt.Sprintf("TWICE: run %d of %s starts on %s at %.3f, after run %d ended done on %s at %.3f",
					e.attempt, e.task, e.worker, e.at.Seconds(), done.attempt, done.worker, done.at.Seconds()))
			}
		}
	}
	return broken
}

// Bounds of LOST for a task that lasts: it has to be at work again from restartBound after
// its last run; missing for awayBound breaks the rule, if calmBefore and that time are calm.
const (
	restartBound = 6 * time.Second
	awayBound    = 3 * time.Second
	calmBefore   = 4 * time.Second
	// contact is how long a disturbance counts after its end, and lasting how long the loss of
	// a machine or a worker counts as one: the longest time that the pages give it (for_s).
	contact = 3 * time.Second
	lasting = 5 * time.Second
)

// lastingAway returns the breaks of LOST by tasks that last, where the only disturbance
// began at the given time.
func (r *record) lastingAway(disturbed time.Duration) []string {
	type away struct{ from, to time.Duration }
	events := r.all()
	last := events[len(events)-1].at
	open := map[string]time.Duration{}
	var broken []string
	check := func(task string, a away) {
		from := max(a.from+restartBound, disturbed+lasting+contact+calmBefore)
		if a.to-from >= awayBound {
			broken = append(broken, fmt.Sprintf("LOST: %s is to last and isn't at work from %.3f to %.3f", task, a.from.Seconds(), a.to.Seconds()))
		}
	}
	for _, e := range events {
		switch e.kind {
		case "lost", "end":
			open[e.task] = e.at
		case "start":
			if from, ok := open[e.task]; ok {
				check(e.task, away{from, e.at})
				delete(open, e.task)
			}
		}
	}
	for task, from := range open {
		check(task, away{from, last})
	}
	return broken
}
