package connector

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/messenger"
)

// An agent that redialed because its connection was silent was served only after the
// old one's close handshake had timed out. Agents of the pools wait 1.2 s for a reply.
func TestSilentLinkDelaysItsReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := faker.NewNetwork()
		addr := netip.MustParseAddrPort("10.0.0.1:7000")
		connected := make(chan time.Time, 2)
		links := New(Config{
			ID: "entry-0", Incarnation: "a", Now: time.Now, Log: zap.NewNop(),
			OnConnect: func(*Link) { connected <- time.Now() }, OnDisconnect: func(*Link) {},
			Handle: func(*Link, messenger.Frame) {}, FillWelcome: func(*messenger.Welcome) {},
		})
		server := &http.Server{Handler: links}
		go func(l net.Listener) { _ = server.Serve(l) }(network.Listen("entry-0", addr))
		client := network.Client("agent-0")
		hello := messenger.Hello{Version: messenger.Version, Role: messenger.RoleAgent, ID: "agent-0", Incarnation: "a", Started: time.Now()}
		dial := func() {
			ws, _, err := messenger.DialWith(context.Background(), client, addr, hello)
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = ws.CloseNow() })
		}
		dial()
		<-connected
		network.SetPartition("agent-0", "entry-0", true, true)
		advancer.Sleep(time.Second)
		network.SetPartition("agent-0", "entry-0", false, false)
		redialed := time.Now()
		dial()
		delay := (<-connected).Sub(redialed)
		c.Check(delay < time.Second, qt.IsTrue, qt.Commentf("served after %v", delay))
		links.Close()
		_ = server.Close()
	})
}
