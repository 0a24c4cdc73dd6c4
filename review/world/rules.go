package main

import "fmt"

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
