package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// rack submits short jobs of which three in five want the same rack, at a rate at which its workers are full now and
// then. Without trouble no job wants a rack.
func rack(f *fleet, trouble bool, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	f.queues = []*queue{{Name: "q-a", Host: "nony24.example", Prefix: "/pule252/", Service: f.service, Attempts: 4}}
	f.configure(7)
	for range 3 {
		f.addEntry(false)
	}
	for range 6 {
		f.addAgent(16000, 32000, "a")
	}
	time.Sleep(5 * time.Second)
	var jobs []*job
	done := make(chan bool)
	stop := time.Now().Add(30 * time.Second)
	for n := 0; time.Now().Before(stop); n++ {
		s := step{Count: 2 + r.IntN(3), CPU: 4000, Memory: 200, EstimateMs: 900, WorkMs: 900}
		if trouble && n%5 < 3 {
			s.Rack = "r1"
		}
		j := &job{ID: newID(r), Queue: f.queues[0], Spec: fmt.Sprint("text-", r.Uint64()), Steps: []step{s}}
		jobs = append(jobs, j)
		go func() { done <- f.submit(j) }()
		time.Sleep(130 * time.Millisecond)
	}
	accepted := 0
	for range jobs {
		if <-done {
			accepted++
		}
	}
	f.say("%d of %d submissions accepted", accepted, len(jobs))
	var owed []*job
	for _, j := range jobs {
		if !j.accepted.IsZero() {
			owed = append(owed, j)
		}
	}
	f.finish(owed, 14*time.Second)
	f.judgeEnds()
}

// judgeEnds reports a fault if on a tenth of the machines, and on two at least, processes have ended by themselves three
// times each.
func (f *fleet) judgeEnds() {
	f.mu.Lock()
	defer f.mu.Unlock()
	machines := 0
	for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
		f.note("%s ended by itself %d times", p.id, p.ends)
		if p.ends >= 3 {
			machines++
		}
	}
	if machines >= max(2, (len(f.entries)+len(f.agents)+9)/10) {
		f.audit.broken("Fault", "on %d machines processes ended by themselves three times or more", machines)
	}
}
