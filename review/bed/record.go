package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// event is something that a client, a worker or the platform has seen.
type event struct {
	at              time.Duration
	who, kind, task string
	attempt         uint64
	detail          string
}

// record collects the events of one run of a case.
type record struct {
	began  time.Time
	mu     sync.Mutex
	events []event
	file   *os.File
	quiet  map[string]bool
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, quiet: map[string]bool{}}, nil
}

func (r *record) now() time.Duration { return time.Since(r.began) }

// add records an event and writes it to the file.
func (r *record) add(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.at = r.now()
	r.events = append(r.events, e)
	if !r.quiet[e.kind] {
		_, _ = fmt.Fprintf(r.file, "%8.3f %-12s %-10s %s %d %s\n", e.at.Seconds(), e.who, e.kind, e.task, e.attempt, e.detail)
	}
}

// note records a line of the case itself.
func (r *record) note(format string, args ...any) {
	r.add(event{who: "case", kind: "note", detail: fmt.Sprintf(format, args...)})
}

// all returns the events so far.
func (r *record) all() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]event(nil), r.events...)
}
