package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/storer"
)

// An entry that can't be read is no sign that the store is not reached.
func TestEntriesThatCantBeReadAreCounted(t *testing.T) {
	c := qt.New(t)
	counts := map[meter.Counter]int{}
	r := New(Config{
		Store: &storer.Store{ListPage: func(context.Context, string, string) (storer.Page, error) {
			return storer.Page{Items: []storer.Item{{Key: "a", Version: 1}, {Key: "b"}}, Version: 1}, nil
		}},
		Now: time.Now, Log: zap.NewNop(), Count: func(counter meter.Counter) { counts[counter]++ },
	})
	page, err := r.Store().List(context.Background(), "")
	c.Assert(err, qt.IsNil)
	c.Check(page.Items, qt.HasLen, 2)
	c.Check(counts[meter.UnreadableStoreEntries], qt.Equals, 1)
	_, ok := r.Reachable()
	c.Check(ok, qt.IsTrue)
}

// replies answers each request with a body.
type replies []byte

// RoundTrip answers a request.
func (r replies) RoundTrip(req *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(r)), Request: req}, nil
}

// relayingOnly returns the store as reached through a peer that gives a reply.
func relayingOnly(raw []byte) *storer.Store {
	none := &storer.Store{
		Get: func(context.Context, string) (storer.Item, error) { return storer.Item{}, storer.ErrUnavailable },
		ListPage: func(context.Context, string, string) (storer.Page, error) {
			return storer.Page{}, storer.ErrUnavailable
		},
		Commit:      func(context.Context, storer.Transaction) (uint64, error) { return 0, storer.ErrUnavailable },
		CreateLease: func(context.Context, time.Duration) (string, error) { return "", storer.ErrUnavailable },
	}
	return New(Config{
		Store: none, Client: &http.Client{Transport: replies(raw)}, Now: time.Now, Log: zap.NewNop(), Count: func(meter.Counter) {},
		Peers: func() []netip.AddrPort { return []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:80")} },
	}).Store()
}

// oddReplies returns replies of something that is no entry.
func oddReplies(c *qt.C) [][]byte {
	list := [][]byte{nil, []byte("{}"), []byte("<html>"), bytes.Repeat([]byte{0x81}, 10000)}
	for _, v := range []any{map[int]any{}, 7, []any{}, map[int]any{5: 1e300}, map[int]any{3: []any{7}}, map[int]any{1: uint64(math.MaxUint64)}} {
		raw, err := cbor.Marshal(v)
		c.Assert(err, qt.IsNil)
		list = append(list, raw)
	}
	return list
}

// A write counted as done, and a key as present, where the address of a peer belongs to
// something else.
func TestAReplyWithoutAResultIsNoSuccess(t *testing.T) {
	for _, raw := range oddReplies(qt.New(t)) {
		c := qt.New(t)
		_, err := relayingOnly(raw).Commit(context.Background(), storer.Transaction{})
		c.Check(err, qt.ErrorIs, storer.ErrUnknownOutcome)
		_, err = relayingOnly(raw).CreateLease(context.Background(), time.Second)
		c.Check(err, qt.ErrorIs, storer.ErrUnknownOutcome)
		_, err = relayingOnly(raw).Get(context.Background(), "a")
		c.Check(err, qt.ErrorIs, storer.ErrUnavailable)
		_, err = relayingOnly(raw).List(context.Background(), "a")
		c.Check(err, qt.ErrorIs, storer.ErrUnavailable)
	}
}

// FuzzReply checks that a call succeeds only with a result.
func FuzzReply(f *testing.F) {
	for _, raw := range oddReplies(qt.New(f)) {
		f.Add(raw)
	}
	raw, err := cbor.Marshal(reply{Items: []storer.Item{{Key: "a", Value: []byte("1"), Version: 3}}, Version: 3, Lease: "7"})
	qt.Assert(f, err, qt.IsNil)
	f.Add(raw)
	f.Add(raw[:len(raw)/2])
	f.Fuzz(func(t *testing.T, raw []byte) {
		version, err := relayingOnly(raw).Commit(context.Background(), storer.Transaction{})
		qt.Assert(t, err != nil || version > 0, qt.IsTrue)
		_, err = relayingOnly(raw).Get(context.Background(), "a")
		qt.Assert(t, err == nil || !errors.Is(err, storer.ErrUnknownOutcome), qt.IsTrue)
	})
}

// FuzzCall checks that no relayed call ends an entry.
func FuzzCall(f *testing.F) {
	for _, raw := range oddReplies(qt.New(f)) {
		f.Add(raw)
	}
	for o := range opRevokeLease + 2 {
		raw, err := cbor.Marshal(call{Op: o, Key: "a", Version: math.MaxUint64, Wait: math.MinInt64})
		qt.Assert(f, err, qt.IsNil)
		f.Add(raw)
		f.Add(raw[:len(raw)/2])
	}
	f.Fuzz(func(_ *testing.T, raw []byte) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		r := New(Config{Store: faker.NewStore().Client(), Now: time.Now, Log: zap.NewNop(), Count: func(meter.Counter) {}})
		r.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, Path, bytes.NewReader(raw)).WithContext(ctx))
	})
}
