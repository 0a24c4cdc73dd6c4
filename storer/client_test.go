package storer_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/storer"
)

var errNet = errors.New("connection reset")

// lossyPlatform is a platform whose connection can lose requests and replies.
type lossyPlatform struct {
	*faker.Platform
	mu                     sync.Mutex
	loseCalls, loseReplies int
	calls                  int
}

// consumeLoss reports whether the current message is lost, and decrements remaining
// if so.
func (s *lossyPlatform) consumeLoss(remaining *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *remaining == 0 {
		return false
	}
	*remaining--
	return true
}

func (s *lossyPlatform) do(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	if s.consumeLoss(&s.loseCalls) {
		return nil, errNet
	}
	if r.Body == nil {
		r.Body = http.NoBody
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	if s.consumeLoss(&s.loseReplies) {
		return nil, errNet
	}
	return w.Result(), nil
}

// runOnPlatform runs a subtest in fake time against a platform and a client of it.
func runOnPlatform(t *testing.T, name string, f func(c *qt.C, s *lossyPlatform, client *storer.Client)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &lossyPlatform{Platform: faker.NewPlatform()}
			f(qt.New(t), s, storer.New(storer.Config{Addr: netip.MustParseAddrPort("127.0.0.1:1"), CallsPerSecond: 100, Do: s.do}))
		})
	})
}

// TestPlatformContract checks the properties of the store that the system relies on,
// and the error that each fault causes.
func TestPlatformContract(t *testing.T) {
	ctx := context.Background()
	runOnPlatform(t, "a write needs the version that was read", func(c *qt.C, _ *lossyPlatform, client *storer.Client) {
		v1, err := client.CompareAndSwap(ctx, "a/b", []byte("one"), 0, "")
		c.Assert(err, qt.IsNil)
		_, err = client.CompareAndSwap(ctx, "a/b", []byte("two"), 0, "")
		c.Assert(err, qt.ErrorIs, storer.ErrConflict)
		v2, err := client.CompareAndSwap(ctx, "a/b", []byte("two"), v1, "")
		c.Assert(err, qt.IsNil)
		c.Assert(v2 > v1, qt.IsTrue)
		item, err := client.Get(ctx, "a/b")
		c.Assert(err, qt.IsNil)
		c.Assert(string(item.Value), qt.Equals, "two")
	})
	runOnPlatform(t, "a missing key", func(c *qt.C, _ *lossyPlatform, client *storer.Client) {
		_, err := client.Get(ctx, "nothing")
		c.Assert(err, qt.ErrorIs, storer.ErrNotFound)
	})
	runOnPlatform(t, "a key is deleted when its lease expires", func(c *qt.C, _ *lossyPlatform, client *storer.Client) {
		id, err := client.CreateLease(ctx, 5*time.Second)
		c.Assert(err, qt.IsNil)
		_, err = client.CompareAndSwap(ctx, "entry/1", []byte("x"), 0, id)
		c.Assert(err, qt.IsNil)
		advancer.Sleep(4 * time.Second)
		c.Assert(client.RenewLease(ctx, id), qt.IsNil)
		advancer.Sleep(4 * time.Second)
		_, err = client.Get(ctx, "entry/1")
		c.Assert(err, qt.IsNil)
		advancer.Sleep(2 * time.Second)
		_, err = client.Get(ctx, "entry/1")
		c.Assert(err, qt.ErrorIs, storer.ErrNotFound)
		c.Assert(client.RenewLease(ctx, id), qt.ErrorIs, storer.ErrNotFound)
	})
	runOnPlatform(t, "a watch sees a change and a deletion", func(c *qt.C, _ *lossyPlatform, client *storer.Client) {
		l, err := client.List(ctx, "team/")
		c.Assert(err, qt.IsNil)
		go func() {
			advancer.Sleep(time.Second)
			v, _ := client.CompareAndSwap(ctx, "team/a", []byte("x"), 0, "")
			advancer.Sleep(time.Second)
			_ = client.Delete(ctx, "team/a", v)
		}()
		first, err := client.Watch(ctx, "team/", l.Version)
		c.Assert(err, qt.IsNil)
		c.Assert(first.Items, qt.HasLen, 1)
		second, err := client.Watch(ctx, "team/", first.Version)
		c.Assert(err, qt.IsNil)
		c.Assert(second.Items[0].Deleted, qt.IsTrue)
	})
	runOnPlatform(t, "a write fails while the store is down", func(c *qt.C, s *lossyPlatform, client *storer.Client) {
		s.SetFaults(faker.PlatformFaults{Down: true})
		_, err := client.CompareAndSwap(ctx, "a", nil, 0, "")
		c.Assert(err, qt.ErrorIs, storer.ErrUnavailable)
	})
	runOnPlatform(t, "a write without a reply has an unknown outcome, a read does not", func(c *qt.C, s *lossyPlatform, client *storer.Client) {
		s.loseReplies = 1
		_, err := client.CompareAndSwap(ctx, "a", []byte("x"), 0, "")
		c.Assert(err, qt.ErrorIs, storer.ErrUnknownOutcome)
		s.loseReplies = 1
		_, err = client.Get(ctx, "a")
		c.Assert(err, qt.ErrorIs, storer.ErrUnavailable)
	})
	runOnPlatform(t, "a value over the size limit is not sent", func(c *qt.C, s *lossyPlatform, client *storer.Client) {
		_, err := client.CompareAndSwap(ctx, "a", make([]byte, storer.MaxValueBytes+1), 0, "")
		c.Assert(err, qt.IsNotNil)
		c.Assert(s.calls, qt.Equals, 0)
	})
}

// TestCompareAndSwapRetry checks that the result matches the stored value when
// requests or replies are lost.
func TestCompareAndSwapRetry(t *testing.T) {
	ctx := context.Background()
	runOnPlatform(t, "the reply is lost", func(c *qt.C, s *lossyPlatform, client *storer.Client) {
		s.loseReplies = 3
		v, err := client.CompareAndSwapRetry(ctx, "a", []byte("mine"), 0, "")
		c.Assert(err, qt.IsNil)
		item, err := client.Get(ctx, "a")
		c.Assert(err, qt.IsNil)
		c.Assert(item.Version, qt.Equals, v)
	})
	runOnPlatform(t, "the request is lost", func(c *qt.C, s *lossyPlatform, client *storer.Client) {
		s.loseCalls = 3
		_, err := client.CompareAndSwapRetry(ctx, "a", []byte("mine"), 0, "")
		c.Assert(err, qt.IsNil)
	})
	runOnPlatform(t, "the request is lost and another client writes", func(c *qt.C, s *lossyPlatform, client *storer.Client) {
		s.loseCalls = 1
		go func() { _, _ = client.CompareAndSwap(ctx, "a", []byte("theirs"), 0, "") }()
		_, err := client.CompareAndSwapRetry(ctx, "a", []byte("mine"), 0, "")
		if err != nil {
			c.Assert(err, qt.ErrorIs, storer.ErrConflict)
		}
		item, _ := client.Get(ctx, "a")
		c.Assert(string(item.Value) == "mine", qt.Equals, err == nil)
	})
	runOnPlatform(t, "the store stays down", func(c *qt.C, s *lossyPlatform, client *storer.Client) {
		s.SetFaults(faker.PlatformFaults{Down: true})
		short, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		_, err := client.CompareAndSwapRetry(short, "a", []byte("mine"), 0, "")
		c.Assert(err, qt.ErrorIs, storer.ErrUnavailable)
		c.Assert(s.calls < 60, qt.IsTrue, qt.Commentf("%d calls in a minute", s.calls))
	})
}

// TestCallRateLimit checks that calls wait for the rate limit.
func TestCallRateLimit(t *testing.T) {
	runOnPlatform(t, "calls a second", func(c *qt.C, _ *lossyPlatform, client *storer.Client) {
		start := time.Now()
		for range 400 {
			_, _ = client.Get(context.Background(), "a")
		}
		c.Assert(time.Since(start) >= 2900*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
	})
}
