package estimator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// rounding is that of a product of two floats.
const rounding = time.Microsecond

// TestBoundsHold: whatever the exchanges and within the drift, the remote's
// clock lies between the bounds, and a deadline comes no later there than here.
func TestBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Estimator
		start := time.Unix(1_000_000, 0)
		off := time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "offset"))
		rate := rapid.Float64Range(-drift/2, drift/2).Draw(t, "rate")
		remote := func(local time.Time) time.Time {
			return local.Add(off).Add(time.Duration(rate * float64(local.Sub(start))))
		}
		now := start
		step := func(name string) {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, name)))
		}
		for range rapid.IntRange(1, 20).Draw(t, "exchanges") {
			step("pause")
			asked := now
			step("there")
			stamp := remote(now)
			step("back")
			if rapid.Bool().Draw(t, "one way") {
				asked = time.Time{}
			}
			e.Observe(stamp, asked, now)
			step("later")
			is := remote(now)
			if e.Earliest(now).After(is.Add(rounding)) || e.Latest(now).Before(is.Add(-rounding)) {
				t.Fatalf("remote shows %v, bounds %v to %v", is, e.Earliest(now), e.Latest(now))
			}
			local := now.Add(10 * time.Second)
			if until := e.RemoteDeadline(now, local); until.After(remote(local).Add(time.Duration(2 * drift * float64(10*time.Second)))) {
				t.Fatalf("deadline %v is later than %v", until, remote(local))
			}
		}
	})
}

// TestSlowAnswerSpoilsNoBound: the answer to a watch that waited 20 s made the
// store's clock seem up to 20 s further on, and all idempotency keys of a new
// service unsettled.
func TestSlowAnswerSpoilsNoBound(t *testing.T) {
	c := qt.New(t)
	var e Estimator
	now := time.Unix(1000, 0)
	e.Observe(now, now.Add(-time.Millisecond), now)
	later := now.Add(20 * time.Second)
	e.Observe(later, now, later)
	c.Assert(e.Latest(later).Sub(later) < 10*time.Millisecond, qt.IsTrue, qt.Commentf("%v", e.Latest(later).Sub(later)))
}

// TestClockThatWasSet: a remote clock that jumped is followed at once.
func TestClockThatWasSet(t *testing.T) {
	c := qt.New(t)
	var e Estimator
	now := time.Unix(1000, 0)
	e.Observe(now.Add(time.Hour), now, now)
	now = now.Add(time.Minute)
	e.Observe(now, now, now)
	c.Assert(e.Earliest(now), qt.Equals, now)
	c.Assert(e.Latest(now), qt.Equals, now)
}
