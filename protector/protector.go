// Package protector keeps a service's tail-latency contract while batch tasks
// run on the same instance: it throttles the tasks that probably interfere at
// once, raises their shares slowly, and evicts tasks as a last resort.
package protector

import (
	"math"
	"sort"
	"time"
)

// Thresholds of the tail latency, as fractions of the contract's limit.
const (
	// plannedTailFraction is the tail latency that shares are planned for.
	plannedTailFraction = 0.80
	// alarmTailFraction is the tail latency above which the estimates are
	// corrected and shares stop growing.
	alarmTailFraction = 0.92
	// growthTailFraction is the tail latency below which shares may grow.
	growthTailFraction = 0.85
)

// Shares of a task's processors, from 0 to 1.
const (
	// minShare is the smallest share of a task that is not evicted.
	minShare = 0.05
	// initialShare is the first share of a task of an unknown kind. Tasks of
	// known kinds start with twice as much.
	initialShare = 0.25
	// maxShareGrowth limits the growth of a share in one step.
	maxShareGrowth = 0.10
)

// Durations and intervals.
const (
	// StepInterval is the time between steps.
	StepInterval = 500 * time.Millisecond
	// evictionDelay is how long a task must be at minShare, with the contract
	// still violated, before it is evicted.
	evictionDelay = 30 * time.Second
	// evictionInterval is the minimum time between two evictions.
	evictionInterval = 15 * time.Second
	// newTaskAge is how long a task counts as newly started, and so as a
	// likely cause of an increase.
	newTaskAge = 4 * time.Second
	// alarmCooldown is how long shares do not grow after an alarm.
	alarmCooldown = 3 * time.Second
)

// Parameters of the estimates.
const (
	// defaultInterference is the interference coefficient assumed for an
	// unknown kind.
	defaultInterference = 0.8
	// minMeasurementWeight is the smallest weight of a measurement in a
	// coefficient. The first measurements of a kind have a larger weight.
	minMeasurementWeight = 0.15
	// interferenceDecay limits the fraction by which one step lowers the
	// coefficient of a kind with few measurements.
	interferenceDecay = 0.03
	// baseRiseWeight and baseFallWeight are the weights of one step in
	// baseTail if all running kinds have enough measurements,
	// uncertainBaseWeight if not.
	baseRiseWeight      = 0.40
	baseFallWeight      = 0.10
	uncertainBaseWeight = 0.02
	// minMeasurements is the number of measurements after which a coefficient
	// is taken as reliable.
	minMeasurements = 3
	// maxInterference limits a coefficient.
	maxInterference = 20.0
)

// Task is a batch task on the instance.
type Task struct {
	ID string
	// Kind identifies tasks of similar interference: team and job.
	Kind      string
	StartedAt time.Time
	// Evictable is set if the task can be resumed from a checkpoint or
	// repeated. No other task is evicted.
	Evictable bool
}

// Action is a change to be applied to a task: a new share or an eviction.
type Action struct {
	ID     string
	Share  float64
	Evict  bool
	Reason string
}

// taskState holds a running task and its share.
type taskState struct {
	Task
	share float64
	// minShareSince is when the task reached minShare; zero while its share
	// is larger.
	minShareSince time.Time
}

// Protector protects one service. It is not safe for concurrent use.
type Protector struct {
	limit time.Duration
	tasks map[string]*taskState
	// interference holds the coefficient of each kind: the fraction by which
	// a task at full share raises the tail latency.
	interference map[string]float64
	// measurements counts the measurements of each kind.
	measurements map[string]int
	// baseTail is the estimated tail latency without batch tasks, in
	// nanoseconds; 0 while unknown.
	baseTail float64
	// lastTailAt is when a tail latency was last reported.
	lastTailAt     time.Time
	lastAlarmAt    time.Time
	lastEvictionAt time.Time
}

// New returns a Protector for the contract's latency limit.
func New(limit time.Duration) *Protector {
	return &Protector{limit: limit, tasks: map[string]*taskState{}, interference: map[string]float64{}, measurements: map[string]int{}}
}

// SetLimit changes the contract's latency limit.
func (p *Protector) SetLimit(limit time.Duration) { p.limit = limit }

// ObserveInterference records a measurement of a kind's interference
// coefficient, which is the effect of a task at full share. Measurements
// arrive some time after the interference.
func (p *Protector) ObserveInterference(kind string, coefficient float64) {
	p.measurements[kind]++
	weight := max(minMeasurementWeight, 1/float64(p.measurements[kind]))
	p.interference[kind] = clampInterference(p.coefficient(kind) + weight*(coefficient-p.coefficient(kind)))
}

func clampInterference(c float64) float64 { return min(max(c, 0), maxInterference) }

// coefficient returns the interference coefficient of a kind.
func (p *Protector) coefficient(kind string) float64 {
	if c, ok := p.interference[kind]; ok {
		return c
	}
	return defaultInterference
}

// idleTimeout is how long without a reported tail latency the service counts
// as idle.
const idleTimeout = 10 * time.Second

// Step takes the running tasks and the tail latency since the last step, or 0
// if there were too few requests to determine it. It returns the changes to
// be applied.
func (p *Protector) Step(now time.Time, running []Task, tail time.Duration) []Action {
	oldShares := p.updateTasks(running)
	switch {
	case tail > 0:
		p.lastTailAt = now
		p.updateEstimates(now, float64(tail))
	case now.Sub(p.lastTailAt) > idleTimeout:
		p.baseTail = 0
	}
	p.updateShares(now, float64(tail))
	actions := p.evict(now, float64(tail))
	for id, s := range p.tasks {
		old, known := oldShares[id]
		if (!known && s.share < 1) || (known && old != s.share) {
			actions = append(actions, Action{ID: id, Share: s.share, Reason: "share"})
		}
	}
	sort.Slice(actions, func(i, j int) bool { return actions[i].ID < actions[j].ID })
	return actions
}

// updateTasks adds new tasks, deletes ended ones and returns the shares of
// the others.
func (p *Protector) updateTasks(running []Task) map[string]float64 {
	shares := map[string]float64{}
	seen := map[string]bool{}
	for _, t := range running {
		seen[t.ID] = true
		if s := p.tasks[t.ID]; s != nil {
			shares[t.ID] = s.share
			continue
		}
		share := initialShare
		if _, known := p.interference[t.Kind]; known {
			share = initialShare * 2
		}
		p.tasks[t.ID] = &taskState{Task: t, share: share}
	}
	for id := range p.tasks {
		if !seen[id] {
			delete(p.tasks, id)
		}
	}
	return shares
}

// expectedIncrease returns the fraction by which the running tasks should
// raise the tail latency.
func (p *Protector) expectedIncrease() float64 {
	sum := 0.0
	for _, s := range p.tasks {
		sum += p.coefficient(s.Kind) * s.share
	}
	return sum
}

// updateShares assigns shares in the order of interference, the lowest first,
// until the contract's headroom is used up. Shares fall at once and grow
// slowly.
func (p *Protector) updateShares(now time.Time, tail float64) {
	if tail > alarmTailFraction*float64(p.limit) {
		p.lastAlarmAt = now
	}
	headroom := math.Inf(1) // no limit without requests
	if p.baseTail > 0 {
		headroom = max(plannedTailFraction*float64(p.limit)/p.baseTail-1, 0)
	}
	mayGrow := tail < growthTailFraction*float64(p.limit) && now.Sub(p.lastAlarmAt) > alarmCooldown
	for _, s := range p.byInterference() {
		coefficient := p.coefficient(s.Kind)
		planned := 1.0
		if coefficient > 0 {
			planned = min(1, headroom/coefficient)
		}
		planned = max(planned, minShare)
		switch {
		case planned < s.share:
			s.share = planned
		case mayGrow:
			s.share = min(planned, s.share+maxShareGrowth)
		}
		headroom = max(headroom-coefficient*s.share, 0)
		p.updateMinShareSince(now, s)
	}
}

func (p *Protector) updateMinShareSince(now time.Time, s *taskState) {
	switch {
	case s.share > minShare:
		s.minShareSince = time.Time{}
	case s.minShareSince.IsZero():
		s.minShareSince = now
	}
}

// byInterference returns the tasks sorted by interference coefficient, then
// by start time.
func (p *Protector) byInterference() []*taskState {
	list := make([]*taskState, 0, len(p.tasks))
	for _, s := range p.tasks {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if ca, cb := p.coefficient(a.Kind), p.coefficient(b.Kind); ca != cb {
			return ca < cb
		}
		if !a.StartedAt.Equal(b.StartedAt) {
			return a.StartedAt.Before(b.StartedAt)
		}
		return a.ID < b.ID
	})
	return list
}

// evict selects one task for eviction: the one with the highest coefficient
// that has been at minShare for evictionDelay while the contract is still
// violated.
func (p *Protector) evict(now time.Time, tail float64) []Action {
	if tail <= float64(p.limit) || now.Sub(p.lastEvictionAt) < evictionInterval {
		return nil
	}
	list := p.byInterference()
	for i := len(list) - 1; i >= 0; i-- {
		s := list[i]
		if s.Evictable && !s.minShareSince.IsZero() && now.Sub(s.minShareSince) > evictionDelay {
			p.lastEvictionAt = now
			return []Action{{ID: s.ID, Evict: true, Reason: "contract broken with every share at the floor"}}
		}
	}
	return nil
}

// AtRisk reports whether the contract was at risk recently, so that no new
// batch task should start.
func (p *Protector) AtRisk(now time.Time) bool {
	return now.Sub(p.lastAlarmAt) < alarmCooldown
}
