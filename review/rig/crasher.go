package main

import (
	"math/rand/v2"
	"os"
	"strconv"
	"time"
)

// crasher submits one short task that crashes each worker as soon as it has started there. Each worker is back after
// some seconds. Without trouble the task does no harm.
func crasher(f *fleet, trouble bool, seed uint64) {
	harmful := step{Count: 1, CPU: 500, Memory: 200, EstimateMs: 900, WorkMs: 900}
	if trouble {
		harmful.CrashMs, harmful.BackMs = 150, number64("BACK_MS", 6500)
	}
	f.playCrashes(harmful, seed)
}

// leaker submits one long-running task that works for two seconds and then crashes its worker, each time. Each worker
// is back after three seconds. Without trouble the task works on.
func leaker(f *fleet, trouble bool, seed uint64) {
	harmful := step{Count: 1, CPU: 500, Memory: 200, EstimateMs: 900, Lasting: true, TargetMs: 50, Image: "im"}
	if trouble {
		harmful.CrashMs, harmful.BackMs = number64("CRASH_MS", 2000), number64("BACK_MS", 3000)
	}
	f.playCrashes(harmful, seed)
}

// number64 returns the number in a variable of the environment, or another one without it.
func number64(name string, otherwise int64) int64 {
	if n, err := strconv.ParseInt(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return otherwise
}

// playCrashes submits one task and looks at it for a minute, or until it is given up or done.
func (f *fleet) playCrashes(s step, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	f.queues = []*queue{{Name: "q-a", Host: "nony24.example", Prefix: "/pule252/", Service: f.service, Attempts: 4}}
	f.configure(7)
	for range 2 {
		f.addEntry(false)
	}
	for range 6 {
		f.addAgent(16000, 32000, "a")
	}
	time.Sleep(5 * time.Second)
	j := &job{ID: newID(r), Queue: f.queues[0], Spec: "text", Steps: []step{s}}
	f.submit(j)
	stop := time.Now().Add(60 * time.Second)
	for time.Now().Before(stop) && j.final == "" {
		time.Sleep(500 * time.Millisecond)
		f.state(j)
	}
	f.say("the submission is shown as %q", f.state(j))
}
