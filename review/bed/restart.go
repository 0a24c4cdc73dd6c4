package main

import (
	"fmt"
	"syscall"
	"time"
)

// playRestart kills the agent beside a worker with many lasting tasks.
func playRestart(dir string, rec *record) ([]string, error) {
	const id, tasks = "5c0e7a21d94b36f8", 640
	w, err := newWorld(dir, rec, size{entries: 2, workers: 2, cpu: 64000, memory: 256000, plan: func(string) time.Duration { return 0 }})
	if err != nil {
		return nil, err
	}
	if err := w.ready(); err != nil {
		return nil, err
	}
	step := map[string]any{"count": tasks, "cpu": 160, "memMb": 100, "estimateMs": 400, words["lasts"]: true, words["mayMiss"]: 2}
	if !w.submit(id, map[string]any{"spec": "x", "phases": []any{step}}, 5*time.Second) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	if !await(20*time.Second, func() bool { return w.running(id) == tasks }) {
		return nil, fmt.Errorf("%d of %d tasks run", w.running(id), tasks)
	}
	rec.note("all tasks run: %d and %d", w.workers[0].count(id), w.workers[1].count(id))
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.signal("side-1", syscall.SIGKILL)
	}
	time.Sleep(15 * time.Second)
	lapsed := 0
	for _, e := range rec.all() {
		if e.kind == "end" && e.detail == "lapsed" {
			lapsed++
		}
	}
	if lapsed > 2 {
		return []string{fmt.Sprintf("AVAIL: the leases of %d tasks at work lapsed", lapsed)}, nil
	}
	return nil, nil
}
