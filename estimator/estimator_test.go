package estimator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// roundingError is the rounding error of a product of two floats.
const roundingError = time.Microsecond

// TestBoundsHold checks with random exchanges that a remote clock within the
// drift lies between the bounds, and that a converted deadline passes on the
// remote clock no later than on the local one, apart from drift.
func TestBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Estimator
		start := time.Unix(1_000_000, 0)
		clockOffset := time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "offset"))
		rate := rapid.Float64Range(-maxDrift/2, maxDrift/2).Draw(t, "rate")
		remote := func(local time.Time) time.Time {
			return local.Add(clockOffset).Add(time.Duration(rate * float64(local.Sub(start))))
		}
		now := start
		step := func(name string) {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, name)))
		}
		for range rapid.IntRange(1, 20).Draw(t, "exchanges") {
			step("pause")
			requestedAt := now
			step("there")
			stamp := remote(now)
			step("back")
			if rapid.Bool().Draw(t, "one way") {
				requestedAt = time.Time{}
			}
			e.Observe(stamp, requestedAt, now)
			step("later")
			actual := remote(now)
			if e.Earliest(now).After(actual.Add(roundingError)) || e.Latest(now).Before(actual.Add(-roundingError)) {
				t.Fatalf("remote shows %v, bounds %v to %v", actual, e.Earliest(now), e.Latest(now))
			}
			local := now.Add(10 * time.Second)
			if deadline := e.RemoteDeadline(now, local); deadline.After(remote(local).Add(time.Duration(2 * maxDrift * float64(10*time.Second)))) {
				t.Fatalf("deadline %v is later than %v", deadline, remote(local))
			}
		}
	})
}

// TestSlowAnswerKeepsUpperBound guards against slow answers that loosen the
// upper bound: after a watch that was answered in 20 s, the store's clock
// seemed up to 20 s ahead, and all idempotency keys of a new service were
// unsettled.
func TestSlowAnswerKeepsUpperBound(t *testing.T) {
	c := qt.New(t)
	var e Estimator
	now := time.Unix(1000, 0)
	e.Observe(now, now.Add(-time.Millisecond), now)
	later := now.Add(20 * time.Second)
	e.Observe(later, now, later)
	c.Assert(e.Latest(later).Sub(later) < 10*time.Millisecond, qt.IsTrue, qt.Commentf("%v", e.Latest(later).Sub(later)))
}

// TestClockThatWasSet checks that the bounds follow a remote clock at once
// after it was set.
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
