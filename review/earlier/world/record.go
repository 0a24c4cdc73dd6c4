package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// event is something that clients, workers or the platform have seen.
type event struct {
	at      time.Duration
	kind    string
	worker  string
	task    string
	attempt uint64
	how     string
	n       int64
	spec    string
}

// record holds all events and writes them to a file.
type record struct {
	mu     sync.Mutex
	began  time.Time
	events []event
	out    *bufio.Writer
	file   *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), out: bufio.NewWriter(f), file: f}, nil
}

func (r *record) add(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.at = time.Since(r.began)
	r.events = append(r.events, e)
	line := fmt.Sprintf("%9.3f %s", e.at.Seconds(), e.kind)
	if e.worker != "" {
		line += " at=" + e.worker
	}
	if e.task != "" {
		line += fmt.Sprintf(" task=%s run=%d", e.task, e.attempt)
	}
	if e.how != "" {
		line += " how=" + e.how
	}
	if e.n != 0 {
		line += fmt.Sprintf(" n=%d", e.n)
	}
	_, _ = fmt.Fprintln(r.out, line)
}

// note adds a line of text.
func (r *record) note(format string, args ...any) {
	r.add(event{kind: "note", how: fmt.Sprintf(format, args...)})
}

// all returns a copy of the events.
func (r *record) all() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]event(nil), r.events...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
