// Package responder writes JSON responses and problem details (RFC 9457) for callers
// and operators.
package responder

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Header names specific to this system, and the Idempotency-Key header.
const (
	OutcomeHeader        = "Endivefall-Outcome"
	RequestHeader        = "Endivefall-Request"
	RetryAtHeader        = "Endivefall-Again" // when to try again, in RFC 3339 with fractional seconds
	DeadlineHeader       = "Endivefall-Deadline"
	IdempotentHeader     = "Endivefall-Idempotent"
	ReplayedHeader       = "Endivefall-Replayed"
	IdempotencyKeyHeader = "Idempotency-Key"
)

// Outcome is whether a request ran.
type Outcome string

// Outcomes of a request.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Problem is an error response as in RFC 9457, with extension members.
type Problem struct {
	Type      string    `json:"type"`
	Title     string    `json:"title"`
	Status    int       `json:"status"`
	Code      string    `json:"code"`
	Detail    string    `json:"detail,omitempty"`
	Outcome   Outcome   `json:"outcome,omitempty"`
	RequestID string    `json:"request,omitempty"`
	RetryAt   time.Time `json:"again,omitzero"`
	Faults    any       `json:"faults,omitempty"`  // the diagnostics of a rejected document
	Version   uint64    `json:"version,omitempty"` // the current version of an edited document
	Nonce     string    `json:"nonce,omitempty"`   // identifies a document write with unknown outcome
}

// Error returns the code and the detail.
func (p *Problem) Error() string { return p.Code + ": " + p.Detail }

// Write responds with a problem. Retry-After is relative to now, in whole seconds
// rounded up; RetryAtHeader has the exact time.
func Write(w http.ResponseWriter, p Problem, now time.Time) {
	p.Type = "about:blank"
	p.Title = http.StatusText(p.Status)
	h := w.Header()
	h.Del("Content-Length")
	h.Set("Content-Type", "application/problem+json")
	if p.Outcome != "" {
		h.Set(OutcomeHeader, string(p.Outcome))
	}
	if !p.RetryAt.IsZero() {
		h.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(p.RetryAt.Sub(now).Seconds())))))
		h.Set(RetryAtHeader, p.RetryAt.UTC().Format(time.RFC3339Nano))
	}
	raw, err := json.Marshal(p)
	if err != nil {
		raw = []byte("{}")
	}
	h.Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(p.Status)
	_, _ = w.Write(raw)
	// Send the response at once, even if the request body has not arrived yet.
	_ = http.NewResponseController(w).Flush()
}

// WriteJSON responds with a value encoded as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
