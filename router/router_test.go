package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
)

// newRouter returns a router with n targets that are past their slow start.
func newRouter(n int) (*Router, *time.Time) {
	now := time.Unix(1000, 0)
	r := New(Config{Now: func() time.Time { return now }, Rand: rand.New(rand.NewPCG(1, 1))})
	for i := range n {
		r.Add(fmt.Sprintf("t%d", i), "a", messenger.Load{Slots: 8, ServiceTime: 20 * time.Millisecond})
	}
	now = now.Add(time.Minute)
	return r, &now
}

// sendRequests sends requests that end at once and counts them by target.
func sendRequests(r *Router, n int, failed func(id string) bool) map[string]int {
	counts := map[string]int{}
	for range n {
		choice, err := r.Pick(nil)
		if err != nil {
			continue
		}
		counts[choice.ID]++
		r.Done(choice.ID, Result{Latency: 20 * time.Millisecond, Failed: failed(choice.ID)})
	}
	return counts
}

func neverFails(string) bool { return false }

func TestPick(t *testing.T) {
	c := qt.New(t)
	c.Run("no target", func(c *qt.C) {
		r, _ := newRouter(0)
		_, err := r.Pick(nil)
		c.Assert(err, qt.ErrorIs, ErrNoTarget)
	})
	c.Run("the least loaded target", func(c *qt.C) {
		r, _ := newRouter(2)
		r.UpdateLoad("t0", messenger.Load{Running: 8, Waiting: 4, Slots: 8, ServiceTime: 20 * time.Millisecond}, 0)
		got, err := r.Pick(nil)
		c.Assert(err, qt.IsNil)
		c.Assert(got.ID, qt.Equals, "t1")
		c.Assert(got.Alternatives[0].ID, qt.Equals, "t0")
	})
	c.Run("the lower round-trip time if the loads are equal", func(c *qt.C) {
		r, _ := newRouter(2)
		load := messenger.Load{Slots: 8, ServiceTime: 20 * time.Millisecond}
		r.UpdateLoad("t0", load, 3*time.Millisecond)
		r.UpdateLoad("t1", load, 200*time.Microsecond)
		got, _ := r.Pick(nil)
		c.Assert(got.ID, qt.Equals, "t1")
	})
	c.Run("no target that was tried or is draining", func(c *qt.C) {
		r, _ := newRouter(3)
		r.SetDraining("t2")
		for range 50 {
			got, err := r.Pick(map[string]bool{"t0": true})
			c.Assert(err, qt.IsNil)
			c.Assert(got.ID, qt.Equals, "t1")
		}
	})
	c.Run("requests of an earlier connection still count", func(c *qt.C) {
		r, _ := newRouter(1)
		_, _ = r.Pick(nil)
		r.Add("t0", "a", messenger.Load{Slots: 8})
		c.Assert(r.Targets()[0].InFlight, qt.Equals, 1)
	})
}

func TestEjection(t *testing.T) {
	c := qt.New(t)
	c.Run("a target that fails all requests is ejected, then probed", func(c *qt.C) {
		r, now := newRouter(4)
		failing := func(id string) bool { return id == "t1" }
		c.Assert(sendRequests(r, 400, failing)["t1"] <= 20, qt.IsTrue)
		*now = now.Add(minEjection)
		c.Assert(sendRequests(r, 100, failing)["t1"], qt.Equals, 1, qt.Commentf("one probe"))
		*now = now.Add(maxEjection)
		c.Assert(sendRequests(r, 400, neverFails)["t1"] > 50, qt.IsTrue, qt.Commentf("a successful probe restores the target"))
	})
	c.Run("at most a third of the targets is ejected", func(c *qt.C) {
		r, _ := newRouter(6)
		sendRequests(r, 1000, func(string) bool { return true })
		ejected := 0
		for _, v := range r.Targets() {
			if v.Ejected {
				ejected++
			}
		}
		c.Assert(ejected, qt.Equals, 2)
	})
	c.Run("refusals eject a faulty target but not an overloaded one", func(c *qt.C) {
		r, _ := newRouter(4)
		for range 30 {
			r.Done("t0", Result{Refused: true})
			r.Done("t1", Result{Refused: true, Failed: true})
		}
		c.Assert(r.Targets()[0].Ejected, qt.IsFalse)
		c.Assert(r.Targets()[1].Ejected, qt.IsTrue)
	})
}

func TestRetryBudget(t *testing.T) {
	c := qt.New(t)
	r, _ := newRouter(2)
	retries := 0
	for r.AllowRetry() {
		retries++
	}
	c.Assert(retries, qt.Equals, maxRetryTokens)
	sendRequests(r, 100, neverFails)
	retries = 0
	for r.AllowRetry() {
		retries++
	}
	c.Assert(retries >= 9 && retries <= 10, qt.IsTrue, qt.Commentf("a tenth of 100 successes, got %d", retries))
}

// BenchmarkPick measures one routing decision by the number of targets.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{11, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, _ := newRouter(n)
			for b.Loop() {
				choice, _ := r.Pick(nil)
				r.Done(choice.ID, Result{Latency: time.Millisecond})
			}
		})
	}
}
