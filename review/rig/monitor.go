package main

import (
	"slices"
	"strings"
	"time"
)

// Times after which a task that runs on, or a submission with nothing running, breaks a rule.
const (
	cancelTime  = 3*time.Second + 400*time.Millisecond
	idleTime    = 3 * time.Second
	calmBefore  = 4 * time.Second
	lastingTime = 6 * time.Second
)

// monitor looks at what runs, until stop is closed.
func (f *fleet) monitor(stop chan struct{}) {
	idle := map[string]time.Time{}
	reported := map[string]bool{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		f.mu.Lock()
		f.follow()
		f.lookAtCanceled(reported)
		f.lookAtIdle(idle, reported)
		f.mu.Unlock()
	}
}

// lookAtCanceled reports tasks that run on after the cancel of their submission.
func (f *fleet) lookAtCanceled(reported map[string]bool) {
	for _, w := range f.workers {
		if !w.up {
			continue
		}
		for _, r := range w.sorted() {
			r.job.mu.Lock()
			canceled := r.job.canceled
			r.job.mu.Unlock()
			if canceled.IsZero() || reported[r.task] || !f.calm(cancelTime) || time.Since(canceled) < cancelTime || time.Since(r.startedAt) < cancelTime {
				continue
			}
			reported[r.task] = true
			f.audit.broken("UNASKED", "%s runs on at %s %s after its cancel was acknowledged", r.task, w.name, time.Since(canceled))
		}
	}
}

// lookAtIdle reports submissions with nothing running for 3 s, though there is room for their next task on two workers, and
// long-running tasks that run nowhere.
func (f *fleet) lookAtIdle(idle map[string]time.Time, reported map[string]bool) {
	used, all := int64(0), int64(0)
	for _, w := range f.workers {
		all += 16000
		for _, r := range w.runs {
			used += r.step.CPU
		}
	}
	now := time.Now()
	for id, j := range f.jobs {
		j.mu.Lock()
		open := !j.accepted.IsZero() && j.cancelSent.IsZero() && j.final == ""
		j.mu.Unlock()
		if !open || j.Queue.Restricted || j.Times > 0 || reported[id] {
			continue
		}
		for n := range j.Steps {
			f.lookAtStep(j, n, now, used*2 < all, idle, reported)
		}
	}
}

func (f *fleet) lookAtStep(j *job, n int, now time.Time, half bool, idle map[string]time.Time, reported map[string]bool) {
	s := &j.Steps[n]
	if s.Gang || s.CrashMs > 0 {
		return
	}
	limit := idleTime
	running, waits := false, ""
	for i := range s.Count {
		t := taskOf(j, 0, n, i)
		switch {
		case len(f.audit.live[t]) > 0:
			running = true
			delete(idle, t)
		case !f.audit.anyDone[t] && f.ready(j, n):
			waits = t
			if idle[t].IsZero() {
				idle[t] = now
			}
			if s.Lasting && now.Sub(idle[t]) > lastingTime && half && f.room(j, n) >= 2 && f.calm(lastingTime+calmBefore) && !reported[j.ID] {
				reported[j.ID] = true
				f.audit.broken("LOST", "%s has run nowhere for %s", t, now.Sub(idle[t]))
			}
		}
	}
	key := stepName(taskOf(j, 0, n, 0))
	if running || waits == "" || s.Lasting || !half || f.room(j, n) < 2 || !f.calm(limit+calmBefore) {
		delete(idle, key)
		return
	}
	if idle[key].IsZero() {
		idle[key] = now
	}
	if now.Sub(idle[key]) > limit+200*time.Millisecond {
		reported[j.ID] = true
		f.audit.broken("LOST", "%s has nothing running for %s", waits, now.Sub(idle[key]))
	}
}

// ready reports whether all steps before a step are done.
func (f *fleet) ready(j *job, n int) bool {
	for _, before := range j.Steps[n].After {
		for i := range j.Steps[before].Count {
			if !f.audit.anyDone[taskOf(j, 0, before, i)] {
				return false
			}
		}
	}
	return true
}

// room returns how many workers have room for two more tasks of a step.
func (f *fleet) room(j *job, n int) int {
	s := &j.Steps[n]
	count := 0
	for _, w := range f.workers {
		cpu, mem, beside := w.cpu, w.mem, 0
		for _, r := range w.runs {
			if !r.step.Fills {
				cpu -= r.step.CPU
			}
			mem -= r.step.Memory
			if strings.HasPrefix(r.task, stepName(taskOf(j, 0, n, 0))+".") {
				beside++
			}
		}
		fits := w.up && !w.draining && cpu >= 2*s.CPU && mem >= 2*s.Memory && time.Since(w.bootedAt) > 5*time.Second
		if fits && (s.Label == "" || slices.Contains([]string{w.kind, w.rack}, s.Label)) && (s.MaxPerWorker == 0 || beside < s.MaxPerWorker) {
			count++
		}
	}
	return count
}
