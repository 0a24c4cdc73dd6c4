// Package placer decides at which agent the tasks of a batch job run: by fit,
// spread of load, past failures and the state of the instance.
package placer

import (
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/endivefall/endivefall/parser"
)

// Config is what a Placer needs.
type Config struct {
	Now  func() time.Time
	Rand *rand.Rand
}

// Agent is what an entry knows of an agent: its digest, less what this entry
// has placed there since.
type Agent struct {
	ID, Domain, Rack, Region string
	// Evictable is what could be evicted for urgent work.
	Total, Free, Evictable parser.Resources
	// UnderPressure is set while the agent's contract is at risk.
	UnderPressure, Draining bool
	// failed counts failures of different runs' tasks since the last success.
	failed map[string]bool
	// aside is until when a worker that fails all it starts gets nothing.
	aside time.Time
	times int
}

// Bounds of setting a worker aside.
const (
	// runsFailed is how many different runs must fail at a worker.
	runsFailed = 3
	firstAside = 10 * time.Second
	lastAside  = 10 * time.Minute
	// sampled is how many agents are compared for one task, and rounds how
	// often others are looked at when none of them has room.
	sampled = 16
	rounds  = 4
)

// Placer places tasks on agents. It is safe for concurrent use.
type Placer struct {
	cfg    Config
	mu     sync.Mutex
	agents map[string]*Agent
	// order holds the ids for sampling; total sums what the agents have.
	order []string
	total parser.Resources
}

// New returns a Placer that knows no agents.
func New(cfg Config) *Placer {
	return &Placer{cfg: cfg, agents: map[string]*Agent{}}
}

// Update notes an agent's digest.
func (p *Placer) Update(a Agent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.agents[a.ID]
	if old == nil {
		p.agents[a.ID] = &a
		p.total = p.total.Add(a.Total)
		at := sort.SearchStrings(p.order, a.ID)
		p.order = append(p.order[:at:at], append([]string{a.ID}, p.order[at:]...)...)
		return
	}
	p.total = p.total.Sub(old.Total).Add(a.Total)
	a.failed, a.aside, a.times = old.failed, old.aside, old.times
	*old = a
}

// Remove forgets an agent.
func (p *Placer) Remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.agents[id]
	if a == nil {
		return
	}
	p.total = p.total.Sub(a.Total)
	delete(p.agents, id)
	at := sort.SearchStrings(p.order, id)
	p.order = append(p.order[:at:at], p.order[at+1:]...)
}

// Request is a task that looks for a place.
type Request struct {
	Need parser.Resources
	// FailuresByAgent names agents at which tasks of the same run failed.
	FailuresByAgent map[string]int
	// Urgent work may go where the contract is at risk.
	Urgent bool
}

// Choice is a decision, with what was passed over.
type Choice struct {
	ID           string
	Score        float64
	Reason       string
	Alternatives []Alternative
}

// Alternative is an agent that was passed over.
type Alternative struct {
	ID     string  `json:"id"`
	Score  float64 `json:"score"`
	Reason string  `json:"reason"`
}

// Pick chooses an agent and takes the need from what it is known to have free.
func (p *Placer) Pick(w Request) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	best := Choice{Reason: "best-fit", Score: math.Inf(-1)}
	for n := 0; n < rounds && best.ID == ""; n++ {
		best.Alternatives = nil
		p.compare(&best, w, now)
		if len(p.order) <= sampled {
			break
		}
	}
	if best.ID == "" {
		best.Score = 0
		return best, false
	}
	a := p.agents[best.ID]
	a.Free = a.Free.Sub(w.Need)
	return best, true
}

// compare looks at some agents and keeps the best.
func (p *Placer) compare(best *Choice, w Request, now time.Time) {
	for _, id := range p.sample() {
		a := p.agents[id]
		if reason := unfit(a, w, now); reason != "" {
			best.Alternatives = append(best.Alternatives, Alternative{ID: id, Reason: reason})
			continue
		}
		score := fit(a, w)
		if score > best.Score {
			if best.ID != "" {
				best.Alternatives = append(best.Alternatives, Alternative{best.ID, best.Score, "fits-worse"})
			}
			best.ID, best.Score = id, score
			continue
		}
		best.Alternatives = append(best.Alternatives, Alternative{id, score, "fits-worse"})
	}
}

// sample returns some agents in random order.
func (p *Placer) sample() []string {
	n := len(p.order)
	if n <= sampled {
		return p.order
	}
	picked := make([]string, sampled)
	for i := range picked {
		picked[i] = p.order[p.cfg.Rand.IntN(n)]
	}
	return picked
}

func unfit(a *Agent, w Request, now time.Time) string {
	switch {
	case a.Draining:
		return "leaving"
	case now.Before(a.aside):
		return "set-aside"
	case a.UnderPressure && !w.Urgent:
		return "contract-at-risk"
	case w.Need.FitsIn(a.Free):
	case !w.Urgent || !w.Need.FitsIn(a.Free.Add(a.Evictable)):
		return "no-room"
	}
	return ""
}

// fit is higher where less would be left over in the scarcest resource, and
// lower where tasks of the run failed before.
func fit(a *Agent, w Request) float64 {
	left := a.Free.Sub(w.Need)
	// Leaving resources even keeps room for tasks of any shape.
	skew := spread(left, a.Total)
	return 2 - w.Need.DominantShare(a.Total) - skew - spreadOut*used(a) - float64(min(w.FailuresByAgent[a.ID], 4))*badCost + 1
}

const (
	// badCost is what a failure of the same run at an agent costs.
	badCost = 0.5
	// spreadOut is how much a fuller instance costs.
	spreadOut = 0.25
)

func used(a *Agent) float64 {
	return a.Total.Sub(a.Free).DominantShare(a.Total)
}

func spread(left, total parser.Resources) float64 {
	if total.Processors == 0 || total.Memory == 0 {
		return 0
	}
	d := left.Processors/total.Processors - float64(left.Memory)/float64(total.Memory)
	return max(d, -d)
}

// Release gives back a need that Pick took and that did not come to run.
func (p *Placer) Release(id string, need parser.Resources) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.agents[id]; a != nil {
		a.Free = a.Free.Add(need)
	}
}

// MarkStale places nothing at an agent before its next digest.
func (p *Placer) MarkStale(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.agents[id]; a != nil {
		a.Free = parser.Resources{}
	}
}

// RecordResult takes the end of a task. A worker at which tasks of several runs fail
// one after another is set aside.
func (p *Placer) RecordResult(id, run string, failed bool) (aside bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.agents[id]
	if a == nil {
		return false
	}
	if !failed {
		a.failed, a.times = nil, 0
		return false
	}
	if a.failed == nil {
		a.failed = map[string]bool{}
	}
	a.failed[run] = true
	if len(a.failed) < runsFailed {
		return false
	}
	a.aside = p.cfg.Now().Add(min(firstAside<<min(a.times, 8), lastAside))
	a.times++
	a.failed = nil
	return true
}

// Total returns what all agents have together.
func (p *Placer) Total() parser.Resources {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// Largest returns the largest total of any agent, resource by resource, and
// whether the need fits some agent when it is empty.
func (p *Placer) Largest(need parser.Resources) (largest parser.Resources, fits bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.agents {
		fits = fits || need.FitsIn(a.Total)
		if a.Total.DominantShare(parser.Resources{Processors: 1, Memory: 1 << 30, Accelerators: 1}) >
			largest.DominantShare(parser.Resources{Processors: 1, Memory: 1 << 30, Accelerators: 1}) {
			largest = a.Total
		}
	}
	return largest, fits
}

// Agents returns what is known of the agents, sorted by id.
func (p *Placer) Agents() []Agent {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Agent, 0, len(p.order))
	for _, id := range p.order {
		list = append(list, *p.agents[id])
	}
	return list
}
