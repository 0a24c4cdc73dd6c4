package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/endivefall/endivefall/faker"
)

func taskOf(j *job, k, n, i int) string { return fmt.Sprintf("%s.%d.%d.%d", j.ID, k, n, i) }

// advice are the settings of the service that names the workers of queues with a policy.
type advice struct{ Decision, PerWorker, Validity time.Duration }

// maxAdviceWaiting is how many calls may wait for the service.
const maxAdviceWaiting = 32

// serveAdvice opens that service. It handles one call at a time, in turn.
func (f *fleet) serveAdvice(a advice) {
	f.policy = a
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		panic(err)
	}
	f.advice = l.Addr().String()
	turns := make(chan chan bool, maxAdviceWaiting)
	go func() {
		for turn := range turns {
			turn <- true // the call has its turn
			<-turn       // and is done
		}
	}()
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var ask struct {
				Step    string   `json:"stepId"`
				Workers []string `json:"workers"`
			}
			if json.NewDecoder(r.Body).Decode(&ask) != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			turn, began := make(chan bool), time.Now()
			select {
			case turns <- turn:
			default:
				f.say("advice on %s refused: %d calls wait", ask.Step, maxAdviceWaiting)
				w.WriteHeader(http.StatusTooManyRequests)
				return
			}
			<-turn
			time.Sleep(a.Decision + time.Duration(len(ask.Workers))*a.PerWorker)
			turn <- true
			granted := [][]string{}
			f.mu.Lock()
			for _, worker := range f.workers {
				if worker.up && slices.Contains(ask.Workers, worker.id) && f.allows(ask.Step, worker) {
					ticket := fmt.Sprintf("%08x", f.rand.Uint32())
					worker.tickets[ask.Step+"/"+ticket] = time.Now().Add(a.Validity)
					granted = append(granted, []string{worker.id, ticket})
				}
			}
			f.note("advice on %s: %d of %d workers, after %s", ask.Step, len(granted), len(ask.Workers), time.Since(began).Round(time.Millisecond))
			f.mu.Unlock()
			answer(w, http.StatusOK, map[string]any{"granted": granted, "validityMs": a.Validity.Milliseconds()})
		}))
	}()
}

// allows reports whether the policy allows a worker to run a step, which never changes.
func (f *fleet) allows(step string, w *worker) bool { return hash(step, w.name)%2 == 0 }

// randomJob returns a submission with traits that the sites of the bench lack.
func randomJob(f *fleet, r *rand.Rand) *job {
	j := &job{ID: newID(r), Queue: f.queues[r.IntN(len(f.queues))], Spec: fmt.Sprintf("text-%d", r.Uint64())}
	base := func() step {
		return step{Count: 1 + r.IntN(5), CPU: int64(500 + r.IntN(3000)), Memory: int64(200 + r.IntN(2000)), EstimateMs: 700, WorkMs: int64(200 + r.IntN(1500)), Saves: r.IntN(2) == 0, FailEvery: []int{0, 0, 4}[r.IntN(3)]}
	}
	first := base()
	switch r.IntN(12) {
	case 0:
		first.EstimateMs = 0
	case 1:
		first.EstimateMs = 1 << 40
	case 2:
		first.CPU = 0
	case 3:
		first.Memory = 0
	}
	switch r.IntN(11) {
	case 8:
		first.Copies = true
	case 9:
		first.Gang, first.Fills, first.Image, first.Count = true, true, "fi", 2+r.IntN(3)
	case 10:
		first.Lasting, first.Fills, first.Saves, first.Image, first.Away, first.WorkMs, first.FailEvery = true, true, true, "fi", 1, 0, 0
	case 0, 1:
		first.Gang, first.Count = true, 2+r.IntN(5)
	case 2:
		first.Label = []string{"a", "b"}[r.IntN(2)]
	case 3:
		first.MaxPerWorker = 1 + r.IntN(2)
	case 4:
		j.Times, j.DueMs, j.Every = 2+r.IntN(3), time.Now().Add(time.Duration(1+r.IntN(6))*time.Second).UnixMilli(), int64(1000+r.IntN(4000))
	case 5:
		first.Lasting, first.Count, first.TargetMs, first.Image, first.Away, first.WorkMs, first.FailEvery = true, 1+r.IntN(3), 50, "im", 1, 0, 0
	case 6:
		first.Fills, first.Image = true, "fi"
	}
	j.Steps = []step{first}
	if !first.Lasting && r.IntN(2) == 0 {
		second := base()
		second.After = []int{0}
		if r.IntN(3) == 0 {
			second.Gang, second.Count = true, 2+r.IntN(4)
		}
		j.Steps = append(j.Steps, second)
	}
	return j
}

// soak plays random submissions under random disturbances.
func soak(f *fleet, trouble bool, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	f.serveAdvice(advice{20 * time.Millisecond, 2 * time.Millisecond, 3 * time.Second})
	f.queues = []*queue{
		{Name: "q-a", Host: "nony24.example", Prefix: "/pule252/", Service: f.service, Attempts: 3},
		{Name: "q-b", Host: "ficu95.example", Prefix: "/pufi791/", Service: f.service, Priority: 2, Attempts: 4},
		{Name: "q-h", Host: "nony24.example", Prefix: "/hint11/", Service: f.service, Attempts: 3, Restricted: true},
	}
	f.configure(7)
	for range number64("ENTRIES", 3) {
		f.addEntry(true)
	}
	for n := range number64("AGENTS", 6) {
		f.addAgent(16000, 32000, []string{"a", "b"}[n%2])
	}
	for n := range 4 {
		f.addAgentOf(otherService, 16000, 32000, []string{"a", "b"}[n%2])
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var jobs []*job
	stop := time.Now().Add(55 * time.Second)
	wg.Go(func() {
		for time.Now().Before(stop) {
			f.mu.Lock()
			j := randomJob(f, r)
			f.mu.Unlock()
			wg.Go(func() {
				if !f.submit(j) {
					return
				}
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
				for time.Now().Before(stop) && j.final == "" {
					time.Sleep(time.Duration(1000+hash(j.ID)%1000) * time.Millisecond)
					if hash(j.ID)%8 == 0 || j.Steps[0].Lasting && time.Since(j.accepted) > 15*time.Second {
						f.cancel(j)
						return
					}
					f.state(j)
				}
			})
			time.Sleep(time.Duration(100+hash(j.ID)%300) * time.Millisecond)
		}
	})
	if trouble {
		wg.Go(func() {
			d := rand.New(rand.NewPCG(seed, 3))
			for time.Now().Before(stop.Add(-4 * time.Second)) {
				time.Sleep(time.Duration(d.IntN(3500)) * time.Millisecond)
				wg.Go(func() { f.anyTrouble(d.Uint64()) })
			}
		})
	}
	watched := make(chan struct{})
	go f.monitor(watched)
	wg.Wait()
	f.finish(jobs, 20*time.Second)
	f.judgeRejected()
	close(watched)
}

// anyTrouble plays one disturbance.
func (f *fleet) anyTrouble(seed uint64) {
	d := rand.New(rand.NewPCG(seed, 4))
	e, a, w := f.entries[d.IntN(len(f.entries))], d.IntN(len(f.agents)), f.workers[d.IntN(len(f.workers))]
	if o := f.owner(); o != nil && d.IntN(2) == 0 {
		e = o
	}
	pause := time.Duration(300+d.IntN(4000)) * time.Millisecond
	switch d.IntN(26) {
	case 0:
		over := f.disturb("kill %s", e.id)
		e.signal(syscall.SIGKILL, true)
		time.Sleep(time.Second)
		over()
	case 1:
		over := f.disturb("term %s", e.id)
		e.signal(syscall.SIGTERM, true)
		time.Sleep(6 * time.Second)
		over()
	case 2:
		over := f.disturb("freeze %s %s", e.id, pause)
		e.signal(syscall.SIGSTOP, false)
		time.Sleep(pause)
		e.signal(syscall.SIGCONT, false)
		over()
	case 3, 4:
		over := f.disturb("hold %s %s", e.id, pause)
		release := e.proxy.hold()
		time.Sleep(pause)
		release()
		over()
	case 5:
		over := f.disturb("reset %s", e.id)
		e.proxy.reset()
		over()
	case 6:
		over := f.disturb("kill %s", f.agents[a].id)
		f.agents[a].signal(syscall.SIGKILL, true)
		time.Sleep(time.Second)
		over()
	case 7:
		over := f.disturb("term %s", f.agents[a].id)
		f.agents[a].signal(syscall.SIGTERM, true)
		time.Sleep(4 * time.Second)
		over()
	case 8:
		over := f.disturb("freeze %s %s", f.agents[a].id, pause)
		f.agents[a].signal(syscall.SIGSTOP, false)
		time.Sleep(pause)
		f.agents[a].signal(syscall.SIGCONT, false)
		over()
	case 9, 10:
		over := f.disturb("crash %s", w.name)
		down := []time.Duration{0, 100 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second}[d.IntN(4)]
		if w.isUp() {
			w.crash("crashes")
			time.Sleep(down)
			w.boot(w.nextKind([]string{"a", "b"}[d.IntN(2)]))
		}
		over()
	case 11:
		over := f.disturb("late orders at %s", w.name)
		f.mu.Lock()
		w.lateShare = 0.3
		f.mu.Unlock()
		time.Sleep(pause)
		f.mu.Lock()
		w.lateShare = 0
		f.mu.Unlock()
		time.Sleep(12 * time.Second)
		over()
	case 12:
		over := f.disturb("drain %s", w.name)
		if w.isUp() {
			w.drain(3 * time.Second)
			time.Sleep(time.Second)
			w.boot(w.nextKind("a"))
		}
		over()
	case 13:
		over := f.disturb("store refuses %s", e.id)
		f.block(e.id, true)
		time.Sleep(pause)
		f.block(e.id, false)
		over()
	case 14:
		over := f.disturb("store down %s", pause)
		f.store.SetFault(func(string) faker.StoreFault { return faker.StoreFault{Refuse: true} })
		time.Sleep(pause)
		f.store.SetFault(nil)
		over()
	case 16:
		over := f.disturb("shrink %s", w.name)
		f.shrink(w, 3)
		time.Sleep(pause)
		over()
		time.Sleep(6 * time.Second)
		f.shrink(w, 1)
	case 17:
		over := f.disturb("crash all workers of a rack")
		for _, other := range f.workers {
			if other.rack == w.rack && other.isUp() {
				other.crash("crashes")
			}
		}
		time.Sleep(pause / 2)
		for _, other := range f.workers {
			if other.rack == w.rack && !other.isRunning() {
				other.boot(other.kind)
			}
		}
		over()
	case 19, 20:
		over := f.disturb("a queue moves")
		f.mu.Lock()
		q := f.queues[d.IntN(2)]
		if q.Service == f.service {
			q.Service = otherService
		} else {
			q.Service = f.service
		}
		q.Restricted = q.Restricted && d.IntN(2) == 0
		f.version += 3
		version := f.version
		f.mu.Unlock()
		f.configure(version)
		over()
	case 21:
		over := f.disturb("kill all processes")
		for _, p := range slices.Concat(f.entries, f.agents) {
			p.signal(syscall.SIGKILL, true)
		}
		time.Sleep(2 * time.Second)
		over()
	case 22:
		all := slices.Concat(f.entries, f.agents)
		if d.IntN(2) == 0 {
			all = f.entries
		}
		over := f.disturb("freeze %d processes %s", len(all), pause)
		for _, p := range all {
			p.signal(syscall.SIGSTOP, false)
		}
		time.Sleep(pause)
		for _, p := range all {
			p.signal(syscall.SIGCONT, false)
		}
		over()
	case 23:
		over := f.disturb("store slow %s", pause)
		f.store.SetFault(func(string) faker.StoreFault { return faker.StoreFault{Delay: 240 * time.Millisecond} })
		time.Sleep(pause)
		f.store.SetFault(nil)
		over()
	case 24:
		over := f.disturb("store forgets its history")
		f.store.Compact()
		over()
	case 25:
		over := f.disturb("resets at all")
		for _, p := range f.entries {
			p.proxy.reset()
		}
		over()
	case 18:
		over := f.disturb("kill all entries")
		for _, other := range f.entries {
			other.signal(syscall.SIGKILL, true)
		}
		time.Sleep(2 * time.Second)
		over()
	case 15:
		over := f.disturb("store loses answers %s", pause)
		f.store.SetFault(func(call string) faker.StoreFault {
			f.mu.Lock()
			defer f.mu.Unlock()
			if call == "commit" && f.rand.Float64() < 0.35 {
				return faker.StoreFault{LoseReply: true, ApplyDelay: time.Duration(f.rand.IntN(5000)) * time.Millisecond}
			}
			return faker.StoreFault{}
		})
		time.Sleep(pause)
		f.store.SetFault(nil)
		over()
	}
}

func (f *fleet) shrink(w *worker, part int64) {
	f.mu.Lock()
	w.bigger, w.shrunkAt = [2]int64{w.cpu, w.mem}, time.Now()
	w.cpu, w.mem = 16000/part, 32000/part
	f.note("worker %s has %d now", w.name, w.cpu)
	f.mu.Unlock()
	w.sendBeat()
}

func (f *fleet) block(id string, is bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked[id] = is
}

func (w *worker) isUp() bool {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	return w.up && !w.draining
}

// nextKind returns the kind of the worker's next life. Two keep theirs, so that no kind is lost.
func (w *worker) nextKind(kind string) string {
	if w.name == "w5" || w.name == "w9" || w.name == "w0" || w.name == "w6" {
		return w.kind
	}
	return kind
}

func (w *worker) isRunning() bool {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	return w.up
}

// judgeRejected reports tasks that were started of submissions of which all attempts were rejected.
func (f *fleet) judgeRejected() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task := range f.audit.starts {
		name, _ := parseTask(task)
		if j := f.jobs[name.job]; j != nil && j.rejected {
			f.audit.broken("REFUSED", "%s was started, and all attempts to hand it in were rejected", task)
		}
	}
}

// possible reports whether each step of a submission has workers enough that its queue allows.
func (f *fleet) possible(j *job) bool {
	if !j.Queue.Restricted {
		return true
	}
	for k := range max(j.Times, 1) {
		for n, s := range j.Steps {
			fit := 0
			for _, w := range f.workers {
				if w.service == j.Queue.Service && f.allows(stepName(taskOf(j, k, n, 0)), w) && (s.Label == "" || w.kind == s.Label) {
					fit++
				}
			}
			if fit == 0 || s.Gang && fit < 3 {
				return false
			}
		}
	}
	return true
}

// finish waits until all submissions that can end have ended.
func (f *fleet) finish(jobs []*job, within time.Duration) {
	deadline := time.Now().Add(within)
	for {
		open := 0
		for _, j := range jobs {
			if j.final != "" || j.Steps[0].Lasting || !j.cancelSent.IsZero() || !f.possible(j) {
				continue
			}
			if f.state(j); j.final == "" {
				open++
				if time.Now().After(deadline) {
					f.mu.Lock()
					f.audit.broken("LOST", "%s has not ended: %s is missing; steps %+v", j.ID, f.missing(j), j.Steps)
					f.mu.Unlock()
				}
			}
		}
		if open == 0 || time.Now().After(deadline) {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}
