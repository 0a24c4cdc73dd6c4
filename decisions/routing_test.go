package decisions

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	warmUp          = 5 * time.Second
	routingDuration = 20 * time.Second
)

// dropWarmUp drops the answers to requests that were sent during the warm-up.
func (s *simulation) dropWarmUp() {
	start := s.answers[0].sentAt
	for _, a := range s.answers {
		if a.sentAt.Before(start) {
			start = a.sentAt
		}
	}
	kept := s.answers[:0]
	for _, a := range s.answers {
		if a.sentAt.Sub(start) > warmUp {
			kept = append(kept, a)
		}
	}
	s.answers = kept
}

// simulate sends requests under a policy, after setFault if it is not nil, and
// returns the simulation without the warm-up.
func simulate(t *testing.T, p policy, seed uint64, requests []request, setFault func(*simulation)) *simulation {
	var s *simulation
	inFakeTime(t, func(*testing.T) {
		s = newSimulation(p, seed, 0)
		if setFault != nil {
			setFault(s)
		}
		s.sendAll(requests, nil)
		s.dropWarmUp()
	})
	return s
}

var (
	routerPolicy = policy{name: "router"}
	randomPolicy = policy{name: "random", random: true}
)

// TestRoutingNearSharedQueue checks that the p99 at 85% load is at most 1.3 times
// that of an ideal shared queue.
func TestRoutingNearSharedQueue(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 3; seed++ {
		requests := drawRequests(seed, 0.85, routingDuration)
		idealP99 := quantile(sharedQueueLatencies(requests, targetCount*slotsPerTarget), 0.99)
		routerP99 := quantile(simulate(t, routerPolicy, seed, requests, nil).latencies(), 0.99)
		randomP99 := quantile(simulate(t, randomPolicy, seed, requests, nil).latencies(), 0.99)
		t.Logf("seed %d, 85%% load: p99 ideal %v, router %v (%.2f), random %v (%.2f)", seed, idealP99, routerP99, ratio(routerP99, idealP99), randomP99, ratio(randomP99, idealP99))
		c := qt.New(t)
		c.Check(ratio(routerP99, idealP99) <= 1.3, qt.IsTrue, qt.Commentf("router %v, ideal %v", routerP99, idealP99))
		c.Check(randomP99 > routerP99, qt.IsTrue)
	}
}

// TestRoutingOneSlowTarget checks that a target ten times slower than the others
// raises the fleet's p99 by less than 10%.
func TestRoutingOneSlowTarget(t *testing.T) {
	t.Parallel()
	slow := func(s *simulation) { s.targets[3].slowdown = 10 }
	for seed := uint64(1); seed <= 3; seed++ {
		requests := drawRequests(seed, 0.6, routingDuration)
		before := quantile(simulate(t, routerPolicy, seed, requests, nil).latencies(), 0.99)
		after := quantile(simulate(t, routerPolicy, seed, requests, slow).latencies(), 0.99)
		randomBefore := quantile(simulate(t, randomPolicy, seed, requests, nil).latencies(), 0.99)
		randomAfter := quantile(simulate(t, randomPolicy, seed, requests, slow).latencies(), 0.99)
		t.Logf("seed %d, 60%% load, one target 10x slower: router p99 %v -> %v (%.2f), random %v -> %v (%.2f)", seed, before, after, ratio(after, before), randomBefore, randomAfter, ratio(randomAfter, randomBefore))
		qt.Check(t, ratio(after, before) < 1.1, qt.IsTrue, qt.Commentf("p99 %v -> %v", before, after))
	}
}
