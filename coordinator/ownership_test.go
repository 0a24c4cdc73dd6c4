package coordinator

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/elector"
	"github.com/endivefall/endivefall/faker"
)

// Until the store has recorded the release, its owner record still names this
// process. Serving that epoch again would restart running tasks, because jobs newer
// than the epoch count as never started.
func TestAnEpochIsNeverServedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := faker.NewStore()
		e := elector.New(elector.Config{
			Self: elector.Member{ID: "entry", Incarnation: "b", PeerAddr: netip.MustParseAddrPort("10.0.0.1:1")}, Store: store.Client(),
			Now: time.Now, Log: zap.NewNop(), OwnerLastReply: func() time.Time { return time.Time{} }, OnChange: func(elector.OwnerRecord, []elector.Member) {},
		})
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan struct{})
		go func() {
			defer close(served)
			e.Serve(ctx)
		}()
		advancer.Sleep(3 * time.Second)
		c.Assert(e.IsOwner(), qt.IsTrue)
		_, epoch := e.Owner()
		store.SetFault(func(string) faker.StoreFault { return faker.StoreFault{Refuse: true} })
		released := make(chan struct{})
		go func() {
			defer close(released)
			(&Coordinator{elector: e}).release(ctx, epoch, "too few agents")
		}()
		advancer.Sleep(20 * time.Second)
		select {
		case <-released:
			c.Error("release returned before the store recorded it; the epoch may be served again")
		default:
		}
		store.SetFault(nil)
		<-released
		c.Assert(e.IsOwner(), qt.IsFalse)
		cancel()
		<-served
		advancer.Sleep(time.Minute)
	})
}
