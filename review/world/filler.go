package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Submissions of loseFiller.
const (
	servingID = "5c0e7a21d94b36f8"
	fillingID = "7d1f8b32ea5c4709"
)

// loseFiller loses the worker for good on which tasks that fill are at work; there is room for
// them beside tasks that serve.
func loseFiller(dir string) ([]string, error) {
	serving, err := os.ReadFile(filepath.Join(dir, "serving.json"))
	if err != nil {
		return nil, err
	}
	filling, err := os.ReadFile(filepath.Join(dir, "filling.json"))
	if err != nil {
		return nil, err
	}
	w, err := newWorld(dir, options{
		entries: 2, workers: 3, cpu: 64000, memory: 256000, config: plainConfig, startup: 300 * time.Millisecond,
		duration: func(string, uint64) time.Duration { return 0 },
		measure: func(task string, all []string) int64 {
			if strings.HasPrefix(task, fillingID) {
				return 11000 + time.Now().UnixMilli()/500%3*300
			}
			tail := 15 + time.Now().UnixMilli()/500%3 // a rough figure for the last half second
			for _, other := range all {
				if strings.HasPrefix(other, fillingID) {
					tail++
				}
			}
			return tail
		},
	})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second) // traffic starts after the machines
	if err := w.submit("/q/"+servingID, string(serving)); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	if err := w.submit("/q/"+fillingID, string(filling)); err != nil {
		return nil, err
	}
	if !await(20*time.Second, func() bool {
		runs, _ := w.running()
		return runs == 4
	}) {
		return nil, fmt.Errorf("%w: the tasks are not at work all at once", errCannotRun)
	}
	time.Sleep(5 * time.Second)
	filled := -1
	for n, wk := range w.workers {
		if wk.has(fillingID) {
			if wk.has(servingID) {
				return nil, fmt.Errorf("%w: tasks that fill run beside tasks that serve", errCannotRun)
			}
			filled = n
		}
	}
	if w.trouble {
		w.record.note("%s is lost for good", w.workers[filled].name)
		w.workers[filled].lose()
	}
	lostAt := time.Since(w.record.began)
	for range 30 {
		time.Sleep(time.Second)
		runs, _ := w.running()
		w.record.note("%d of 4 tasks are at work", runs)
	}
	return w.record.lastingAway(lostAt), nil
}

// has reports whether a task of a submission is at work on the worker.
func (w *worker) has(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.runs {
		if strings.HasPrefix(task, id) {
			return true
		}
	}
	return false
}
