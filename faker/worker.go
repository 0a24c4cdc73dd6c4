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

// Worker is a fake worker whose tasks only take time. The payload of a task is its
// duration, such as 200ms, or the word fail for a task that fails at once.
type Worker struct {
	Name   string
	Total  parser.Resources
	Now    func() time.Time
	Events *EventLog
	// RecordClock is the clock of the events. All fakes share it, so that events are
	// ordered even if the workers' own clocks, Now, differ.
	RecordClock func() time.Time

	mu      sync.Mutex
	tasks   map[string]*workerTask
	version uint64
	changed chan struct{}
	// recheck wakes Run after a change of the tasks.
	recheck  chan struct{}
	failing  bool
	draining bool
}

// workerTask is a task of a Worker, guarded by the worker's mu.
type workerTask struct {
	executor.Task
	duration  time.Duration // of the whole task at full CPU share
	progress  time.Duration // progress up to updatedAt, at full CPU share
	updatedAt time.Time
}

// NewWorker returns a worker with the given capacity.
func NewWorker(name string, total parser.Resources) *Worker {
	return &Worker{
		Name: name, Total: total, Now: time.Now, RecordClock: time.Now, Events: &EventLog{},
		tasks: map[string]*workerTask{}, changed: make(chan struct{}), recheck: make(chan struct{}, 1),
	}
}

// FailTasks sets whether every task fails as it starts.
func (wk *Worker) FailTasks(on bool) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.failing = on
}

// Crash stops all tasks and removes them without a checkpoint, as the loss of an
// instance does.
func (wk *Worker) Crash() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.advance()
	for id, t := range wk.tasks {
		if t.State == executor.Running {
			t.Checkpoint = ""
			wk.endTask(t, executor.Stopped, TaskStop)
		}
		delete(wk.tasks, id)
	}
	wk.notifyWatchers()
}

// AnnounceShutdown reports from now on that the instance is draining.
func (wk *Worker) AnnounceShutdown() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.draining = true
	wk.notifyWatchers()
}

// Run advances tasks until done is closed. It wakes when the next task is due to
// end and after each call that may change the tasks.
func (wk *Worker) Run(done <-chan struct{}) {
	for {
		wk.mu.Lock()
		wk.advance()
		wait := wk.untilNextEnd()
		wk.mu.Unlock()
		select {
		case <-done:
			return
		case <-wk.recheck:
		case <-time.After(wait):
		}
	}
}

// untilNextEnd returns the time until the next running task finishes or its lease
// expires.
func (wk *Worker) untilNextEnd() time.Duration {
	wait := time.Hour
	for _, t := range wk.tasks {
		if t.State != executor.Running {
			continue
		}
		if t.CPUShare > 0 {
			wait = min(wait, time.Duration(float64(t.duration-t.progress)/t.CPUShare))
		}
		wait = min(wait, t.LeaseExpiresAt.Sub(t.updatedAt))
	}
	return max(wait, 0) + time.Millisecond
}

func (wk *Worker) triggerRecheck() {
	select {
	case wk.recheck <- struct{}{}:
	default:
	}
}

func (wk *Worker) notifyWatchers() {
	wk.version++
	close(wk.changed)
	wk.changed = make(chan struct{})
}

// advance updates every running task to the current time, in the order of their IDs.
func (wk *Worker) advance() {
	ids := make([]string, 0, len(wk.tasks))
	for id := range wk.tasks {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	now := wk.Now()
	for _, id := range ids {
		t := wk.tasks[id]
		if t.State != executor.Running {
			continue
		}
		t.progress += time.Duration(float64(now.Sub(t.updatedAt)) * t.CPUShare)
		t.updatedAt = now
		switch {
		case t.progress >= t.duration:
			wk.endTask(t, executor.Done, TaskFinish)
		case !now.Before(t.LeaseExpiresAt):
			wk.endTask(t, executor.LeaseExpired, TaskStop)
		}
	}
}

func (wk *Worker) endTask(t *workerTask, state executor.State, kind string) {
	t.State = state
	wk.recordEvent(t, kind)
	wk.notifyWatchers()
}

func (wk *Worker) recordEvent(t *workerTask, kind string) {
	taskName := t.ID[:strings.LastIndex(t.ID, ".")]
	wk.Events.Add(Event{
		At: wk.RecordClock(), Instance: wk.Name, Kind: kind, Task: taskName, Attempt: t.ID, Checkpoint: t.Checkpoint,
		Used: wk.used(), Total: wk.Total,
	})
}

func (wk *Worker) used() parser.Resources {
	var sum parser.Resources
	for _, t := range wk.tasks {
		if t.State == executor.Running {
			sum = sum.Add(t.Need)
		}
	}
	return sum
}

// ServeHTTP implements the worker API.
func (wk *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/"), "/")
	if parts[0] == "worker" {
		wk.serveReport(w, r)
		return
	}
	wk.mu.Lock()
	defer wk.mu.Unlock()
	defer wk.triggerRecheck()
	wk.advance()
	switch {
	case r.URL.Path == "/v1/leases":
		var l executor.LeaseRenewal
		_ = json.NewDecoder(r.Body).Decode(&l)
		for _, id := range l.IDs {
			if t := wk.tasks[id]; t != nil && t.State == executor.Running && l.ExpiresAt.After(t.LeaseExpiresAt) {
				t.LeaseExpiresAt = l.ExpiresAt
			}
		}
	case len(parts) == 2 && r.Method == http.MethodPut:
		wk.startTask(w, r, parts[1])
	case len(parts) >= 2 && wk.tasks[parts[1]] == nil:
		w.WriteHeader(http.StatusNotFound)
	case len(parts) == 3:
		wk.applyAction(w, r, wk.tasks[parts[1]], parts[2])
	case len(parts) == 2 && r.Method == http.MethodDelete:
		if wk.tasks[parts[1]].State != executor.Running {
			delete(wk.tasks, parts[1])
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (wk *Worker) startTask(w http.ResponseWriter, r *http.Request, id string) {
	if wk.tasks[id] != nil {
		return
	}
	t := &workerTask{updatedAt: wk.Now()}
	if err := json.NewDecoder(r.Body).Decode(&t.Task); err != nil || !t.LeaseExpiresAt.After(wk.Now()) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	t.ID, t.State, t.CPUShare = id, executor.Running, 1
	t.duration, _ = time.ParseDuration(t.Payload)
	t.progress, _ = time.ParseDuration(t.Checkpoint)
	wk.tasks[id] = t
	wk.recordEvent(t, TaskStart)
	if wk.failing || t.Payload == "fail" {
		t.Error = "exit status 1"
		wk.endTask(t, executor.Failed, TaskStop)
	}
	wk.notifyWatchers()
}

func (wk *Worker) applyAction(w http.ResponseWriter, r *http.Request, t *workerTask, action string) {
	switch action {
	case "throttle":
		var throttle executor.Throttle
		_ = json.NewDecoder(r.Body).Decode(&throttle)
		t.CPUShare = throttle.Share
		return
	case "checkpoint":
		if t.State == executor.Running {
			t.Checkpoint = t.progress.String()
			wk.endTask(t, executor.Checkpointed, TaskStop)
		}
	case "stop":
		if t.State == executor.Running {
			wk.endTask(t, executor.Stopped, TaskStop)
		}
	}
	_ = json.NewEncoder(w).Encode(t.Task)
}

func (wk *Worker) serveReport(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	wk.mu.Lock()
	for wk.version == after {
		changed := wk.changed
		wk.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			after = ^uint64(0)
		case <-r.Context().Done():
			return
		}
		wk.mu.Lock()
	}
	wk.advance()
	report := executor.Report{Now: wk.Now(), Total: wk.Total, Draining: wk.draining, Version: wk.version}
	for _, t := range wk.tasks {
		t.Used, t.Peak = t.Need, t.Need
		report.Tasks = append(report.Tasks, t.Task)
	}
	wk.mu.Unlock()
	sort.Slice(report.Tasks, func(i, j int) bool { return report.Tasks[i].ID < report.Tasks[j].ID })
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(report); err != nil {
		fmt.Fprintln(w, err)
	}
}
