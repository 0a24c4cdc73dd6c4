package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/recorder"
)

// TestEarlierInventoryReplySaysNothingOfLaterGrants guards against a task that
// runs twice: an owner sends an inventory request, a grant and a second request,
// and then receives the reply to the first. The reply lacks the grant, although
// the agent runs its task.
func TestEarlierInventoryReplySaysNothingOfLaterGrants(t *testing.T) {
	c := qt.New(t)
	tr := newTracker(3, time.Time{})
	k, g := grantKey{"team/job/run", 4}, &recorder.Grant{Agent: "a2", Incarnation: "a2-1", Epoch: 3}
	first := tr.nextSeq()
	tr.sentSeq[k] = tr.nextSeq()
	second := tr.nextSeq()
	c.Assert(tr.neverStarted(k, g, "a2-1", first), qt.IsFalse)
	c.Assert(tr.neverStarted(k, g, "a2-1", second), qt.IsTrue)

	c.Run("a committed grant that is not sent yet may still start", func(c *qt.C) {
		c.Assert(tr.neverStarted(grantKey{"team/job/run", 5}, g, "a2-1", second), qt.IsFalse)
	})
	c.Run("a start request of an earlier process may be in flight", func(c *qt.C) {
		c.Assert(tr.neverStarted(k, g, "a2-2", second), qt.IsFalse)
	})
	c.Run("a grant of an earlier epoch is no longer accepted", func(c *qt.C) {
		old := &recorder.Grant{Agent: "a2", Incarnation: "a2-1", Epoch: 2}
		c.Assert(tr.neverStarted(grantKey{"team/job/run", 1}, old, "a2-1", first), qt.IsTrue)
	})
}

// TestTrackerWaitsForTheLastDeadline checks that a grant expires only after the
// last deadline that any owner may have set.
func TestTrackerWaitsForTheLastDeadline(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	tr := newTracker(2, start.Add(time.Minute))
	k, g := grantKey{"team/job/run", 1}, &recorder.Grant{Agent: "a", Incarnation: "a-1", Epoch: 1}

	c.Assert(tr.expiry(k, g), qt.Equals, start.Add(time.Minute), qt.Commentf("an earlier owner may have extended the grant"))
	tr.acceptEpoch(agentProcess{"a", "a-1"}, start, 10*time.Second)
	c.Assert(tr.expiry(k, g), qt.Equals, start.Add(10*time.Second), qt.Commentf("the process accepted the epoch"))
	tr.extend(agentProcess{"a", "a-1"}, start.Add(15*time.Second))
	tr.extend(agentProcess{"a", "a-1"}, start.Add(12*time.Second))
	c.Assert(tr.expiry(k, g), qt.Equals, start.Add(15*time.Second))
	tr.adoptedBy[k] = "a-2"
	tr.extend(agentProcess{"a", "a-2"}, start.Add(20*time.Second))
	c.Assert(tr.expiry(k, g), qt.Equals, start.Add(20*time.Second), qt.Commentf("a later process holds the grant"))
}
