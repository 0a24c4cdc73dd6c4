package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// policyTime is the time after the last submission at which the submissions are looked at: five times what the service takes
// for a call for each of them.
const policyTime = 45 * time.Second

// policy submits jobs of a queue whose policy names the workers. With trouble, forty come at once; without it, one by one.
func policy(f *fleet, trouble bool, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	f.serveAdvice(advice{time.Duration(number64("DECISION_MS", 120)) * time.Millisecond, 10 * time.Millisecond, 3 * time.Second})
	f.queues = []*queue{{Name: "q-h", Host: "nony24.example", Prefix: "/hint11/", Service: f.service, Attempts: 4, Restricted: true}}
	f.configure(7)
	for range 2 {
		f.addEntry(false)
	}
	for range 11 {
		f.addAgent(16000, 32000, "a")
	}
	time.Sleep(5 * time.Second)
	var jobs []*job
	done := make(chan bool)
	count := int(number64("JOBS", 40))
	for range count {
		j := &job{ID: newID(r), Queue: f.queues[0], Spec: fmt.Sprint("text-", r.Uint64()), Steps: []step{{Count: 2, CPU: 500, Memory: 200, EstimateMs: 400, WorkMs: 400}}}
		jobs = append(jobs, j)
		go func() { done <- f.submit(j) }()
		if !trouble {
			time.Sleep(600 * time.Millisecond)
		}
	}
	for range jobs {
		<-done
	}
	f.wait(jobs, policyTime)
	f.judgeIdle(jobs, policyTime)
}
