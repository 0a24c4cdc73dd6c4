package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Memory of the machines, in MB, as the settings of the processes have it.
const (
	entryMemory = 284
	agentMemory = 152
)

// large lets a crowd of clients submit whole bodies of legal size, each just below the limit of the configuration.
// Without trouble the bodies are small.
func large(f *fleet, trouble bool, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	f.queues = []*queue{{Name: "q-a", Host: "nony24.example", Prefix: "/pule252/", Service: f.service, Attempts: 4}}
	f.configure(7)
	for range 3 {
		f.addEntry(false)
	}
	for range 4 {
		f.addAgent(16000, 32000, "a")
	}
	time.Sleep(5 * time.Second)
	watched := make(chan struct{})
	go f.watchMemory(watched)
	image := "im"
	if trouble {
		image = strings.Repeat("x", 260000)
	}
	var clients sync.WaitGroup
	left := number64("BODIES", 1600)
	for range 16 {
		clients.Go(func() {
			for {
				f.mu.Lock()
				left--
				over := left < 0
				j := &job{ID: newID(r), Queue: f.queues[0], Spec: "text", Steps: []step{{Count: 1, CPU: 200, Memory: 50, EstimateMs: 200, WorkMs: 200, Image: image}}}
				f.mu.Unlock()
				if over {
					return
				}
				f.submit(j)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	f.say("the crowd has gone")
	f.playOrdinary(r, 30*time.Second)
	close(watched)
	f.judgeEnds()
}

// playOrdinary submits small bodies for some time and judges whether those that are accepted end.
func (f *fleet) playOrdinary(r *rand.Rand, span time.Duration) {
	var jobs []*job
	var mu sync.Mutex
	var clients sync.WaitGroup
	for stop := time.Now().Add(span); time.Now().Before(stop); time.Sleep(500 * time.Millisecond) {
		f.mu.Lock()
		j := &job{ID: newID(r), Queue: f.queues[0], Spec: "text", Steps: []step{{Count: 2, CPU: 200, Memory: 50, EstimateMs: 200, WorkMs: 200}}}
		f.mu.Unlock()
		clients.Go(func() {
			if f.submit(j) {
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	f.say("%d ordinary submissions accepted", len(jobs))
	f.wait(jobs, finishTime)
	f.judgeIdle(jobs, finishTime)
}

// finishTime is the time after the traffic from which on submissions are asked for.
const finishTime = 14 * time.Second

// wait waits until all submissions have ended, but no longer than a time.
func (f *fleet) wait(jobs []*job, within time.Duration) {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		open := 0
		for _, j := range jobs {
			if j.final == "" && f.state(j) == "" || j.final == "" {
				open++
			}
		}
		if open == 0 {
			return
		}
	}
}

// judgeIdle looks at the submissions for 3 s and reports those that have nothing running, though under half of the CPU
// is in use and two workers have room for them.
func (f *fleet) judgeIdle(jobs []*job, after time.Duration) {
	idle := map[*job]bool{}
	for _, j := range jobs {
		idle[j] = j.final == ""
	}
	for end := time.Now().Add(idleTime + 100*time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		f.mu.Lock()
		used, all := int64(0), int64(0)
		running := map[*job]bool{}
		for _, w := range f.workers {
			all += w.cpu
			for _, r := range w.runs {
				used += r.step.CPU
				running[r.job] = true
			}
		}
		for _, j := range jobs {
			idle[j] = idle[j] && !running[j] && f.missing(j) != "" && used*2 < all && f.room(j, 0) >= 2
		}
		f.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	waiting := 0
	for _, j := range jobs {
		if idle[j] {
			waiting++
		}
	}
	f.note("%d of %d ordinary submissions have nothing running", waiting, len(jobs))
	if waiting > 0 {
		f.audit.broken("LOST", "%d of %d ordinary submissions that were accepted have had nothing running for 3 s, %s after the last one, and the workers are free", waiting, len(jobs), after)
	}
}

// watchMemory kills each process that exceeds the memory of its machine, as the platform does.
func (f *fleet) watchMemory(stop chan struct{}) {
	peak := map[string]int64{}
	for {
		select {
		case <-stop:
			f.say("peak memory in MB: %v", peak)
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
			f.mu.Lock()
			proc := p.proc
			f.mu.Unlock()
			limit := int64(entryMemory)
			if p.role == "pool-agent" {
				limit = agentMemory
			}
			used := residentMB(proc.Pid)
			peak[p.id] = max(peak[p.id], used)
			if used > limit {
				f.say("%s has %d MB of %d", p.id, used, limit)
				_ = proc.Kill()
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
}

// residentMB returns the resident memory of a process without its program and files.
func residentMB(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kb / 1024
		}
	}
	return 0
}
