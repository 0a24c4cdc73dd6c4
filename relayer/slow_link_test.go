package relayer

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/storer"
)

// TestALargePageIsRelayedOverASlowLink relays a page that takes longer to transfer than a
// silent peer is waited for.
func TestALargePageIsRelayedOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		network, backend := faker.NewNetwork(), faker.NewStore()
		network.SetRate("entry", 10e6/8)
		value := []byte(strings.Repeat("x", 1<<20))
		_, err := backend.Client().Commit(ctx, storer.Transaction{Writes: []storer.Write{{Key: "a/1", Value: value}, {Key: "a/2", Value: value}}})
		c.Assert(err, qt.IsNil)
		peerAddr := netip.MustParseAddrPort("10.0.0.1:80")
		cfg := Config{Now: time.Now, Log: zap.NewNop(), Count: func(meter.Counter) {}}
		peerCfg := cfg
		peerCfg.Store = backend.Client()
		server := &http.Server{Handler: New(peerCfg)}
		listener := network.Listen("peer", peerAddr)
		var wg sync.WaitGroup
		wg.Go(func() { _ = server.Serve(listener) })
		unreachable := faker.NewStore()
		unreachable.Fault = func(string) faker.StoreFault { return faker.StoreFault{Refuse: true} }
		cfg.Store, cfg.Client = unreachable.Client(), network.Client("entry")
		cfg.Peers = func() []netip.AddrPort { return []netip.AddrPort{peerAddr} }
		page, err := New(cfg).Store().ListPage(ctx, "a/", "")
		_ = server.Close()
		cfg.Client.CloseIdleConnections()
		wg.Wait()
		advancer.Sleep(2 * time.Second) // until the link is free again
		c.Assert(err, qt.IsNil)
		c.Assert(page.Items, qt.HasLen, 2)
	})
}
