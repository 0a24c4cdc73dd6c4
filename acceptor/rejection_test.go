package acceptor

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/retrier"
)

// The time after which a caller returns depends on why it was rejected.
func TestARejectionNamesItsCause(t *testing.T) {
	t.Run("store unavailable, tried and at once", func(t *testing.T) {
		runWithHarness(t, func(c *qt.C, h *harness) {
			h.setFault(faker.StoreFault{Refuse: true})
			for n := range 2 {
				_, err := h.submit(n)
				c.Assert(err, qt.ErrorIs, ErrNotAccepted)
				cause, room := CauseOf(err)
				c.Check(cause, qt.Equals, retrier.StoreUnavailable)
				c.Check(room, qt.Equals, time.Duration(0))
				advancer.Sleep(time.Second)
			}
		})
	})
	t.Run("queue full", func(t *testing.T) {
		runWithHarness(t, func(c *qt.C, h *harness) {
			h.setFault(faker.StoreFault{Delay: 500 * time.Millisecond})
			causes := make(chan string, 4*maxQueued)
			for n := range 4 * maxQueued {
				go func() {
					_, err := h.submit(n)
					cause, room := CauseOf(err)
					causes <- fmt.Sprint(err == nil, cause, room)
				}()
			}
			full := 0
			for range 4 * maxQueued {
				if <-causes == fmt.Sprint(false, retrier.QueueFull, queueDrainTime) {
					full++
				}
			}
			c.Check(full > maxQueued, qt.IsTrue, qt.Commentf("%d", full))
		})
	})
	t.Run("too many cancels", func(t *testing.T) {
		runWithHarness(t, func(c *qt.C, h *harness) {
			var err error
			for n := range maxTombstones + 1 {
				err = h.cancel(n)
			}
			c.Assert(err, qt.ErrorIs, ErrStateUnavailable)
			cause, room := CauseOf(err)
			c.Check(cause, qt.Equals, retrier.TooManyCancels)
			c.Check(room > 0, qt.IsTrue)
		})
	})
	t.Run("state unavailable", func(t *testing.T) {
		runWithHarness(t, func(c *qt.C, h *harness) {
			h.setFault(faker.StoreFault{Refuse: true})
			_, err := h.state(1)
			c.Assert(err, qt.ErrorIs, ErrStateUnavailable)
			cause, _ := CauseOf(err)
			c.Check(cause, qt.Equals, retrier.StateUnavailable)
		})
	})
}
