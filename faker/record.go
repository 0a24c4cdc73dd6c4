package faker

import (
	"sync"
	"time"

	"github.com/endivefall/endivefall/parser"
)

// What a stand-in records.
const (
	TaskStart   = "task-start"
	TaskStop    = "task-stop"
	TaskFinish  = "task-finish"
	CallStart   = "call-start"
	CallEnd     = "call-end"
	CallReplied = "told" // a caller got its answer
)

// Event is one thing that happened at a stand-in, in its own words.
type Event struct {
	At         time.Time        `json:"at"`
	Instance   string           `json:"instance"`
	Kind       string           `json:"what"`
	Task       string           `json:"task,omitempty"` // run and index, without the attempt
	Attempt    string           `json:"attempt,omitempty"`
	Checkpoint string           `json:"point,omitempty"`
	Request    string           `json:"request,omitempty"`
	Idempotent bool             `json:"repeat,omitempty"`  // the request may run again
	Outcome    string           `json:"outcome,omitempty"` // as the caller was told
	Mismatch   string           `json:"wrong,omitempty"`   // what is wrong with the answer
	Used       parser.Resources `json:"used"`              // committed at the instance after it
	Total      parser.Resources `json:"total"`             // what the instance has
}

// EventLog is a list that grows; it is safe for concurrent use.
type EventLog struct {
	mu   sync.Mutex
	list []Event
}

// Add appends a record.
func (r *EventLog) Add(one Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, one)
}

// All returns a copy of the list.
func (r *EventLog) All() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.list...)
}
