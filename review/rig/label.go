package main

import (
	"math/rand/v2"
	"time"
)

// label submits tasks that need a label, which one worker has. The first attempt of each fails.
func label(f *fleet, trouble bool, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	f.queues = []*queue{{Name: "q-a", Host: "nony24.example", Prefix: "/pule252/", Service: f.service, Attempts: 4}}
	f.configure(7)
	for range 2 {
		f.addEntry(false)
	}
	for n := range 6 {
		f.addAgent(16000, 32000, []string{"b", "a"}[min(n, 1)])
	}
	time.Sleep(5 * time.Second)
	s := step{Count: 4, CPU: 500, Memory: 200, EstimateMs: 400, WorkMs: 400, Label: "b"}
	if trouble {
		s.FailFirst = 1
	}
	j := &job{ID: newID(r), Queue: f.queues[0], Spec: "text", Steps: []step{s}}
	f.submit(j)
	idle := time.Now()
	stop := time.Now().Add(25 * time.Second)
	for time.Now().Before(stop) && j.final == "" {
		time.Sleep(50 * time.Millisecond)
		f.state(j)
		f.mu.Lock()
		for task := range f.audit.live {
			if task[:len(j.ID)] == j.ID {
				idle = time.Now()
			}
		}
		span := time.Since(idle)
		f.mu.Unlock()
		if span > 3100*time.Millisecond {
			f.mu.Lock()
			f.audit.broken("LOST", "%s has had nothing running for %s, and the worker with its label is free", j.ID, span)
			f.mu.Unlock()
			break
		}
	}
	for time.Now().Before(stop) && j.final == "" {
		time.Sleep(50 * time.Millisecond)
		f.state(j)
	}
}
