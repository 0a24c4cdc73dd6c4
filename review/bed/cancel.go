package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// Bounds of UNASKED and LOST at agua-opendays.
const (
	cancelBound = 3000 * time.Millisecond
	stopBound   = 400 * time.Millisecond
	finishBound = 14 * time.Second
)

// playCancel cancels a job with many tasks on each worker, and hands a small one in later.
func playCancel(dir string, rec *record) ([]string, error) {
	const id, next = "5c0e7a21d94b36f8", "77aa7a21d94b36f8"
	tasks := 2400
	if n, err := strconv.Atoi(os.Getenv("TASKS")); err == nil {
		tasks = n
	}
	rec.quiet["noted"] = true
	w, err := newWorld(dir, rec, size{entries: 2, workers: 2, cpu: 64000, memory: 256000, plan: func(task string) time.Duration {
		if strings.HasPrefix(task, id) {
			return 20 * time.Second
		}
		return 640 * time.Millisecond
	}})
	if err != nil {
		return nil, err
	}
	if err := w.ready(); err != nil {
		return nil, err
	}
	if err := w.others(3); err != nil {
		return nil, err
	}
	if !w.submit(id, map[string]any{"spec": "x", "phases": []any{map[string]any{"count": tasks, "cpu": 50, "memMb": 100, "estimateMs": 20000}}}, 5*time.Second) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	if !await(15*time.Second, func() bool { return w.running(id) == tasks }) {
		return nil, fmt.Errorf("%d of %d tasks run", w.running(id), tasks)
	}
	rec.note("all tasks run: %d and %d", w.workers[0].count(id), w.workers[1].count(id))
	time.Sleep(time.Second)
	var broken []string
	if w.trouble {
		if !await(4*time.Second, func() bool {
			status, _ := w.send(w.fronts[0], http.MethodDelete, id, nil)
			return status == http.StatusOK
		}) {
			return nil, fmt.Errorf("the cancel was not acknowledged")
		}
		acked := time.Now()
		time.Sleep(cancelBound + stopBound)
		if n := w.running(id); n > 0 {
			broken = append(broken, fmt.Sprintf("UNASKED: %d tasks run on %s after the cancel of their job was acknowledged", n, time.Since(acked).Round(time.Millisecond)))
		}
		await(15*time.Second, func() bool { return w.running(id) == 0 })
		rec.note("%d tasks run %s after the acknowledgement", w.running(id), time.Since(acked).Round(time.Millisecond))
	} else if !await(60*time.Second, func() bool { time.Sleep(500 * time.Millisecond); return w.state(id) == "complete" }) {
		return []string{"LOST: the job did not complete"}, nil
	}
	time.Sleep(5 * time.Second)
	if !w.submit(next, map[string]any{"spec": "y", "phases": []any{map[string]any{"count": 6, "cpu": 960, "memMb": 100, "estimateMs": 640}}}, 5*time.Second) {
		return nil, fmt.Errorf("the second job was not accepted")
	}
	if !await(finishBound+3*time.Second, func() bool { time.Sleep(500 * time.Millisecond); return w.state(next) == "complete" }) {
		broken = append(broken, fmt.Sprintf("LOST: a job of 6 tasks is %q after %s; %d of its tasks were started, and the workers run %d tasks in all",
			w.state(next), finishBound+3*time.Second, starts(rec.all(), next), w.running("")))
	}
	return broken, nil
}
