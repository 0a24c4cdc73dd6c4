package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// cases has the cases by name. Each returns its exit code and the reason.
var cases = map[string]func(*stage) (int, string){"migrate": migrate, "rename": rename, "budget": budget, "stuck": stuck, "herd": herd, "deadly": deadly, "large": large}

// route is a route of the operator's configuration.
func route(name, prefix, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "q.example", "prefix": prefix, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 1000, "priority": 0, "service": service,
		"maxAttempts": attempts, "stretchFactor": 2.0,
	}
}

// configure writes a version of the operator's configuration.
func (s *stage) configure(version int, services []string, routes ...map[string]any) {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "enforceLimits": false, "standby": false})
	}
	s.add("operator writes configuration %d", version)
	s.store.write("op/config", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

func lasting(*worker, string, uint64, string) plan { return plan{} }

// migrate moves a queue to another service and then takes the worker of the earlier one away.
func migrate(s *stage) (int, string) {
	s.addEntry("0.5")
	s.addEntry("0.4")
	old, _ := s.addWorker("blue", []string{"a", "r1-1"}, 8000, 16000, lasting)
	s.addWorker("green", []string{"a", "r1-2"}, 8000, 16000, lasting)
	s.addWorker("green", []string{"a", "r1-3"}, 8000, 16000, lasting)
	services := []string{"blue", "green"}
	s.configure(1, services, route("q", "/q/", "blue", 2))
	s.startAll()
	id := "5c0e7a21d94b36f8"
	if !s.submit("q.example", "/q/"+id, map[string]any{"spec": "watch", "phases": []any{map[string]any{"count": 2, "cpu": 1000, "memMb": 500, "estimateMs": 0, wire("lasts"): true}}}) {
		return noRun, "the submission was not accepted"
	}
	time.Sleep(3 * time.Second)
	if s.running(id) != 2 {
		return noRun, "the tasks are not at work"
	}
	if s.trouble {
		s.configure(2, services, route("q", "/q/", "green", 2))
		time.Sleep(6 * time.Second)
		go old.leave()
		time.Sleep(drainLinger + time.Second)
	}
	// From 6 s after its last run, no task that lasts may be without one for 3 s.
	time.Sleep(17 * time.Second)
	n := s.mostRunning(id, 3*time.Second)
	_, state := s.call(s.entries[0], http.MethodGet, "q.example", "/q/"+id, nil)
	if n != 2 {
		return broken, "20 s after the end of their worker, tasks of the accepted submission have no run on the two idle workers of the queue's service; its state is " + strings.TrimSpace(state)
	}
	return held, "both tasks are at work"
}

// running returns how many tasks of a submission are at work on all workers.
func (s *stage) running(id string) int {
	n := 0
	for _, w := range s.workers {
		n += w.running(id)
	}
	return n
}

// rename replaces a route by one with another name and the same prefix.
func rename(s *stage) (int, string) {
	s.addEntry("0.5")
	s.addEntry("0.4")
	s.addWorker("blue", []string{"a", "r1-1"}, 8000, 16000, lasting)
	s.addWorker("blue", []string{"a", "r1-2"}, 8000, 16000, lasting)
	services := []string{"blue"}
	s.configure(1, services, route("q-1", "/q/", "blue", 2))
	s.startAll()
	id := "5c0e7a21d94b36f8"
	if !s.submit("q.example", "/q/"+id, map[string]any{"spec": "watch", "phases": []any{map[string]any{"count": 2, "cpu": 1000, "memMb": 500, "estimateMs": 0, wire("lasts"): true}}}) {
		return noRun, "the submission was not accepted"
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		s.configure(2, services, route("q-2", "/q/", "blue", 2))
	}
	time.Sleep(8 * time.Second)
	if s.running(id) != 2 {
		return noRun, "the tasks are not at work"
	}
	status, _ := s.call(s.entries[0], http.MethodGet, "q.example", "/q/"+id, nil)
	canceled, _ := s.call(s.entries[1], http.MethodDelete, "q.example", "/q/"+id, nil)
	time.Sleep(5 * time.Second)
	n := s.running(id)
	if status == http.StatusGone || n > 0 && (canceled == http.StatusOK || canceled == http.StatusGone) {
		return broken, "the accepted submission is not known any more, and a cancel that was answered stops nothing"
	}
	return held, "the submission is known and was canceled"
}

// budget kills the owner and the agent of a worker in an outage of the store, in which tasks have
// failed once.
func budget(s *stage) (int, string) {
	const attempts = 2
	s.addEntry("0.5")
	s.addEntry("0.4")
	s.addEntry("0.3")
	planOf := func(_ *worker, name string, _ uint64, _ string) plan {
		index := time.Duration(name[len(name)-1] - '0')
		if s.started(name) == 0 {
			return plan{2 * time.Second, "failed"}
		}
		return plan{4600*time.Millisecond + index*300*time.Millisecond, "failed"}
	}
	for n := range 3 {
		s.addWorker("blue", []string{"a", fmt.Sprintf("r1-%d", n+1)}, 16000, 32000, planOf)
	}
	s.configure(1, []string{"blue"}, route("q", "/q/", "blue", attempts))
	s.startAll()
	id := "5c0e7a21d94b36f8"
	if !s.submit("q.example", "/q/"+id, map[string]any{"spec": "poison", "phases": []any{map[string]any{"count": 6, "cpu": 1000, "memMb": 500, "estimateMs": 3000}}}) {
		return noRun, "the submission was not accepted"
	}
	if !s.trouble {
		time.Sleep(20 * time.Second)
		return s.checkBudget(attempts)
	}
	time.Sleep(time.Second)
	s.add("the store goes silent")
	answer := s.store.goSilent()
	time.Sleep(4 * time.Second)
	owner, first := s.owner(), s.firstWorker(id+".0.0.0")
	if owner == nil || first < 0 {
		return noRun, "there is no owner or no run"
	}
	agent := s.agents[first]
	owner.kill()
	agent.kill()
	time.Sleep(500 * time.Millisecond)
	answer()
	s.add("the store answers again")
	time.Sleep(time.Second)
	owner.start()
	time.Sleep(time.Second)
	agent.start()
	time.Sleep(15 * time.Second)
	return s.checkBudget(attempts)
}

// started returns how often a task has been started.
func (r *record) started(name string) int {
	n := 0
	for _, l := range r.all() {
		if l.kind == "start" && l.task == name {
			n++
		}
	}
	return n
}

// firstWorker returns the index of the worker on which a task was started first, or -1.
func (s *stage) firstWorker(name string) int {
	for _, l := range s.all() {
		if l.kind == "start" && l.task == name {
			for n, w := range s.workers {
				if w.id == l.worker {
					return n
				}
			}
		}
	}
	return -1
}

// noted returns whether the end of a run is taken note of: the worker's lease has not lapsed between
// the two.
func notedWithoutLapse(lines []line, end int) bool {
	for _, l := range lines[end+1:] {
		if l.worker != lines[end].worker {
			continue
		}
		if l.kind == "lapse" {
			return false
		}
		if l.kind == "noted" && l.task == lines[end].task && l.attempt == lines[end].attempt {
			return true
		}
	}
	return false
}

// checkBudget looks for a start after as many runs of the task have ended failed as may, whose ends
// are taken note of.
func (s *stage) checkBudget(attempts int) (int, string) {
	lines := s.all()
	failed := map[string]int{}
	over := 0
	for n, l := range lines {
		switch {
		case l.kind == "end" && l.how == "failed" && notedWithoutLapse(lines, n):
			failed[l.task]++
		case l.kind == "start" && failed[l.task] >= attempts:
			over++
			s.add("BUDGET: %s run %d at %s was started after %d runs had ended failed", l.task, l.attempt, l.worker, failed[l.task])
		}
	}
	if over > 0 {
		return broken, fmt.Sprintf("%d starts after %d failed runs of the task", over, attempts)
	}
	if len(failed) == 0 {
		return noRun, "no task has failed"
	}
	return held, "no task was started too often"
}

// mostRunning returns how many tasks of a submission are at work at most within a time.
func (s *stage) mostRunning(id string, within time.Duration) int {
	most := 0
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		most = max(most, s.running(id))
	}
	return most
}

// stuck stops the owner for a moment, as a machine is that is suspended, while an agent is stopped
// and started again.
func stuck(s *stage) (int, string) {
	for _, cores := range []string{"0.5", "0.4", "0.3"} {
		s.addEntry(cores)
	}
	for n := range 4 {
		s.addWorker("blue", []string{"a", fmt.Sprintf("r1-%d", n+1)}, 8000, 16000, lasting)
	}
	s.configure(1, []string{"blue"}, route("q", "/q/", "blue", 2))
	s.startAll()
	id := "5c0e7a21d94b36f8"
	if !s.submit("q.example", "/q/"+id, map[string]any{"spec": "watch", "phases": []any{map[string]any{"count": 8, "cpu": 3000, "memMb": 500, "maxPerServer": 2, wire("lasts"): true}}}) {
		return noRun, "the submission was not accepted"
	}
	time.Sleep(4 * time.Second)
	if s.running(id) != 8 {
		return noRun, "the tasks are not at work"
	}
	for round := range 5 {
		if s.trouble {
			owner, agent := s.owner(), s.agents[round%len(s.agents)]
			if owner == nil {
				return noRun, "there is no owner"
			}
			owner.signal(syscall.SIGSTOP, "suspend")
			agent.signal(syscall.SIGTERM, "SIGTERM to")
			time.Sleep(1200 * time.Millisecond)
			owner.signal(syscall.SIGCONT, "resume")
			_, _ = agent.running.Wait()
			agent.running = nil
			s.add("%s has ended", agent.name)
			time.Sleep(time.Second)
			agent.start()
		}
		// From 6 s after its last run, no task that lasts may be without one for 3 s.
		time.Sleep(13 * time.Second)
		if n := s.mostRunning(id, 3*time.Second); n < 8 {
			return broken, fmt.Sprintf("16 s after the last disruption, no more than %d of 8 tasks have had a run for 3 s, at %d workers", n, len(s.workers))
		}
	}
	return held, "all tasks are at work"
}

// herd kills all entries and one machine with a worker at the same moment, as when power is lost; the
// owner and that machine never come back.
func herd(s *stage) (int, string) {
	for _, cores := range []string{"0.5", "0.4", "0.3"} {
		s.addEntry(cores)
	}
	for n := range 4 {
		s.addWorker("blue", []string{"a", fmt.Sprintf("r1-%d", n+1)}, 8000, 16000, lasting)
	}
	s.configure(1, []string{"blue"}, route("q", "/q/", "blue", 2))
	s.startAll()
	id := "5c0e7a21d94b36f8"
	if !s.submit("q.example", "/q/"+id, map[string]any{"spec": "watch", "phases": []any{map[string]any{"count": 4, "cpu": 1000, "memMb": 500, "maxPerServer": 2, wire("lasts"): true}}}) {
		return noRun, "the submission was not accepted"
	}
	time.Sleep(8 * time.Second)
	owner := s.owner()
	if s.running(id) != 4 || owner == nil {
		return noRun, "the tasks are not at work"
	}
	if s.trouble {
		for _, p := range s.entries {
			p.kill()
		}
		s.agents[0].kill()
		s.workers[0].crash()
		time.Sleep(time.Second)
		for _, p := range s.entries {
			if p != owner {
				p.start()
			}
		}
	}
	// From 6 s after its last run, no task that lasts may be without one for 3 s. The last disruption is
	// the start of the entries.
	return s.checkLasting(id, 4, 25*time.Second)
}

// checkLasting watches for a time that of a number of tasks none is without a run for longer than 9 s.
func (s *stage) checkLasting(id string, tasks int, watch time.Duration) (int, string) {
	const longest = 9 * time.Second
	whole := time.Now()
	gap := time.Duration(0)
	for until := time.Now().Add(watch); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if s.running(id) >= tasks {
			whole = time.Now()
		}
		gap = max(gap, time.Since(whole))
	}
	if gap > longest {
		return broken, fmt.Sprintf("for %.1f s some task that lasts had no run, with room for it", gap.Seconds())
	}
	return held, fmt.Sprintf("no task that lasts was without a run for longer than %.1f s", gap.Seconds())
}

// deadly submits tasks that crash each worker that starts them.
func deadly(s *stage) (int, string) {
	const back = 3 * time.Second
	s.addEntry("0.5")
	s.addEntry("0.4")
	planOf := func(w *worker, name string, attempt uint64, spec string) plan {
		switch spec {
		case "watch":
			return plan{}
		case "sound":
			return plan{700 * time.Millisecond, "done"}
		}
		go func() {
			time.Sleep(40 * time.Millisecond)
			w.mu.Lock()
			t := w.runs[name]
			runs := t != nil && t.attempt == attempt
			w.mu.Unlock()
			if runs {
				w.reborn(back)
			}
		}()
		return plan{time.Second, "done"}
	}
	for n := range 3 {
		s.addWorker("blue", []string{"a", fmt.Sprintf("r1-%d", n+1)}, 16000, 32000, planOf)
	}
	s.configure(1, []string{"blue"}, route("q", "/q/", "blue", 4))
	s.startAll()
	step := func(count int, lasts bool) []any {
		return []any{map[string]any{"count": count, "cpu": 400, "memMb": 100, "estimateMs": 700, wire("lasts"): lasts}}
	}
	for n := range 20 {
		s.submit("q.example", fmt.Sprintf("/q/bbbb7a21d94b36%02x", n), map[string]any{"spec": "watch", "phases": step(1+n%2, true)})
	}
	time.Sleep(2 * time.Second)
	spec := "sound"
	if s.trouble {
		spec = "deadly"
	}
	for n := range 3 {
		if !s.submit("q.example", fmt.Sprintf("/q/dead7a21d94b36f%d", n), map[string]any{"spec": spec, "phases": step(4, false)}) {
			return noRun, "a submission was not accepted"
		}
	}
	until := time.Now().Add(50 * time.Second)
	for n := 0; time.Now().Before(until); n++ {
		s.submit("q.example", fmt.Sprintf("/q/cccc7a21d94b%04x", n), map[string]any{"spec": "sound", "phases": step(4, false)})
		time.Sleep(200 * time.Millisecond)
	}
	return s.checkDeadly()
}

// checkDeadly looks for tasks that were started three times more after three workers have crashed under
// them.
func (s *stage) checkDeadly() (int, string) {
	crashes, more := map[string]int{}, map[string]int{}
	tasks, most := 0, 0
	for _, l := range s.all() {
		switch {
		case !strings.HasPrefix(l.task, "dead"): // it crashes no worker itself
		case l.kind == "end" && l.how == crashed:
			crashes[l.task]++
		case l.kind == "start" && crashes[l.task] >= 3:
			more[l.task]++
			most = max(most, more[l.task])
			if more[l.task] == 3 {
				tasks++
				s.add("BUDGET: %s was started three times more after three workers have crashed under it", l.task)
			}
		}
	}
	if tasks > 0 {
		return broken, fmt.Sprintf("%d tasks were started three times more after three workers had crashed under them, one of them %d times", tasks, most)
	}
	return held, fmt.Sprintf("no task was started three times more, the most is %d", most)
}

// large submits a large submission, whose tasks save checkpoints, and small ones after it. It has
// as many steps, tasks a step and times as the largest of the site.
func large(s *stage) (int, string) {
	const steps, width, times, checkpointBytes = 5, 32, 8, 1000
	const every = 3 * time.Second
	s.addEntry("0.5")
	s.addEntry("0.4")
	planOf := func(_ *worker, _ string, _ uint64, spec string) plan {
		switch spec {
		case "watch":
			return plan{}
		case "large":
			return plan{2 * time.Minute, "done"}
		}
		return plan{500 * time.Millisecond, "done"}
	}
	for n := range 3 {
		w, _ := s.addWorker("blue", []string{"a", fmt.Sprintf("r1-%d", n+1)}, 64000, 250000, planOf)
		w.checkpointBytes = checkpointBytes
	}
	s.configure(1, []string{"blue"}, route("q", "/q/", "blue", 4))
	s.startAll()
	const id = "5c0e7a21d94b36f8"
	if s.trouble {
		var phases []any
		for range steps {
			phases = append(phases, map[string]any{"count": width, "cpu": 50, "memMb": 100, "estimateMs": 120000, "checkpointing": true})
		}
		body := map[string]any{"spec": "large", "phases": phases, wire("startAt"): time.Now().UnixMilli(), "intervalMs": every.Milliseconds(), "repeatCount": times}
		if !s.submit("q.example", "/q/"+id, body) {
			return noRun, "the large submission was not accepted"
		}
	}
	time.Sleep(times*every + 3*time.Second)
	if s.trouble && s.running(id) != steps*width*times {
		return noRun, "the large submission is not at work"
	}
	const small = 5
	for n := range small {
		if !s.submit("q.example", fmt.Sprintf("/q/aaaa7a21d94b36%02x", n), map[string]any{"spec": "watch", "phases": []any{map[string]any{"count": 1, "cpu": 400, "memMb": 100, wire("lasts"): true}}}) ||
			!s.submit("q.example", fmt.Sprintf("/q/bbbb7a21d94b36%02x", n), map[string]any{"spec": "short", "phases": []any{map[string]any{"count": 1, "cpu": 400, "memMb": 100, "estimateMs": 500}}}) {
			return noRun, "a submission was not accepted"
		}
	}
	time.Sleep(27 * time.Second)
	started := s.mostRunning("aaaa", 3*time.Second)
	complete := 0
	for n := range small {
		if _, state := s.call(s.entries[0], http.MethodGet, "q.example", fmt.Sprintf("/q/bbbb7a21d94b36%02x", n), nil); strings.Contains(state, "complete") {
			complete++
		}
	}
	s.add("progress of the large submission: %d bytes", len(s.store.value("ef/out/"+id)))
	if started < small {
		return broken, fmt.Sprintf("30 s after they were accepted, %d of %d tasks that last have been started, with room for all, and %d of %d short submissions are complete", started, small, complete, small)
	}
	return held, fmt.Sprintf("all tasks that last are at work, and %d of %d short submissions are complete", complete, small)
}
