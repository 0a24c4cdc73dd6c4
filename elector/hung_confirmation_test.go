package elector

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
)

// One write hung in a store that answered all others. The owner sent no other confirmation meanwhile, and stopped.
func TestAWriteThatHangsDoesNotEndTheConfirmations(t *testing.T) {
	inBubble(t, func(c *qt.C, cl *cluster, old, _ *node) {
		var commits atomic.Int64
		cl.store.SetFault(func(call string) faker.StoreFault {
			if call == "commit" && commits.Add(1) == 1 {
				return faker.StoreFault{Delay: 5 * time.Second}
			}
			return faker.StoreFault{}
		})
		oldest := time.Duration(0)
		for range 60 {
			advancer.Sleep(100 * time.Millisecond)
			oldest = max(oldest, time.Since(old.OwnershipConfirmedAt()))
		}
		c.Check(oldest < UnextendedTTL, qt.IsTrue, qt.Commentf("%v", oldest))
	})
}
