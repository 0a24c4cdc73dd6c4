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
	"github.com/endivefall/endivefall/storer"
)

// pair is an entry whose way to the store may fail, and one that helps it.
type pair struct {
	store *faker.Store
	r     *Relayer
	// direct and helper are the errors of calls from here and through the other.
	direct, helper error
	now            time.Time
}

func newPair(c *qt.C) *pair {
	p := &pair{store: faker.NewStore(), now: time.Unix(1000, 0)}
	failing := func(fail *error) *storer.Store {
		s := p.store.Client()
		get, commit := s.Get, s.Commit
		s.Get = func(ctx context.Context, key string) (storer.Item, error) {
			if *fail != nil {
				return storer.Item{}, *fail
			}
			return get(ctx, key)
		}
		s.Commit = func(ctx context.Context, change storer.Transaction) (uint64, error) {
			if *fail != nil {
				return 0, *fail
			}
			return commit(ctx, change)
		}
		return s
	}
	cfg := Config{
		Client: http.DefaultClient, Now: func() time.Time { return p.now }, Log: zap.NewNop(), Count: func(string) {},
	}
	help := cfg
	help.Store = failing(&p.helper)
	server := httptest.NewServer(New(help))
	c.Cleanup(server.Close)
	cfg.Store = failing(&p.direct)
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

func TestCallsGoThroughAnotherEntryThatTheStoreServes(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	p.direct = storer.ErrUnavailable
	c.Assert(p.write("a"), qt.IsNil)
	item, err := p.r.Store().Get(context.Background(), "a")
	c.Assert(err, qt.IsNil)
	c.Assert(string(item.Value), qt.Equals, "v")
	err = p.write("a")
	var clash *storer.ConflictError
	c.Assert(errors.As(err, &clash), qt.IsTrue)
	c.Assert(clash.Item("a").Version > 0, qt.IsTrue)
	_, err = p.r.Store().Get(context.Background(), "none")
	c.Assert(err, qt.ErrorIs, storer.ErrNotFound)
}

// A write whose fate is unknown on either way must not be told as not done: a
// caller would be told that its job never runs (history seeds 1048 and 1072).
func TestAWriteInDoubtOnOneWayIsInDoubt(t *testing.T) {
	lost := fmt.Errorf("%w: no answer", storer.ErrUnknownOutcome)
	for name, errs := range map[string][2]error{
		"here":               {lost, storer.ErrUnavailable},
		"through the other":  {storer.ErrUnavailable, lost},
		"both":               {lost, lost},
		"the other is asked": {storer.ErrUnavailable, lost},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newPair(c)
			p.direct, p.helper = errs[0], errs[1]
			if name == "the other is asked" {
				p.r.away = p.now.Add(time.Second) // first
			}
			c.Assert(p.write("a"), qt.ErrorIs, storer.ErrUnknownOutcome)
		})
	}
	c := qt.New(t)
	p := newPair(c)
	p.direct, p.helper = storer.ErrUnavailable, storer.ErrUnavailable
	c.Assert(p.write("a"), qt.ErrorIs, storer.ErrUnavailable)
}

func TestNobodyIsAskedInVainAgainAndAgain(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	p.direct, p.helper = storer.ErrUnavailable, storer.ErrUnavailable
	c.Assert(p.write("a"), qt.ErrorIs, storer.ErrUnavailable)
	p.helper = nil
	c.Assert(p.write("a"), qt.ErrorIs, storer.ErrUnavailable, qt.Commentf("none could help a moment ago"))
	p.now = p.now.Add(vainFor)
	c.Assert(p.write("a"), qt.IsNil)
}

func TestDirectSaysSinceWhenTheStoreIsLost(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	_, ok := p.r.Reachable()
	c.Assert(ok, qt.IsTrue)
	p.direct = storer.ErrUnavailable
	c.Assert(p.write("a"), qt.IsNil)
	since, ok := p.r.Reachable()
	c.Assert(ok, qt.IsFalse)
	c.Assert(since, qt.Equals, p.now)
}
