package relayer

import (
	"context"
	"errors"
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

// pair is an entry and a peer of it, over one store whose calls may fail at either.
type pair struct {
	store   *faker.Store
	r, peer *Relayer
	// directErr and peerErr are the errors of calls made by the entry and by its peer.
	directErr, peerErr error
	now                time.Time
}

func newPair(c *qt.C) *pair {
	p := &pair{store: faker.NewStore(), now: time.Unix(1000, 0)}
	failing := func(err *error) *storer.Store {
		s := p.store.Client()
		get, commit := s.Get, s.Commit
		s.Get = func(ctx context.Context, key string) (storer.Item, error) {
			if *err != nil {
				return storer.Item{}, *err
			}
			return get(ctx, key)
		}
		s.Commit = func(ctx context.Context, change storer.Transaction) (uint64, error) {
			if *err != nil {
				return 0, *err
			}
			return commit(ctx, change)
		}
		return s
	}
	cfg := Config{
		Client: http.DefaultClient, Now: func() time.Time { return p.now }, Log: zap.NewNop(), Count: func(meter.Counter) {},
	}
	peerCfg := cfg
	peerCfg.Store = failing(&p.peerErr)
	p.peer = New(peerCfg)
	server := httptest.NewServer(p.peer)
	c.Cleanup(server.Close)
	cfg.Store = failing(&p.directErr)
	cfg.Peers = func() []netip.AddrPort {
		return []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
	}
	p.r = New(cfg)
	return p
}

func (p *pair) write(key string) error {
	_, err := p.r.Store().Commit(context.Background(), storer.Transaction{
		Checks: []storer.Check{{Key: key}}, Writes: []storer.Write{{Key: key, Value: []byte("v")}},
	})
	return err
}

func TestCallsAreRelayedWhileTheStoreIsUnavailable(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	p.directErr = storer.ErrUnavailable
	c.Assert(p.write("a"), qt.IsNil)
	item, err := p.r.Store().Get(context.Background(), "a")
	c.Assert(err, qt.IsNil)
	c.Assert(string(item.Value), qt.Equals, "v")
	err = p.write("a")
	var conflict *storer.ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Assert(conflict.Item("a").Version > 0, qt.IsTrue)
	_, err = p.r.Store().Get(context.Background(), "none")
	c.Assert(err, qt.ErrorIs, storer.ErrNotFound)
}

// A write that may have taken effect directly or through a peer must not be reported
// as not done: the caller would get the response that its job never runs (seeds 1048
// and 1072 of the histories in coordinator).
func TestWriteOutcomeIsUnknownIfEitherAttemptIs(t *testing.T) {
	unknown := fmt.Errorf("%w: no answer", storer.ErrUnknownOutcome)
	for name, errs := range map[string][2]error{
		"direct":           {unknown, storer.ErrUnavailable},
		"through the peer": {storer.ErrUnavailable, unknown},
		"both":             {unknown, unknown},
		"relayed first":    {storer.ErrUnavailable, unknown},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newPair(c)
			p.directErr, p.peerErr = errs[0], errs[1]
			if name == "relayed first" {
				p.r.relayFirstUntil = p.now.Add(time.Second)
			}
			c.Assert(p.write("a"), qt.ErrorIs, storer.ErrUnknownOutcome)
		})
	}
	c := qt.New(t)
	p := newPair(c)
	p.directErr, p.peerErr = storer.ErrUnavailable, storer.ErrUnavailable
	c.Assert(p.write("a"), qt.ErrorIs, storer.ErrUnavailable)
}

func TestRelayingPausesAfterNoPeerSucceeded(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	p.directErr, p.peerErr = storer.ErrUnavailable, storer.ErrUnavailable
	c.Assert(p.write("a"), qt.ErrorIs, storer.ErrUnavailable)
	p.peerErr = nil
	_, err := p.peer.Store().Get(context.Background(), "a")
	c.Assert(err, qt.ErrorIs, storer.ErrNotFound, qt.Commentf("the peer reaches the store again"))
	c.Assert(p.write("a"), qt.ErrorIs, storer.ErrUnavailable, qt.Commentf("no peer could make the call a moment ago"))
	p.now = p.now.Add(relayCooldown)
	c.Assert(p.write("a"), qt.IsNil)
}

func TestReachableReturnsSinceWhenTheStoreIsUnreachable(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	_, ok := p.r.Reachable()
	c.Assert(ok, qt.IsTrue)
	p.directErr = storer.ErrUnavailable
	c.Assert(p.write("a"), qt.IsNil)
	since, ok := p.r.Reachable()
	c.Assert(ok, qt.IsFalse)
	c.Assert(since, qt.Equals, p.now)
}
