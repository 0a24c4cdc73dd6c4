package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Bounds of the disturbance: platform_lost of agua-opendays, with how = late.
const (
	lostFor      = 4500 * time.Millisecond
	lostShare    = 0.35
	lateBy       = 5500 * time.Millisecond
	touchBound   = 3000 * time.Millisecond
	lostPerWrite = 10 * time.Second
)

// losses loses the answers to writes that name a job, and carries them out late.
type losses struct {
	w             *world
	id            string
	mu            sync.Mutex
	until         time.Time
	writes, lost  int
	appliedLateAt time.Time
}

// gate is world.gate.
func (l *losses) gate(_ http.ResponseWriter, r *http.Request, next http.Handler) bool {
	if r.URL.Path != words["write"] {
		return true
	}
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(raw))
	l.mu.Lock()
	lose := false
	if time.Now().Before(l.until) {
		l.writes++
		if lose = strings.Contains(string(raw), l.id); lose {
			l.lost++
		}
	}
	l.mu.Unlock()
	if !lose {
		return true
	}
	l.w.rec.note("the store does not answer a write, and carries it out %s later", lateBy)
	time.AfterFunc(lateBy, func() {
		again, err := http.NewRequest(http.MethodPost, words["write"], bytes.NewReader(raw))
		if err != nil {
			return
		}
		answer := httptest.NewRecorder()
		next.ServeHTTP(answer, again)
		l.mu.Lock()
		l.appliedLateAt = time.Now()
		l.mu.Unlock()
		l.w.rec.note("the store carries out a write late: %d", answer.Code)
	})
	select {
	case <-r.Context().Done():
	case <-time.After(lostPerWrite):
	}
	panic(http.ErrAbortHandler)
}

// playDoubt cancels a submission that got no answer.
func playDoubt(dir string, rec *record) ([]string, error) {
	const id = "5c0e7a21d94b36f8"
	w, err := newWorld(dir, rec, size{entries: 3, workers: 3, cpu: 64000, memory: 256000, plan: func(task string) time.Duration {
		if strings.HasPrefix(task, id) {
			return 6 * time.Second // a task that lasts, and fails now and then
		}
		return 640 * time.Millisecond
	}})
	if err != nil {
		return nil, err
	}
	if err := w.ready(); err != nil {
		return nil, err
	}
	over := make(chan struct{})
	defer close(over)
	go w.trickle(over)
	time.Sleep(2 * time.Second)
	l := &losses{w: w, id: id}
	if w.trouble {
		l.until = time.Now().Add(lostFor)
		w.mu.Lock()
		w.gate = l.gate
		w.mu.Unlock()
	}
	watchers := map[string]any{"spec": "x", "phases": []any{map[string]any{"count": 6, "cpu": 500, "memMb": 100, "estimateMs": 400, words["lasts"]: true}}}
	status, _ := w.send(w.fronts[0], http.MethodPost, id, watchers)
	rec.note("the submission got %d", status)
	time.Sleep(200 * time.Millisecond)
	canceled := 0
	if !await(5*time.Second, func() bool {
		canceled, _ = w.send(w.fronts[1], http.MethodDelete, id, nil)
		return canceled == http.StatusOK || canceled == http.StatusGone
	}) {
		return nil, fmt.Errorf("the cancel got no acknowledgement")
	}
	acked := rec.now()
	rec.note("the cancel is acknowledged with %d", canceled)
	time.Sleep(25 * time.Second)
	if l.writes > 0 {
		rec.note("%d of %d writes lost their answers", l.lost, l.writes)
		if float64(l.lost) > lostShare*float64(l.writes) {
			return nil, fmt.Errorf("more answers were lost than the page allows")
		}
	}
	calm := acked
	if !l.appliedLateAt.IsZero() {
		calm = max(calm, l.appliedLateAt.Sub(rec.began))
	}
	late, calmStarts := 0, 0
	for _, e := range rec.all() {
		if e.kind == "start" && strings.HasPrefix(e.task, id) && e.at > acked+cancelBound {
			late++
			if e.at > calm+touchBound {
				calmStarts++
			}
		}
	}
	if calmStarts > 0 {
		return []string{fmt.Sprintf("UNASKED: %d starts of a submission later than %s after its cancel was acknowledged with %d; %d of them when all had been calm for %s; %s is shown as %q",
			late, cancelBound, canceled, calmStarts, touchBound, id, w.state(id))}, nil
	}
	return nil, nil
}

// trickle hands small jobs in, as other clients do.
func (w *world) trickle(over chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-over:
			return
		case <-time.After(140 * time.Millisecond):
		}
		go w.send(w.fronts[n%len(w.fronts)], http.MethodPost, fmt.Sprintf("a0000000%08x", n), map[string]any{"spec": "y", "phases": []any{map[string]any{"count": 6, "cpu": 960, "memMb": 100, "estimateMs": 640}}})
	}
}
