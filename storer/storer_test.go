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

// store is a platform with a wire that can lose calls and answers.
type store struct {
	*faker.Platform
	mu                     sync.Mutex
	loseCalls, loseAnswers int
	calls                  int
}

// lose says whether to lose one more, and counts it.
func (s *store) lose(left *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *left == 0 {
		return false
	}
	*left--
	return true
}

func (s *store) do(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	if s.lose(&s.loseCalls) {
		return nil, errNet
	}
	if r.Body == nil {
		r.Body = http.NoBody
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	if s.lose(&s.loseAnswers) {
		return nil, errNet
	}
	return w.Result(), nil
}

// with runs a test of the contract in fake time.
func with(t *testing.T, name string, f func(c *qt.C, s *store, k *storer.Client)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &store{Platform: faker.NewPlatform()}
			f(qt.New(t), s, storer.New(storer.Config{Addr: netip.MustParseAddrPort("127.0.0.1:1"), CallsPerSecond: 100, Do: s.do}))
		})
	})
}

// TestPlatformContract: what the system relies on, and how each fault shows.
func TestPlatformContract(t *testing.T) {
	ctx := context.Background()
	with(t, "a value is written only over the version that was read", func(c *qt.C, _ *store, k *storer.Client) {
		v1, err := k.CompareAndSwap(ctx, "a/b", []byte("one"), 0, "")
		c.Assert(err, qt.IsNil)
		_, err = k.CompareAndSwap(ctx, "a/b", []byte("two"), 0, "")
		c.Assert(err, qt.ErrorIs, storer.ErrConflict)
		v2, err := k.CompareAndSwap(ctx, "a/b", []byte("two"), v1, "")
		c.Assert(err, qt.IsNil)
		c.Assert(v2 > v1, qt.IsTrue)
		item, err := k.Get(ctx, "a/b")
		c.Assert(err, qt.IsNil)
		c.Assert(string(item.Value), qt.Equals, "two")
	})
	with(t, "a missing key", func(c *qt.C, _ *store, k *storer.Client) {
		_, err := k.Get(ctx, "nothing")
		c.Assert(err, qt.ErrorIs, storer.ErrNotFound)
	})
	with(t, "a key goes with its lease", func(c *qt.C, _ *store, k *storer.Client) {
		id, err := k.CreateLease(ctx, 5*time.Second)
		c.Assert(err, qt.IsNil)
		_, err = k.CompareAndSwap(ctx, "entry/1", []byte("x"), 0, id)
		c.Assert(err, qt.IsNil)
		advancer.Sleep(4 * time.Second)
		c.Assert(k.RenewLease(ctx, id), qt.IsNil)
		advancer.Sleep(4 * time.Second)
		_, err = k.Get(ctx, "entry/1")
		c.Assert(err, qt.IsNil)
		advancer.Sleep(2 * time.Second)
		_, err = k.Get(ctx, "entry/1")
		c.Assert(err, qt.ErrorIs, storer.ErrNotFound)
		c.Assert(k.RenewLease(ctx, id), qt.ErrorIs, storer.ErrNotFound)
	})
	with(t, "a watch sees a change and a deletion", func(c *qt.C, _ *store, k *storer.Client) {
		l, err := k.List(ctx, "team/")
		c.Assert(err, qt.IsNil)
		go func() {
			advancer.Sleep(time.Second)
			v, _ := k.CompareAndSwap(ctx, "team/a", []byte("x"), 0, "")
			advancer.Sleep(time.Second)
			_ = k.Delete(ctx, "team/a", v)
		}()
		first, err := k.Watch(ctx, "team/", l.Version)
		c.Assert(err, qt.IsNil)
		c.Assert(first.Items, qt.HasLen, 1)
		second, err := k.Watch(ctx, "team/", first.Version)
		c.Assert(err, qt.IsNil)
		c.Assert(second.Items[0].Deleted, qt.IsTrue)
	})
	with(t, "a store that is down wrote nothing", func(c *qt.C, s *store, k *storer.Client) {
		s.SetFaults(faker.PlatformFaults{Down: true})
		_, err := k.CompareAndSwap(ctx, "a", nil, 0, "")
		c.Assert(err, qt.ErrorIs, storer.ErrUnavailable)
	})
	with(t, "a write without an answer is unsettled, a read is not", func(c *qt.C, s *store, k *storer.Client) {
		s.loseAnswers = 1
		_, err := k.CompareAndSwap(ctx, "a", []byte("x"), 0, "")
		c.Assert(err, qt.ErrorIs, storer.ErrUnknownOutcome)
		s.loseAnswers = 1
		_, err = k.Get(ctx, "a")
		c.Assert(err, qt.ErrorIs, storer.ErrUnavailable)
	})
	with(t, "a value over the bound is not sent", func(c *qt.C, s *store, k *storer.Client) {
		_, err := k.CompareAndSwap(ctx, "a", make([]byte, storer.MaxValueBytes+1), 0, "")
		c.Assert(err, qt.IsNotNil)
		c.Assert(s.calls, qt.Equals, 0)
	})
}

// TestSettle: whatever is lost on the way, the answer is the truth.
func TestSettle(t *testing.T) {
	ctx := context.Background()
	with(t, "the answer is lost", func(c *qt.C, s *store, k *storer.Client) {
		s.loseAnswers = 3
		v, err := k.CompareAndSwapRetry(ctx, "a", []byte("mine"), 0, "")
		c.Assert(err, qt.IsNil)
		item, err := k.Get(ctx, "a")
		c.Assert(err, qt.IsNil)
		c.Assert(item.Version, qt.Equals, v)
	})
	with(t, "the call is lost", func(c *qt.C, s *store, k *storer.Client) {
		s.loseCalls = 3
		_, err := k.CompareAndSwapRetry(ctx, "a", []byte("mine"), 0, "")
		c.Assert(err, qt.IsNil)
	})
	with(t, "the call is lost and another writes", func(c *qt.C, s *store, k *storer.Client) {
		s.loseCalls = 1
		go func() { _, _ = k.CompareAndSwap(ctx, "a", []byte("theirs"), 0, "") }()
		_, err := k.CompareAndSwapRetry(ctx, "a", []byte("mine"), 0, "")
		if err != nil {
			c.Assert(err, qt.ErrorIs, storer.ErrConflict)
		}
		item, _ := k.Get(ctx, "a")
		c.Assert(string(item.Value) == "mine", qt.Equals, err == nil)
	})
	with(t, "the store stays down", func(c *qt.C, s *store, k *storer.Client) {
		s.SetFaults(faker.PlatformFaults{Down: true})
		short, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		_, err := k.CompareAndSwapRetry(short, "a", []byte("mine"), 0, "")
		c.Assert(err, qt.ErrorIs, storer.ErrUnavailable)
		c.Assert(s.calls < 60, qt.IsTrue, qt.Commentf("%d calls in a minute", s.calls))
	})
}

// TestBudgetOfCalls: calls wait for the budget, whoever makes them.
func TestBudgetOfCalls(t *testing.T) {
	with(t, "calls a second", func(c *qt.C, _ *store, k *storer.Client) {
		start := time.Now()
		for range 400 {
			_, _ = k.Get(context.Background(), "a")
		}
		c.Assert(time.Since(start) >= 2900*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
	})
}
