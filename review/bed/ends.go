package main

import (
	"fmt"
	"syscall"
	"time"
)

// agentDownFor is how long the killed process stays away; the site's node_kill has 3.5 s.
const agentDownFor = 2500 * time.Millisecond

// playEnds kills the agent beside a worker just before its many tasks end.
func playEnds(dir string, rec *record) ([]string, error) {
	const id, tasks, lasts = "5c0e7a21d94b36f8", 2500, 6 * time.Second
	w, err := newWorld(dir, rec, size{entries: 2, workers: 2, cpu: 64000, memory: 256000, plan: func(string) time.Duration { return lasts }})
	if err != nil {
		return nil, err
	}
	if err := w.ready(); err != nil {
		return nil, err
	}
	if !w.submit(id, map[string]any{"spec": "x", "phases": []any{map[string]any{"count": tasks, "cpu": 25, "memMb": 40, "estimateMs": lasts.Milliseconds()}}}, 5*time.Second) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	rec.quiet["noted"] = true
	first := time.Time{}
	if !await(lasts, func() bool {
		if first.IsZero() && w.running(id) > 0 {
			first = time.Now()
		}
		return w.running(id) == tasks
	}) {
		return nil, fmt.Errorf("the tasks are not at work all at once: %d", w.running(id))
	}
	rec.note("all tasks run: %d and %d", w.workers[0].count(id), w.workers[1].count(id))
	busiest := w.workers[0]
	if w.workers[1].count(id) > busiest.count(id) {
		busiest = w.workers[1]
	}
	if w.trouble {
		time.Sleep(time.Until(first.Add(lasts - 200*time.Millisecond)))
		w.keepDown(busiest.name)
		w.signal(busiest.name, syscall.SIGKILL)
		time.Sleep(agentDownFor)
		rec.note("%s may start again; %d tasks run beside it", busiest.name, busiest.count(id))
		w.letUp(busiest.name)
	}
	complete := await(40*time.Second, func() bool { time.Sleep(300 * time.Millisecond); return w.state(id) == "complete" })
	time.Sleep(2 * time.Second)
	rec.note("complete: %t; %d starts of %d tasks", complete, starts(rec.all(), id), tasks)
	for _, e := range rec.all() {
		if e.kind == "lapse" {
			rec.note("a lease of %s lapsed at %.3f", e.who, e.at.Seconds())
		}
	}
	return summary(judgeTwice(rec.all())), nil
}
