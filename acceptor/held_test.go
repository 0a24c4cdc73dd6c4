package acceptor

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/sequencer"
)

// TestAJobIsHeldUntilItsWriteEnds guards against callers that go away at once and so leave jobs in
// the queue that nobody accounts for.
func TestAJobIsHeldUntilItsWriteEnds(t *testing.T) {
	runWithHarness(t, func(c *qt.C, h *harness) {
		h.setFault(faker.StoreFault{Delay: 2 * time.Second})
		var released atomic.Int64
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		spec := &sequencer.Spec{ID: jobID(1), Queue: "q", Pool: "p", Steps: []sequencer.Step{{Count: 1}}}
		err := h.a.SubmitHeld(ctx, spec, func() { released.Add(1) })
		c.Assert(err, qt.ErrorIs, ErrUnknownOutcome)
		advancer.Sleep(time.Second)
		c.Assert(released.Load(), qt.Equals, int64(0))
		advancer.Sleep(10 * time.Second)
		c.Assert(released.Load(), qt.Equals, int64(1))
		err = h.a.SubmitHeld(context.Background(), &sequencer.Spec{ID: jobID(2)}, func() { released.Add(1) })
		c.Assert(err, qt.ErrorIs, sequencer.ErrInvalid)
		c.Assert(released.Load(), qt.Equals, int64(2))
	})
}
