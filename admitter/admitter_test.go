package admitter

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivefall/endivefall/advancer"
)

func assertRefused(c *qt.C, err error, reason string) {
	c.Helper()
	var r *Refusal
	c.Assert(errors.As(err, &r), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(r.Reason, qt.Equals, reason)
	c.Assert(err, qt.ErrorIs, ErrRefused)
}

// runInFakeTime runs a test of an Admitter as a subtest in fake time.
func runInFakeTime(t *testing.T, name string, cfg Config, test func(c *qt.C, a *Admitter)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			cfg.Now = time.Now
			test(qt.New(t), New(cfg))
		})
	})
}

func request(timeout time.Duration, priority int) Request {
	return Request{time.Now().Add(timeout), priority}
}

func TestAdmit(t *testing.T) {
	ctx := context.Background()
	small := Config{Slots: 1, Connections: 2}
	runInFakeTime(t, "a request starts at once while a slot is free", small, func(c *qt.C, a *Admitter) {
		_, err := a.Admit(ctx, request(time.Second, 0))
		c.Assert(err, qt.IsNil)
	})
	runInFakeTime(t, "a request past its deadline is refused", small, func(c *qt.C, a *Admitter) {
		_, err := a.Admit(ctx, request(0, 0))
		assertRefused(c, err, ReasonTooLate)
	})
	runInFakeTime(t, "connections limit running and queued requests", small, func(c *qt.C, a *Admitter) {
		first, err := a.Admit(ctx, request(time.Minute, 0))
		c.Assert(err, qt.IsNil)
		go func() {
			permit, err := a.Admit(ctx, request(time.Minute, 0))
			c.Check(err, qt.IsNil)
			permit.Release()
		}()
		synctest.Wait()
		_, err = a.Admit(ctx, request(time.Minute, 0))
		assertRefused(c, err, ReasonQueueFull)
		first.Release()
		synctest.Wait()
	})
	runInFakeTime(t, "a higher priority displaces a lower one", small, func(c *qt.C, a *Admitter) {
		first, _ := a.Admit(ctx, request(time.Minute, 0))
		errs := make(chan error, 1)
		go func() {
			_, err := a.Admit(ctx, request(time.Minute, 1))
			errs <- err
		}()
		synctest.Wait()
		go func() {
			permit, err := a.Admit(ctx, request(time.Minute, 9))
			c.Check(err, qt.IsNil)
			permit.Release()
		}()
		assertRefused(c, <-errs, ReasonDisplaced)
		first.Release()
		synctest.Wait()
	})
	runInFakeTime(t, "a request canceled while it waits never runs", small, func(c *qt.C, a *Admitter) {
		first, _ := a.Admit(ctx, request(time.Minute, 0))
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := a.Admit(short, request(time.Minute, 0))
		assertRefused(c, err, ReasonCanceled)
		first.Release()
		running, waiting, _, _ := a.Load()
		c.Assert(running+waiting, qt.Equals, 0)
	})
	runInFakeTime(t, "draining refuses new and queued requests, and running ones continue", small, func(c *qt.C, a *Admitter) {
		first, _ := a.Admit(ctx, request(time.Minute, 0))
		errs := make(chan error, 1)
		go func() {
			_, err := a.Admit(ctx, request(time.Minute, 1))
			errs <- err
		}()
		synctest.Wait()
		a.Drain()
		assertRefused(c, <-errs, ReasonDraining)
		_, err := a.Admit(ctx, request(time.Minute, 1))
		assertRefused(c, err, ReasonDraining)
		first.Release()
	})
	runInFakeTime(t, "a request that would wait beyond the latency limit is refused at once", Config{Slots: 1, Connections: 64, LatencyLimit: 250 * time.Millisecond}, func(c *qt.C, a *Admitter) {
		permit, _ := a.Admit(ctx, request(time.Minute, 0))
		advancer.Sleep(100 * time.Millisecond)
		permit.Release() // the mean service time is 100 ms
		var wg sync.WaitGroup
		var mu sync.Mutex
		refused := 0
		start := time.Now()
		for range 10 {
			wg.Go(func() {
				permit, err := a.Admit(ctx, request(time.Minute, 0))
				if err != nil {
					c.Check(time.Since(start), qt.Equals, time.Duration(0))
					mu.Lock()
					refused++
					mu.Unlock()
					return
				}
				advancer.Sleep(100 * time.Millisecond)
				c.Check(time.Since(start) <= 300*time.Millisecond, qt.IsTrue)
				permit.Release()
			})
		}
		wg.Wait()
		c.Assert(refused >= 6, qt.IsTrue, qt.Commentf("%d refused", refused))
	})
}

// TestLimitsAreNeverPassed checks with random requests that at no time more
// requests run than there are slots, or run or wait than there are
// connections, and that every request is admitted or refused.
func TestLimitsAreNeverPassed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(rt, "slots")
		connections := rapid.IntRange(slots, 10).Draw(rt, "connections")
		type simulatedRequest struct{ delay, runtime, timeout, cancelAfter, priority int }
		requests := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) simulatedRequest {
			ms := rapid.IntRange(0, 200)
			return simulatedRequest{ms.Draw(t, "delay"), ms.Draw(t, "runtime"), ms.Draw(t, "timeout"), ms.Draw(t, "cancelAfter"), rapid.IntRange(0, 2).Draw(t, "priority")}
		}), 1, 40).Draw(rt, "requests")
		synctest.Test(t, func(t *testing.T) {
			a := New(Config{Slots: slots, Connections: connections, Now: time.Now})
			ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
			var wg sync.WaitGroup
			for _, r := range requests {
				wg.Go(func() {
					advancer.Sleep(ms(r.delay))
					ctx, cancel := context.WithTimeout(context.Background(), ms(r.cancelAfter))
					defer cancel()
					permit, err := a.Admit(ctx, request(ms(r.timeout), r.priority))
					running, waiting, _, _ := a.Load()
					if running > slots || running+waiting > connections {
						t.Errorf("%d run and %d wait, of %d slots and %d connections", running, waiting, slots, connections)
					}
					if err == nil {
						advancer.Sleep(ms(r.runtime))
						permit.Release()
					}
				})
			}
			wg.Wait()
			if running, waiting, _, _ := a.Load(); running+waiting > 0 {
				t.Errorf("%d run and %d wait at the end", running, waiting)
			}
		})
	})
}
