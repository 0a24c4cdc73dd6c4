package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// agentBack restarts the agent beside a worker on which many tasks that last are at work.
func agentBack(dir string) ([]string, error) {
	body, err := os.ReadFile(filepath.Join(dir, "submission.json"))
	if err != nil {
		return nil, err
	}
	w, err := newWorld(dir, options{
		entries: 2, workers: 2, cpu: 64000, memory: 256000, config: plainConfig, startup: 300 * time.Millisecond,
		duration: func(string, uint64) time.Duration { return 0 },
	})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // traffic starts after the machines
	if err := w.submit("/q/5c0e7a21d94b36f8", string(body)); err != nil {
		return nil, err
	}
	if !await(20*time.Second, func() bool {
		runs, _ := w.running()
		return runs == wantRuns(string(body))
	}) {
		return nil, fmt.Errorf("%w: the tasks are not at work all at once", errCannotRun)
	}
	time.Sleep(3 * time.Second)
	w.record.note("all at work")
	if w.trouble {
		w.signal(syscall.SIGTERM, w.agents[0])
		w.restart(w.agents[0])
	}
	time.Sleep(20 * time.Second)
	return nil, nil
}

func wantRuns(body string) int {
	var n int
	_, _ = fmt.Sscanf(body[len(`{"spec":"watch","phases":[{"count":`):], "%d", &n)
	return n
}
