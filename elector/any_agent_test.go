package elector

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/estimator"
	"github.com/endivefall/endivefall/faker"
)

// The next owner waited for agents that the lost one had never reached as if it had renewed their leases
// on each extension.
func TestAnExtensionCoversAgentsNotReachedOnlyIfAskedTo(t *testing.T) {
	for name, needed := range map[string]bool{"none": false, "another agent": true} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, cl *cluster, old, next *node) {
				cl.store.SetFault(func(string) faker.StoreFault { return faker.StoreFault{Refuse: true} })
				advancer.Sleep(extensionAge)
				cl.ping("next", "old", true)
				c.Assert(old.ConfirmationExtended(), qt.IsTrue)
				extendedAt := time.Now()
				if needed {
					c.Check(old.ExtendedForAnyAgent(), qt.IsFalse, qt.Commentf("it has not asked before"))
					cl.ping("next", "old", true)
					c.Check(old.ExtendedForAnyAgent(), qt.IsTrue)
				}
				advancer.Sleep(anyAgentTime)
				cl.ping("next", "old", true)
				c.Check(old.ConfirmationExtended(), qt.IsTrue)
				cl.lastReply.Store(time.Now().UnixNano())
				cl.kill("old")
				cl.store.SetFault(nil)
				advancer.Sleep(4 * time.Second)
				c.Assert(next.IsOwner(), qt.IsTrue)
				anyUntil := extendedAt.Add(estimator.MaxLocalElapsed(extensionTTL))
				c.Check(next.UnrosteredUntil().Before(extendedAt), qt.Equals, !needed)
				c.Check(next.UnrosteredUntil().Before(anyUntil), qt.Equals, !needed)
				_, until := next.EarlierOwners()
				c.Check(until.After(anyUntil), qt.IsTrue, qt.Commentf("others may be renewed on the last one"))
			})
		})
	}
}
