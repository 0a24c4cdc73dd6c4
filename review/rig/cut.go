package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// cutSpan is how long the owner's entry is cut off.
const cutSpan = 3500 * time.Millisecond

// cutOff submits a service of four tasks, of which one may be away at a time, on four workers. While the tasks start, the owner's entry
// is cut off from the other instances for a while.
func cutOff(f *fleet, trouble bool, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	f.queues = []*queue{{Name: "q-a", Host: "nony24.example", Prefix: "/pule252/", Service: f.service, Attempts: 4}}
	f.configure(7)
	for range 3 {
		f.addEntry(true)
	}
	for range 6 {
		f.addAgent(16000, 32000, "a")
	}
	time.Sleep(6 * time.Second)
	watched := make(chan struct{})
	go f.monitor(watched)
	for n := range 3 {
		s := step{Count: 4, CPU: 3000, Memory: 500, EstimateMs: 1000, Lasting: true, TargetMs: 50, Image: "im", MaxPerWorker: 1, Away: 1}
		j := &job{ID: newID(r), Queue: f.queues[0], Spec: fmt.Sprint("text-", n), Steps: []step{s}}
		if !f.submit(j) {
			continue
		}
		time.Sleep(startupTime / 2)
		if owner := f.owner(); trouble && owner != nil {
			over := f.disturb("%s is cut off from the other instances for %s", owner.id, cutSpan)
			release := owner.proxy.hold()
			time.Sleep(cutSpan)
			release()
			over()
		}
		time.Sleep(8 * time.Second)
		f.cancel(j)
		time.Sleep(2 * time.Second)
	}
	close(watched)
}
