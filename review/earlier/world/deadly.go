package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// deadlyID is the submission whose task crashes each worker that starts it.
const deadlyID = "9b1c4d7733aa0e52"

// Times of a crash.
const (
	workBeforeCrash = 150 * time.Millisecond
	agentBack       = 300 * time.Millisecond
	workerBack      = 2500 * time.Millisecond
	// agentKills is how often an agent is killed with its worker.
	agentKills = 3
)

// deadlyTask hands in a task that crashes each worker that starts it. The agent beside the
// worker is killed with it.
func deadlyTask(dir string) ([]string, error) {
	var w *world
	var crashes atomic.Int32
	crash := func(wk *worker, task string) {
		if !strings.HasPrefix(task, deadlyID) {
			return
		}
		time.Sleep(workBeforeCrash)
		wk.crash()
		if w.trouble && crashes.Add(1) <= agentKills {
			for n := range w.workers {
				if w.workers[n] == wk {
					w.signal(syscall.SIGKILL, w.agents[n])
					time.Sleep(agentBack)
					w.restart(w.agents[n])
				}
			}
		}
		time.Sleep(workerBack)
		wk.boot()
	}
	var err error
	w, err = newWorld(dir, options{
		entries: 2, workers: 11, cpu: 64000, memory: 256000, config: plainConfig, onStart: crash,
		duration: func(string, uint64) time.Duration { return time.Second },
	})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second) // traffic starts after the machines
	if err := w.submit("/q/"+deadlyID, `{"spec":"deadly","phases":[{"count":1,"cpu":900,"memMb":1900,"estimateMs":600}]}`); err != nil {
		return nil, err
	}
	await(60*time.Second, func() bool {
		_, state := w.send(0, "GET", "/q/"+deadlyID, "")
		time.Sleep(500 * time.Millisecond)
		return state["state"] == "failed"
	})
	return w.verdict(w.record.startedAfterCrashes())
}

// startedAfterCrashes returns the breaks of BUDGET: a task that crashes the workers that start
// it is started three times more, by machines in touch, after three workers have crashed
// under it.
func (r *record) startedAfterCrashes() []string {
	crashes, starts := 0, 0
	disturbed := map[string]time.Duration{}
	crashed := map[string]bool{}
	var broken []string
	for _, e := range r.all() {
		switch {
		case e.kind == "crash":
			if !crashed[e.worker] {
				crashes++
			}
			crashed[e.worker], disturbed[e.worker] = true, e.at
		case e.kind == "start" && crashes >= 3:
			if at, ok := disturbed[e.worker]; ok && e.at-at < workerBack+contact {
				continue // its machine isn't in touch
			}
			if starts++; starts >= 3 {
				broken = append(broken, fmt.Sprintf("BUDGET: run %d of %s starts on %s at %.3f, start %d after %d workers have crashed under it", e.attempt, e.task, e.worker, e.at.Seconds(), starts, 3))
			}
		}
	}
	return broken
}
