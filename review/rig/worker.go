package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Bounds of the platform that the workers keep to.
const (
	holdMax     = 6 * time.Second
	gangTimeout = 3 * time.Second
	saveEvery   = 500 * time.Millisecond
	beatEvery   = 1500 * time.Millisecond
	listedEnds  = 500
	// startupTime is how long a long-running task takes until it is at work.
	startupTime = 400 * time.Millisecond
)

// worker is a stand-in of a worker of the platform. fleet.mu guards its state, so that gangs on several
// workers and the audit see one order of events.
type worker struct {
	f                *fleet
	name, zone, rack string
	service          string
	addr, agent      string
	// lateShare is the share of orders that get no answer and are carried out late.
	lateShare float64
	server    *http.Server

	up          bool
	id, kind    string
	boots       int
	bootedAt    time.Time
	cpu, mem    int64
	shrunkAt    time.Time
	bigger      [2]int64 // capacity before it shrank
	draining    bool
	drainAcked  time.Time
	fence       uint64
	until       time.Time // the lease
	runs        map[string]*run
	highest     map[string]uint64
	ends        []end
	lastEnd     uint64
	changed     chan struct{}
	seq         uint64
	tickets     map[string]time.Time
	stopBeating chan struct{}
}

type run struct {
	task       string
	attempt    uint64
	job        *job
	step       *step
	startedAt  time.Time
	workFrom   time.Time // zero while a gang waits
	work       time.Duration
	saved      time.Duration
	percent    int
	stopping   bool
	timer      *time.Timer
	aloneTimer *time.Timer
}

type end struct {
	n       uint64
	task    string
	attempt uint64
	how     string
	saved   string
	at      time.Time
}

func (w *worker) clock() int64 { return 100000 + time.Since(w.bootedAt).Milliseconds() }

func (w *worker) local(clock int64) time.Time {
	return w.bootedAt.Add(time.Duration(clock-100000) * time.Millisecond)
}

// boot starts a new life of the worker.
func (w *worker) boot(kind string) {
	w.f.mu.Lock()
	if w.up {
		w.f.mu.Unlock()
		return
	}
	w.boots++
	w.id, w.kind, w.bootedAt = fmt.Sprintf("i-%s-%d-%08x", w.name, w.boots, w.f.rand.Uint32()), kind, time.Now()
	w.up, w.draining, w.fence, w.until, w.drainAcked = true, false, 0, time.Time{}, time.Time{}
	w.runs, w.highest, w.ends, w.lastEnd, w.seq = map[string]*run{}, map[string]uint64{}, nil, 0, 0
	w.tickets, w.changed, w.stopBeating = map[string]time.Time{}, make(chan struct{}), make(chan struct{})
	stop := w.stopBeating
	w.f.note("worker %s boots as %s kind %s", w.name, w.id, kind)
	w.f.mu.Unlock()
	var listener net.Listener
	for range 100 {
		var err error
		if listener, err = net.Listen("tcp", w.addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if listener == nil {
		w.f.fatal("worker %s can't listen", w.name)
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	go w.beat(stop)
}

// crash ends the life with all its runs.
func (w *worker) crash(why string) {
	w.f.mu.Lock()
	if !w.up {
		w.f.mu.Unlock()
		return
	}
	w.up = false
	close(w.stopBeating)
	for _, r := range w.sorted() {
		w.f.audit.lost(w, r)
		w.drop(r)
	}
	w.wake()
	w.f.note("worker %s %s", w.name, why)
	w.f.mu.Unlock()
	_ = w.server.Close()
}

func (w *worker) sorted() []*run {
	var list []*run
	for _, r := range w.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int { return strings.Compare(a.task, b.task) })
	return list
}

func (w *worker) drop(r *run) {
	if r.timer != nil {
		r.timer.Stop()
	}
	if r.aloneTimer != nil {
		r.aloneTimer.Stop()
	}
	delete(w.runs, r.task)
	w.f.breakGang(r)
}

func (w *worker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// drain announces that the worker leaves, and ends it after a while.
func (w *worker) drain(after time.Duration) {
	w.f.mu.Lock()
	w.draining = true
	w.f.note("worker %s drains", w.name)
	w.f.mu.Unlock()
	w.sendBeat()
	time.Sleep(after)
	w.f.mu.Lock()
	id := w.id
	w.f.mu.Unlock()
	req, err := http.NewRequest(http.MethodPost, "http://"+w.agent+strings.Replace(wire["heartbeat"], "Heartbeat", "Deregister", 1)+id, strings.NewReader("{}"))
	if err == nil {
		if resp, err := w.f.client.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}
	w.crash("has left")
}

func (w *worker) beat(stop chan struct{}) {
	for {
		pause := beatEvery
		if !w.sendBeat() {
			pause = 300 * time.Millisecond
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

func (w *worker) sendBeat() bool {
	w.f.mu.Lock()
	if !w.up {
		w.f.mu.Unlock()
		return false
	}
	w.seq++
	state := "ready"
	body := map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": state, "warmupLeftMs": 0,
		"capacity": map[string]any{"cpu": w.cpu, "memMb": w.mem, "gpu": 0}, "labels": []string{w.kind, w.rack}, "clockMs": w.clock(), "seq": w.seq,
	}
	draining := w.draining
	if draining {
		body["state"], body["remainingMs"] = "draining", 1500
	}
	id := w.id
	w.f.mu.Unlock()
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	resp, err := w.f.client.Post("http://"+w.agent+wire["heartbeat"]+id, "application/json", bytes.NewReader(raw))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	if draining && resp.StatusCode == http.StatusOK {
		w.f.mu.Lock()
		if w.drainAcked.IsZero() {
			w.drainAcked = time.Now()
		}
		w.f.mu.Unlock()
	}
	return resp.StatusCode == http.StatusOK
}

// order is a call to the worker.
type order struct {
	Task       string `json:"task"`
	Attempt    uint64 `json:"attempt"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	Wait       int64  `json:"waitMs"`
	Percent    int    `json:"percent"`
	fence      uint64
	cursor     uint64
}

func number(fields map[string]json.RawMessage, name string) uint64 {
	var n uint64
	_ = json.Unmarshal(fields[name], &n)
	return n
}

// ServeHTTP handles a call of the agent.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var raw json.RawMessage
	var o order
	var fields map[string]json.RawMessage
	if json.NewDecoder(r.Body).Decode(&raw) != nil || json.Unmarshal(raw, &o) != nil || json.Unmarshal(raw, &fields) != nil {
		http.Error(rw, "bad", http.StatusBadRequest)
		return
	}
	o.fence, o.cursor = number(fields, wire["fence"]), number(fields, wire["cursor"])
	expected := r.Header.Get(wire["instance"])
	w.f.mu.Lock()
	boots, id := w.boots, w.id
	late := w.lateShare > 0 && w.f.rand.Float64() < w.lateShare
	delay := time.Duration(2000+w.f.rand.IntN(10000)) * time.Millisecond
	w.f.mu.Unlock()
	if late {
		w.f.mu.Lock()
		w.f.note("worker %s carries out %s %s %d in %s", w.name, r.URL.Path, o.Task, o.Attempt, delay)
		w.f.mu.Unlock()
		time.AfterFunc(delay, func() {
			w.f.mu.Lock()
			defer w.f.mu.Unlock()
			if w.up && w.boots == boots {
				w.carryOut(r.URL.Path, expected, &o, true)
			}
		})
		<-r.Context().Done()
		return
	}
	w.f.mu.Lock()
	status, body := w.carryOut(r.URL.Path, expected, &o, false)
	if status == http.StatusOK && r.URL.Path == wire["hold"] && o.Wait > 0 {
		changed := w.changed
		w.f.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		w.f.mu.Lock()
		if !w.up || w.boots != boots {
			w.f.mu.Unlock()
			return
		}
		body = w.list()
	}
	if status == http.StatusMisdirectedRequest {
		w.f.note("worker %s (%s) refuses a call for %s", w.name, id, expected)
	}
	w.f.mu.Unlock()
	answer(rw, status, body)
}

func answer(rw http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(raw)
}

func (w *worker) refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason}
}

// carryOut executes a call; fleet.mu is held.
func (w *worker) carryOut(path, expected string, o *order, late bool) (int, map[string]any) {
	if expected != "" && expected != w.id {
		return http.StatusMisdirectedRequest, map[string]any{"clockMs": w.clock()}
	}
	w.expire()
	if o.fence < w.fence {
		return w.refuse("fence")
	}
	w.fence = o.fence
	switch path {
	case wire["hold"]:
		w.extend(o.Deadline)
		for len(w.ends) > 0 && w.ends[0].n <= o.cursor {
			w.f.audit.noted(w, w.ends[0])
			w.ends = w.ends[1:]
		}
		return http.StatusOK, w.list()
	case wire["start"]:
		return w.start(o, late)
	case wire["stop"]:
		w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
		if r := w.runs[o.Task]; r != nil && r.attempt <= o.Attempt && !r.stopping {
			r.stopping = true
			time.AfterFunc(30*time.Millisecond, func() {
				w.f.mu.Lock()
				defer w.f.mu.Unlock()
				if w.runs[r.task] == r {
					w.finish(r, "stopped")
				}
			})
		}
		return http.StatusOK, map[string]any{"clockMs": w.clock()}
	case wire["pace"]:
		return http.StatusOK, map[string]any{"clockMs": w.clock()}
	}
	return http.StatusNotFound, map[string]any{}
}

func (w *worker) extend(deadline int64) {
	if deadline == 0 {
		return
	}
	until := w.local(min(deadline, w.clock()+holdMax.Milliseconds()))
	if !until.After(w.until) {
		return
	}
	w.until = until
	boots := w.boots
	time.AfterFunc(time.Until(until)+2*time.Millisecond, func() {
		w.f.mu.Lock()
		defer w.f.mu.Unlock()
		if w.up && w.boots == boots {
			w.expire()
		}
	})
}

func (w *worker) expire() {
	if w.until.IsZero() || time.Now().Before(w.until) {
		return
	}
	w.until = time.Time{}
	w.f.audit.lapsed(w)
	if len(w.runs) > 0 {
		w.f.note("worker %s: lease lapsed, %d runs", w.name, len(w.runs))
	}
	for _, r := range w.sorted() {
		w.finish(r, "lapsed")
	}
}

func (w *worker) start(o *order, late bool) (int, map[string]any) {
	if o.Deadline <= w.clock() {
		return w.refuse("late")
	}
	w.extend(o.Deadline)
	if r := w.runs[o.Task]; r != nil && r.attempt == o.Attempt {
		return http.StatusOK, map[string]any{"clockMs": w.clock()}
	}
	if o.Attempt <= w.highest[o.Task] || w.runs[o.Task] != nil {
		return w.refuse("old")
	}
	name, err := parseTask(o.Task)
	j := w.f.jobs[name.job]
	if err != nil || j == nil || name.step >= len(j.Steps) || name.index >= j.Steps[name.step].Count {
		w.f.audit.broken("UNASKED", "%s starts at %s, which nobody sent", o.Task, w.name)
		return w.refuse("room")
	}
	s := &j.Steps[name.step]
	if j.Queue.Restricted {
		if until, ok := w.tickets[stepName(o.Task)+"/"+o.Ticket]; !ok || time.Now().After(until) {
			w.f.note("worker %s refuses %s: ticket", w.name, o.Task)
			return w.refuse("ticket")
		}
	}
	r := &run{task: o.Task, attempt: o.Attempt, job: j, step: s, startedAt: time.Now()}
	if o.Checkpoint != "" {
		if ms, err := strconv.ParseInt(strings.TrimLeft(o.Checkpoint[:8], "0")+"", 16, 64); err == nil {
			r.saved = time.Duration(ms) * time.Millisecond
		}
	}
	w.f.audit.started(w, r, o, late)
	w.runs[o.Task] = r
	if s.Gang {
		w.joinGang(r)
	} else {
		w.beginWork(r)
	}
	w.wake()
	return http.StatusOK, map[string]any{"clockMs": w.clock()}
}

// beginWork lets a run work until its end.
func (w *worker) beginWork(r *run) {
	r.workFrom = time.Now()
	if r.step.CrashMs > 0 {
		r.work = time.Duration(r.step.WorkMs) * time.Millisecond
		w.crashUnder(r)
		return
	}
	if r.step.Lasting {
		return
	}
	r.work = time.Duration(r.step.WorkMs)*time.Millisecond*time.Duration(50+hash(r.task)%100)/100 + 20*time.Millisecond
	how := "done"
	left := max(r.work-r.saved, 10*time.Millisecond)
	if every := r.step.FailEvery; every > 0 && hash(r.task, r.attempt)%uint64(every) == 0 {
		how, left = "failed", left/2
	}
	if r.step.FailFirst > 0 && w.f.audit.starts[r.task] <= r.step.FailFirst {
		how = "failed"
	}
	r.timer = time.AfterFunc(left, func() {
		w.f.mu.Lock()
		defer w.f.mu.Unlock()
		w.expire()
		if w.runs[r.task] != r {
			return
		}
		if how == "done" && r.step.Gang {
			for _, m := range w.f.gang(r) {
				if m.run != r {
					m.at.finishQuietly(m.run, "done")
				}
			}
		}
		w.finish(r, how)
	})
}

// crashUnder lets a run crash the worker, which is back after some seconds.
func (w *worker) crashUnder(r *run) {
	r.timer = time.AfterFunc(time.Duration(r.step.CrashMs)*time.Millisecond, func() {
		w.f.mu.Lock()
		there := w.runs[r.task] == r
		if there {
			w.f.audit.crashed(w, r)
		}
		kind := w.kind
		w.f.mu.Unlock()
		if there {
			w.crash("crashes under " + r.task)
			time.Sleep(time.Duration(r.step.BackMs) * time.Millisecond)
			w.boot(kind)
		}
	})
}

// joinGang adds a run to its gang, which works from the moment when all of its members are there.
func (w *worker) joinGang(r *run) {
	members := w.f.gang(r)
	if len(members) == r.step.Count {
		for _, m := range members {
			if m.run.aloneTimer != nil {
				m.run.aloneTimer.Stop()
			}
			m.run.workFrom = time.Now()
		}
		first := members[0]
		first.at.beginWork(first.run)
		return
	}
	r.aloneTimer = time.AfterFunc(gangTimeout, func() {
		w.f.mu.Lock()
		defer w.f.mu.Unlock()
		if w.runs[r.task] == r && r.workFrom.IsZero() {
			w.f.audit.alone(w, r)
			w.finish(r, "alone")
		}
	})
}

func (w *worker) percentOf(r *run) int {
	switch {
	case r.workFrom.IsZero():
		return 0
	case r.step.Lasting:
		return min(100, int(time.Since(r.workFrom)*100/startupTime))
	case r.work == 0:
		return 50
	}
	return min(99, int(100*(r.saved+time.Since(r.workFrom))/r.work))
}

func (w *worker) savedOf(r *run, stop bool) string {
	if !r.step.Saves || r.workFrom.IsZero() {
		return ""
	}
	worked := r.saved + time.Since(r.workFrom)
	if !stop {
		worked = worked / saveEvery * saveEvery
	}
	if worked < saveEvery && !stop {
		return ""
	}
	return fmt.Sprintf("%08x%08x", worked.Milliseconds(), uint32(hash(stepOrTask(r))))
}

// stepOrTask names what a checkpoint of a run is valid for.
func stepOrTask(r *run) string {
	if r.step.Gang {
		return stepName(r.task)
	}
	return r.task
}

func (w *worker) finish(r *run, how string) {
	w.finishQuietly(r, how)
	if how != "done" {
		w.f.breakGang(r)
	}
}

func (w *worker) finishQuietly(r *run, how string) {
	w.f.judgeStop(w, r, how)
	saved := ""
	if how != "done" {
		saved = w.savedOf(r, how == "stopped")
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	if r.aloneTimer != nil {
		r.aloneTimer.Stop()
	}
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.lastEnd++
	e := end{w.lastEnd, r.task, r.attempt, how, saved, time.Now()}
	w.ends = append(w.ends, e)
	w.f.audit.ended(w, r, e)
	w.wake()
}

func (w *worker) list() map[string]any {
	active, finished := [][]any{}, [][]any{}
	for _, r := range w.sorted() {
		saved := w.savedOf(r, false)
		w.f.audit.save(r, saved)
		active = append(active, []any{r.task, r.attempt, saved, w.percentOf(r), measured(r)})
	}
	for _, e := range w.ends[:min(len(w.ends), listedEnds)] {
		finished = append(finished, []any{e.n, e.task, e.attempt, e.how, e.saved})
	}
	return map[string]any{"clockMs": w.clock(), "active": active, "finished": finished}
}

// measured is the rough figure of a run: its tail latency if it serves, its processor otherwise.
func measured(r *run) int64 {
	if r.step.TargetMs > 0 {
		return r.step.TargetMs / 3
	}
	return r.step.CPU
}
