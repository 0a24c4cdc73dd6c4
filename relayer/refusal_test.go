package relayer

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/storer"
	"github.com/endivefall/endivefall/waiter"
)

// silentStore returns a store that never replies; calls to it end with their timeouts.
func silentStore() *storer.Store {
	silent := func(ctx context.Context, timeout time.Duration) error {
		select {
		case <-ctx.Done():
		case <-time.After(timeout):
		}
		return storer.ErrUnavailable
	}
	return &storer.Store{
		Get: func(ctx context.Context, _ string) (storer.Item, error) {
			return storer.Item{}, silent(ctx, 900*time.Millisecond)
		},
		Watch: func(ctx context.Context, _ string, _ uint64, until time.Time) (storer.Page, error) {
			return storer.Page{}, silent(ctx, time.Until(until)+700*time.Millisecond)
		},
	}
}

// TestAChangeIsSeenInTimeWhileTheStoreIsSilentToMostEntries watches through peers, most of
// which do not reach the store either.
func TestAChangeIsSeenInTimeWhileTheStoreIsSilentToMostEntries(t *testing.T) {
	const (
		peerCount = 6
		watchWait = 2 * time.Second
		// maxDelay is the time within which an accepted job has to be visible.
		maxDelay = 3 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		ownCalls, stop := context.WithCancel(ctx) // of the peers, which fail
		network, backend := faker.NewNetwork(), faker.NewStore()
		var peers []netip.AddrPort
		var servers []*http.Server
		client := network.Client("entry")
		cfg := Config{Now: time.Now, Log: zap.NewNop(), Count: func(meter.Counter) {}, Client: client, Peers: func() []netip.AddrPort { return peers }}
		for n := range peerCount {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), 80)
			peers = append(peers, addr)
			peerCfg := cfg
			peerCfg.Store = silentStore()
			if n == 0 {
				peerCfg.Store = backend.Client()
			}
			peer := New(peerCfg)
			if n > 0 {
				go waiter.Every(ownCalls, time.Second, func() { peer.updateReachability(storer.ErrUnavailable) })
			}
			server, listener := &http.Server{Handler: peer}, network.Listen(addr.String(), addr)
			servers = append(servers, server)
			go func() { _ = server.Serve(listener) }()
		}
		cfg.Store = silentStore()
		advancer.Sleep(2 * time.Second)
		store := New(cfg).Store()
		var worst time.Duration
		for range 8 {
			v, err := backend.Client().Commit(ctx, storer.Transaction{Writes: []storer.Write{{Key: "in/a", Value: []byte("v")}}})
			c.Assert(err, qt.IsNil)
			started := time.Now()
			for {
				page, err := store.Watch(ctx, "in/", v-1, time.Now().Add(watchWait))
				if err == nil && len(page.Items) > 0 {
					break
				}
				advancer.Sleep(100 * time.Millisecond)
			}
			worst = max(worst, time.Since(started))
			advancer.Sleep(500 * time.Millisecond)
		}
		stop()
		for _, server := range servers {
			_ = server.Close()
		}
		client.CloseIdleConnections()
		advancer.Sleep(10 * time.Second)
		c.Assert(worst < maxDelay, qt.IsTrue, qt.Commentf("%v", worst))
	})
}

// TestARefusalDoesNotOutlastItsCause checks that an entry without calls of its own makes calls
// of others again.
func TestARefusalDoesNotOutlastItsCause(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	p.directErr, p.peerErr = storer.ErrUnavailable, storer.ErrUnavailable
	c.Assert(p.write("a"), qt.ErrorIs, storer.ErrUnavailable)
	p.peerErr = nil
	p.now = p.now.Add(relayCooldown)
	c.Assert(p.write("a"), qt.ErrorIs, storer.ErrUnavailable, qt.Commentf("the peer refuses"))
	p.now = p.now.Add(refusalTTL)
	c.Assert(p.write("a"), qt.IsNil)
}

// TestAWatchIsNotRelayedForAMomentOfFailure guards against a large change that is read through
// a slow peer as connections were reset just before.
func TestAWatchIsNotRelayedForAMomentOfFailure(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	p.directErr, p.peerErr = storer.ErrUnavailable, storer.ErrUnavailable
	c.Assert(p.write("a"), qt.ErrorIs, storer.ErrUnavailable)
	p.directErr, p.peerErr = nil, nil
	p.now = p.now.Add(relayCooldown)
	version, err := p.store.Client().Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: "in/a", Value: []byte("v")}}})
	c.Assert(err, qt.IsNil)
	relayed := 0
	peers := p.r.cfg.Peers
	p.r.cfg.Peers = func() []netip.AddrPort { relayed++; return peers() }
	for _, tc := range []struct {
		after time.Duration
		want  int
	}{{0, 0}, {watchRelayDelay + time.Millisecond, 1}} {
		p.now = p.now.Add(tc.after)
		page, err := p.r.Store().Watch(context.Background(), "in/", version-1, time.Now().Add(time.Second))
		c.Assert(err, qt.IsNil)
		c.Assert(page.Items, qt.HasLen, 1)
		c.Assert(relayed, qt.Equals, tc.want)
		p.r.updateReachability(storer.ErrUnavailable)
	}
}
