// Package responder writes the answers that callers and operators get when
// their request was not simply done.
package responder

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Headers of the system's own.
const (
	OutcomeHeader        = "Endivefall-Outcome"
	RequestHeader        = "Endivefall-Request"
	RetryAtHeader        = "Endivefall-Again" // when to come back, RFC 3339 with fractions
	DeadlineHeader       = "Endivefall-Deadline"
	IdempotentHeader     = "Endivefall-Idempotent"
	ReplayedHeader       = "Endivefall-Replayed"
	IdempotencyKeyHeader = "Idempotency-Key"
)

// Outcome tells whether a request ran.
type Outcome string

// Outcomes of a request.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Problem is an error's answer, as RFC 9457 has it, with fields of its own.
type Problem struct {
	Type      string    `json:"type"`
	Title     string    `json:"title"`
	Status    int       `json:"status"`
	Code      string    `json:"code"`
	Detail    string    `json:"detail,omitempty"`
	Outcome   Outcome   `json:"outcome,omitempty"`
	RequestID string    `json:"request,omitempty"`
	RetryAt   time.Time `json:"again,omitzero"`
	Faults    any       `json:"faults,omitempty"`
	Version   uint64    `json:"version,omitempty"`
	Nonce     string    `json:"nonce,omitempty"`
}

// Error names the code and the detail.
func (p *Problem) Error() string { return p.Code + ": " + p.Detail }

// Write answers with the problem. now is for Retry-After, in whole seconds,
// rounded up; Again has the fractions.
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
	// The answer goes out at once, whatever the caller's body still does.
	_ = http.NewResponseController(w).Flush()
}

// WriteJSON answers with a value.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
