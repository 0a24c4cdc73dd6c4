package protector

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// drive steps a protector over some tasks and returns their shares at the end.
func drive(p *Protector, tasks []Task, steps int, tail func(shares map[string]float64) time.Duration) (map[string]float64, []string) {
	shares := map[string]float64{}
	var evicted []string
	now := time.Unix(1000, 0)
	for i := range tasks {
		tasks[i].StartedAt = now
		shares[tasks[i].ID] = 1
	}
	for range steps {
		now = now.Add(StepInterval)
		for _, o := range p.Step(now, tasks, tail(shares)) {
			if o.Evict {
				evicted = append(evicted, o.ID)
				continue
			}
			shares[o.ID] = o.Share
		}
	}
	return shares, evicted
}

const bound = 200 * time.Millisecond

func pair() []Task {
	return []Task{{ID: "loud-1", Kind: "loud", Evictable: true}, {ID: "quiet-1", Kind: "quiet", Evictable: true}}
}

// TestWithoutRequestsNobodyIsThrottled: a service without requests has no tail,
// and every task was held at the floor for good.
func TestWithoutRequestsNobodyIsThrottled(t *testing.T) {
	shares, _ := drive(New(bound), pair(), 60, func(map[string]float64) time.Duration { return 0 })
	qt.Assert(t, shares, qt.DeepEquals, map[string]float64{"loud-1": 1, "quiet-1": 1})
}

// TestTheCulpritIsThrottled: after late measurements tell the kinds apart, the
// loud task is held back and the quiet one runs in full.
func TestTheCulpritIsThrottled(t *testing.T) {
	c := qt.New(t)
	p := New(bound)
	for range sure {
		p.ObserveInterference("loud", 3)
		p.ObserveInterference("quiet", 0.01)
	}
	latency := func(shares map[string]float64) time.Duration {
		return time.Duration(80e6 * (1 + 3*shares["loud-1"] + 0.01*shares["quiet-1"]))
	}
	shares, evicted := drive(p, pair(), 120, latency)
	c.Assert(shares["quiet-1"] > 0.95, qt.IsTrue, qt.Commentf("%v", shares))
	c.Assert(latency(shares) <= bound, qt.IsTrue, qt.Commentf("%v at %v", latency(shares), shares))
	c.Assert(shares["loud-1"] > 0.15, qt.IsTrue, qt.Commentf("%v", shares))
	c.Assert(evicted, qt.HasLen, 0)
}

// TestEvictionIsTheLastMeans: only when the contract stays broken with every
// share at the floor is a task evicted, and never one that cannot be resumed.
func TestEvictionIsTheLastMeans(t *testing.T) {
	c := qt.New(t)
	broken := func(map[string]float64) time.Duration { return 2 * bound }
	_, evicted := drive(New(bound), pair(), int(patience/StepInterval)-1, broken)
	c.Assert(evicted, qt.HasLen, 0)
	_, evicted = drive(New(bound), pair(), int(2*patience/StepInterval), broken)
	c.Assert(len(evicted) > 0, qt.IsTrue)
	fixed := pair()
	fixed[0].Evictable, fixed[1].Evictable = false, false
	_, evicted = drive(New(bound), fixed, int(2*patience/StepInterval), broken)
	c.Assert(evicted, qt.HasLen, 0)
}
