package faker

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Target answers with what it was sent. The header Fake-Sleep holds a request
// up, Fake-Status sets the answer's status, Fake-Cut cuts the answer after so
// many bytes.
type Target struct {
	Name   string
	Events *EventLog

	mu sync.Mutex
	// inside counts the requests now served; most is its highest value.
	inside, most int
}

// NewTarget returns a target.
func NewTarget(name string) *Target {
	return &Target{Name: name, Events: &EventLog{}}
}

// PeakConcurrency returns how many requests were ever served at once.
func (g *Target) PeakConcurrency() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.most
}

func (g *Target) enter(by int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inside += by
	g.most = max(g.most, g.inside)
}

// ServeHTTP echoes the request's body.
func (g *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.enter(1)
	defer g.enter(-1)
	id := r.Header.Get("Endivefall-Request")
	g.Events.Add(Event{At: time.Now(), Instance: g.Name, Kind: CallStart, Request: id, Task: r.Header.Get("Idempotency-Key"), Idempotent: r.Header.Get("Fake-Repeat") != ""})
	defer func() {
		g.Events.Add(Event{At: time.Now(), Instance: g.Name, Kind: CallEnd, Request: id})
	}()
	if d, err := time.ParseDuration(r.Header.Get("Fake-Sleep")); err == nil {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Fake-Target", g.Name)
	status := http.StatusOK
	if n, err := strconv.Atoi(r.Header.Get("Fake-Status")); err == nil {
		status = n
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	if n, err := strconv.ParseInt(r.Header.Get("Fake-Cut"), 10, 64); err == nil {
		w.Header().Set("Content-Length", strconv.FormatInt(2*n, 10))
		w.WriteHeader(status)
		_, _ = io.CopyN(w, r.Body, n)
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	_, _ = io.Copy(w, r.Body)
}
