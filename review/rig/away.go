package main

import (
	"strconv"
	"time"
)

// noticeTime is how long a long-running task may be off work before it counts as away.
const noticeTime = 4500 * time.Millisecond

// away judges stops of long-running tasks of which few may be away at once. fleet.mu guards it.
type away struct {
	// ordered has the tasks that an order has ended and that are not back, offSince since when others are not at work.
	ordered  map[string]bool
	offSince map[string]time.Time
}

// follow notes which tasks of the accepted long-running submissions are at work.
func (f *fleet) follow() {
	for _, j := range f.jobs {
		for n := range j.Steps {
			if !j.Steps[n].Lasting {
				continue
			}
			for i := range j.Steps[n].Count {
				t := taskOf(j, 0, n, i)
				if f.atWork(t) {
					delete(f.away.ordered, t)
					delete(f.away.offSince, t)
				} else if f.away.offSince[t].IsZero() {
					f.away.offSince[t] = time.Now()
				}
			}
		}
	}
}

func (f *fleet) atWork(task string) bool {
	for _, l := range f.audit.live[task] {
		if r := l.at.runs[task]; r != nil && l.at.percentOf(r) == 100 && !r.stopping {
			return true
		}
	}
	return false
}

// judgeStop judges the end of a run by an order, or by a lapse in calm.
func (f *fleet) judgeStop(w *worker, r *run, how string) {
	s := r.step
	r.job.mu.Lock()
	canceled := !r.job.cancelSent.IsZero()
	r.job.mu.Unlock()
	if !s.Lasting || s.Away == 0 || canceled || w.draining || w.percentOf(r) < 100 || how != "stopped" && (how != "lapsed" || !f.calm(holdMax+3*time.Second)) {
		return
	}
	others := 0
	for i := range s.Count {
		t := stepName(r.task) + "." + strconv.Itoa(i)
		if t != r.task && (f.away.ordered[t] || !f.away.offSince[t].IsZero() && time.Since(f.away.offSince[t]) > noticeTime) {
			others++
		}
	}
	f.away.ordered[r.task] = true
	if others >= s.Away {
		f.audit.broken("AVAIL", "%s is %s at %s while %d others of its step are away", r.task, how, w.name, others)
	}
}
