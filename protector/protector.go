// Package protector keeps a service's tail-latency contract beside batch tasks
// on the same instance: it throttles the likely culprits at once, gives back
// slowly, and evicts last.
package protector

import (
	"math"
	"sort"
	"time"
)

// Targets of the control, as parts of the contract's bound.
const (
	// aim is the tail latency that shares are planned for.
	aim = 0.80
	// alarm is the tail latency at which the plan counts as wrong.
	alarm = 0.92
	// calm is the tail latency below which shares may grow.
	calm = 0.85
)

// Shares of a task's processors.
const (
	// floor is the least share of a task that is not evicted.
	floor = 0.05
	// fresh is the first share of a task of a kind that nothing is known of.
	fresh = 0.25
	// growth bounds how much a share grows in one step.
	growth = 0.10
)

// Times of the control.
const (
	// StepInterval is the time between steps.
	StepInterval = 500 * time.Millisecond
	// patience is how long a task must be at the floor, with the contract
	// still broken, before it is evicted.
	patience = 30 * time.Second
	// between is the least time between two evictions.
	between = 15 * time.Second
	// recent is how long a task counts as newly started, and so as a suspect.
	recent = 4 * time.Second
	// rest is how long shares do not grow after an alarm.
	rest = 3 * time.Second
)

// Weights of what is learnt.
const (
	// first is the effect assumed of a kind that nothing is known of.
	first = 0.8
	// late is the weight of a late measurement of a kind's effect.
	late = 0.15
	// ease is how much of a wrong estimate is taken back in one quiet step.
	ease = 0.03
	// rise and fall are the weights of one step in the base latency while all
	// kinds are known, settle while some are not.
	rise   = 0.40
	fall   = 0.10
	settle = 0.02
	// sure is how many late measurements make a kind known.
	sure = 3
	// maxEffect bounds an estimate.
	maxEffect = 20.0
)

// Task is a batch task on the instance.
type Task struct {
	ID string
	// Kind names tasks of like effect: team and job.
	Kind      string
	StartedAt time.Time
	// Evictable says whether the task can be checkpointed. No other is evicted.
	Evictable bool
}

// Action is what should be done to a task.
type Action struct {
	ID     string
	Share  float64
	Evict  bool
	Reason string
}

// state is what the Protector keeps of a task.
type state struct {
	Task
	share float64
	// floored is since when the task is at the floor; zero when it is not.
	floored time.Time
}

// Protector protects one service. One goroutine uses it.
type Protector struct {
	bound time.Duration
	tasks map[string]*state
	// effects has, by kind, the part by which a task at full share raises the
	// tail latency.
	effects map[string]float64
	// seen counts the late measurements of each kind.
	seen map[string]int
	// base is the tail latency without batch work, as it is estimated.
	base float64
	// heard is when there was a tail latency last.
	heard   time.Time
	alarmed time.Time
	evicted time.Time
}

// New returns a Protector for a contract's bound.
func New(bound time.Duration) *Protector {
	return &Protector{bound: bound, tasks: map[string]*state{}, effects: map[string]float64{}, seen: map[string]int{}}
}

// SetBound changes the contract.
func (p *Protector) SetBound(bound time.Duration) { p.bound = bound }

// ObserveInterference takes a late measurement of a kind's effect at full share.
func (p *Protector) ObserveInterference(kind string, effect float64) {
	p.seen[kind]++
	weight := max(late, 1/float64(p.seen[kind]))
	p.effects[kind] = clamp(p.effect(kind) + weight*(effect-p.effect(kind)))
}

func clamp(effect float64) float64 { return min(max(effect, 0), maxEffect) }

func (p *Protector) effect(kind string) float64 {
	if e, ok := p.effects[kind]; ok {
		return e
	}
	return first
}

// idle is how long without a tail latency the service counts as without
// requests.
const idle = 10 * time.Second

// Step takes the tasks that run and the tail latency since the last step, 0 if
// there were too few requests to tell, and returns what should change.
func (p *Protector) Step(now time.Time, running []Task, tail time.Duration) []Action {
	before := p.follow(running)
	switch {
	case tail > 0:
		p.heard = now
		p.learn(now, float64(tail))
	case now.Sub(p.heard) > idle:
		p.base = 0
	}
	p.plan(now, float64(tail))
	orders := p.evict(now, float64(tail))
	for id, s := range p.tasks {
		old, known := before[id]
		if (!known && s.share < 1) || (known && old != s.share) {
			orders = append(orders, Action{ID: id, Share: s.share, Reason: "share"})
		}
	}
	sort.Slice(orders, func(i, j int) bool { return orders[i].ID < orders[j].ID })
	return orders
}

// follow takes tasks in and out, and returns the shares as they were.
func (p *Protector) follow(running []Task) map[string]float64 {
	before := map[string]float64{}
	seen := map[string]bool{}
	for _, t := range running {
		seen[t.ID] = true
		if s := p.tasks[t.ID]; s != nil {
			before[t.ID] = s.share
			continue
		}
		share := fresh
		if _, known := p.effects[t.Kind]; known {
			share = fresh * 2
		}
		p.tasks[t.ID] = &state{Task: t, share: share}
	}
	for id := range p.tasks {
		if !seen[id] {
			delete(p.tasks, id)
		}
	}
	return before
}

// hurt is the part by which the running tasks should raise the tail latency.
func (p *Protector) hurt() float64 {
	sum := 0.0
	for _, s := range p.tasks {
		sum += p.effect(s.Kind) * s.share
	}
	return sum
}

// plan gives shares, the least harmful tasks first, up to what the contract
// leaves. A share falls at once and grows slowly.
func (p *Protector) plan(now time.Time, tail float64) {
	if tail > alarm*float64(p.bound) {
		p.alarmed = now
	}
	room := math.Inf(1) // without requests there is nobody to hurt
	if p.base > 0 {
		room = max(aim*float64(p.bound)/p.base-1, 0)
	}
	grow := tail < calm*float64(p.bound) && now.Sub(p.alarmed) > rest
	for _, s := range p.byHarm() {
		e := p.effect(s.Kind)
		want := 1.0
		if e > 0 {
			want = min(1, room/e)
		}
		want = max(want, floor)
		switch {
		case want < s.share:
			s.share = want
		case grow:
			s.share = min(want, s.share+growth)
		}
		room = max(room-e*s.share, 0)
		p.mark(now, s)
	}
}

func (p *Protector) mark(now time.Time, s *state) {
	switch {
	case s.share > floor:
		s.floored = time.Time{}
	case s.floored.IsZero():
		s.floored = now
	}
}

// byHarm sorts tasks by the effect of their kinds, then by age.
func (p *Protector) byHarm() []*state {
	list := make([]*state, 0, len(p.tasks))
	for _, s := range p.tasks {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if ea, eb := p.effect(a.Kind), p.effect(b.Kind); ea != eb {
			return ea < eb
		}
		if !a.StartedAt.Equal(b.StartedAt) {
			return a.StartedAt.Before(b.StartedAt)
		}
		return a.ID < b.ID
	})
	return list
}

// evict picks one task to be evicted: the most harmful that has been at the
// floor for long while the contract is broken all the same.
func (p *Protector) evict(now time.Time, tail float64) []Action {
	if tail <= float64(p.bound) || now.Sub(p.evicted) < between {
		return nil
	}
	list := p.byHarm()
	for i := len(list) - 1; i >= 0; i-- {
		s := list[i]
		if s.Evictable && !s.floored.IsZero() && now.Sub(s.floored) > patience {
			p.evicted = now
			return []Action{{ID: s.ID, Evict: true, Reason: "contract broken with every share at the floor"}}
		}
	}
	return nil
}

// AtRisk says whether the contract was at risk lately, so that no new batch work
// should come.
func (p *Protector) AtRisk(now time.Time) bool {
	return now.Sub(p.alarmed) < rest
}
