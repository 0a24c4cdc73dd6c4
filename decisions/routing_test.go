package decisions

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	warm = 5 * time.Second
	long = 20 * time.Second
)

// settledPart drops the answers of the warm-up.
func (s *scene) settledPart() {
	start := s.done[0].at
	for _, a := range s.done {
		if a.at.Before(start) {
			start = a.at
		}
	}
	kept := s.done[:0]
	for _, a := range s.done {
		if a.at.Sub(start) > warm {
			kept = append(kept, a)
		}
	}
	s.done = kept
}

// run plays a load under a policy and returns the scene.
func run(t *testing.T, p policy, seed uint64, jobs []job, fault func(*scene)) *scene {
	var s *scene
	bubble(t, func(*testing.T) {
		s = newScene(p, seed, 0)
		if fault != nil {
			fault(s)
		}
		s.play(jobs, nil)
		s.settledPart()
	})
	return s
}

var (
	ours   = policy{name: "router"}
	random = policy{name: "random", random: true}
)

// TestRoutingNearSharedQueue: p99 at 85% load is at most 1.3 times that of one
// ideal shared queue.
func TestRoutingNearSharedQueue(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 3; seed++ {
		jobs := load(seed, 0.85, long)
		ideal := quantile(shared(jobs, targetCount*slots), 0.99)
		own := quantile(run(t, ours, seed, jobs, nil).times(), 0.99)
		blind := quantile(run(t, random, seed, jobs, nil).times(), 0.99)
		t.Logf("seed %d, 85%% load: p99 ideal %v, router %v (%.2f), random %v (%.2f)", seed, ideal, own, ratio(own, ideal), blind, ratio(blind, ideal))
		c := qt.New(t)
		c.Check(ratio(own, ideal) <= 1.3, qt.IsTrue, qt.Commentf("router %v, ideal %v", own, ideal))
		c.Check(blind > own, qt.IsTrue)
	}
}

// TestRoutingOneSlowTarget: a target ten times slower moves the fleet's p99 by
// under 10%.
func TestRoutingOneSlowTarget(t *testing.T) {
	t.Parallel()
	slow := func(s *scene) { s.targets[3].slower = 10 }
	for seed := uint64(1); seed <= 3; seed++ {
		jobs := load(seed, 0.6, long)
		before := quantile(run(t, ours, seed, jobs, nil).times(), 0.99)
		after := quantile(run(t, ours, seed, jobs, slow).times(), 0.99)
		blindBefore := quantile(run(t, random, seed, jobs, nil).times(), 0.99)
		blind := quantile(run(t, random, seed, jobs, slow).times(), 0.99)
		t.Logf("seed %d, 60%% load, one target 10x slower: router p99 %v -> %v (%.2f), random %v -> %v (%.2f)", seed, before, after, ratio(after, before), blindBefore, blind, ratio(blind, blindBefore))
		qt.Check(t, ratio(after, before) < 1.1, qt.IsTrue, qt.Commentf("p99 %v -> %v", before, after))
	}
}
