package limiter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// at returns a time ms milliseconds after the start of a test.
func at(ms int) time.Time { return time.UnixMilli(int64(1_000_000 + ms)) }

const testGrace = time.Second

func TestBodiesWithinCapacityAreCharged(t *testing.T) {
	c := qt.New(t)
	b := NewBodies(100, testGrace)
	first, second := b.Begin(at(0), nil), b.Begin(at(1), nil)
	_, ok := b.Charge(first, 60, at(2))
	c.Assert(ok, qt.IsTrue)
	_, ok = b.Charge(second, 40, at(3))
	c.Assert(ok, qt.IsTrue)
	c.Assert(b.Used(), qt.Equals, int64(100))
	b.End(first)
	b.End(first)
	c.Assert(b.Used(), qt.Equals, int64(40), qt.Commentf("a second end releases nothing more"))
}

// TestOldestIncompleteBodyGivesWay guards against a crowd of bodies that never end keeping the
// whole budget.
func TestOldestIncompleteBodyGivesWay(t *testing.T) {
	for name, tc := range map[string]struct {
		now      int
		complete bool
		ok       bool
		ended    int
	}{
		"within the grace period":    {now: 900, ok: false, ended: 0},
		"after the grace period":     {now: 1500, ok: true, ended: 1},
		"complete bodies are spared": {now: 1500, complete: true, ok: false, ended: 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := NewBodies(100, testGrace)
			oldest := b.Begin(at(0), nil)
			b.Charge(oldest, 80, at(0))
			if tc.complete {
				b.Complete(oldest)
			}
			late := b.Begin(at(tc.now), nil)
			ended, ok := b.Charge(late, 50, at(tc.now))
			c.Assert(ok, qt.Equals, tc.ok)
			c.Assert(ended, qt.HasLen, tc.ended)
			if tc.ended > 0 {
				c.Assert(ended[0], qt.Equals, oldest)
			}
		})
	}
}

// TestOldestBodyThatGrowsIsEnded checks that a body does not push out younger ones.
func TestOldestBodyThatGrowsIsEnded(t *testing.T) {
	c := qt.New(t)
	b := NewBodies(100, testGrace)
	oldest, younger := b.Begin(at(0), nil), b.Begin(at(10), nil)
	b.Charge(oldest, 50, at(20))
	b.Charge(younger, 50, at(20))
	ended, ok := b.Charge(oldest, 10, at(5000))
	c.Assert(ok, qt.IsFalse)
	c.Assert(ended, qt.HasLen, 0)
	c.Assert(b.Used(), qt.Equals, int64(50))
	_, ok = b.Charge(oldest, 10, at(5000))
	c.Assert(ok, qt.IsFalse, qt.Commentf("a body that has ended is not charged again"))
}

// TestSingleBodyMayExceedCapacity guards against a limit of the configuration that is over the
// budget: the largest legal request is still served by a calm process.
func TestSingleBodyMayExceedCapacity(t *testing.T) {
	c := qt.New(t)
	b := NewBodies(100, testGrace)
	only := b.Begin(at(0), nil)
	_, ok := b.Charge(only, 300, at(0))
	c.Assert(ok, qt.IsTrue)
	other := b.Begin(at(1), nil)
	_, ok = b.Charge(other, 1, at(2))
	c.Assert(ok, qt.IsFalse)
}

// TestBodiesNeverExceedCapacity plays random bodies against the sum of their charges.
func TestBodiesNeverExceedCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 1000
		b := NewBodies(capacity, testGrace)
		var all []*Body
		now := 0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += rapid.IntRange(0, 500).Draw(t, "ms")
			if len(all) == 0 || rapid.Bool().Draw(t, "begin") {
				all = append(all, b.Begin(at(now), nil))
			}
			body := all[rapid.IntRange(0, len(all)-1).Draw(t, "body")]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				b.Complete(body)
			case 1:
				b.End(body)
			default:
				b.Charge(body, int64(rapid.IntRange(1, 400).Draw(t, "bytes")), at(now))
			}
			sum, holders := int64(0), 0
			for _, body := range all {
				sum += body.charged
				if body.charged > 0 {
					holders++
				}
			}
			if sum != b.Used() || sum > capacity && holders > 1 {
				t.Fatalf("charged %d, counted %d, by %d bodies", sum, b.Used(), holders)
			}
		}
	})
}
