package storer_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/storer"
)

// TestALargeListingIsReadOverASlowLink lists keys whose values take longer to transfer
// than a silent store is waited for.
func TestALargeListingIsReadOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		network, platform := faker.NewNetwork(), faker.NewPlatform()
		addr := netip.MustParseAddrPort("10.0.0.1:80")
		server := &http.Server{Handler: platform}
		listener := network.Listen("store", addr)
		var wg sync.WaitGroup
		wg.Go(func() { _ = server.Serve(listener) })
		httpClient := network.Client("entry")
		client := storer.New(storer.Config{Addr: addr, CallsPerSecond: 100, Do: httpClient.Do})
		const keys = 8
		for n := range keys {
			_, err := client.CompareAndSwap(ctx, fmt.Sprintf("ledger/%d", n), []byte(strings.Repeat("x", 1e6)), 0, "")
			c.Assert(err, qt.IsNil)
		}
		network.SetRate("entry", 10e6/8)
		listing, err := client.List(ctx, "ledger/")
		_ = server.Close()
		httpClient.CloseIdleConnections()
		wg.Wait()
		advancer.Sleep(20 * time.Second) // until the link is free again
		c.Assert(err, qt.IsNil)
		c.Assert(listing.Items, qt.HasLen, keys)
	})
}
