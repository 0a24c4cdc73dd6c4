package dispatcher

import (
	"sync"
	"time"

	"github.com/endivefall/endivefall/router"
)

// maxTraces bounds the requests that an entry can explain.
const maxTraces = 4096

// Attempt is one attempt to send a request to a target.
type Attempt struct {
	Target       string               `json:"target"`
	Score        time.Duration        `json:"score"`
	Reason       string               `json:"reason"`
	Alternatives []router.Alternative `json:"others,omitempty"`
	Result       string               `json:"end"`
	Duration     time.Duration        `json:"took"`
}

// Trace records the routing decisions and the outcome of a request.
type Trace struct {
	Request  string        `json:"request"`
	Team     string        `json:"team"`
	Service  string        `json:"service"`
	Start    time.Time     `json:"at"`
	Duration time.Duration `json:"took"`
	Outcome  string        `json:"outcome"`
	Code     string        `json:"code"`
	Attempts []Attempt     `json:"tries"`
}

// traceLog stores the traces of the latest requests.
type traceLog struct {
	mu sync.Mutex
	// ring is a ring buffer; next is the index of the next write.
	ring []Trace
	next int
}

func newTraceLog() *traceLog { return &traceLog{ring: make([]Trace, maxTraces)} }

func (t *traceLog) add(trace Trace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ring[t.next] = trace
	t.next = (t.next + 1) % len(t.ring)
}

// Explain returns the trace of a request, or false if it is no longer stored.
func (d *Dispatcher) Explain(id string) (Trace, bool) {
	d.traces.mu.Lock()
	defer d.traces.mu.Unlock()
	for _, trace := range d.traces.ring {
		if trace.Request == id && id != "" {
			return trace, true
		}
	}
	return Trace{}, false
}

// Targets returns the status of the targets by team/service.
func (d *Dispatcher) Targets() map[string][]router.TargetStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	targets := map[string][]router.TargetStatus{}
	for k, r := range d.routers {
		targets[k.team+"/"+k.service] = r.Targets()
	}
	return targets
}
