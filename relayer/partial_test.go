package relayer

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/storer"
)

// group returns an entry with peers over one store, of which only the last reachable peers reach it,
// at a time that the caller advances, and counts of the calls that the peers made.
func group(c *qt.C, peerCount, reachable int) (r *Relayer, now *time.Time, calls *int) {
	at := time.Unix(1000, 0)
	now, calls = &at, new(int)
	backend := faker.NewStore()
	turnedAway := func() *storer.Store {
		return &storer.Store{
			Get: func(context.Context, string) (storer.Item, error) {
				*calls++
				return storer.Item{}, storer.ErrUnavailable
			},
			Commit: func(context.Context, storer.Transaction) (uint64, error) {
				*calls++
				return 0, storer.ErrUnavailable
			},
		}
	}
	var peers []netip.AddrPort
	cfg := Config{Client: http.DefaultClient, Now: func() time.Time { return at }, Log: zap.NewNop(), Count: func(meter.Counter) {}, Peers: func() []netip.AddrPort { return peers }}
	for n := range peerCount {
		peerCfg := cfg
		if peerCfg.Store = backend.Client(); n < peerCount-reachable {
			peerCfg.Store = turnedAway()
		}
		server := httptest.NewServer(New(peerCfg))
		c.Cleanup(server.Close)
		peers = append(peers, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	}
	cfg.Store = turnedAway()
	return New(cfg), now, calls
}

// The store turned away most of the entries. The first call that no peer could make kept those
// after it from the peers that reached the store, so that submissions were rejected for 0.7 s.
func TestAWriteReachesTheStoreThroughTheOnePeerThatDoes(t *testing.T) {
	const peerCount = 10
	for reachable := 1; reachable <= peerCount; reachable += 3 {
		t.Run(fmt.Sprint(reachable), func(t *testing.T) {
			c := qt.New(t)
			r, now, _ := group(c, peerCount, reachable)
			// A submission is tried again for 350 ms, each 40 ms.
			tries := 0
			for err := error(storer.ErrUnavailable); err != nil; tries++ {
				c.Assert(tries < 350/40, qt.IsTrue)
				*now = now.Add(40 * time.Millisecond)
				_, err = r.Store().Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: "a", Value: []byte("v")}}})
			}
			c.Assert(r.Outage(), qt.Equals, time.Duration(0))
		})
	}
}

// In an outage for all entries, each of them would ask all others with each call.
func TestAnOutageForAllIsNotMultipliedByPeers(t *testing.T) {
	c := qt.New(t)
	const peerCount = 10
	r, now, calls := group(c, peerCount, 0)
	const tries = 100
	for range tries {
		*now = now.Add(relayCooldown / (tries + 1))
		_, err := r.Store().Get(context.Background(), "a")
		c.Assert(err, qt.ErrorIs, storer.ErrUnavailable)
	}
	c.Check(*calls, qt.Equals, tries+peerCount)
}

// A busy store that still answers reads and renews leases is an outage for submissions.
func TestAnOutageLastsUntilAllKindsOfCallsAreAnswered(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	c.Assert(p.r.Outage(), qt.Equals, time.Duration(0))
	p.directErr, p.peerErr = storer.ErrUnavailable, storer.ErrUnavailable
	c.Assert(p.write("a"), qt.ErrorIs, storer.ErrUnavailable)
	p.now = p.now.Add(5 * time.Second)
	c.Assert(p.write("a"), qt.ErrorIs, storer.ErrUnavailable)
	c.Assert(p.r.Outage(), qt.Equals, 5*time.Second)
	p.directErr = nil
	_, err := p.r.Store().Get(context.Background(), "a")
	c.Assert(err, qt.ErrorIs, storer.ErrNotFound)
	lease, err := p.r.Store().CreateLease(context.Background(), time.Minute)
	c.Assert(err, qt.IsNil)
	c.Assert(p.r.Store().RenewLease(context.Background(), lease), qt.IsNil)
	c.Assert(p.r.Outage(), qt.Equals, 5*time.Second, qt.Commentf("no transaction has been answered"))
	c.Assert(p.write("a"), qt.IsNil)
	c.Assert(p.r.Outage(), qt.Equals, time.Duration(0))
}

// Without callers no transaction shows that an outage has ended. A later one would have counted as long.
func TestAnOutageIsForgottenWithoutCalls(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	p.directErr, p.peerErr = storer.ErrUnavailable, storer.ErrUnavailable
	c.Assert(p.write("a"), qt.ErrorIs, storer.ErrUnavailable)
	p.now = p.now.Add(maxSilenceGap)
	c.Assert(p.r.Outage(), qt.Equals, maxSilenceGap)
	p.now = p.now.Add(time.Second)
	c.Assert(p.r.Outage(), qt.Equals, time.Duration(0))
	c.Assert(p.write("a"), qt.ErrorIs, storer.ErrUnavailable)
	p.now = p.now.Add(time.Second)
	c.Assert(p.r.Outage(), qt.Equals, time.Second)
}
