package faker

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Target is a fake target that echoes request bodies. The header Fake-Sleep delays
// the response, Fake-Status sets its status and Fake-Cut aborts it after that many
// bytes of the body.
type Target struct {
	Name   string
	Events *EventLog

	mu sync.Mutex
	// active counts the requests in progress; peak is its highest value.
	active, peak int
}

// NewTarget returns a target with an empty event log.
func NewTarget(name string) *Target {
	return &Target{Name: name, Events: &EventLog{}}
}

// PeakConcurrency returns the highest number of concurrent requests so far.
func (t *Target) PeakConcurrency() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peak
}

func (t *Target) addActive(delta int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active += delta
	t.peak = max(t.peak, t.active)
}

// ServeHTTP echoes the request's body.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.addActive(1)
	defer t.addActive(-1)
	id := r.Header.Get("Endivefall-Request")
	t.Events.Add(Event{At: time.Now(), Instance: t.Name, Kind: CallStart, Request: id, Task: r.Header.Get("Idempotency-Key"), Idempotent: r.Header.Get("Fake-Repeat") != ""})
	defer func() {
		t.Events.Add(Event{At: time.Now(), Instance: t.Name, Kind: CallEnd, Request: id})
	}()
	if d, err := time.ParseDuration(r.Header.Get("Fake-Sleep")); err == nil {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Fake-Target", t.Name)
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
