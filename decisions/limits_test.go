package decisions

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
)

// bound is the tail latency in the contract of the overloaded service.
const bound = 250 * time.Millisecond

// overload draws requests with a timeout of half a second. The load is utilization
// times the capacity, that of the highest priority alone topUtilization times.
func overload(seed uint64, utilization, topUtilization float64, duration time.Duration) []request {
	requests := drawRequests(seed, utilization, duration)
	every := max(int(utilization/topUtilization), 1)
	for i := range requests {
		requests[i].timeout = 500 * time.Millisecond
		requests[i].priority = 3
		if i%every == 0 {
			requests[i].priority = 9
		}
	}
	return requests
}

// simulateBounded is simulate without a fault, at targets whose admitters have the
// contract's bound.
func simulateBounded(t *testing.T, p policy, seed uint64, requests []request) *simulation {
	var s *simulation
	inFakeTime(t, func(*testing.T) {
		s = newSimulation(p, seed, bound)
		s.sendAll(requests, nil)
		s.dropWarmUp()
	})
	return s
}

// noLimitsPolicy queues every request, at a random target.
var noLimitsPolicy = policy{name: "no limits", random: true, unlimited: true}

// TestOverloadKeepsGoodput checks that, at 2x and 10x load, goodput is at least 95%
// of its peak, the highest class keeps its contract, and refusals are immediate.
func TestOverloadKeepsGoodput(t *testing.T) {
	t.Parallel()
	const duration = 15 * time.Second
	c := qt.New(t)
	peak := 0.0
	for _, utilization := range []float64{0.9, 1.0, 1.1} {
		peak = max(peak, simulateBounded(t, routerPolicy, 1, overload(1, utilization, 0.2, duration)).goodput(duration-warmUp))
	}
	for _, loadFactor := range []float64{2, 10} {
		requests := overload(1, loadFactor, 0.2, duration)
		s := simulateBounded(t, routerPolicy, 1, requests)
		got := s.goodput(duration - warmUp)
		top, topMissed, refusals := s.highestClass()
		noLimits := simulateBounded(t, noLimitsPolicy, 1, requests)
		noLimitsTop, noLimitsMissed, _ := noLimits.highestClass()
		t.Logf("%2.0fx load: goodput %.0f/s of peak %.0f/s (%.2f), no limits %.0f/s (%.2f)", loadFactor, got, peak, got/peak, noLimits.goodput(duration-warmUp), noLimits.goodput(duration-warmUp)/peak)
		t.Logf("%2.0fx load: highest class p99 %v, not served %.4f (no limits %v, %.4f); refusals p50 %v p99 %v, attempts per request %.2f", loadFactor, top, topMissed, noLimitsTop, noLimitsMissed,
			quantile(refusals, 0.5), quantile(refusals, 0.99), float64(s.attempts)/float64(len(requests)))
		c.Check(got/peak >= 0.95, qt.IsTrue, qt.Commentf("goodput %.2f of peak", got/peak))
		c.Check(top <= bound, qt.IsTrue, qt.Commentf("highest class p99 %v", top))
		c.Check(topMissed < 0.01, qt.IsTrue, qt.Commentf("highest class not served %.4f", topMissed))
		c.Check(quantile(refusals, 0.99) <= 15*time.Millisecond, qt.IsTrue, qt.Commentf("refusals p99 %v", quantile(refusals, 0.99)))
	}
}

// highestClass returns the p99 of the served requests of the highest class, the
// fraction of that class that was not served, and the latencies of refusals in all
// classes.
func (s *simulation) highestClass() (top time.Duration, missed float64, refusals []time.Duration) {
	var latencies []time.Duration
	n, notServed := 0, 0
	for _, a := range s.answers {
		if a.refused && !a.ok {
			refusals = append(refusals, a.latency)
		}
		if a.priority != 9 {
			continue
		}
		n++
		if a.ok {
			latencies = append(latencies, a.latency)
		} else {
			notServed++
		}
	}
	return quantile(latencies, 0.99), float64(notServed) / float64(max(n, 1)), refusals
}

// TestRetryAfterSpreadsReturningCallers checks that refused callers that return at
// the time given by the refusal cause no second burst: the load in any tenth of a
// second after the first burst stays near the capacity. Callers that all return
// after one second repeat the burst.
func TestRetryAfterSpreadsReturningCallers(t *testing.T) {
	t.Parallel()
	burstAndRetry := func(useRetryAt bool) (peak float64, served float64) {
		var mu sync.Mutex
		arrivals := map[int]int{}
		inFakeTime(t, func(*testing.T) {
			s := newSimulation(routerPolicy, 1, bound)
			start := time.Now()
			burst := overload(1, 8, 0.2, time.Second)
			var retry func(*simulation, request, answer)
			retry = func(s *simulation, req request, a answer) {
				for n := 0; n < 20 && a.refused && !a.ok; n++ {
					wait := time.Second
					if useRetryAt {
						wait = time.Until(a.retryAt)
					}
					advancer.Sleep(wait)
					mu.Lock()
					arrivals[int(time.Since(start)/(100*time.Millisecond))]++
					mu.Unlock()
					a = s.send(req)
				}
				if a.ok {
					mu.Lock()
					served++
					mu.Unlock()
				}
			}
			s.sendAll(burst, retry)
			served /= float64(len(burst))
		})
		for tenth, n := range arrivals {
			if tenth >= 10 {
				peak = max(peak, float64(n)*10/capacityPerSecond)
			}
		}
		return peak, served
	}
	peak, served := burstAndRetry(true)
	fixedPeak, fixedServed := burstAndRetry(false)
	t.Logf("after a burst of 8x: worst returning load %.2f of capacity, %.2f served in the end; all after 1 s: %.2f, %.2f", peak, served, fixedPeak, fixedServed)
	c := qt.New(t)
	c.Check(peak <= 1.5, qt.IsTrue, qt.Commentf("returning load %.2f of capacity", peak))
	c.Check(served >= 0.95, qt.IsTrue, qt.Commentf("served %.2f", served))
	c.Check(fixedPeak > 2*peak, qt.IsTrue)
}
