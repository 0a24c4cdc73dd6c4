package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// fillingTasks is how many tasks submission.json has.
const fillingTasks = 16

// crowdFillers loses one of the workers for good on which tasks that last and fill are at
// work; the others have the memory for them.
func crowdFillers(dir string) ([]string, error) {
	body, err := os.ReadFile(filepath.Join(dir, "submission.json"))
	if err != nil {
		return nil, err
	}
	w, err := newWorld(dir, options{
		entries: 2, workers: 8, cpu: 64000, memory: 256000, config: plainConfig, startup: 300 * time.Millisecond,
		duration: func(string, uint64) time.Duration { return 0 },
		measure:  func(string, []string) int64 { return 20000 + time.Now().UnixMilli()/500%3*300 },
	})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second) // traffic starts after the machines
	if err := w.submit("/q/5c0e7a21d94b36f8", string(body)); err != nil {
		return nil, err
	}
	if !await(20*time.Second, func() bool { runs, _ := w.running(); return runs == fillingTasks }) {
		return nil, fmt.Errorf("%w: the tasks are not at work all at once", errCannotRun)
	}
	time.Sleep(5 * time.Second)
	if w.trouble {
		lost := w.workers[w.busiest()]
		w.record.note("%s is lost for good", lost.name)
		lost.lose()
	}
	lostAt := time.Since(w.record.began)
	for range 30 {
		time.Sleep(time.Second)
		runs, _ := w.running()
		w.record.note("%d of %d tasks are at work", runs, fillingTasks)
	}
	return w.verdict(w.record.lastingAway(lostAt))
}
