package main

import (
	"math/rand/v2"
	"time"
)

// wide submits one submission of very many small tasks.
func wide(f *fleet, trouble bool, seed uint64) {
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
	s := step{Count: int(number64("WIDTH", 9000)), CPU: number64("WCPU", 10), Memory: 3, EstimateMs: 300, WorkMs: number64("WMS", 300), Saves: trouble}
	j := &job{ID: newID(r), Queue: f.queues[0], Spec: "text", Steps: []step{s}}
	f.submit(j)
	stop := time.Now().Add(70 * time.Second)
	for time.Now().Before(stop) && j.final == "" {
		time.Sleep(500 * time.Millisecond)
		f.state(j)
	}
	f.say("the submission is shown as %q", f.state(j))
	f.judgeEnds()
}
