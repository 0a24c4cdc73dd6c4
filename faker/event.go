package faker

import (
	"sync"
	"time"

	"github.com/endivefall/endivefall/parser"
)

// Kinds of events.
const (
	TaskStart   = "task-start"
	TaskStop    = "task-stop"
	TaskFinish  = "task-finish"
	CallStart   = "call-start"
	CallEnd     = "call-end"
	CallReplied = "told" // a caller's request ended, with or without a reply
)

// Event is one event at a fake or a caller, as observed there.
type Event struct {
	At         time.Time        `json:"at"`
	Instance   string           `json:"instance"`
	Kind       string           `json:"what"`
	Task       string           `json:"task,omitempty"` // run and index, without the attempt; for a call its idempotency key
	Attempt    string           `json:"attempt,omitempty"`
	Checkpoint string           `json:"point,omitempty"`
	Request    string           `json:"request,omitempty"`
	Idempotent bool             `json:"repeat,omitempty"`  // the request may run again
	Outcome    string           `json:"outcome,omitempty"` // as reported to the caller
	Mismatch   string           `json:"wrong,omitempty"`   // how the reply differs from the expected one
	Used       parser.Resources `json:"used"`              // resources in use at the instance after the event
	Total      parser.Resources `json:"total"`             // capacity of the instance
}

// EventLog is an append-only list of events; it is safe for concurrent use.
type EventLog struct {
	mu     sync.Mutex
	events []Event
}

// Add appends an event.
func (l *EventLog) Add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, e)
}

// All returns a copy of all events.
func (l *EventLog) All() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Event(nil), l.events...)
}
