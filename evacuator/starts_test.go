package evacuator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// trouble is what happens to the reads and confirmations of an owner from the time 0 on.
type trouble struct {
	// watchCut is for how long reads of the requests fail, outage for how long the whole store does.
	watchCut, outage time.Duration
	// transit is for how long starts are on their way.
	transit time.Duration
}

// replayStarts lets an owner try a start in a domain each 50 ms for 20 s, whose evacuation is
// acknowledged 100 ms after the trouble began or, in an outage, after its end. It returns how many starts began
// and how many of them later than the bound.
func replayStarts(tr trouble, obey func(v View, confirmedAt, now time.Time) (allowed bool, startBy time.Time)) (begun, late int) {
	at := func(d time.Duration) time.Time { return start.Add(d) }
	requested := max(100*time.Millisecond, tr.outage)
	readAt, confirmedAt := -800*time.Millisecond, -400*time.Millisecond
	for now := time.Duration(0); now < 20*time.Second; now += 50 * time.Millisecond {
		if now >= max(tr.watchCut, tr.outage) && now%(400*time.Millisecond) == 0 {
			readAt = now - 400*time.Millisecond // when the watch that is answered now was sent
		}
		if now >= tr.outage && now%(500*time.Millisecond) == 0 {
			confirmedAt = now
		}
		view := NewView(at(readAt))
		if readAt >= requested {
			view = NewView(at(readAt), "a")
		}
		allowed, startBy := obey(view, at(confirmedAt), at(now))
		arrival := now + tr.transit
		if !allowed || !startBy.IsZero() && at(arrival).After(startBy) {
			continue
		}
		begun++
		if arrival+StartTime > requested+policy.Bound {
			late++
		}
	}
	return begun, late
}

// TestStartsBesideTrouble replays requests beside cut watches, outages and slow transits, and compares
// the decision with the simplest policy, to obey what has been read.
func TestStartsBesideTrouble(t *testing.T) {
	decision := func(v View, confirmedAt, now time.Time) (bool, time.Time) {
		return policy.Check(v, "a", confirmedAt) == Allowed, policy.StartBy(v, now)
	}
	simplest := func(v View, _, _ time.Time) (bool, time.Time) { return !v.Evacuated("a"), time.Time{} }
	for _, test := range []struct {
		name string
		trouble
		simplestIsLate bool
	}{
		{"calm", trouble{transit: 5 * time.Millisecond}, false},
		{"watch cut", trouble{watchCut: 12 * time.Second, transit: 5 * time.Millisecond}, true},
		{"slow transit", trouble{transit: 6 * time.Second}, true},
		{"slow transit beside a cut watch", trouble{watchCut: 3 * time.Second, transit: 2500 * time.Millisecond}, true},
		{"outage", trouble{outage: 8 * time.Second, transit: 5 * time.Millisecond}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			begun, late := replayStarts(test.trouble, decision)
			simplyBegun, simplyLate := replayStarts(test.trouble, simplest)
			t.Logf("%d starts, %d late; by the simplest policy %d, %d", begun, late, simplyBegun, simplyLate)
			c.Check(late, qt.Equals, 0)
			c.Check(simplyLate > 0, qt.Equals, test.simplestIsLate)
			if !test.simplestIsLate {
				c.Check(begun, qt.Equals, simplyBegun, qt.Commentf("no start is lost without need"))
			}
		})
	}
}
