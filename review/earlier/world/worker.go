package main

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

//go:embed words.json
var rawWords []byte

// words has the names that the platform's pages give to calls and fields.
var words = func() map[string]string {
	var w map[string]string
	if err := json.Unmarshal(rawWords, &w); err != nil {
		panic(err)
	}
	return w
}()

// listedEnds is how many ended runs a worker lists in one reply.
const listedEnds = 500

// activeRun is a run at work.
type activeRun struct {
	task      string
	attempt   uint64
	startedAt time.Time
	lasts     time.Duration // 0: until it is stopped
	timer     *time.Timer
}

// endedRun is a run that has ended.
type endedRun struct {
	n       int64
	task    string
	attempt uint64
	how     string
	at      time.Time
}

// worker is a stand-in of a worker. It behaves as PROTOCOL.md says.
type worker struct {
	name, service string
	cpu, memory   int64
	labels        []string
	// duration returns how long a run works; 0 until it is stopped.
	duration func(task string, attempt uint64) time.Duration
	// ending returns how a run ends that is not interrupted.
	ending func(task string, attempt uint64) string
	// checkTicket returns whether a start with a ticket is allowed; nil allows all.
	checkTicket func(id, task, ticket string) bool
	// measure returns the fifth column of an active run, given all tasks at work on the
	// worker; nil measures nothing.
	measure func(task string, all []string) int64
	// onStart is called for each start, without the worker's lock; nil does nothing.
	onStart func(w *worker, task string)
	// startup is the time until a run that lasts shows 100 percent.
	startup time.Duration
	// maxHold is the longest lease.
	maxHold time.Duration
	record  *record

	mu         sync.Mutex
	id         string
	boots      int
	bootedAt   time.Time
	fence      uint64
	leaseUntil time.Time
	runs       map[string]*activeRun
	highest    map[string]uint64
	finished   []endedRun
	lastEnd    int64
	gone       bool
	down       bool
	changed    chan struct{}
	seq        uint64
}

// boot begins a new life of the worker.
func (w *worker) boot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		w.record.add(event{kind: "lost", worker: w.name, task: r.task, attempt: r.attempt})
	}
	w.boots++
	w.down = false
	w.id = fmt.Sprintf("i-%s-%d", w.name, w.boots)
	w.bootedAt, w.fence, w.leaseUntil = time.Now(), 0, time.Time{}
	w.runs, w.highest, w.finished, w.lastEnd = map[string]*activeRun{}, map[string]uint64{}, nil, 0
	if w.changed == nil {
		w.changed = make(chan struct{})
	}
	w.notify()
}

func (w *worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// clock is the worker's steady clock, in ms.
func (w *worker) clock() int64 { return 400000 + time.Since(w.bootedAt).Milliseconds() }

func (w *worker) atClock(ms int64) time.Time {
	return w.bootedAt.Add(time.Duration(ms-400000) * time.Millisecond)
}

// lapse kills everything once the lease is over; the caller holds mu.
func (w *worker) lapse() {
	if w.leaseUntil.IsZero() || time.Now().Before(w.leaseUntil) {
		return
	}
	w.record.add(event{kind: "lease-lapsed", worker: w.name, n: int64(len(w.runs))})
	for _, r := range w.runs {
		w.end(r, "lapsed")
	}
	w.leaseUntil = time.Time{}
}

// extend prolongs the lease; the caller holds mu.
func (w *worker) extend(deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	until := w.atClock(deadlineMs)
	if latest := time.Now().Add(w.maxHold); until.After(latest) {
		until = latest
	}
	if until.After(w.leaseUntil) && until.After(time.Now()) {
		w.leaseUntil = until
		time.AfterFunc(time.Until(until)+time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.lapse()
		})
	}
}

// end moves a run to the ended ones; the caller holds mu.
func (w *worker) end(r *activeRun, how string) {
	if w.runs[r.task] != r {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.lastEnd++
	w.finished = append(w.finished, endedRun{w.lastEnd, r.task, r.attempt, how, time.Now()})
	w.record.add(event{kind: "end", worker: w.name, task: r.task, attempt: r.attempt, how: how, n: w.lastEnd})
	w.notify()
}

// call is the body of every call to a worker.
type call struct {
	Task       string `json:"task"`
	Attempt    uint64 `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	WaitMs     int64  `json:"waitMs"`
	token      uint64
	acked      int64
}

func readCall(r *http.Request) (*call, error) {
	var raw json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&raw); err != nil {
		return nil, err
	}
	var c call
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, err
	}
	_ = json.Unmarshal(fields[words["token"]], &c.token) // a missing value counts as 0
	_ = json.Unmarshal(fields[words["acked"]], &c.acked)
	return &c, nil
}

func answer(rw http.ResponseWriter, status int, body map[string]any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(raw) // the caller may have gone
}

// ServeHTTP handles a call of the agent.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	c, err := readCall(r)
	if err != nil {
		answer(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	w.mu.Lock()
	if w.gone {
		w.mu.Unlock()
		<-r.Context().Done()
		return
	}
	if w.down {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	w.lapse()
	body := map[string]any{"clockMs": w.clock()}
	if want := r.Header.Get(words["expect"]); want != "" && want != w.id {
		w.mu.Unlock()
		answer(rw, http.StatusMisdirectedRequest, body)
		return
	}
	if c.token < w.fence {
		w.mu.Unlock()
		body["reason"] = "fence"
		answer(rw, http.StatusConflict, body)
		return
	}
	w.fence = c.token
	status := http.StatusOK
	switch r.URL.Path {
	case words["start"]:
		if reason := w.start(c); reason != "" {
			status, body["reason"] = http.StatusConflict, reason
		}
	case words["stop"]:
		w.highest[c.Task] = max(w.highest[c.Task], c.Attempt)
		if run := w.runs[c.Task]; run != nil && run.attempt <= c.Attempt {
			w.end(run, "stopped")
		}
	case words["pace"]:
		if run := w.runs[c.Task]; run == nil || run.attempt != c.Attempt {
			status, body["reason"] = http.StatusConflict, "old"
		}
	case words["hold"]:
		w.extend(c.DeadlineMs)
		for len(w.finished) > 0 && w.finished[0].n <= c.acked {
			e := w.finished[0]
			w.record.add(event{kind: "noted", worker: w.name, task: e.task, attempt: e.attempt, how: e.how, n: e.n})
			w.finished = w.finished[1:]
		}
		if c.WaitMs > 0 {
			changed, id := w.changed, w.id
			w.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Duration(c.WaitMs) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
			w.mu.Lock()
			if w.gone {
				w.mu.Unlock()
				<-r.Context().Done()
				return
			}
			if w.id != id || w.down {
				w.mu.Unlock()
				panic(http.ErrAbortHandler) // that life is over
			}
			w.lapse()
		}
		body["clockMs"] = w.clock()
		body["active"], body["finished"] = w.lists()
	default:
		status = http.StatusNotFound
	}
	w.mu.Unlock()
	answer(rw, status, body)
}

// start carries out a start and returns why it is refused; the caller holds mu.
func (w *worker) start(c *call) string {
	if run := w.runs[c.Task]; run != nil && run.attempt == c.Attempt {
		return ""
	}
	if c.Attempt <= w.highest[c.Task] {
		w.extend(c.DeadlineMs)
		return "old"
	}
	if !w.atClock(c.DeadlineMs).After(time.Now()) {
		return "late"
	}
	if w.checkTicket != nil && !w.checkTicket(w.id, c.Task, c.Ticket) {
		return "ticket"
	}
	w.extend(c.DeadlineMs)
	run := &activeRun{task: c.Task, attempt: c.Attempt, startedAt: time.Now(), lasts: w.duration(c.Task, c.Attempt)}
	how := w.ending(c.Task, c.Attempt)
	if run.lasts > 0 {
		run.timer = time.AfterFunc(run.lasts, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.lapse()
			w.end(run, how)
		})
	}
	w.runs[c.Task] = run
	if w.onStart != nil {
		go w.onStart(w, c.Task)
	}
	w.record.add(event{kind: "start", worker: w.name, task: c.Task, attempt: c.Attempt, spec: c.Spec})
	return ""
}

// lists returns both lists; the caller holds mu.
func (w *worker) lists() (active, finished [][]any) {
	active, finished = [][]any{}, [][]any{}
	var tasks []string
	for task := range w.runs {
		tasks = append(tasks, task)
	}
	for _, r := range w.runs {
		measured := int64(0)
		if w.measure != nil {
			measured = w.measure(r.task, tasks)
		}
		whole := r.lasts
		if whole == 0 {
			whole = w.startup
		}
		percent := 100
		if whole > 0 {
			percent = min(int(100*time.Since(r.startedAt)/whole), 100)
		}
		active = append(active, []any{r.task, r.attempt, "", percent, measured})
	}
	for _, e := range w.finished[:min(len(w.finished), listedEnds)] {
		finished = append(finished, []any{e.n, e.task, e.attempt, e.how, ""})
	}
	return active, finished
}

// active returns how many runs are at work, and how many ends are not taken note of.
func (w *worker) active() (runs, ends int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs), len(w.finished)
}

// beat sends the worker's pings to an agent until ctx ends.
func (w *worker) beat(ctx context.Context, agent string) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		if w.down {
			w.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			continue
		}
		w.seq++
		body := map[string]any{
			"service": w.service, "address": w.name, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "warmupLeftMs": 0, "seq": w.seq,
			"capacity": map[string]any{"cpu": w.cpu, "memMb": w.memory, "gpu": 0}, "labels": w.labels, "clockMs": w.clock(),
		}
		id := w.id
		w.mu.Unlock()
		raw, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		resp, err := client.Post("http://"+agent+words["beat"]+id, "application/json", bytes.NewReader(raw))
		if err == nil {
			_ = resp.Body.Close()
		}
		pause := 1500 * time.Millisecond
		if err != nil {
			pause = 300 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// crash ends the worker with all that runs there; boot starts it again.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		w.record.add(event{kind: "lost", worker: w.name, task: r.task, attempt: r.attempt})
	}
	w.runs, w.down = map[string]*activeRun{}, true
	w.record.add(event{kind: "crash", worker: w.name})
	w.notify()
}

// lose ends the worker for good: it answers nothing from then on.
func (w *worker) lose() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		w.record.add(event{kind: "lost", worker: w.name, task: r.task, attempt: r.attempt})
	}
	w.runs, w.finished, w.gone = map[string]*activeRun{}, nil, true
}

// has reports whether a task of a submission is at work on the worker.
func (w *worker) has(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.runs {
		if strings.HasPrefix(task, id) {
			return true
		}
	}
	return false
}
