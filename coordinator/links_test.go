package coordinator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/messenger"
)

// An agent that reaches an entry which is not the owner must look on at once:
// its worker's lease goes by meanwhile.
func TestAnAgentIsKeptByTheOwnerOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, t, 1, 3, 0)
		advancer.Sleep(3 * time.Second)
		for n := range 3 {
			e := f.some(n)
			ws, _, err := messenger.DialWith(ctx, f.network.Client("stray"), e.addr, messenger.Hello{
				Version: messenger.Version, Role: messenger.RoleAgent, ID: "stray", Incarnation: "b", Started: time.Now(),
			})
			c.Assert(err, qt.IsNil)
			bound, done := context.WithTimeout(ctx, 300*time.Millisecond)
			_, err = messenger.ReadFrame(bound, ws)
			c.Check(err, qt.IsNotNil)
			c.Check(bound.Err() != nil, qt.Equals, e.owns(), qt.Commentf("%s, owner %v", e.name, e.owns()))
			done()
			_ = ws.CloseNow()
		}
		cancel()
		f.close()
		advancer.Sleep(time.Minute)
	})
}
