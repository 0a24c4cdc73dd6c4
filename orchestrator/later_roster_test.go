package orchestrator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/storer"
)

// An owner that reads slowly finds the roster of a later one. It took all agents that the owner
// before it had reached for ones that it never reached.
func TestTheRosterOfALaterOwnerEndsNoWait(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 0)
	h.o.cfg.Term, h.o.cfg.PreviousOwnerTTL = 4, 2*time.Second
	h.o.cfg.UnrosteredUntil = h.now.Add(-time.Hour) // the last owner claimed long ago
	h.o.takeOver(nil, nil, []storer.Item{{Key: registrar.Key("lost"), Value: registrar.Registration{Open: true}.Encode(), Version: 30}})
	h.o.loadRoster(storer.Item{Key: rosterKey, Value: roster{Term: 5, Agents: []string{"other"}}.encode(), Version: 31})
	c.Assert(h.o.agents["lost"].leaseExpiresAt.Sub(h.now), qt.Equals, 2*time.Second+h.o.maxLeaseElapsed())
}
