package elector

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
)

// A lease that was over waited for up to 0.6 s for the next confirmation to show that no later owner had renewed it.
func TestAConfirmationThatIsNeededIsSentAtOnce(t *testing.T) {
	withCluster(t, 2, func(c *qt.C, cl *cluster) {
		owner := cl.nodes[cl.owner()]
		for range 20 {
			needed := time.Now()
			owner.ConfirmAfter(needed)
			advancer.Sleep(checkInterval + 20*time.Millisecond)
			c.Assert(owner.OwnershipConfirmedAt().Before(needed), qt.IsFalse)
			advancer.Sleep(70 * time.Millisecond)
		}
	})
}

// One that is asked for again and again is sent once: the store may be away.
func TestAConfirmationIsNotSentAgainForTheSameTime(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(5000, 0)
	e := New(Config{Self: Member{ID: "self", Incarnation: "1"}, Now: func() time.Time { return now }})
	e.record = OwnerRecord{Owner: e.cfg.Self, Term: 1}
	e.ConfirmAfter(now)
	_, due := e.confirmationDue(now.Add(-time.Millisecond), now.Add(checkInterval))
	c.Check(due, qt.IsTrue)
	e.ConfirmAfter(now)
	_, due = e.confirmationDue(now.Add(checkInterval), now.Add(2*checkInterval))
	c.Check(due, qt.IsFalse)
}
