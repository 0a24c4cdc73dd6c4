package decisions

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
)

// eager retries everything at once, at any target.
var eager = policy{name: "eager", random: true, eager: true}

// TestOutageAddsLittleLoad: when every target fails, retries add at most a tenth
// to the load.
func TestOutageAddsLittleLoad(t *testing.T) {
	t.Parallel()
	broken := func(s *scene) {
		for _, target := range s.targets {
			target.failing = true
		}
	}
	jobs := load(1, 0.5, 10*time.Second)
	tries := func(p policy) float64 {
		s := run(t, p, 1, jobs, broken)
		return float64(s.sent) / float64(len(jobs))
	}
	own, blind := tries(ours), tries(eager)
	t.Logf("total outage: %.3f tries a request, eager %.3f", own, blind)
	qt.Check(t, own <= 1.1, qt.IsTrue, qt.Commentf("%.3f tries a request", own))
	qt.Check(t, blind > 3, qt.IsTrue)
}

// TestBlackHoleIsFoundSoon: a target that fails everything fast gets only tens
// of requests before it is ejected, and its failures reach almost no caller.
func TestBlackHoleIsFoundSoon(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		set  func(*target)
	}{
		{"fails at once", func(g *target) { g.failing = true }},
		{"never answers", func(g *target) { g.black = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			jobs := load(1, 0.5, 10*time.Second)
			for i := range jobs {
				jobs[i].until = time.Second
			}
			lost := func(p policy) (float64, *scene) {
				s := run(t, p, 1, jobs, func(s *scene) { c.set(s.targets[5]) })
				n := 0
				for _, a := range s.done {
					if !a.ok {
						n++
					}
				}
				return float64(n) / float64(len(s.done)), s
			}
			own, _ := lost(ours)
			blind, _ := lost(random)
			t.Logf("one of %d targets %s, after the first %v: not served %.5f, random without retries %.5f", targetCount, c.name, warm, own, blind)
			qt.Check(t, own < 0.005, qt.IsTrue, qt.Commentf("not served %.5f", own))
			qt.Check(t, blind > 0.05, qt.IsTrue)
		})
	}
}

// TestFreshTargetTakesItsShare: a target that joins takes its share within 5 s.
func TestFreshTargetTakesItsShare(t *testing.T) {
	t.Parallel()
	jobs := load(1, 0.7, 12*time.Second)
	bubble(t, func(t *testing.T) {
		s := newScene(ours, 1, 0)
		late := s.targets[4]
		for _, e := range s.entries {
			e.router.Remove(late.id)
		}
		go func() {
			advancer.Sleep(4 * time.Second)
			for _, e := range s.entries {
				e.router.Add(late.id, "0", late.load())
			}
		}()
		served := 0
		go func() {
			advancer.Sleep(9 * time.Second)
			late.mu.Lock()
			served = late.served
			late.mu.Unlock()
		}()
		s.play(jobs, nil)
		rate := float64(late.served-served) / 3
		mean := 0.7 * capacity / targetCount
		t.Logf("a target that joined 5 s ago serves %.2f of a fair share", rate/mean)
		qt.Check(t, rate/mean >= 0.8, qt.IsTrue, qt.Commentf("%.2f of a fair share", rate/mean))
	})
}
