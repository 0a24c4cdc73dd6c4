package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// storeDownFor is the length of the outage: platform_down of agua-opendays.
const storeDownFor = 4500 * time.Millisecond

// calmBound is how long a submission may have nothing running while a task's turn has come.
const calmBound = 3 * time.Second

// playOutage takes the platform's store away while many short tasks end.
func playOutage(dir string, rec *record) ([]string, error) {
	const id, tasks = "5c0e7a21d94b36f8", 2400
	rec.quiet["noted"] = true
	w, err := newWorld(dir, rec, size{entries: 2, workers: 2, cpu: 64000, memory: 256000, plan: func(string) time.Duration { return 1800 * time.Millisecond }})
	if err != nil {
		return nil, err
	}
	if err := w.ready(); err != nil {
		return nil, err
	}
	if !w.submit(id, map[string]any{"spec": "x", "phases": []any{map[string]any{"count": tasks, "cpu": 50, "memMb": 20, "estimateMs": 1800}, map[string]any{"count": 6, "cpu": 960, "memMb": 100, "estimateMs": 640, "after": []int{0}}}}, 5*time.Second) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	if !await(20*time.Second, func() bool { return starts(rec.all(), id) >= tasks*9/10 }) {
		return nil, fmt.Errorf("%d of %d tasks run", w.running(id), tasks)
	}
	rec.note("%d and %d run", w.workers[0].count(id), w.workers[1].count(id))
	if w.trouble {
		until := time.Now().Add(storeDownFor)
		w.mu.Lock()
		w.gate = func(_ http.ResponseWriter, r *http.Request, _ http.Handler) bool {
			if time.Now().After(until) {
				return true
			}
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		w.mu.Unlock()
		rec.note("the store does not answer for %s", storeDownFor)
		time.Sleep(storeDownFor)
		rec.note("the store answers again")
	}
	over := rec.now()
	var broken []string
	if !await(40*time.Second, func() bool { time.Sleep(500 * time.Millisecond); return w.state(id) == "complete" }) {
		first, idle := 0, time.Duration(0)
		for _, e := range rec.all() {
			if e.kind == "end" && e.detail == "done" && strings.HasPrefix(e.task, id+".0.0.") {
				first, idle = first+1, rec.now()-e.at
			}
		}
		rec.note("all %d tasks of the first step that have been started ended done %s ago", first, idle.Round(time.Millisecond))
		if second := starts(rec.all(), id+".0.1."); first == tasks && second == 0 && idle > finishBound+calmBound {
			broken = append(broken, fmt.Sprintf("LOST: %s after the outage the submission is %q; all %d tasks of its first step ended done %s ago, none of the second was started, %d run",
				(rec.now()-over).Round(time.Second), w.state(id), first, idle.Round(time.Second), w.running(id)))
		} else {
			return nil, fmt.Errorf("the submission is not complete, for another reason: %d tasks of its first step are done, %d of the second were started", first, second)
		}
	}
	return append(broken, summary(judgeTwice(rec.all()))...), nil
}
