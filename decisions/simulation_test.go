// Package decisions measures routing, admission, retry, placement and protection
// decisions under load and faults, in fake time. Each test compares them with a
// simple policy, and some with an ideal one. The tests print the figures with -v;
// docs/DECISIONS.md quotes them.
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

// The simulated fleet is that of the users: 11 workers in 4 failure domains, with 8
// slots and 64 connections each, and three entries.
const (
	targetCount          = 11
	domainCount          = 4
	entryCount           = 3
	slotsPerTarget       = 8
	connectionsPerTarget = 64
	meanServiceTime      = 20 * time.Millisecond
	crossDomainDelay     = 1500 * time.Microsecond // one way between failure domains
	sameDomainDelay      = 100 * time.Microsecond  // one way within a failure domain
	callerDelay          = time.Millisecond        // one way between caller and entry
)

// capacityPerSecond is how many requests a second the fleet can serve.
const capacityPerSecond = float64(targetCount*slotsPerTarget) / (float64(meanServiceTime) / float64(time.Second))

// target is a worker's admitter with the simulated behaviour of its target.
type target struct {
	id       string
	domain   int
	admitter *admitter.Admitter

	mu sync.Mutex
	// slowdown multiplies service times. A failing target fails each request after
	// a millisecond. An unresponsive one accepts requests and never answers.
	slowdown              float64
	failing, unresponsive bool
	served                int
	// semaphore replaces the admitter under a policy without limits.
	semaphore chan struct{}
}

// entry is a router with its own view of the targets' load.
type entry struct {
	domain int
	router *router.Router
}

// policy is how entries choose targets and retry, and how targets admit requests.
type policy struct {
	name string
	// random chooses targets uniformly, without load reports.
	random bool
	// eager retries every failure, without a retry budget.
	eager bool
	// unlimited admits everything, first come, first served.
	unlimited bool
}

// simulation is a fleet under one policy.
type simulation struct {
	policy   policy
	rng      *rand.Rand
	targets  []*target
	entries  []*entry
	mu       sync.Mutex
	answers  []answer
	attempts int // at targets, for all requests
}

// answer is how one request ended.
type answer struct {
	sentAt   time.Time
	latency  time.Duration
	ok       bool      // served within the timeout
	refused  bool      // by the admitter, at the last attempt
	retryAt  time.Time // the earliest of the refusals
	priority int
}

func newSimulation(p policy, seed uint64, bound time.Duration) *simulation {
	s := &simulation{policy: p, rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range targetCount {
		t := &target{id: fmt.Sprintf("t%02d", i), domain: i % domainCount, slowdown: 1}
		cfg := admitter.Config{Slots: slotsPerTarget, Connections: connectionsPerTarget, LatencyLimit: bound, Now: time.Now}
		if p.unlimited {
			t.semaphore = make(chan struct{}, slotsPerTarget)
		}
		t.admitter = admitter.New(cfg)
		s.targets = append(s.targets, t)
	}
	for i := range entryCount {
		e := &entry{domain: i % domainCount}
		e.router = router.New(router.Config{Now: time.Now, Domain: fmt.Sprint(e.domain), Rand: rand.New(rand.NewPCG(seed, uint64(i)+100))})
		for _, t := range s.targets {
			e.router.Add(t.id, fmt.Sprint(t.domain), t.load())
			e.router.UpdateLoad(t.id, t.load(), 2*networkDelay(e.domain, t.domain))
		}
		s.entries = append(s.entries, e)
	}
	return s
}

// networkDelay returns the one-way delay between two failure domains.
func networkDelay(a, b int) time.Duration {
	if a == b {
		return sameDomainDelay
	}
	return crossDomainDelay
}

func (t *target) load() messenger.Load {
	running, waiting, slots, serviceTime := t.admitter.Load()
	return messenger.Load{Running: running, Waiting: waiting, Slots: slots, ServiceTime: serviceTime}
}

// request is a request with its timing, drawn before the simulation so that every
// policy gets the same ones.
type request struct {
	sendAfter   time.Duration // after the start
	serviceTime time.Duration
	entry       int
	priority    int
	timeout     time.Duration // after the caller sends it
}

// drawRequests draws Poisson arrivals at a fraction of the capacity.
func drawRequests(seed uint64, utilization float64, duration time.Duration) []request {
	rng := rand.New(rand.NewPCG(seed, 2))
	var requests []request
	for sendAfter := time.Duration(0); sendAfter < duration; {
		sendAfter += time.Duration(rng.ExpFloat64() / (utilization * capacityPerSecond) * float64(time.Second))
		requests = append(requests, request{
			sendAfter: sendAfter, serviceTime: time.Duration(rng.ExpFloat64() * float64(meanServiceTime)),
			entry: rng.IntN(entryCount), priority: 5, timeout: 2 * time.Second,
		})
	}
	return requests
}

// sendAll sends the requests at their times and waits for all answers. onAnswer, if
// not nil, is called with each.
func (s *simulation) sendAll(requests []request, onAnswer func(*simulation, request, answer)) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, req := range requests {
		advancer.Sleep(time.Until(start.Add(req.sendAfter)))
		wg.Go(func() {
			a := s.send(req)
			s.mu.Lock()
			s.answers = append(s.answers, a)
			s.mu.Unlock()
			if onAnswer != nil {
				onAnswer(s, req, a)
			}
		})
	}
	wg.Wait()
}

// maxAttempts is the same as in the dispatcher.
const maxAttempts = 4

// send simulates an idempotent request, from the caller and back, with retries.
func (s *simulation) send(req request) answer {
	sent := time.Now()
	deadline := sent.Add(req.timeout)
	advancer.Sleep(callerDelay)
	e := s.entries[req.entry]
	a := answer{sentAt: sent, priority: req.priority}
	tried := map[string]bool{}
	for n := 0; n < maxAttempts && time.Now().Before(deadline); n++ {
		if n > 0 && !s.policy.eager && !e.router.AllowRetry() {
			break
		}
		id, ok := s.pick(e, tried)
		if !ok {
			break
		}
		tried[id] = true
		attemptStart := time.Now()
		err := s.attempt(e, s.targetByID(id), req, deadline)
		s.reportResult(e, id, err, attemptStart)
		a.ok = err == nil
		var refusal *admitter.Refusal
		a.refused = errors.As(err, &refusal)
		if a.refused && (a.retryAt.IsZero() || refusal.RetryAt.Before(a.retryAt)) {
			a.retryAt = refusal.RetryAt
		}
		if a.ok {
			break
		}
	}
	advancer.Sleep(callerDelay)
	a.latency = time.Since(sent)
	a.ok = a.ok && !time.Now().After(deadline)
	return a
}

func (s *simulation) targetByID(id string) *target {
	i := slices.IndexFunc(s.targets, func(t *target) bool { return t.id == id })
	return s.targets[i]
}

// pick chooses a target that was not tried yet, or any target under a random policy.
func (s *simulation) pick(e *entry, tried map[string]bool) (string, bool) {
	if s.policy.random {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.targets[s.rng.IntN(len(s.targets))].id, true
	}
	c, err := e.router.Pick(tried)
	return c.ID, err == nil
}

// reportResult updates the entry's router with the result of an attempt and the
// target's load.
func (s *simulation) reportResult(e *entry, id string, err error, attemptStart time.Time) {
	if s.policy.random {
		return
	}
	load := s.targetByID(id).load()
	var refusal *admitter.Refusal
	e.router.Done(id, router.Result{Load: &load, Latency: time.Since(attemptStart), Failed: err != nil && !errors.As(err, &refusal), Refused: errors.As(err, &refusal)})
}

var (
	errFailed  = errors.New("target failed")
	errTimeout = errors.New("no answer")
)

// attempt simulates one attempt at a target.
func (s *simulation) attempt(e *entry, t *target, req request, deadline time.Time) error {
	s.mu.Lock()
	s.attempts++
	s.mu.Unlock()
	delay := networkDelay(e.domain, t.domain)
	advancer.Sleep(delay)
	defer advancer.Sleep(delay)
	t.mu.Lock()
	slowdown, failing, unresponsive := t.slowdown, t.failing, t.unresponsive
	t.mu.Unlock()
	if unresponsive {
		advancer.Sleep(time.Until(deadline))
		return errTimeout
	}
	if failing {
		advancer.Sleep(time.Millisecond)
		return errFailed
	}
	if t.semaphore != nil {
		t.semaphore <- struct{}{}
		advancer.Sleep(time.Duration(float64(req.serviceTime) * slowdown))
		<-t.semaphore
		return nil
	}
	ticket, err := t.admitter.Admit(context.Background(), admitter.Request{Deadline: deadline, Priority: req.priority})
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.served++
	t.mu.Unlock()
	advancer.Sleep(time.Duration(float64(req.serviceTime) * slowdown))
	ticket.Release()
	return nil
}

// sharedQueueLatencies returns the latencies of an ideal system with one queue for
// all slots, which knows at once which slot is free. They include the mean network
// delay from the caller to a target and back.
func sharedQueueLatencies(requests []request, servers int) []time.Duration {
	free := make([]time.Duration, servers)
	var latencies []time.Duration
	networkTime := 2 * (callerDelay + (crossDomainDelay*(domainCount-1)+sameDomainDelay)/domainCount)
	for _, req := range requests {
		i := 0
		for n := range free {
			if free[n] < free[i] {
				i = n
			}
		}
		start := max(req.sendAfter, free[i])
		free[i] = start + req.serviceTime
		latencies = append(latencies, free[i]-req.sendAfter+networkTime)
	}
	return latencies
}

// quantile returns the q-quantile of latencies, or 0 if there are none.
func quantile(latencies []time.Duration, q float64) time.Duration {
	sorted := slices.Clone(latencies)
	slices.Sort(sorted)
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// latencies returns the latencies of all requests. One that was not served counts
// with 2 s, the timeout of drawn requests.
func (s *simulation) latencies() []time.Duration {
	var latencies []time.Duration
	for _, a := range s.answers {
		if !a.ok {
			latencies = append(latencies, 2*time.Second)
			continue
		}
		latencies = append(latencies, a.latency)
	}
	return latencies
}

// goodput returns how many requests a second were served within their deadline.
func (s *simulation) goodput(duration time.Duration) float64 {
	n := 0
	for _, a := range s.answers {
		if a.ok {
			n++
		}
	}
	return float64(n) / duration.Seconds()
}

// inFakeTime runs f in a synctest bubble.
func inFakeTime(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(b) }
