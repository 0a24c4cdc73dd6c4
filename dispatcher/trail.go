package dispatcher

import (
	"sync"
	"time"

	"github.com/endivefall/endivefall/router"
)

// kept is how many requests an entry can explain.
const kept = 4096

// Attempt is one attempt of a request at a target.
type Attempt struct {
	Target string               `json:"target"`
	Score  time.Duration        `json:"score"`
	Reason string               `json:"reason"`
	Others []router.Alternative `json:"others,omitempty"`
	Result string               `json:"end"`
	Took   time.Duration        `json:"took"`
}

// Trace is why a request went where it did, and how it ended.
type Trace struct {
	Request  string        `json:"request"`
	Team     string        `json:"team"`
	Service  string        `json:"service"`
	At       time.Time     `json:"at"`
	Took     time.Duration `json:"took"`
	Outcome  string        `json:"outcome"`
	Code     string        `json:"code"`
	Attempts []Attempt     `json:"tries"`
}

// trail keeps the traces of the last requests.
type trail struct {
	mu sync.Mutex
	// ring has the last traces; at is where the next goes.
	ring []Trace
	at   int
}

func newTrail() *trail { return &trail{ring: make([]Trace, kept)} }

func (t *trail) add(one Trace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ring[t.at] = one
	t.at = (t.at + 1) % len(t.ring)
}

// Explain returns the trace of a request, while it is remembered.
func (d *Dispatcher) Explain(id string) (Trace, bool) {
	d.trail.mu.Lock()
	defer d.trail.mu.Unlock()
	for _, one := range d.trail.ring {
		if one.Request == id && id != "" {
			return one, true
		}
	}
	return Trace{}, false
}

// Targets returns what is known of the targets, by service.
func (d *Dispatcher) Targets() map[string][]router.TargetStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	views := map[string][]router.TargetStatus{}
	for k, r := range d.routers {
		views[k.team+"/"+k.service] = r.Targets()
	}
	return views
}
