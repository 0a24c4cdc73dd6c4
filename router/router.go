// Package router selects the target of a service for each request, from the
// load and latency that the targets' agents report with their answers.
package router

import (
	"errors"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/endivefall/endivefall/messenger"
)

// ErrNoTarget is returned if no target of the service can take the request.
var ErrNoTarget = errors.New("no target")

// Parameters of the routing decision.
const (
	// slowStartTime is the time in which a new or restored target ramps up to
	// its full share of requests.
	slowStartTime = 3 * time.Second
	// estimateTTL is the age of a load report after which the target's
	// service time, if above the mean, decays towards the mean.
	estimateTTL = 2 * time.Second
	// utilizationCost is the cost, in service times, of a target whose slots
	// are all in use but where nothing waits. It is not 0 because the
	// reported load is stale, and a busier target is more likely to have
	// filled up since.
	utilizationCost = 0.5
	// sampleSize is the number of targets compared for one request.
	sampleSize = 16
	// latencyWeight is the weight of one answer in the mean latency.
	latencyWeight = 0.1
)

// Config holds a Router's clock, source of randomness and location.
type Config struct {
	Now  func() time.Time
	Rand *rand.Rand
	// Domain is the entry's failure domain. The choice does not depend on it.
	Domain string
}

// Router routes the requests of one service. It is safe for concurrent use.
type Router struct {
	cfg Config
	mu  sync.Mutex
	// targets is sorted by ID, so that a seed reproduces the choices.
	targets []*Target
	// meanLatency is the mean over the answers of all targets; 0 before the
	// first one.
	meanLatency time.Duration
	budget      retryBudget
	ejected     int
}

// New returns a Router without targets.
func New(cfg Config) *Router {
	return &Router{cfg: cfg, budget: retryBudget{tokens: maxRetryTokens}}
}

// Add adds a target, or restarts it after its agent has connected again.
func (r *Router) Add(id, domain string, load messenger.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	t := r.find(id)
	if t == nil {
		t = &Target{ID: id}
		r.targets = append(r.targets, t)
		sort.Slice(r.targets, func(i, j int) bool { return r.targets[i].ID < r.targets[j].ID })
	}
	// Requests of an earlier connection may not have ended yet, so inFlight
	// stays.
	t.Domain, t.slowStartAt, t.draining = domain, now, false
	t.setLoad(load, now)
}

// Remove deletes a target.
func (r *Router) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, t := range r.targets {
		if t.ID == id {
			if t.health.ejected() {
				r.ejected--
			}
			r.targets = append(r.targets[:i:i], r.targets[i+1:]...)
			return
		}
	}
}

// SetDraining marks a target that accepts no new requests.
func (r *Router) SetDraining(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.find(id); t != nil {
		t.draining = true
	}
}

// UpdateLoad stores a target's reported load, and the round-trip time if it
// is not 0.
func (r *Router) UpdateLoad(id string, load messenger.Load, rtt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.find(id)
	if t == nil {
		return
	}
	t.setLoad(load, r.cfg.Now())
	if rtt > 0 {
		t.rtt = rtt
	}
}

func (t *Target) setLoad(load messenger.Load, now time.Time) {
	t.load, t.inFlightAtLoad, t.loadAt = load, t.inFlight, now
	if load.ServiceTime > 0 {
		t.serviceTime = load.ServiceTime
	}
}

func (r *Router) find(id string) *Target {
	i := sort.Search(len(r.targets), func(i int) bool { return r.targets[i].ID >= id })
	if i < len(r.targets) && r.targets[i].ID == id {
		return r.targets[i]
	}
	return nil
}

// Len returns the number of targets.
func (r *Router) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.targets)
}

// Choice is a routing decision: the target, its score and the targets that
// were not chosen.
type Choice struct {
	ID           string
	Score        time.Duration
	Reason       string
	Alternatives []Alternative
}

// Alternative is a target that was not chosen.
type Alternative struct {
	ID     string        `json:"id"`
	Score  time.Duration `json:"score"`
	Reason string        `json:"reason"`
}

// Pick chooses a target that is not in tried. The request counts as in flight
// until Done is called.
func (r *Router) Pick(tried map[string]bool) (Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	var best *Target
	choice := Choice{Reason: "least-cost"}
	lowest := 0.0
	for _, t := range r.sample() {
		if reason := r.rejectReason(t, tried, now); reason != "" {
			choice.Alternatives = append(choice.Alternatives, Alternative{ID: t.ID, Reason: reason})
			continue
		}
		score := t.score(now, r.meanLatency)
		if t.health.ejected() {
			// An ejected target that is due for a probe gets the request.
			best, lowest, choice.Reason = t, score, "probe"
			break
		}
		choice.Alternatives = append(choice.Alternatives, Alternative{ID: t.ID, Score: time.Duration(score), Reason: "costs-more"})
		if best == nil || score < lowest {
			best, lowest = t, score
		}
	}
	if best == nil {
		return choice, ErrNoTarget
	}
	best.inFlight++
	if best.health.ejected() {
		best.health.probesInFlight++
	}
	choice.ID, choice.Score = best.ID, time.Duration(lowest)
	choice.Alternatives = withoutID(choice.Alternatives, best.ID)
	return choice, nil
}

func withoutID(alternatives []Alternative, id string) []Alternative {
	for i, a := range alternatives {
		if a.ID == id {
			return append(alternatives[:i], alternatives[i+1:]...)
		}
	}
	return alternatives
}

// sample returns the targets to compare in random order, so that targets of
// equal score share the load.
func (r *Router) sample() []*Target {
	n := len(r.targets)
	k := min(n, sampleSize)
	picked := make([]*Target, n)
	copy(picked, r.targets)
	for i := range k {
		j := i + r.cfg.Rand.IntN(n-i)
		picked[i], picked[j] = picked[j], picked[i]
	}
	return picked[:k]
}

// rejectReason returns why a target cannot get the request, or "" if it can.
func (r *Router) rejectReason(t *Target, tried map[string]bool, now time.Time) string {
	switch {
	case tried[t.ID]:
		return "tried"
	case t.draining:
		return "leaving"
	case !t.health.usable(now):
		return "ejected"
	}
	return ""
}

// Result is how a request to a target ended.
type Result struct {
	// Load is the load that the agent reported with the answer, or nil.
	Load *messenger.Load
	// Latency is the time until the answer; 0 if there was none.
	Latency time.Duration
	// Failed is set if the target failed the request: the connection broke,
	// or the answer was a server error. A refusal is a failure only if the
	// target is faulty, not if it is overloaded.
	Failed bool
	// Refused is set if the target refused the request without running it.
	Refused bool
}

// Done records the result of a request for which Pick chose the target.
func (r *Router) Done(id string, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.find(id)
	if t == nil {
		return
	}
	now := r.cfg.Now()
	t.inFlight = max(t.inFlight-1, 0)
	if result.Load != nil {
		t.setLoad(*result.Load, now)
	}
	if result.Refused && !result.Failed {
		// An overloaded target is neither healthy nor faulty, so a probe that
		// it refuses is repeated.
		t.health.probesInFlight = 0
		return
	}
	if result.Latency > 0 && !result.Failed {
		r.recordLatency(result.Latency)
	}
	if !result.Failed {
		r.budget.earn()
	}
	r.recordResult(t, result.Failed, now)
}

func (r *Router) recordLatency(latency time.Duration) {
	if r.meanLatency == 0 {
		r.meanLatency = latency
		return
	}
	r.meanLatency += time.Duration(latencyWeight * float64(latency-r.meanLatency))
}

// recordResult ejects a target that fails too often. The result of a probe
// restores an ejected target or ejects it for longer.
func (r *Router) recordResult(t *Target, failed bool, now time.Time) {
	eject := t.health.record(failed)
	if t.health.ejected() {
		t.health.probesInFlight = 0
		if failed {
			t.health.eject(now)
			return
		}
		t.health.restore()
		t.slowStartAt = now
		r.ejected--
		return
	}
	if eject && float64(r.ejected+1) <= maxEjectedShare*float64(len(r.targets)) {
		t.health.eject(now)
		r.ejected++
	}
}

// AllowRetry reports whether the retry budget permits another attempt, and
// takes it from the budget.
func (r *Router) AllowRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.spend()
}

// TargetStatus is the router's view of a target, for status reports.
type TargetStatus struct {
	ID          string        `json:"id"`
	Domain      string        `json:"domain"`
	InFlight    int           `json:"own"`
	Queue       int           `json:"queue"`
	Slots       int           `json:"slots"`
	ServiceTime time.Duration `json:"hold"`
	RTT         time.Duration `json:"trip"`
	Draining    bool          `json:"leaving"`
	Ejected     bool          `json:"ejected"`
}

// Targets returns the status of all targets, sorted by ID.
func (r *Router) Targets() []TargetStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	statuses := make([]TargetStatus, len(r.targets))
	for i, t := range r.targets {
		statuses[i] = TargetStatus{
			ID: t.ID, Domain: t.Domain, InFlight: t.inFlight, Queue: t.queue(), Slots: t.load.Slots,
			ServiceTime: t.serviceTime, RTT: t.rtt, Draining: t.draining, Ejected: t.health.ejected(),
		}
	}
	return statuses
}
