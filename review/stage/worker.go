package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Bounds of a worker, from the platform's pages.
const (
	holdMax       = 6 * time.Second
	beatInterval  = 1500 * time.Millisecond
	stopTime      = 50 * time.Millisecond
	startupTime   = 300 * time.Millisecond
	maxListed     = 500
	clockStart    = 400000 // ms
	drainLinger   = 4 * time.Second
	beatDeadline  = time.Second
	maxWait       = 2 * time.Second
	checkInterval = 10 * time.Millisecond
	// checkpointInterval is the work between two checkpoints.
	checkpointInterval = 500 * time.Millisecond
)

// plan is how a run goes: it ends after a time, or lasts if that is 0.
type plan struct {
	takes time.Duration
	how   string
}

// task is a run on a worker.
type task struct {
	name    string
	attempt uint64
	ends    time.Time // zero for a run that lasts
	how     string
	begun   time.Time
	stopBy  time.Time // zero unless it is being stopped
}

// ended is a row of the list of ended runs.
type ended struct {
	n       uint64
	name    string
	attempt uint64
	how     string
	listed  bool
}

// worker stands in for a worker of the platform, which obeys the calls of its own machine.
type worker struct {
	id, machine string
	service     string
	labels      []string
	cpu, memory int
	record      *record
	// plan says how a run of a task goes on this worker.
	plan func(w *worker, name string, attempt uint64, spec string) plan
	born time.Time
	addr string
	// checkpointBytes is the size of a checkpoint of a run; 0 if it saves none.
	checkpointBytes int

	mu       sync.Mutex
	agent    string // address for heartbeats
	seq      int
	draining bool
	gone     bool
	down     bool // it has crashed and is not back yet
	lives    int  // how often it came back
	fence    uint64
	deadline time.Time // of everything that runs
	lapsed   bool      // set once the deadline has passed, until it is renewed
	runs     map[string]*task
	highest  map[string]uint64 // the highest attempt that has ended or was stopped, by task
	ends     []ended
	lastEnd  uint64
	acked    uint64
	changed  chan struct{} // closed at each end
	server   *http.Server
}

func newWorker(id, service string, labels []string, cpu, memory int, rec *record) *worker {
	return &worker{
		id: id, machine: id, service: service, labels: labels, cpu: cpu, memory: memory, record: rec, born: time.Now(),
		runs: map[string]*task{}, highest: map[string]uint64{}, changed: make(chan struct{}),
	}
}

// clock returns the worker's steady clock, in ms.
func (w *worker) clock() int64 { return clockStart + time.Since(w.born).Milliseconds() }

// serve listens on a free loopback port and works until done is closed.
func (w *worker) serve(done <-chan struct{}) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.addr = listener.Addr().String()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	go func() {
		beat := time.Now()
		for {
			select {
			case <-done:
				_ = w.server.Close()
				return
			case <-time.After(checkInterval):
			}
			w.work(time.Now())
			if time.Now().After(beat) {
				beat = time.Now().Add(beatInterval)
				go w.beat()
			}
		}
	}()
	return nil
}

// work ends the runs that are due.
func (w *worker) work(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.deadline.IsZero() && !w.gone && !w.lapsed && now.After(w.deadline) {
		w.lapsed = true
		w.record.log(line{kind: "lapse", worker: w.id})
	}
	for _, t := range w.runs {
		switch {
		case !t.stopBy.IsZero() && now.After(t.stopBy):
			w.finish(t, "stopped")
		case now.After(w.deadline):
			w.finish(t, "lapsed")
		case t.stopBy.IsZero() && !t.ends.IsZero() && now.After(t.ends):
			w.finish(t, t.how)
		}
	}
}

func (w *worker) finish(t *task, how string) {
	delete(w.runs, t.name)
	w.lastEnd++
	w.highest[t.name] = max(w.highest[t.name], t.attempt)
	w.ends = append(w.ends, ended{n: w.lastEnd, name: t.name, attempt: t.attempt, how: how})
	w.record.end(w.id, t.name, t.attempt, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// beat sends a heartbeat, which a drain waits for.
func (w *worker) beat() {
	w.mu.Lock()
	w.seq++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	body := map[string]any{
		"service": w.service, "address": w.addr, "zone": "z1", "version": "v1", "slots": 8, "state": state, "warmupLeftMs": 0, "seq": w.seq, "clockMs": w.clock(),
		"capacity": map[string]any{"cpu": w.cpu, "memMb": w.memory, "gpu": 0}, "labels": w.labels,
	}
	if w.draining {
		body["remainingMs"] = drainLinger.Milliseconds()
	}
	agent, id, gone := w.agent, w.id, w.gone || w.down
	w.mu.Unlock()
	if agent == "" || gone {
		return
	}
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	client := http.Client{Timeout: beatDeadline}
	resp, err := client.Post("http://"+agent+wire("beat")+id, "application/json", bytes.NewReader(raw))
	if err == nil {
		_ = resp.Body.Close()
	}
}

// leave drains the worker, and then ends it.
func (w *worker) leave() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.record.add("worker %s drains", w.id)
	w.beat()
	time.Sleep(drainLinger)
	w.mu.Lock()
	agent := w.agent
	w.mu.Unlock()
	client := http.Client{Timeout: beatDeadline}
	if resp, err := client.Post("http://"+agent+wire("leave")+w.id, "application/json", nil); err == nil {
		_ = resp.Body.Close()
	}
	w.crash()
}

// crash ends the worker with all that runs on it.
func (w *worker) crash() {
	_ = w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
	for _, t := range w.runs {
		w.record.end(w.id, t.name, t.attempt, crashed)
	}
	w.runs = map[string]*task{}
	w.record.add("worker %s has ended", w.id)
}

// reborn crashes the worker, which comes back with nothing under another id.
func (w *worker) reborn(after time.Duration) {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.down = true
	for _, t := range w.runs {
		w.record.end(w.id, t.name, t.attempt, crashed)
	}
	w.record.add("worker %s crashes", w.id)
	w.runs, w.highest, w.ends = map[string]*task{}, map[string]uint64{}, nil
	w.mu.Unlock()
	time.Sleep(after)
	w.mu.Lock()
	w.lives++
	w.id = fmt.Sprintf("%s-%d", w.machine, w.lives)
	w.born, w.fence, w.deadline, w.lapsed, w.lastEnd, w.acked, w.seq = time.Now(), 0, time.Time{}, false, 0, 0, 0
	w.down = false
	w.record.add("worker %s is there", w.id)
	w.mu.Unlock()
	w.beat()
}

// crashed is how a run ends whose worker crashes.
const crashed = "gone with the worker"

// call is the body of a call.
type call struct {
	Task     string `json:"task"`
	Attempt  uint64 `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Wait     int64  `json:"waitMs"`
	Percent  int    `json:"percent"`
	fence    uint64
	acked    uint64
}

// ServeHTTP carries out a call of the worker's own machine.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var c call
	var raw map[string]json.RawMessage
	var text json.RawMessage
	if json.NewDecoder(r.Body).Decode(&text) != nil || json.Unmarshal(text, &c) != nil || json.Unmarshal(text, &raw) != nil {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	c.fence, _ = strconv.ParseUint(string(raw[wire("fence")]), 10, 64)
	c.acked, _ = strconv.ParseUint(string(raw[wire("acked")]), 10, 64)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get(wire("expect")); id != "" && id != w.id {
		reply(rw, http.StatusMisdirectedRequest, map[string]any{"clockMs": w.clock()})
		return
	}
	if c.fence < w.fence {
		w.refuse(rw, "fence")
		return
	}
	w.fence = c.fence
	if c.Deadline > 0 {
		until := w.born.Add(time.Duration(c.Deadline-clockStart) * time.Millisecond)
		if latest := time.Now().Add(holdMax); until.After(latest) {
			until = latest
		}
		if until.After(w.deadline) {
			w.deadline, w.lapsed = until, false
		}
	}
	switch r.URL.Path {
	case wire("start"):
		w.start(rw, &c)
	case wire("stop"):
		if t := w.runs[c.Task]; t != nil && t.attempt == c.Attempt && t.stopBy.IsZero() {
			w.record.add("worker %s stops %s run %d", w.id, c.Task, c.Attempt)
			t.stopBy = time.Now().Add(stopTime)
		}
		w.highest[c.Task] = max(w.highest[c.Task], c.Attempt)
		reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
	case wire("pace"):
		reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
	case wire("hold"):
		w.list(rw, r, &c)
	default:
		reply(rw, http.StatusNotFound, nil)
	}
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason})
}

func (w *worker) start(rw http.ResponseWriter, c *call) {
	t := w.runs[c.Task]
	switch {
	case t != nil && t.attempt == c.Attempt:
		reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
		return
	case c.Attempt <= w.highest[c.Task] || t != nil:
		w.refuse(rw, "old")
		return
	case !time.Now().Before(w.deadline):
		w.refuse(rw, "late")
		return
	}
	p := w.plan(w, c.Task, c.Attempt, c.Spec)
	t = &task{name: c.Task, attempt: c.Attempt, how: p.how, begun: time.Now()}
	if p.takes > 0 {
		t.ends = time.Now().Add(p.takes)
	}
	w.runs[c.Task] = t
	w.record.start(w.id, c.Task, c.Attempt)
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

// list answers with the active and the ended runs, and waits for an end if it is asked to.
func (w *worker) list(rw http.ResponseWriter, r *http.Request, c *call) {
	for len(w.ends) > 0 && w.ends[0].n <= c.acked {
		w.record.noted(w.id, w.ends[0].name, w.ends[0].attempt, w.ends[0].how)
		w.ends = w.ends[1:]
	}
	w.acked = max(w.acked, c.acked)
	wait := min(time.Duration(c.Wait)*time.Millisecond, maxWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waits := wait > 0; waits; {
		for _, e := range w.ends {
			waits = waits && e.listed
		}
		if !waits {
			break
		}
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waits = false
		case <-r.Context().Done():
			waits = false
		}
		w.mu.Lock()
	}
	active, finished := [][]any{}, [][]any{}
	now := time.Now()
	for _, t := range w.runs {
		percent := 100
		if !t.ends.IsZero() {
			percent = int(99 * now.Sub(t.begun) / t.ends.Sub(t.begun))
		} else if now.Sub(t.begun) < startupTime {
			percent = 50
		}
		active = append(active, []any{t.name, t.attempt, w.saved(t, now), percent, 0})
	}
	for n := range w.ends[:min(len(w.ends), maxListed)] {
		e := &w.ends[n]
		e.listed = true
		finished = append(finished, []any{e.n, e.name, e.attempt, e.how, ""})
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock(), "active": active, "finished": finished})
}

// saved returns the checkpoint of a run, which has a new value with each half second of work.
func (w *worker) saved(t *task, now time.Time) string {
	if w.checkpointBytes == 0 {
		return ""
	}
	return fmt.Sprintf("%0*d", w.checkpointBytes, now.Sub(t.begun)/checkpointInterval)
}

// running returns how many runs of tasks whose names begin with a prefix are at work.
func (w *worker) running(prefix string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for name := range w.runs {
		if len(name) >= len(prefix) && name[:len(prefix)] == prefix {
			n++
		}
	}
	return n
}

// String names the worker in records.
func (w *worker) String() string { return fmt.Sprintf("%s at %s", w.id, w.addr) }
