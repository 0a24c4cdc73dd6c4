package decisions

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
)

// eagerPolicy retries every failure immediately, at a random target.
var eagerPolicy = policy{name: "eager", random: true, eager: true}

// TestRetryLoadDuringOutage checks that retries add at most a tenth to the load
// when every target fails.
func TestRetryLoadDuringOutage(t *testing.T) {
	t.Parallel()
	failAll := func(s *simulation) {
		for _, target := range s.targets {
			target.failing = true
		}
	}
	requests := drawRequests(1, 0.5, 10*time.Second)
	attemptsPerRequest := func(p policy) float64 {
		s := simulate(t, p, 1, requests, failAll)
		return float64(s.attempts) / float64(len(requests))
	}
	router, eager := attemptsPerRequest(routerPolicy), attemptsPerRequest(eagerPolicy)
	t.Logf("total outage: %.3f attempts per request, eager %.3f", router, eager)
	qt.Check(t, router <= 1.1, qt.IsTrue, qt.Commentf("%.3f attempts per request", router))
	qt.Check(t, eager > 3, qt.IsTrue)
}

// TestFailingTargetIsEjected checks that the failures of a target that fails fast or
// never answers reach almost no caller after the warm-up, since the target is
// ejected after tens of requests.
func TestFailingTargetIsEjected(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		set  func(*target)
	}{
		{"fails at once", func(t *target) { t.failing = true }},
		{"never answers", func(t *target) { t.unresponsive = true }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			requests := drawRequests(1, 0.5, 10*time.Second)
			for i := range requests {
				requests[i].timeout = time.Second
			}
			notServed := func(p policy) (float64, *simulation) {
				s := simulate(t, p, 1, requests, func(s *simulation) { tc.set(s.targets[5]) })
				n := 0
				for _, a := range s.answers {
					if !a.ok {
						n++
					}
				}
				return float64(n) / float64(len(s.answers)), s
			}
			router, _ := notServed(routerPolicy)
			random, _ := notServed(randomPolicy)
			t.Logf("one of %d targets %s, after the first %v: not served %.5f, random without retries %.5f", targetCount, tc.name, warmUp, router, random)
			qt.Check(t, router < 0.005, qt.IsTrue, qt.Commentf("not served %.5f", router))
			qt.Check(t, random > 0.05, qt.IsTrue)
		})
	}
}

// TestNewTargetServesItsShare checks that a target that joins serves at least 80% of
// a fair share after 5 s.
func TestNewTargetServesItsShare(t *testing.T) {
	t.Parallel()
	requests := drawRequests(1, 0.7, 12*time.Second)
	inFakeTime(t, func(t *testing.T) {
		s := newSimulation(routerPolicy, 1, 0)
		joined := s.targets[4]
		for _, e := range s.entries {
			e.router.Remove(joined.id)
		}
		go func() {
			advancer.Sleep(4 * time.Second)
			for _, e := range s.entries {
				e.router.Add(joined.id, "0", joined.load())
			}
		}()
		servedBefore := 0
		go func() {
			advancer.Sleep(9 * time.Second)
			joined.mu.Lock()
			servedBefore = joined.served
			joined.mu.Unlock()
		}()
		s.sendAll(requests, nil)
		servedPerSecond := float64(joined.served-servedBefore) / 3
		fairShare := 0.7 * capacityPerSecond / targetCount
		t.Logf("a target that joined 5 s ago serves %.2f of a fair share", servedPerSecond/fairShare)
		qt.Check(t, servedPerSecond/fairShare >= 0.8, qt.IsTrue, qt.Commentf("%.2f of a fair share", servedPerSecond/fairShare))
	})
}
