package faker

import (
	"sync"
	"time"

	"github.com/endivefall/endivefall/parser"
)

// What a stand-in records.
const (
	TaskStart  = "task-start"
	TaskStop   = "task-stop"
	TaskFinish = "task-finish"
	CallStart  = "call-start"
	CallEnd    = "call-end"
	Told       = "told" // a caller got its answer
)

// Record is one thing that happened at a stand-in, in its own words.
type Record struct {
	At         time.Time   `json:"at"`
	Instance   string      `json:"instance"`
	Kind       string      `json:"what"`
	Task       string      `json:"task,omitempty"` // run and index, without the attempt
	Attempt    string      `json:"attempt,omitempty"`
	Checkpoint string      `json:"point,omitempty"`
	Request    string      `json:"request,omitempty"`
	Idempotent bool        `json:"repeat,omitempty"`  // the request may run again
	Outcome    string      `json:"outcome,omitempty"` // as the caller was told
	Mismatch   string      `json:"wrong,omitempty"`   // what is wrong with the answer
	Used       parser.Need `json:"used"`              // committed at the instance after it
	Total      parser.Need `json:"total"`             // what the instance has
}

// Records is a list that grows; it is safe for concurrent use.
type Records struct {
	mu   sync.Mutex
	list []Record
}

// Add appends a record.
func (r *Records) Add(one Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, one)
}

// All returns a copy of the list.
func (r *Records) All() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Record(nil), r.list...)
}
