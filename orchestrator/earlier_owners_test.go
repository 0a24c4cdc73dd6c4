package orchestrator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/estimator"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/storer"
)

// The wait for an agent began with the claim, though the last confirmation of an earlier owner was
// known to be older.
func TestTheWaitForAnAgentCountsFromWhatIsKnownOfEarlierOwners(t *testing.T) {
	const confirmedBefore, extendedFor = 4 * time.Second, time.Second
	bounded := estimator.MaxLocalElapsed(closedConfirmationTTL)
	for name, tt := range map[string]struct {
		registration     registrar.Registration
		confirmed, until bool
		held             time.Duration
	}{
		"open, nothing known":    {registrar.Registration{Open: true}, false, false, 10 * time.Second},
		"open, time known":       {registrar.Registration{Open: true}, true, true, extendedFor},
		"open, not asked":        {registrar.Registration{Open: true}, true, false, 10 * time.Second},
		"closed, time known":     {registrar.Registration{}, true, true, extendedFor},
		"bounded, nothing known": {registrar.Registration{Bounded: true}, false, false, closedConfirmationTTL},
		"bounded, time known":    {registrar.Registration{Bounded: true}, true, true, bounded - confirmedBefore},
		"bounded, not asked":     {registrar.Registration{Bounded: true}, true, false, bounded - confirmedBefore},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 0)
			h.o.cfg.PreviousOwnerTTL = h.o.cfg.ConfirmationTTL
			if tt.confirmed {
				h.o.cfg.EarlierConfirmedBy = h.o.cfg.ClaimedAt.Add(-confirmedBefore)
			}
			if tt.until {
				h.o.cfg.EarlierOwnersUntil = h.o.cfg.ClaimedAt.Add(extendedFor)
			}
			h.o.takeOver(nil, nil, []storer.Item{{Key: registrar.Key("lost"), Value: tt.registration.Encode(), Version: 50}})
			c.Assert(h.o.agents["lost"].leaseExpiresAt.Sub(h.o.cfg.ClaimedAt), qt.Equals, tt.held+h.o.maxLeaseElapsed())
		})
	}
}
