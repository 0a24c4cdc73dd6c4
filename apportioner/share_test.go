package apportioner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/sequencer"
)

// Tasks that had waited took all room that came free without a claim.
func TestStartsWithoutAClaimGetHalf(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	core := &sequencer.Step{CPU: 1000}
	var s Share
	first, others := 0, 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		if s.Allows(core, now) {
			s.AddFirst(core, now)
			first++
		} else {
			s.AddOther(core, now)
			others++
		}
	}
	c.Check(first <= others+1, qt.IsTrue, qt.Commentf("%d and %d", first, others))
	c.Check(first >= 40, qt.IsTrue, qt.Commentf("%d and %d", first, others))
}

func TestAShareForgetsWhatWasStartedLongAgo(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	large := &sequencer.Step{CPU: 8000}
	var s Share
	c.Check(s.Allows(large, now), qt.IsTrue, qt.Commentf("the first"))
	s.AddFirst(large, now)
	s.AddOther(&sequencer.Step{CPU: 9000, BestEffort: true}, now)
	c.Check(s.Allows(large, now.Add(MaxDelay)), qt.IsFalse)
	c.Check(s.Allows(large, now.Add(2*MaxDelay)), qt.IsTrue)
}
