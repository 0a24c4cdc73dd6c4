package coordinator

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/connector"
	"github.com/endivefall/endivefall/elector"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/messenger"
)

// startOwner starts an entry that answers queries once resumed is closed.
func startOwner(network *faker.Network, owner elector.Member, resumed <-chan struct{}) *http.Server {
	links := connector.New(connector.Config{
		ID: owner.ID, Incarnation: owner.Incarnation, Now: time.Now, Log: zap.NewNop(), FillWelcome: func(*messenger.Welcome) {},
		OnConnect: func(*connector.Link) {}, OnDisconnect: func(*connector.Link) {},
		Handle: func(l *connector.Link, f messenger.Frame) {
			if f.Kind == messenger.KindStateQuery {
				_ = l.Send(context.Background(), messenger.Frame{Kind: messenger.KindStateReply, ID: f.ID, StateReply: &messenger.StateReply{State: owner.ID}})
			}
		},
	})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-resumed
		links.ServeHTTP(w, r)
	})}
	listener := network.Listen(owner.ID, owner.PeerAddr)
	go func() { _ = server.Serve(listener) }()
	return server
}

// An owner may be suspended while an entry dials it, and answer only after another
// entry has claimed ownership.
func TestADialThatOutlastsATakeoverIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := faker.NewNetwork()
		suspended := elector.Member{ID: "suspended", Incarnation: "1", PeerAddr: netip.MustParseAddrPort("10.0.0.1:1")}
		next := elector.Member{ID: "next", Incarnation: "1", PeerAddr: netip.MustParseAddrPort("10.0.0.2:1")}
		resumed, ready := make(chan struct{}), make(chan struct{})
		close(ready)
		servers := []*http.Server{startOwner(network, suspended, resumed), startOwner(network, next, ready)}
		client := newOwnerClient(ownerClientConfig{ID: "entry", Incarnation: "1", Client: network.Client("entry"), Now: time.Now, Log: zap.NewNop()})
		ctx, cancel := context.WithCancel(context.Background())
		client.SetOwner(suspended)
		go client.Serve(ctx)
		advancer.Sleep(500 * time.Millisecond)
		client.SetOwner(next)
		advancer.Sleep(100 * time.Millisecond)
		close(resumed)
		advancer.Sleep(3 * time.Second)
		reply, err := client.Query(ctx, messenger.StateQuery{Job: "j"})
		c.Check(err, qt.IsNil)
		c.Check(reply.State, qt.Equals, next.ID)
		cancel()
		network.CloseConnections("entry")
		for _, server := range servers {
			_ = server.Close()
		}
		advancer.Sleep(time.Minute)
	})
}

// An owner that stays suspended never answers the dial. The entry reaches the next
// owner once 1.2 s have passed.
func TestAnUnansweredDialDelaysTheNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := faker.NewNetwork()
		suspended := elector.Member{ID: "suspended", Incarnation: "1", PeerAddr: netip.MustParseAddrPort("10.0.0.1:1")}
		next := elector.Member{ID: "next", Incarnation: "1", PeerAddr: netip.MustParseAddrPort("10.0.0.2:1")}
		resumed, ready := make(chan struct{}), make(chan struct{})
		close(ready)
		servers := []*http.Server{startOwner(network, suspended, resumed), startOwner(network, next, ready)}
		client := newOwnerClient(ownerClientConfig{ID: "entry", Incarnation: "1", Client: network.Client("entry"), Now: time.Now, Log: zap.NewNop()})
		ctx, cancel := context.WithCancel(context.Background())
		client.SetOwner(suspended)
		go client.Serve(ctx)
		advancer.Sleep(100 * time.Millisecond)
		client.SetOwner(next)
		advancer.Sleep(1500 * time.Millisecond)
		reply, err := client.Query(ctx, messenger.StateQuery{Job: "j"})
		c.Check(err, qt.IsNil)
		c.Check(reply.State, qt.Equals, next.ID)
		cancel()
		close(resumed)
		network.CloseConnections("entry")
		for _, server := range servers {
			_ = server.Close()
		}
		advancer.Sleep(time.Minute)
	})
}

// A burst of callers who asked for the state of their jobs at once ended the connection to the
// owner, and with it all of their queries.
func TestABurstOfQueriesKeepsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const queries, bytesPerSecond = 1000, 100_000
		network := faker.NewNetwork()
		owner := elector.Member{ID: "owner", Incarnation: "1", PeerAddr: netip.MustParseAddrPort("10.0.0.1:1")}
		ready := make(chan struct{})
		close(ready)
		server := startOwner(network, owner, ready)
		client := newOwnerClient(ownerClientConfig{ID: "entry", Incarnation: "1", Client: network.Client("entry"), Now: time.Now, Log: zap.NewNop()})
		ctx, cancel := context.WithCancel(context.Background())
		client.SetOwner(owner)
		go client.Serve(ctx)
		advancer.Sleep(time.Second)
		network.SetRate("entry", bytesPerSecond)
		var answered atomic.Int64
		for range queries {
			go func() {
				ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
				defer cancel()
				if _, err := client.Query(ctx, messenger.StateQuery{Job: "00000000000000aa"}); err == nil {
					answered.Add(1)
				}
			}()
		}
		advancer.Sleep(4 * time.Second)
		c.Check(answered.Load(), qt.Equals, int64(queries))
		cancel()
		network.CloseConnections("entry")
		_ = server.Close()
		advancer.Sleep(time.Minute)
	})
}
