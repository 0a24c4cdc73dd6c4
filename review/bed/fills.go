package main

import (
	"fmt"
	"strings"
	"time"
)

// awayBound is how long a task that lasts may have no run after its worker is lost: 5 s for
// the disturbance itself, contactMs, the 4 s of calm before, and the 3 s.
const awayBound = 15 * time.Second

// playFills loses one of eight workers on which tasks work that last and fill.
func playFills(dir string, rec *record) ([]string, error) {
	const id, tasks, memory = "5c0e7a21d94b36f8", 16, 8000
	w, err := newWorld(dir, rec, size{entries: 2, workers: 8, cpu: 64000, memory: 256000, plan: func(string) time.Duration { return 0 }})
	if err != nil {
		return nil, err
	}
	for _, wk := range w.workers {
		wk.measure = func() int { return 20000 }
	}
	if err := w.ready(); err != nil {
		return nil, err
	}
	step := map[string]any{"count": tasks, "cpu": 30000, "memMb": memory, "image": "crawler", words["fills"]: true, words["lasts"]: true}
	if !w.submit(id, map[string]any{"spec": "crawl", "phases": []any{step}}, 5*time.Second) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	if !await(20*time.Second, func() bool { return w.running(id) == tasks }) {
		return nil, fmt.Errorf("%d of %d tasks run", w.running(id), tasks)
	}
	time.Sleep(5 * time.Second)
	lost := w.workers[3]
	if w.trouble {
		lost.crash() // it never comes back
	}
	lostAt := rec.now()
	time.Sleep(30 * time.Second)
	work := map[string]bool{}
	for _, e := range rec.all() {
		if strings.HasPrefix(e.task, id) {
			switch e.kind {
			case "start":
				work[e.task] = true
			case "end", "lost":
				delete(work, e.task)
			}
		}
	}
	used := 0
	for _, wk := range w.workers {
		used += wk.count(id) * memory
	}
	rec.note("%d of %d tasks run; %d of %d MB of the other seven workers are in use", w.running(id), tasks, used, 7*256000)
	if away := tasks - len(work); away > 0 {
		return []string{fmt.Sprintf("LOST: %d of %d tasks that last have had no run for %s (the bound is %s) since their worker was lost; %d of %d MB of the other workers are in use",
			away, tasks, (rec.now() - lostAt).Round(time.Second), awayBound, used, 7*256000)}, nil
	}
	return nil, nil
}
