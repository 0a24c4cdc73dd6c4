package coordinator

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/elector"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/storer"
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

// The notice of a new owner that ends the ownership of an entry must also make the
// entry connect to that owner. No other notice may follow for long.
func TestAnEarlierOwnerConnectsToTheNextOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := faker.NewStore()
		network := faker.NewNetwork()
		addr := netip.MustParseAddrPort("10.0.0.1:1")
		entry := New(Config{
			ID: "entry", PeerAddr: addr, ListenAddr: addr, Store: store.Client(), MaxWorkerLease: 6 * time.Second, JobRetention: time.Hour,
			Now: time.Now, Log: zap.NewNop(), Count: SuiteMeter.Count, Gauge: SuiteMeter.Set, ObserveDuration: SuiteMeter.ObserveDuration, Client: network.Client("entry"),
			Listen: func(_, _ string) (net.Listener, error) { return network.Listen("entry", addr), nil },
		})
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = entry.Serve(ctx)
		}()
		advancer.Sleep(5 * time.Second)
		c.Assert(entry.IsOwner(), qt.IsTrue)
		record, version := entry.elector.Owner()
		record.Owner, record.Term = elector.Member{ID: "next", Incarnation: "1", PeerAddr: netip.MustParseAddrPort("10.0.0.2:1")}, record.Term+1
		ownerValue, err := cbor.Marshal(record)
		c.Assert(err, qt.IsNil)
		memberValue, err := cbor.Marshal(record.Owner)
		c.Assert(err, qt.IsNil)
		_, err = store.Client().Commit(ctx, storer.Transaction{
			Checks: []storer.Check{{Key: elector.OwnerKey, Version: version}},
			Writes: []storer.Write{{Key: elector.OwnerKey, Value: ownerValue}, {Key: "ef/live/entry/next", Value: memberValue}},
		})
		c.Assert(err, qt.IsNil)
		advancer.Sleep(10 * time.Second)
		c.Assert(entry.IsOwner(), qt.IsFalse)
		entry.ownerClient.mu.Lock()
		owner := entry.ownerClient.owner
		entry.ownerClient.mu.Unlock()
		c.Check(owner, qt.Equals, record.Owner)
		cancel()
		<-served
		advancer.Sleep(time.Minute)
	})
}
