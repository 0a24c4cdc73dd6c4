package protector

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// runSteps steps a protector for some tasks, and returns their shares at the
// end and the evicted tasks.
func runSteps(p *Protector, tasks []Task, steps int, tail func(shares map[string]float64) time.Duration) (map[string]float64, []string) {
	shares := map[string]float64{}
	var evicted []string
	now := time.Unix(1000, 0)
	for i := range tasks {
		tasks[i].StartedAt = now
		shares[tasks[i].ID] = 1
	}
	for range steps {
		now = now.Add(StepInterval)
		for _, action := range p.Step(now, tasks, tail(shares)) {
			if action.Evict {
				evicted = append(evicted, action.ID)
				continue
			}
			shares[action.ID] = action.Share
		}
	}
	return shares, evicted
}

const limit = 200 * time.Millisecond

func twoTasks() []Task {
	return []Task{{ID: "loud-1", Kind: "loud", Evictable: true}, {ID: "quiet-1", Kind: "quiet", Evictable: true}}
}

// TestNoThrottlingWithoutRequests guards against tasks that stay at the
// minimum share because a service without requests has no tail latency.
func TestNoThrottlingWithoutRequests(t *testing.T) {
	shares, _ := runSteps(New(limit), twoTasks(), 60, func(map[string]float64) time.Duration { return 0 })
	qt.Assert(t, shares, qt.DeepEquals, map[string]float64{"loud-1": 1, "quiet-1": 1})
}

// TestInterferingTaskIsThrottled checks that, with enough measurements of both
// kinds, the task with high interference is throttled and the other one runs
// with its full share.
func TestInterferingTaskIsThrottled(t *testing.T) {
	c := qt.New(t)
	p := New(limit)
	for range minMeasurements {
		p.ObserveInterference("loud", 3)
		p.ObserveInterference("quiet", 0.01)
	}
	latency := func(shares map[string]float64) time.Duration {
		return time.Duration(80e6 * (1 + 3*shares["loud-1"] + 0.01*shares["quiet-1"]))
	}
	shares, evicted := runSteps(p, twoTasks(), 120, latency)
	c.Assert(shares["quiet-1"] > 0.95, qt.IsTrue, qt.Commentf("%v", shares))
	c.Assert(latency(shares) <= limit, qt.IsTrue, qt.Commentf("%v at %v", latency(shares), shares))
	c.Assert(shares["loud-1"] > 0.15, qt.IsTrue, qt.Commentf("%v", shares))
	c.Assert(evicted, qt.HasLen, 0)
}

// TestEvictionIsLastResort checks that a task is evicted only if the contract
// stays violated with all shares at the minimum, and only if it is evictable.
func TestEvictionIsLastResort(t *testing.T) {
	c := qt.New(t)
	broken := func(map[string]float64) time.Duration { return 2 * limit }
	_, evicted := runSteps(New(limit), twoTasks(), int(evictionDelay/StepInterval)-1, broken)
	c.Assert(evicted, qt.HasLen, 0)
	_, evicted = runSteps(New(limit), twoTasks(), int(2*evictionDelay/StepInterval), broken)
	c.Assert(len(evicted) > 0, qt.IsTrue)
	notEvictable := twoTasks()
	notEvictable[0].Evictable, notEvictable[1].Evictable = false, false
	_, evicted = runSteps(New(limit), notEvictable, int(2*evictionDelay/StepInterval), broken)
	c.Assert(evicted, qt.HasLen, 0)
}
