package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// tasksAtOnce is how many short tasks a worker of 64 cores has at work when the agent
	// beside it is killed: more than the ends that it lists in one reply.
	tasksAtOnce = 1600
	// downTime is how long the agent's process is down.
	downTime = 1500 * time.Millisecond
)

const plainConfig = `{"version":3,"routes":[{"name":"r1","host":"host.example","prefix":"/q/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":"svc","maxAttempts":4,"stretchFactor":2.0}],
"services":[{"name":"svc","enforceLimits":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// manyEnds kills the agent beside a worker that has many tasks at work, which end before the
// agent is back.
func manyEnds(dir string) ([]string, error) {
	const lasts = 5 * time.Second
	w, err := newWorld(dir, options{
		entries: 2, workers: 2, cpu: 64000, memory: 256000, config: plainConfig,
		duration: func(string, uint64) time.Duration { return lasts },
	})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // traffic starts after the machines
	const path = "/q/5c0e7a21d94b36f8"
	if err := w.submit(path, fmt.Sprintf(`{"spec":"roll","phases":[{"count":%d,"cpu":40,"memMb":100,"estimateMs":%d}]}`, tasksAtOnce, lasts.Milliseconds())); err != nil {
		return nil, err
	}
	first := time.Time{}
	if !await(20*time.Second, func() bool {
		runs, _ := w.running()
		if runs > 0 && first.IsZero() {
			first = time.Now()
		}
		return runs == tasksAtOnce
	}) {
		return nil, fmt.Errorf("%w: the tasks are not at work all at once", errCannotRun)
	}
	took := time.Since(first)
	w.record.note("all at work after %s", took)
	if w.trouble {
		time.Sleep(lasts - took - 100*time.Millisecond)
		agent := w.agents[w.busiest()]
		w.signal(syscall.SIGKILL, agent)
		time.Sleep(downTime)
		runs, ends := w.running()
		w.record.note("back: %d at work, %d ends listed", runs, ends)
		w.restart(agent)
	}
	complete := await(25*time.Second, func() bool {
		_, state := w.send(0, "GET", path, "")
		time.Sleep(300 * time.Millisecond)
		return state["state"] == "complete"
	})
	time.Sleep(3 * time.Second)
	w.record.note("complete: %t", complete)
	return w.verdict(w.record.startedAfterDone())
}
