package decisions

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
)

// bound is the contract of the service under overload.
const bound = 250 * time.Millisecond

// overload draws a load of which a part of the capacity is of the highest
// priority, and every request must be answered within half a second.
func overload(seed uint64, share, important float64, long time.Duration) []job {
	jobs := load(seed, share, long)
	every := max(int(share/important), 1)
	for i := range jobs {
		jobs[i].until = 500 * time.Millisecond
		jobs[i].priority = 3
		if i%every == 0 {
			jobs[i].priority = 9
		}
	}
	return jobs
}

// crowd plays a load under a policy with the contract's bound.
func crowd(t *testing.T, p policy, seed uint64, jobs []job) *scene {
	var s *scene
	bubble(t, func(*testing.T) {
		s = newScene(p, seed, bound)
		s.play(jobs, nil)
		s.settledPart()
	})
	return s
}

// unbounded queues all that comes, in front of random targets.
var unbounded = policy{name: "no limits", random: true, unlimited: true}

// TestOverloadKeepsGoodput: at 2x and 10x load, goodput is at least 95% of its
// peak, the highest class keeps its contract, and refusals come at once.
func TestOverloadKeepsGoodput(t *testing.T) {
	t.Parallel()
	const span = 15 * time.Second
	c := qt.New(t)
	peak := 0.0
	for _, share := range []float64{0.9, 1.0, 1.1} {
		peak = max(peak, crowd(t, ours, 1, overload(1, share, 0.2, span)).goodput(span-warm))
	}
	for _, share := range []float64{2, 10} {
		jobs := overload(1, share, 0.2, span)
		s := crowd(t, ours, 1, jobs)
		got := s.goodput(span - warm)
		top, topMissed, refusals := s.classes()
		blind := crowd(t, unbounded, 1, jobs)
		blindTop, blindMissed, _ := blind.classes()
		t.Logf("%2.0fx load: goodput %.0f/s of peak %.0f/s (%.2f), no limits %.0f/s (%.2f)", share, got, peak, got/peak, blind.goodput(span-warm), blind.goodput(span-warm)/peak)
		t.Logf("%2.0fx load: highest class p99 %v, not served %.4f (no limits %v, %.4f); refusals p50 %v p99 %v, tries a request %.2f", share, top, topMissed, blindTop, blindMissed,
			quantile(refusals, 0.5), quantile(refusals, 0.99), float64(s.sent)/float64(len(jobs)))
		c.Check(got/peak >= 0.95, qt.IsTrue, qt.Commentf("goodput %.2f of peak", got/peak))
		c.Check(top <= bound, qt.IsTrue, qt.Commentf("highest class p99 %v", top))
		c.Check(topMissed < 0.01, qt.IsTrue, qt.Commentf("highest class not served %.4f", topMissed))
		c.Check(quantile(refusals, 0.99) <= 15*time.Millisecond, qt.IsTrue, qt.Commentf("refusals p99 %v", quantile(refusals, 0.99)))
	}
}

// classes returns the p99 of the highest class's answers, the share of it that
// was not served, and how long refusals took.
func (s *scene) classes() (top time.Duration, missed float64, refusals []time.Duration) {
	var took []time.Duration
	n, lost := 0, 0
	for _, a := range s.done {
		if a.refused && !a.ok {
			refusals = append(refusals, a.took)
		}
		if a.priority != 9 {
			continue
		}
		n++
		if a.ok {
			took = append(took, a.took)
		} else {
			lost++
		}
	}
	return quantile(took, 0.99), float64(lost) / float64(max(n, 1)), refusals
}

// TestReturningCallersMakeNoSecondWave: after a burst, refused callers come back
// when they were told to. The worst load of any tenth of a second after the
// burst stays near the capacity, where callers that all come back a second
// later make the burst again.
func TestReturningCallersMakeNoSecondWave(t *testing.T) {
	t.Parallel()
	wave := func(told bool) (peak float64, served float64) {
		var mu sync.Mutex
		arrivals := map[int]int{}
		bubble(t, func(*testing.T) {
			s := newScene(ours, 1, bound)
			start := time.Now()
			burst := overload(1, 8, 0.2, time.Second)
			var again func(*scene, job, answer)
			again = func(s *scene, j job, a answer) {
				for n := 0; n < 20 && a.refused && !a.ok; n++ {
					wait := time.Second
					if told {
						wait = time.Until(a.again)
					}
					advancer.Sleep(wait)
					mu.Lock()
					arrivals[int(time.Since(start)/(100*time.Millisecond))]++
					mu.Unlock()
					a = s.request(j)
				}
				if a.ok {
					mu.Lock()
					served++
					mu.Unlock()
				}
			}
			s.play(burst, again)
			served /= float64(len(burst))
		})
		for at, n := range arrivals {
			if at >= 10 {
				peak = max(peak, float64(n)*10/capacity)
			}
		}
		return peak, served
	}
	peak, served := wave(true)
	blindPeak, blindServed := wave(false)
	t.Logf("after a burst of 8x: worst returning load %.2f of capacity, %.2f served in the end; all after 1 s: %.2f, %.2f", peak, served, blindPeak, blindServed)
	c := qt.New(t)
	c.Check(peak <= 1.5, qt.IsTrue, qt.Commentf("returning load %.2f of capacity", peak))
	c.Check(served >= 0.95, qt.IsTrue, qt.Commentf("served %.2f", served))
	c.Check(blindPeak > 2*peak, qt.IsTrue)
}
