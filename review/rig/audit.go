package main

import (
	"fmt"
	"slices"
	"time"
)

// audit judges what the workers and the clients have seen. fleet.mu guards it.
type audit struct {
	f        *fleet
	breaks   []string
	live     map[string][]liveRun
	done     map[string]time.Time // first end done of a task that was taken note of
	anyDone  map[string]bool
	failed   map[string][]uint64
	starts   map[string]int
	saves    map[string]map[string]bool
	lapsedAt map[*worker]time.Time
	count    map[string]int
	// crashes counts the workers that crashed under a task, startsSince its starts by agents in touch since the third.
	crashes, startsSince map[string]int
}

type liveRun struct {
	at      *worker
	attempt uint64
	since   time.Time
}

func newAudit(f *fleet) *audit {
	return &audit{f: f, live: map[string][]liveRun{}, done: map[string]time.Time{}, anyDone: map[string]bool{}, failed: map[string][]uint64{}, starts: map[string]int{}, saves: map[string]map[string]bool{}, lapsedAt: map[*worker]time.Time{}, count: map[string]int{}, crashes: map[string]int{}, startsSince: map[string]int{}}
}

func (a *audit) broken(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	a.breaks = append(a.breaks, text)
	a.f.note("BROKEN %s", text)
}

func (a *audit) started(w *worker, r *run, o *order, late bool) {
	a.f.note("start %s %d at %s (%s, %s) ckpt=%q late=%v", r.task, r.attempt, w.name, w.id, w.kind, o.Checkpoint, late)
	a.count["start"]++
	s, j := r.step, r.job
	name, _ := parseTask(r.task)
	if o.Spec != j.Spec {
		a.broken("UNASKED", "%s starts with another spec", r.task)
	}
	if o.Checkpoint != "" && !a.saves[stepOrTask(r)][o.Checkpoint] {
		a.broken("UNASKED", "%s starts with checkpoint %s, which is none of its own", r.task, o.Checkpoint)
	}
	if s.Label != "" && s.Label != w.kind && s.Label != w.rack {
		a.broken("ROUTE", "%s needs label %s and starts at %s (%s), which has %s and %s", r.task, s.Label, w.name, w.id, w.kind, w.rack)
	}
	if !slices.Contains(j.Queue.Services, w.service) {
		a.broken("ROUTE", "%s starts at %s of service %s; its queue was sent to %v", r.task, w.name, w.service, j.Queue.Services)
	}
	beside := 0
	cpu, mem := int64(0), s.Memory
	if !s.Fills {
		cpu = s.CPU
	}
	for _, other := range w.runs {
		if stepName(other.task) == stepName(r.task) {
			beside++
		}
		if !other.step.Fills {
			cpu += other.step.CPU
		}
		mem += other.step.Memory
	}
	if s.MaxPerWorker > 0 && beside >= s.MaxPerWorker {
		a.broken("ROUTE", "%s is one of %d at %s, more than %d", r.task, beside+1, w.name, s.MaxPerWorker)
	}
	roomCPU, roomMem := w.cpu, w.mem
	if time.Since(w.shrunkAt) < 4600*time.Millisecond {
		roomCPU, roomMem = max(roomCPU, w.bigger[0]), max(roomMem, w.bigger[1])
	}
	if !late && (cpu > roomCPU || mem > roomMem) {
		a.broken("LIMIT", "%s brings %s to %d of %d and %d of %d", r.task, w.name, cpu, roomCPU, mem, roomMem)
	}
	for _, before := range s.After {
		for n := range j.Steps[before].Count {
			if t := fmt.Sprintf("%s.%d.%d.%d", name.job, name.time, before, n); !a.anyDone[t] {
				a.broken("ORDER", "%s starts before %s is done", r.task, t)
				break
			}
		}
	}
	if j.Times > 0 {
		due := time.UnixMilli(j.DueMs + int64(name.time)*j.Every)
		if early := time.Until(due); early > 250*time.Millisecond {
			a.broken("ORDER", "%s starts %s early", r.task, early)
		}
	}
	if at, ok := a.done[r.task]; ok && !s.Copies {
		a.broken("TWICE", "%s attempt %d starts at %s after it ended done %s ago", r.task, r.attempt, w.name, time.Since(at))
	}
	if !s.Copies {
		for _, l := range a.live[r.task] {
			a.broken("TWICE", "%s attempt %d starts at %s while attempt %d runs at %s", r.task, r.attempt, w.name, l.attempt, l.at.name)
		}
	}
	key := r.task
	if s.Gang {
		key = stepName(r.task)
	}
	if j.Queue.Attempts > 0 && !s.Lasting && len(a.failed[key]) >= j.Queue.Attempts {
		a.broken("BUDGET", "%s starts after %d failures", r.task, len(a.failed[key]))
	}
	if a.crashes[r.task] >= 3 && a.f.calm(3*time.Second) {
		if a.startsSince[r.task]++; a.startsSince[r.task] >= 3 {
			a.broken("BUDGET", "%s is started %d times more after %d workers have crashed under it", r.task, a.startsSince[r.task], a.crashes[r.task])
		}
	}
	if !w.drainAcked.IsZero() && time.Since(w.drainAcked) > 2*time.Second && !late {
		a.broken("DRAIN", "%s starts at %s, which has drained for %s", r.task, w.name, time.Since(w.drainAcked))
	}
	j.mu.Lock()
	canceled := j.canceled
	j.mu.Unlock()
	if !canceled.IsZero() && time.Since(canceled) > 3*time.Second && !late {
		a.broken("UNASKED", "%s starts %s after its cancel was acknowledged", r.task, time.Since(canceled))
	}
	a.live[r.task] = append(a.live[r.task], liveRun{w, r.attempt, time.Now()})
	a.starts[r.task]++
}

func (a *audit) remove(w *worker, r *run) {
	a.live[r.task] = slices.DeleteFunc(a.live[r.task], func(l liveRun) bool { return l.at == w && l.attempt == r.attempt })
	if len(a.live[r.task]) == 0 {
		delete(a.live, r.task)
	}
}

// lost is called for a run that a crash has ended.
func (a *audit) lost(w *worker, r *run) {
	a.save(r, w.savedOf(r, false))
	a.remove(w, r)
	a.count["lost"]++
}

// crashed is called for a run that crashes its worker.
func (a *audit) crashed(w *worker, r *run) {
	a.crashes[r.task]++
	a.count["crash"]++
	a.f.note("crash %d under %s at %s", a.crashes[r.task], r.task, w.name)
}

func (a *audit) save(r *run, value string) {
	if value == "" {
		return
	}
	key := stepOrTask(r)
	if a.saves[key] == nil {
		a.saves[key] = map[string]bool{}
	}
	a.saves[key][value] = true
}

func (a *audit) ended(w *worker, r *run, e end) {
	a.f.note("end %s %d %s at %s", r.task, r.attempt, e.how, w.name)
	a.count[e.how]++
	a.save(r, e.saved)
	a.remove(w, r)
	if e.how == "done" {
		a.anyDone[r.task] = true
		if r.step.Gang {
			for n := range r.step.Count {
				a.anyDone[fmt.Sprintf("%s.%d", stepName(r.task), n)] = true
			}
		}
	}
}

// noted is called for an end that the cursor of the agent has reached.
func (a *audit) noted(w *worker, e end) {
	if at := a.lapsedAt[w]; at.After(e.at) {
		return // the lease lapsed between the two
	}
	name, err := parseTask(e.task)
	if err != nil {
		return
	}
	j := a.f.jobs[name.job]
	s := &j.Steps[name.step]
	switch e.how {
	case "done":
		if _, ok := a.done[e.task]; !ok && !s.Copies && !s.Lasting {
			a.done[e.task] = e.at
			for _, l := range a.live[e.task] {
				if l.since.After(e.at) {
					a.broken("TWICE", "%s attempt %d at %s began after an end done, which is taken note of", e.task, l.attempt, l.at.name)
				}
			}
		}
	case "failed":
		key := e.task
		if s.Gang {
			key = stepName(e.task)
		}
		if !slices.Contains(a.failed[key], e.attempt) {
			a.failed[key] = append(a.failed[key], e.attempt)
		}
	}
}

func (a *audit) lapsed(w *worker) { a.lapsedAt[w] = time.Now() }

func (a *audit) alone(w *worker, r *run) {
	j := r.job
	j.mu.Lock()
	canceled := !j.cancelSent.IsZero()
	j.mu.Unlock()
	if !canceled && a.f.calm(gangTimeout+3*time.Second) {
		a.broken("GANG", "%s waits for the others of its gang at %s", r.task, w.name)
	}
}

// failsUnnoted reports whether so many ends of a task are listed as failed, taken note of or not.
func (a *audit) failsUnnoted(j *job) bool {
	failed := map[string]map[uint64]bool{}
	add := func(task string, attempt uint64) {
		if failed[task] == nil {
			failed[task] = map[uint64]bool{}
		}
		failed[task][attempt] = true
	}
	for key, attempts := range a.failed {
		for _, n := range attempts {
			add(key, n)
		}
	}
	for _, w := range a.f.workers {
		for _, e := range w.ends {
			if e.how == "failed" {
				add(e.task, e.attempt)
			}
		}
	}
	for task, attempts := range failed {
		if len(task) > len(j.ID) && task[:len(j.ID)] == j.ID && len(attempts) >= j.Queue.Attempts {
			return true
		}
	}
	return false
}
