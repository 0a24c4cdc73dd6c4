// Package decisions measures the routing, admission and retry decisions under
// load and faults, in fake time, each beside the simplest policy in the same
// run. The tables are printed with -v; docs/DECISIONS.md quotes them.
package decisions

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endivefall/endivefall/admitter"
	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/router"
)

// The users' fleet: 11 workers in 4 failure domains, 8 slots and 64 connections
// each, and three entries.
const (
	targetCount = 11
	domainCount = 4
	entryCount  = 3
	slots       = 8
	connections = 64
	meanService = 20 * time.Millisecond
	between     = 1500 * time.Microsecond // one way between failure domains
	within      = 100 * time.Microsecond  // one way within one
	toCaller    = time.Millisecond        // one way
)

// capacity is what the fleet serves, in requests a second.
const capacity = float64(targetCount*slots) / (float64(meanService) / float64(time.Second))

// target is a worker's admitter with the service times of its target.
type target struct {
	id     string
	domain int
	admit  *admitter.Admitter

	mu sync.Mutex
	// slower multiplies service times; failing answers 500 at once; black takes
	// requests and never answers.
	slower         float64
	failing, black bool
	served         int
	plain          chan struct{}
}

// entry is an entry's router with its own view.
type entry struct {
	domain int
	router *router.Router
}

// policy chooses targets.
type policy struct {
	name string
	// random chooses any target and tells nothing.
	random bool
	// eager retries whatever failed, without a budget.
	eager bool
	// unlimited admits everything, in the order in which it comes.
	unlimited bool
}

// scene is a fleet under one policy.
type scene struct {
	policy  policy
	rng     *rand.Rand
	targets []*target
	entries []*entry
	mu      sync.Mutex
	done    []answer
	sent    int // tries at targets
}

// answer is how one request ended.
type answer struct {
	at       time.Time
	took     time.Duration
	ok       bool
	refused  bool
	again    time.Time
	priority int
}

func newScene(p policy, seed uint64, bound time.Duration) *scene {
	s := &scene{policy: p, rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range targetCount {
		t := &target{id: fmt.Sprintf("t%02d", i), domain: i % domainCount, slower: 1}
		cfg := admitter.Config{Slots: slots, Connections: connections, Bound: bound, Now: time.Now}
		if p.unlimited {
			t.plain = make(chan struct{}, slots)
		}
		t.admit = admitter.New(cfg)
		s.targets = append(s.targets, t)
	}
	for i := range entryCount {
		e := &entry{domain: i % domainCount}
		e.router = router.New(router.Config{Now: time.Now, Domain: fmt.Sprint(e.domain), Rand: rand.New(rand.NewPCG(seed, uint64(i)+100))})
		for _, t := range s.targets {
			e.router.Add(t.id, fmt.Sprint(t.domain), t.load())
			e.router.UpdateLoad(t.id, t.load(), 2*hop(e.domain, t.domain))
		}
		s.entries = append(s.entries, e)
	}
	return s
}

func hop(a, b int) time.Duration {
	if a == b {
		return within
	}
	return between
}

func (t *target) load() messenger.Load {
	running, waiting, n, hold := t.admit.Load()
	return messenger.Load{Running: running, Waiting: waiting, Slots: n, ServiceTime: hold}
}

// job is one request's fate, drawn before the run so that every policy gets the
// same.
type job struct {
	after    time.Duration // since the start
	service  time.Duration
	entry    int
	priority int
	until    time.Duration // after it is sent
}

// load draws a Poisson load of some share of the capacity.
func load(seed uint64, share float64, long time.Duration) []job {
	rng := rand.New(rand.NewPCG(seed, 2))
	var jobs []job
	for at := time.Duration(0); at < long; {
		at += time.Duration(rng.ExpFloat64() / (share * capacity) * float64(time.Second))
		jobs = append(jobs, job{
			after: at, service: time.Duration(rng.ExpFloat64() * float64(meanService)),
			entry: rng.IntN(entryCount), priority: 5, until: 2 * time.Second,
		})
	}
	return jobs
}

// play sends the jobs at their times and waits for all answers.
func (s *scene) play(jobs []job, then func(*scene, job, answer)) {
	start := time.Now()
	var all sync.WaitGroup
	for _, j := range jobs {
		advancer.Sleep(time.Until(start.Add(j.after)))
		all.Go(func() {
			a := s.request(j)
			s.mu.Lock()
			s.done = append(s.done, a)
			s.mu.Unlock()
			if then != nil {
				then(s, j, a)
			}
		})
	}
	all.Wait()
}

// maxTries is as in the dispatcher.
const maxTries = 4

// request is one idempotent request, from the caller and back.
func (s *scene) request(j job) answer {
	sent := time.Now()
	until := sent.Add(j.until)
	advancer.Sleep(toCaller)
	e := s.entries[j.entry]
	a := answer{at: sent, priority: j.priority}
	tried := map[string]bool{}
	for n := 0; n < maxTries && time.Now().Before(until); n++ {
		if n > 0 && !s.policy.eager && !e.router.AllowRetry() {
			break
		}
		id, ok := s.pick(e, tried)
		if !ok {
			break
		}
		tried[id] = true
		began := time.Now()
		err := s.try(e, s.find(id), j, until)
		s.tell(e, id, err, began)
		a.ok = err == nil
		var r *admitter.Refusal
		a.refused = errors.As(err, &r)
		if a.refused && (a.again.IsZero() || r.RetryAt.Before(a.again)) {
			a.again = r.RetryAt
		}
		if a.ok {
			break
		}
	}
	advancer.Sleep(toCaller)
	a.took = time.Since(sent)
	a.ok = a.ok && !time.Now().After(until)
	return a
}

func (s *scene) find(id string) *target {
	i := slices.IndexFunc(s.targets, func(t *target) bool { return t.id == id })
	return s.targets[i]
}

func (s *scene) pick(e *entry, tried map[string]bool) (string, bool) {
	if s.policy.random {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.targets[s.rng.IntN(len(s.targets))].id, true
	}
	c, err := e.router.Pick(tried)
	return c.ID, err == nil
}

func (s *scene) tell(e *entry, id string, err error, began time.Time) {
	if s.policy.random {
		return
	}
	load := s.find(id).load()
	var r *admitter.Refusal
	e.router.Done(id, router.Result{Load: &load, Latency: time.Since(began), Failed: err != nil && !errors.As(err, &r), Refused: errors.As(err, &r)})
}

var (
	errFailed  = errors.New("target failed")
	errTimeout = errors.New("no answer")
)

// try is one attempt at a target.
func (s *scene) try(e *entry, t *target, j job, until time.Time) error {
	s.mu.Lock()
	s.sent++
	s.mu.Unlock()
	way := hop(e.domain, t.domain)
	advancer.Sleep(way)
	defer advancer.Sleep(way)
	t.mu.Lock()
	slower, failing, black := t.slower, t.failing, t.black
	t.mu.Unlock()
	if black {
		advancer.Sleep(time.Until(until))
		return errTimeout
	}
	if failing {
		advancer.Sleep(time.Millisecond)
		return errFailed
	}
	if t.plain != nil {
		t.plain <- struct{}{}
		advancer.Sleep(time.Duration(float64(j.service) * slower))
		<-t.plain
		return nil
	}
	ticket, err := t.admit.Admit(context.Background(), admitter.Request{Deadline: until, Priority: j.priority})
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.served++
	t.mu.Unlock()
	advancer.Sleep(time.Duration(float64(j.service) * slower))
	ticket.Release()
	return nil
}

// shared is the ideal: one queue for all slots, that knows at once which is
// free. It returns the answers' times, with the mean way to a target.
func shared(jobs []job, servers int) []time.Duration {
	free := make([]time.Duration, servers)
	var took []time.Duration
	ways := 2 * (toCaller + (between*(domainCount-1)+within)/domainCount)
	for _, j := range jobs {
		i := 0
		for n := range free {
			if free[n] < free[i] {
				i = n
			}
		}
		began := max(j.after, free[i])
		free[i] = began + j.service
		took = append(took, free[i]-j.after+ways)
	}
	return took
}

// quantile returns a quantile of some times.
func quantile(took []time.Duration, q float64) time.Duration {
	sorted := slices.Clone(took)
	slices.Sort(sorted)
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// times returns how long the answered requests took; one that was not answered
// counts as its deadline.
func (s *scene) times() []time.Duration {
	var took []time.Duration
	for _, a := range s.done {
		if !a.ok {
			took = append(took, 2*time.Second)
			continue
		}
		took = append(took, a.took)
	}
	return took
}

// goodput returns how many requests a second were answered in time.
func (s *scene) goodput(long time.Duration) float64 {
	n := 0
	for _, a := range s.done {
		if a.ok {
			n++
		}
	}
	return float64(n) / long.Seconds()
}

// bubble runs a measurement in fake time.
func bubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(b) }
