package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/recorder"
)

// TestLateSurveyAnswerTellsNothingOfLaterGrants: an owner asked an agent twice,
// sent it a grant in between, and got the first answer after the second
// question. It took the grant for unsent and gave its task to be run again,
// while the agent ran it.
func TestLateSurveyAnswerTellsNothingOfLaterGrants(t *testing.T) {
	c := qt.New(t)
	track := newTracker(3, time.Time{})
	k, g := grantKey{"team/job/run", 4}, &recorder.Grant{Agent: "a2", Incarnation: "a2-1", Epoch: 3}
	first := track.next()
	track.sent[k] = track.next()
	second := track.next()
	c.Assert(track.unsent(k, g, "a2-1", first), qt.IsFalse)
	c.Assert(track.unsent(k, g, "a2-1", second), qt.IsTrue)

	c.Run("a grant that is durable but not sent yet is not unsent", func(c *qt.C) {
		c.Assert(track.unsent(grantKey{"team/job/run", 5}, g, "a2-1", second), qt.IsFalse)
	})
	c.Run("an earlier process may have left a start on its way", func(c *qt.C) {
		c.Assert(track.unsent(k, g, "a2-2", second), qt.IsFalse)
	})
	c.Run("a grant of an earlier owner is not taken any more", func(c *qt.C) {
		old := &recorder.Grant{Agent: "a2", Incarnation: "a2-1", Epoch: 2}
		c.Assert(track.unsent(grantKey{"team/job/run", 1}, old, "a2-1", first), qt.IsTrue)
	})
}

// TestTrackerWaitsForTheLastDeadline: a grant may run elsewhere only after the
// last deadline that any owner gave.
func TestTrackerWaitsForTheLastDeadline(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	track := newTracker(2, start.Add(time.Minute))
	k, g := grantKey{"team/job/run", 1}, &recorder.Grant{Agent: "a", Incarnation: "a-1", Epoch: 1}

	c.Assert(track.end(k, g), qt.Equals, start.Add(time.Minute), qt.Commentf("an earlier owner's hold counts"))
	track.take(process{"a", "a-1"}, start, 10*time.Second)
	c.Assert(track.end(k, g), qt.Equals, start.Add(10*time.Second), qt.Commentf("but not once the process took the epoch"))
	track.give(process{"a", "a-1"}, start.Add(15*time.Second))
	track.give(process{"a", "a-1"}, start.Add(12*time.Second))
	c.Assert(track.end(k, g), qt.Equals, start.Add(15*time.Second))
	track.adopted[k] = "a-2"
	track.give(process{"a", "a-2"}, start.Add(20*time.Second))
	c.Assert(track.end(k, g), qt.Equals, start.Add(20*time.Second), qt.Commentf("a later process holds it"))
}
