package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// kind submits tasks that need a worker of kind a. The owner's entry is cut off from the other instances for
// less than a second; behind the cut, one of these workers crashes and starts again as kind b.
func kind(f *fleet, trouble bool, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	f.queues = []*queue{{Name: "q-a", Host: "nony24.example", Prefix: "/pule252/", Service: f.service, Attempts: 4}}
	f.configure(7)
	for range 2 {
		f.addEntry(true)
	}
	for n := range 4 {
		f.addAgent(16000, 32000, []string{"a", "b"}[n/2])
	}
	time.Sleep(5 * time.Second)
	var jobs []*job
	stop := time.Now().Add(20 * time.Second)
	next := time.Now().Add(3 * time.Second)
	down := 0
	for time.Now().Before(stop) {
		j := &job{ID: newID(r), Queue: f.queues[0], Spec: fmt.Sprint("text-", r.Uint64()), Steps: []step{{Count: 2, CPU: 500, Memory: 200, EstimateMs: 400, WorkMs: 400, Label: "a"}}}
		jobs = append(jobs, j)
		go f.submit(j)
		time.Sleep(70 * time.Millisecond)
		if trouble && time.Now().After(next) && down < 1 {
			next = time.Now().Add(8 * time.Second)
			go f.cutAndCrash(f.workers[down])
			down++
		}
	}
	time.Sleep(2 * time.Second)
	f.finish(jobs, 10*time.Second)
}

func (f *fleet) cutAndCrash(w *worker) {
	owner := f.owner()
	over := f.disturb("%s is cut off from the other instances", owner.id)
	release := owner.proxy.hold()
	time.Sleep(100 * time.Millisecond)
	w.crash("crashes")
	time.Sleep(200 * time.Millisecond)
	w.boot("b")
	time.Sleep(600 * time.Millisecond)
	release()
	over()
}
