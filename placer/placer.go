// Package placer selects the agents that run the tasks of batch jobs, by fit,
// utilization, past failures and the state of the instance.
package placer

import (
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/endivefall/endivefall/parser"
)

// Config holds a Placer's clock and source of randomness.
type Config struct {
	Now  func() time.Time
	Rand *rand.Rand
}

// Agent is an entry's view of an agent: the resources of its last heartbeat,
// less those of the tasks that this entry has placed there since.
type Agent struct {
	ID, Domain, Rack, Region string
	// Evictable holds the resources of tasks that may be evicted for urgent
	// ones.
	Total, Free, Evictable parser.Resources
	// UnderPressure is set while the agent cannot reserve the resources that
	// the service needs, or the service's contract is at risk.
	UnderPressure, Draining bool
	// failedRuns holds the runs that failed at the agent since its last
	// success or exclusion.
	failedRuns map[string]bool
	// excludedUntil ends the exclusion of a worker at which every task fails.
	excludedUntil time.Time
	// exclusions counts the exclusions since the last success.
	exclusions int
}

// Limits of exclusion and sampling.
const (
	// failedRunsLimit is the number of different runs that must fail at a
	// worker before it is excluded.
	failedRunsLimit = 3
	minExclusion    = 10 * time.Second
	maxExclusion    = 10 * time.Minute
	// sampleSize is the number of agents compared for one task. If none of
	// them has room, up to maxSamples samples are drawn.
	sampleSize = 16
	maxSamples = 4
)

// Placer places tasks on agents. It is safe for concurrent use.
type Placer struct {
	cfg    Config
	mu     sync.Mutex
	agents map[string]*Agent
	// ids is sorted, so that a seed reproduces the samples; total is the sum of the
	// agents' resources.
	ids   []string
	total parser.Resources
}

// New returns a Placer without agents.
func New(cfg Config) *Placer {
	return &Placer{cfg: cfg, agents: map[string]*Agent{}}
}

// Update adds an agent, or replaces its resources and state by those of a newer
// heartbeat.
func (p *Placer) Update(a Agent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.agents[a.ID]
	if old == nil {
		p.agents[a.ID] = &a
		p.total = p.total.Add(a.Total)
		i := sort.SearchStrings(p.ids, a.ID)
		p.ids = append(p.ids[:i:i], append([]string{a.ID}, p.ids[i:]...)...)
		return
	}
	p.total = p.total.Sub(old.Total).Add(a.Total)
	a.failedRuns, a.excludedUntil, a.exclusions = old.failedRuns, old.excludedUntil, old.exclusions
	*old = a
}

// Remove deletes an agent.
func (p *Placer) Remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.agents[id]
	if a == nil {
		return
	}
	p.total = p.total.Sub(a.Total)
	delete(p.agents, id)
	i := sort.SearchStrings(p.ids, id)
	p.ids = append(p.ids[:i:i], p.ids[i+1:]...)
}

// Request is a task to be placed.
type Request struct {
	Need parser.Resources
	// FailuresByAgent counts the failures of the same run by agent ID.
	FailuresByAgent map[string]int
	// Urgent tasks may be placed where the contract is at risk, or on resources
	// that an eviction must free first.
	Urgent bool
}

// Choice is a placement decision with the agents that were not chosen.
type Choice struct {
	ID           string
	Score        float64
	Reason       string
	Alternatives []Alternative
}

// Alternative is an agent that was not chosen.
type Alternative struct {
	ID     string  `json:"id"`
	Score  float64 `json:"score"`
	Reason string  `json:"reason"`
}

// Pick chooses an agent and subtracts the task's need from its free resources.
func (p *Placer) Pick(req Request) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	best := Choice{Reason: "best-fit", Score: math.Inf(-1)}
	for n := 0; n < maxSamples && best.ID == ""; n++ {
		best.Alternatives = nil
		p.compareSample(&best, req, now)
		if len(p.ids) <= sampleSize {
			break
		}
	}
	if best.ID == "" {
		best.Score = 0
		return best, false
	}
	a := p.agents[best.ID]
	a.Free = a.Free.Sub(req.Need)
	return best, true
}

// compareSample scores a sample of agents and stores the best one in best.
func (p *Placer) compareSample(best *Choice, req Request, now time.Time) {
	for _, id := range p.sample() {
		a := p.agents[id]
		if reason := rejectReason(a, req, now); reason != "" {
			best.Alternatives = append(best.Alternatives, Alternative{ID: id, Reason: reason})
			continue
		}
		score := fitScore(a, req)
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

// sample returns the agents to compare: all of them if they are few, otherwise
// sampleSize random ones, in which an agent may occur twice.
func (p *Placer) sample() []string {
	n := len(p.ids)
	if n <= sampleSize {
		return p.ids
	}
	picked := make([]string, sampleSize)
	for i := range picked {
		picked[i] = p.ids[p.cfg.Rand.IntN(n)]
	}
	return picked
}

// rejectReason returns why an agent cannot run the task, or "" if it can.
func rejectReason(a *Agent, req Request, now time.Time) string {
	switch {
	case a.Draining:
		return "leaving"
	case now.Before(a.excludedUntil):
		return "set-aside"
	case a.UnderPressure && !req.Urgent:
		return "contract-at-risk"
	case req.Need.FitsIn(a.Free):
	case !req.Urgent || !req.Need.FitsIn(a.Free.Add(a.Evictable)):
		return "no-room"
	}
	return ""
}

// fitScore prefers agents at which the task takes a small share of the total,
// leaves the resources in balance and has not failed before, and agents with
// a low utilization.
func fitScore(a *Agent, req Request) float64 {
	remaining := a.Free.Sub(req.Need)
	// Balanced remaining resources leave room for tasks of any shape.
	skew := imbalance(remaining, a.Total)
	return 2 - req.Need.DominantShare(a.Total) - skew - utilizationPenalty*utilization(a) - float64(min(req.FailuresByAgent[a.ID], 4))*failurePenalty + 1
}

const (
	// failurePenalty is subtracted for each failure of the same run at an
	// agent, up to four.
	failurePenalty = 0.5
	// utilizationPenalty is subtracted for a fully used instance, and in
	// proportion for others.
	utilizationPenalty = 0.25
)

func utilization(a *Agent) float64 {
	return a.Total.Sub(a.Free).DominantShare(a.Total)
}

// imbalance returns the difference between the remaining fractions of
// processors and memory.
func imbalance(remaining, total parser.Resources) float64 {
	if total.Processors == 0 || total.Memory == 0 {
		return 0
	}
	d := remaining.Processors/total.Processors - float64(remaining.Memory)/float64(total.Memory)
	return max(d, -d)
}

// Release returns the resources that Pick subtracted for a task that did not
// start.
func (p *Placer) Release(id string, need parser.Resources) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.agents[id]; a != nil {
		a.Free = a.Free.Add(need)
	}
}

// MarkStale stops placements at an agent until its next heartbeat.
func (p *Placer) MarkStale(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.agents[id]; a != nil {
		a.Free = parser.Resources{}
	}
}

// RecordResult records the result of a task. A worker at which tasks of several
// runs fail without a success in between is excluded for a time that doubles
// with each exclusion.
func (p *Placer) RecordResult(id, run string, failed bool) (excluded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.agents[id]
	if a == nil {
		return false
	}
	if !failed {
		a.failedRuns, a.exclusions = nil, 0
		return false
	}
	if a.failedRuns == nil {
		a.failedRuns = map[string]bool{}
	}
	a.failedRuns[run] = true
	if len(a.failedRuns) < failedRunsLimit {
		return false
	}
	a.excludedUntil = p.cfg.Now().Add(min(minExclusion<<min(a.exclusions, 8), maxExclusion))
	a.exclusions++
	a.failedRuns = nil
	return true
}

// Total returns the sum of the agents' resources.
func (p *Placer) Total() parser.Resources {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// Largest returns the total of the largest agent, and whether the need fits
// on any agent that runs nothing else. An agent's size is the largest of its
// numbers of processors, GiB of memory and accelerators.
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

// Agents returns the agents, sorted by ID.
func (p *Placer) Agents() []Agent {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Agent, 0, len(p.ids))
	for _, id := range p.ids {
		list = append(list, *p.agents[id])
	}
	return list
}
