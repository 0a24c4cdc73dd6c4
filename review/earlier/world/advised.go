package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// advisedID is the submission on the queue with a policy.
const advisedID = "3f60c2a8815be914"

// crashAdvised crashes the worker of a task that lasts, of a queue with a policy, while all
// other workers that may run it are too full.
func crashAdvised(dir string) ([]string, error) {
	files := map[string]string{}
	for _, name := range []string{"config.json", "full.json", "advised.json"} {
		raw, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			return nil, err
		}
		files[name] = strings.TrimSpace(string(raw))
	}
	advice := &adviser{tickets: map[string]time.Time{}}
	w, err := newWorld(dir, options{
		entries: 2, workers: 8, cpu: 64000, memory: 256000, config: files["config.json"], startup: 300 * time.Millisecond, adviser: advice,
		duration: func(string, uint64) time.Duration { return 0 },
		checkTicket: func(id, task, ticket string) bool {
			return !strings.HasPrefix(task, advisedID) || advice.valid(id, task, ticket)
		},
	})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	advice.record = w.record
	time.Sleep(5 * time.Second) // traffic starts after the machines
	if err := w.submit("/q/5c0e7a21d94b36f8", files["full.json"]); err != nil {
		return nil, err
	}
	if !await(20*time.Second, func() bool { runs, _ := w.running(); return runs == 7 }) {
		return nil, fmt.Errorf("%w: the tasks are not at work all at once", errCannotRun)
	}
	if err := w.submit("/p/"+advisedID, files["advised.json"]); err != nil {
		return nil, err
	}
	if !await(20*time.Second, func() bool { runs, _ := w.running(); return runs == 8 }) {
		return nil, fmt.Errorf("%w: the task with a policy is not at work", errCannotRun)
	}
	time.Sleep(5 * time.Second)
	if w.trouble {
		for _, wk := range w.workers {
			if wk.has(advisedID) {
				w.record.note("%s crashes and starts again", wk.name)
				wk.boot()
			}
		}
	}
	crashedAt := time.Since(w.record.began)
	for range 30 {
		time.Sleep(time.Second)
		runs, _ := w.running()
		w.record.note("%d of 8 tasks are at work", runs)
	}
	return w.verdict(w.record.lastingAway(crashedAt))
}
