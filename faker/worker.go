package faker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/endivefall/endivefall/executor"
	"github.com/endivefall/endivefall/parser"
)

// Worker runs tasks that only take time. The work of a task is a duration, as
// in 200ms, or one of: fail (fails at once).
type Worker struct {
	Name   string
	Total  parser.Resources
	Now    func() time.Time
	Events *EventLog
	// RecordClock is the clock of the records: one for all stand-ins, whatever Now
	// shows.
	RecordClock func() time.Time

	mu      sync.Mutex
	tasks   map[string]*running
	version uint64
	changed chan struct{}
	// poke gets a token when Watch should look again.
	poke    chan struct{}
	broken  bool
	leaving bool
}

// running is a task at the stand-in; mu of its Worker guards it.
type running struct {
	executor.Task
	length time.Duration // of the work in full
	done   time.Duration // of the work, up to since
	since  time.Time
}

// NewWorker returns a worker that has total.
func NewWorker(name string, total parser.Resources) *Worker {
	return &Worker{
		Name: name, Total: total, Now: time.Now, RecordClock: time.Now, Events: &EventLog{},
		tasks: map[string]*running{}, changed: make(chan struct{}), poke: make(chan struct{}, 1),
	}
}

// FailTasks makes every task fail as it starts, or mends that.
func (k *Worker) FailTasks(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.broken = on
}

// Crash ends all tasks at once and forgets them, as a lost instance does.
func (k *Worker) Crash() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advance()
	for id, t := range k.tasks {
		if t.State == executor.Running {
			t.Checkpoint = ""
			k.end(t, executor.Stopped, TaskStop)
		}
		delete(k.tasks, id)
	}
	k.wake()
}

// AnnounceShutdown gives the notice that the instance is going.
func (k *Worker) AnnounceShutdown() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = true
	k.wake()
}

// Run advances tasks until done is closed. It looks when the next task ends
// by itself, and whenever something else has changed.
func (k *Worker) Run(done <-chan struct{}) {
	for {
		k.mu.Lock()
		k.advance()
		wait := k.next()
		k.mu.Unlock()
		select {
		case <-done:
			return
		case <-k.poke:
		case <-time.After(wait):
		}
	}
}

// next returns how long it is until a running task ends or lapses.
func (k *Worker) next() time.Duration {
	wait := time.Hour
	for _, t := range k.tasks {
		if t.State != executor.Running {
			continue
		}
		if t.CPUShare > 0 {
			wait = min(wait, time.Duration(float64(t.length-t.done)/t.CPUShare))
		}
		wait = min(wait, t.LeaseExpiresAt.Sub(t.since))
	}
	return max(wait, 0) + time.Millisecond
}

func (k *Worker) touch() {
	select {
	case k.poke <- struct{}{}:
	default:
	}
}

func (k *Worker) wake() {
	k.version++
	close(k.changed)
	k.changed = make(chan struct{})
}

// advance moves every running task to now, in the order of their names.
func (k *Worker) advance() {
	ids := make([]string, 0, len(k.tasks))
	for id := range k.tasks {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	now := k.Now()
	for _, id := range ids {
		t := k.tasks[id]
		if t.State != executor.Running {
			continue
		}
		t.done += time.Duration(float64(now.Sub(t.since)) * t.CPUShare)
		t.since = now
		switch {
		case t.done >= t.length:
			k.end(t, executor.Done, TaskFinish)
		case !now.Before(t.LeaseExpiresAt):
			k.end(t, executor.LeaseExpired, TaskStop)
		}
	}
}

func (k *Worker) end(t *running, state executor.State, what string) {
	t.State = state
	k.record(t, what)
	k.wake()
}

func (k *Worker) record(t *running, what string) {
	run := t.ID[:strings.LastIndex(t.ID, ".")]
	k.Events.Add(Event{
		At: k.RecordClock(), Instance: k.Name, Kind: what, Task: run, Attempt: t.ID, Checkpoint: t.Checkpoint,
		Used: k.used(), Total: k.Total,
	})
}

func (k *Worker) used() parser.Resources {
	var sum parser.Resources
	for _, t := range k.tasks {
		if t.State == executor.Running {
			sum = sum.Add(t.Need)
		}
	}
	return sum
}

// ServeHTTP answers the calls of the worker contract.
func (k *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/"), "/")
	if parts[0] == "worker" {
		k.poll(w, r)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	defer k.touch()
	k.advance()
	switch {
	case r.URL.Path == "/v1/leases":
		var l executor.LeaseRenewal
		_ = json.NewDecoder(r.Body).Decode(&l)
		for _, id := range l.IDs {
			if t := k.tasks[id]; t != nil && t.State == executor.Running && l.ExpiresAt.After(t.LeaseExpiresAt) {
				t.LeaseExpiresAt = l.ExpiresAt
			}
		}
	case len(parts) == 2 && r.Method == http.MethodPut:
		k.start(w, r, parts[1])
	case len(parts) >= 2 && k.tasks[parts[1]] == nil:
		w.WriteHeader(http.StatusNotFound)
	case len(parts) == 3:
		k.act(w, r, k.tasks[parts[1]], parts[2])
	case len(parts) == 2 && r.Method == http.MethodDelete:
		if k.tasks[parts[1]].State != executor.Running {
			delete(k.tasks, parts[1])
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (k *Worker) start(w http.ResponseWriter, r *http.Request, id string) {
	if k.tasks[id] != nil {
		return
	}
	t := &running{since: k.Now()}
	if err := json.NewDecoder(r.Body).Decode(&t.Task); err != nil || !t.LeaseExpiresAt.After(k.Now()) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	t.ID, t.State, t.CPUShare = id, executor.Running, 1
	t.length, _ = time.ParseDuration(t.Payload)
	t.done, _ = time.ParseDuration(t.Checkpoint)
	k.tasks[id] = t
	k.record(t, TaskStart)
	if k.broken || t.Payload == "fail" {
		t.Error = "exit status 1"
		k.end(t, executor.Failed, TaskStop)
	}
	k.wake()
}

func (k *Worker) act(w http.ResponseWriter, r *http.Request, t *running, verb string) {
	switch verb {
	case "throttle":
		var th executor.Throttle
		_ = json.NewDecoder(r.Body).Decode(&th)
		t.CPUShare = th.Share
		return
	case "checkpoint":
		if t.State == executor.Running {
			t.Checkpoint = t.done.String()
			k.end(t, executor.Checkpointed, TaskStop)
		}
	case "stop":
		if t.State == executor.Running {
			k.end(t, executor.Stopped, TaskStop)
		}
	}
	_ = json.NewEncoder(w).Encode(t.Task)
}

func (k *Worker) poll(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	k.mu.Lock()
	for k.version == after {
		changed := k.changed
		k.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			after = ^uint64(0)
		case <-r.Context().Done():
			return
		}
		k.mu.Lock()
	}
	k.advance()
	rep := executor.Report{Now: k.Now(), Total: k.Total, Draining: k.leaving, Version: k.version}
	for _, t := range k.tasks {
		t.Used, t.Peak = t.Need, t.Need
		rep.Tasks = append(rep.Tasks, t.Task)
	}
	k.mu.Unlock()
	sort.Slice(rep.Tasks, func(i, j int) bool { return rep.Tasks[i].ID < rep.Tasks[j].ID })
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(rep); err != nil {
		fmt.Fprintln(w, err)
	}
}
