package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// listedEnds is how many ended runs a list returns.
const listedEnds = 500

// settings of a worker, as the site's sheet gives them.
const (
	longestHold = 6 * time.Second
	stopTime    = 50 * time.Millisecond
	beatEvery   = 1500 * time.Millisecond
)

// active is a run at work.
type active struct {
	attempt  uint64
	began    time.Time
	lasts    time.Duration
	stopping bool
}

// ended is a row of the list of ends.
type ended struct {
	seq     uint64
	task    string
	attempt uint64
	how     string
}

// worker is a stand-in of the platform's worker.
type worker struct {
	name, zone, addr, agent string
	cpu, memory             int64
	labels                  []string
	rec                     *record
	// plan returns how long a task works; 0 for one that lasts.
	plan func(task string) time.Duration
	// reject returns why a start is rejected, or an empty string; nil rejects none.
	reject func(ticket string) string

	// measure returns the last figure of a run; nil for 0.
	measure func() int
	// fails reports whether a task fails at its end; nil if none does.
	fails func(task string) bool
	// late returns after how long an order without an answer is carried out; 0 for one that
	// is answered at once. It is nil if all are.
	late func(path string) time.Duration

	mu       sync.Mutex
	id       string // empty while it is down
	boots    int
	born     time.Time
	fence    uint64
	lease    time.Time
	lapsed   bool // the lease has ended, which is recorded
	runs     map[string]*active
	highest  map[string]uint64
	ends     []ended
	lastEnd  uint64
	changed  chan struct{}
	seq      uint64
	draining bool
}

// boot starts a new life of the worker.
func (w *worker) boot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boots++
	w.id, w.born = fmt.Sprintf("i-%s-%d", w.name, w.boots), time.Now()
	w.fence, w.lease, w.lapsed, w.lastEnd, w.ends, w.seq, w.draining = 0, time.Time{}, false, 0, nil, 0, false
	w.runs, w.highest = map[string]*active{}, map[string]uint64{}
	w.changed = make(chan struct{})
	w.rec.add(event{who: w.name, kind: "boot", detail: w.id})
}

// crash ends the present life; nothing of it remains.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, r := range w.runs {
		w.rec.add(event{who: w.name, kind: "lost", task: task, attempt: r.attempt})
	}
	w.id, w.runs = "", map[string]*active{}
	close(w.changed)
	w.changed = make(chan struct{})
	w.rec.add(event{who: w.name, kind: "crash"})
}

// clockMs is the worker's steady clock; mu is held.
func (w *worker) clockMs() int64 { return 480000 + time.Since(w.born).Milliseconds() }

// end ends a run; mu is held.
func (w *worker) end(task, how string) {
	r := w.runs[task]
	if r == nil {
		return
	}
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.attempt)
	w.lastEnd++
	w.ends = append(w.ends, ended{w.lastEnd, task, r.attempt, how})
	w.rec.add(event{who: w.name, kind: "end", task: task, attempt: r.attempt, detail: how})
	close(w.changed)
	w.changed = make(chan struct{})
}

// lapse kills everything once the lease has ended, and records that it has; mu is held.
func (w *worker) lapse() {
	if w.lease.IsZero() || w.lapsed || time.Now().Before(w.lease) {
		return
	}
	w.lapsed = true
	w.rec.add(event{who: w.name, kind: "lapse"})
	for task := range w.runs {
		w.end(task, "lapsed")
	}
}

// prolong extends the lease to a time on the worker's clock; mu is held.
func (w *worker) prolong(deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	until := w.born.Add(time.Duration(deadlineMs-480000) * time.Millisecond)
	if latest := time.Now().Add(longestHold); until.After(latest) {
		until = latest
	}
	if until.After(w.lease) {
		w.lapse()
		w.lease, w.lapsed = until, false
		id := w.id
		time.AfterFunc(time.Until(until)+time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.id == id {
				w.lapse()
			}
		})
	}
}

// call is the body of any call of the agent.
type call struct {
	Task       string `json:"task"`
	Attempt    uint64 `json:"attempt"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	Wait       int64  `json:"waitMs"`
	fence      uint64
	acked      uint64
}

func readCall(r *http.Request) (*call, error) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	var c call
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, err
	}
	var rest map[string]json.RawMessage
	if err := json.Unmarshal(raw, &rest); err != nil {
		return nil, err
	}
	_ = json.Unmarshal(rest[words["fence"]], &c.fence)
	_ = json.Unmarshal(rest[words["acked"]], &c.acked)
	return &c, nil
}

// ServeHTTP handles a call of the agent.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	c, err := readCall(r)
	if err != nil {
		reply(out, http.StatusBadRequest, map[string]any{})
		return
	}
	if w.late != nil {
		if after := w.late(r.URL.Path); after > 0 {
			again := r.Clone(context.WithoutCancel(r.Context()))
			time.AfterFunc(after, func() { w.carryOut(httptest.NewRecorder(), again, c) })
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	w.carryOut(out, r, c)
}

// carryOut carries a call out and answers it.
func (w *worker) carryOut(out http.ResponseWriter, r *http.Request, c *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.id == "":
		if _, late := out.(*httptest.ResponseRecorder); late {
			return
		}
		panic(http.ErrAbortHandler)
	case r.Header.Get(words["expect"]) != w.id:
		reply(out, http.StatusMisdirectedRequest, map[string]any{"clockMs": w.clockMs()})
		return
	case c.fence < w.fence:
		reply(out, http.StatusConflict, map[string]any{"clockMs": w.clockMs(), "reason": "fence"})
		return
	}
	w.fence = c.fence
	w.lapse()
	switch r.URL.Path {
	case words["start"]:
		w.start(out, c)
	case words["stop"]:
		w.stop(out, c)
	case words["list"]:
		w.list(r.Context(), out, c)
	case words["pace"]:
		reply(out, http.StatusOK, map[string]any{"clockMs": w.clockMs()})
	default:
		reply(out, http.StatusNotFound, map[string]any{})
	}
}

// start begins a run; mu is held.
func (w *worker) start(out http.ResponseWriter, c *call) {
	refuse := func(why string) {
		reply(out, http.StatusConflict, map[string]any{"clockMs": w.clockMs(), "reason": why})
	}
	if r := w.runs[c.Task]; r != nil && r.attempt == c.Attempt {
		reply(out, http.StatusOK, map[string]any{"clockMs": w.clockMs()})
		return
	}
	if w.highest[c.Task] >= c.Attempt || w.runs[c.Task] != nil {
		w.prolong(c.Deadline)
		refuse("old")
		return
	}
	if c.Deadline <= w.clockMs() {
		refuse("late")
		return
	}
	if w.reject != nil {
		if why := w.reject(c.Ticket); why != "" {
			refuse(why)
			return
		}
	}
	w.prolong(c.Deadline)
	r := &active{attempt: c.Attempt, began: time.Now(), lasts: w.plan(c.Task)}
	w.runs[c.Task] = r
	w.rec.add(event{who: w.name, kind: "start", task: c.Task, attempt: c.Attempt, detail: w.id})
	if r.lasts > 0 {
		time.AfterFunc(r.lasts, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.runs[c.Task] == r {
				w.lapse()
				how := "done"
				if w.fails != nil && w.fails(c.Task) {
					how = "failed"
				}
				w.end(c.Task, how)
			}
		})
	}
	reply(out, http.StatusOK, map[string]any{"clockMs": w.clockMs()})
}

// stop ends a run soon; mu is held.
func (w *worker) stop(out http.ResponseWriter, c *call) {
	w.highest[c.Task] = max(w.highest[c.Task], c.Attempt)
	if r := w.runs[c.Task]; r != nil && r.attempt <= c.Attempt && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.runs[c.Task] == r {
				w.end(c.Task, "stopped")
			}
		})
	}
	reply(out, http.StatusOK, map[string]any{"clockMs": w.clockMs()})
}

// list returns what runs and what has ended; mu is held, but not while it waits.
func (w *worker) list(ctx context.Context, out http.ResponseWriter, c *call) {
	w.prolong(c.Deadline)
	n := 0
	for n < len(w.ends) && w.ends[n].seq <= c.acked {
		w.rec.add(event{who: w.name, kind: "noted", task: w.ends[n].task, attempt: w.ends[n].attempt, detail: w.ends[n].how})
		n++
	}
	w.ends = w.ends[n:]
	if c.Wait > 0 {
		id, changed := w.id, w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(c.Wait) * time.Millisecond):
		case <-ctx.Done():
		}
		w.mu.Lock()
		if w.id != id {
			panic(http.ErrAbortHandler)
		}
		w.lapse()
	}
	runs, ends := [][]any{}, [][]any{}
	for task, r := range w.runs {
		percent := 100
		if r.lasts > 0 {
			percent = min(int(100*time.Since(r.began)/r.lasts), 99)
		}
		measured := 0
		if w.measure != nil {
			measured = w.measure()
		}
		runs = append(runs, []any{task, r.attempt, "", percent, measured})
	}
	for _, e := range w.ends[:min(len(w.ends), listedEnds)] {
		ends = append(ends, []any{e.seq, e.task, e.attempt, e.how, ""})
	}
	reply(out, http.StatusOK, map[string]any{"clockMs": w.clockMs(), "active": runs, "finished": ends})
}

// count returns the number of runs whose task has a prefix.
func (w *worker) count(prefix string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for task := range w.runs {
		if len(task) >= len(prefix) && task[:len(prefix)] == prefix {
			n++
		}
	}
	return n
}

// beats sends heartbeats until ctx ends.
func (w *worker) beats(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		w.beat(client)
		select {
		case <-ctx.Done():
		case <-time.After(beatEvery):
		}
	}
}

func (w *worker) beat(client *http.Client) {
	w.mu.Lock()
	id, state := w.id, "ready"
	w.seq++
	if w.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": serviceName, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": state, "warmupLeftMs": 0,
		"capacity": map[string]any{"cpu": w.cpu, "memMb": w.memory, "gpu": 0}, "labels": w.labels, "clockMs": w.clockMs(), "seq": w.seq,
	})
	w.mu.Unlock()
	if err != nil || id == "" {
		return
	}
	resp, err := client.Post("http://"+w.agent+words["beat"]+id, "application/json", bytes.NewReader(body))
	if err == nil {
		_ = resp.Body.Close()
	}
}

// serve listens for the agent until the program ends.
func (w *worker) serve() error { return serve(w.addr, w) }

func serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, h) }()
	return nil
}

func reply(out http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(raw)
}
