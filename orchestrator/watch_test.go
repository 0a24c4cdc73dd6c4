package orchestrator

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// An owner that resumed as another entry claimed ownership started a job that was
// accepted just after the claim, and so did the next owner.
func TestAnOwnerStartsNoJobThatIsNewerThanALaterClaim(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	spec := sequencer.Spec{ID: "00000000000000aa", Pool: "pool", Queue: "queue", AcceptedAt: h.now, Steps: []sequencer.Step{step(1, 100)}}
	raw, err := spec.Encode()
	c.Assert(err, qt.IsNil)
	h.o.handleInputs([]storer.Item{{Key: ClaimKey, Version: h.o.cfg.Epoch}})
	c.Check(h.o.stopReason, qt.IsNil)
	h.o.handleInputs([]storer.Item{{Key: ClaimKey, Version: h.o.cfg.Epoch + 5}, {Key: JobKey(spec.ID), Value: raw, Version: h.o.cfg.Epoch + 6}})
	c.Check(h.o.stopReason, qt.ErrorIs, ErrOwnershipLost)
	c.Check(h.o.jobs, qt.HasLen, 0)
}
