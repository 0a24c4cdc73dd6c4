// Package router decides to which target of a service a request goes, from
// the load and latency that the targets' agents tell on each answer.
package router

import (
	"errors"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/endivefall/endivefall/messenger"
)

// ErrNoTarget says that no target of the service can take the request.
var ErrNoTarget = errors.New("no target")

// Weights of the routing decision.
const (
	// slowStart is the time in which a fresh target takes its full share.
	slowStart = 3 * time.Second
	// forget is how long an estimate of a slow target stands unseen.
	forget = 2 * time.Second
	// crowding is the cost of a full target with no wait, in service times: a
	// view is stale, and a busier target is likelier to have filled meanwhile.
	crowding = 0.5
	// sampled is how many targets are compared for one request.
	sampled = 16
	// learnt is the weight of one answer in the mean service time.
	learnt = 0.1
)

// Config is what a Router needs.
type Config struct {
	Now  func() time.Time
	Rand *rand.Rand
	// Domain is the entry's failure domain.
	Domain string
}

// Router routes the requests of one service. It is safe for concurrent use.
type Router struct {
	cfg Config
	mu  sync.Mutex
	// targets is sorted by id, so that a seed gives the same choices again.
	targets []*Target
	fleet   time.Duration
	budget  budget
	ejected int
}

// New returns a Router with no targets.
func New(cfg Config) *Router {
	return &Router{cfg: cfg, budget: budget{tokens: most}}
}

// Add announces a target, or a new process of its agent.
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
	// Requests of an earlier connection may still be ending; they stay in own.
	t.Domain, t.joined, t.leaving = domain, now, false
	t.tell(load, now)
}

// Remove takes a target out.
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

// SetDraining marks a target that takes no new work.
func (r *Router) SetDraining(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.find(id); t != nil {
		t.leaving = true
	}
}

// UpdateLoad notes a target's load, and the round trip to it when it is not 0.
func (r *Router) UpdateLoad(id string, load messenger.Load, trip time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.find(id)
	if t == nil {
		return
	}
	t.tell(load, r.cfg.Now())
	if trip > 0 {
		t.trip = trip
	}
}

func (t *Target) tell(load messenger.Load, now time.Time) {
	t.told, t.toldOwn, t.toldAt = load, t.own, now
	if load.ServiceTime > 0 {
		t.hold = load.ServiceTime
	}
}

func (r *Router) find(id string) *Target {
	i := sort.Search(len(r.targets), func(i int) bool { return r.targets[i].ID >= id })
	if i < len(r.targets) && r.targets[i].ID == id {
		return r.targets[i]
	}
	return nil
}

// Len returns how many targets are announced.
func (r *Router) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.targets)
}

// Choice is a decision: the target, its score and the next best.
type Choice struct {
	ID           string
	Score        time.Duration
	Reason       string
	Alternatives []Alternative
}

// Alternative is a target that was passed over.
type Alternative struct {
	ID     string        `json:"id"`
	Score  time.Duration `json:"score"`
	Reason string        `json:"reason"`
}

// Pick chooses a target that is not in tried. The choice counts as in flight
// until Done.
func (r *Router) Pick(tried map[string]bool) (Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	var best *Target
	choice := Choice{Reason: "least-cost"}
	least := 0.0
	for _, t := range r.sample() {
		if reason := r.unfit(t, tried, now); reason != "" {
			choice.Alternatives = append(choice.Alternatives, Alternative{ID: t.ID, Reason: reason})
			continue
		}
		score := t.score(now, r.fleet)
		if t.health.ejected() {
			// A probe takes the next request that finds the target due.
			best, least, choice.Reason = t, score, "probe"
			break
		}
		choice.Alternatives = append(choice.Alternatives, Alternative{ID: t.ID, Score: time.Duration(score), Reason: "costs-more"})
		if best == nil || score < least {
			best, least = t, score
		}
	}
	if best == nil {
		return choice, ErrNoTarget
	}
	best.own++
	if best.health.ejected() {
		best.health.probes++
	}
	choice.ID, choice.Score = best.ID, time.Duration(least)
	choice.Alternatives = without(choice.Alternatives, best.ID)
	return choice, nil
}

func without(others []Alternative, id string) []Alternative {
	for i, o := range others {
		if o.ID == id {
			return append(others[:i], others[i+1:]...)
		}
	}
	return others
}

// sample returns the targets to compare, in random order so that equals share
// the work.
func (r *Router) sample() []*Target {
	n := len(r.targets)
	k := min(n, sampled)
	picked := make([]*Target, n)
	copy(picked, r.targets)
	for i := range k {
		j := i + r.cfg.Rand.IntN(n-i)
		picked[i], picked[j] = picked[j], picked[i]
	}
	return picked[:k]
}

func (r *Router) unfit(t *Target, tried map[string]bool, now time.Time) string {
	switch {
	case tried[t.ID]:
		return "tried"
	case t.leaving:
		return "leaving"
	case !t.health.usable(now):
		return "ejected"
	}
	return ""
}

// Result is how a request at a target ended.
type Result struct {
	// Load is what the agent told with the answer, or nil.
	Load *messenger.Load
	// Latency is how long the answer took; 0 when there was none.
	Latency time.Duration
	// Failed is set when the target failed the request: it broke off, or
	// answered with a fault of its own. A refusal is a failure only if the
	// target is unwell, and not just loaded.
	Failed bool
	// Refused is set when the request did not run.
	Refused bool
}

// Done ends a request that Pick counted.
func (r *Router) Done(id string, end Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.find(id)
	if t == nil {
		return
	}
	now := r.cfg.Now()
	t.own = max(t.own-1, 0)
	if end.Load != nil {
		t.tell(*end.Load, now)
	}
	if end.Refused && !end.Failed {
		t.health.probes = 0
		return
	}
	if end.Latency > 0 && !end.Failed {
		r.learn(end.Latency)
	}
	if !end.Failed {
		r.budget.earn()
	}
	r.judge(t, end.Failed, now)
}

func (r *Router) learn(took time.Duration) {
	if r.fleet == 0 {
		r.fleet = took
		return
	}
	r.fleet += time.Duration(learnt * float64(took-r.fleet))
}

func (r *Router) judge(t *Target, failed bool, now time.Time) {
	bad := t.health.note(failed)
	if t.health.ejected() {
		t.health.probes = 0
		if failed {
			t.health.eject(now)
			return
		}
		t.health.restore()
		t.joined = now // slow start
		r.ejected--
		return
	}
	if bad && float64(r.ejected+1) <= maxEjected*float64(len(r.targets)) {
		t.health.eject(now)
		r.ejected++
	}
}

// AllowRetry asks the budget for one more try.
func (r *Router) AllowRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.spend()
}

// TargetStatus is what the router knows of a target, for reports.
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

// Targets returns what the router knows, sorted by id.
func (r *Router) Targets() []TargetStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	views := make([]TargetStatus, len(r.targets))
	for i, t := range r.targets {
		views[i] = TargetStatus{
			ID: t.ID, Domain: t.Domain, InFlight: t.own, Queue: t.queue(), Slots: t.told.Slots,
			ServiceTime: t.hold, RTT: t.trip, Draining: t.leaving, Ejected: t.health.ejected(),
		}
	}
	return views
}
