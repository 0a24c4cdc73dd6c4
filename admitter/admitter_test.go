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

func refused(c *qt.C, err error, reason string) {
	c.Helper()
	var r *Refusal
	c.Assert(errors.As(err, &r), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(r.Reason, qt.Equals, reason)
	c.Assert(err, qt.ErrorIs, ErrRefused)
}

// with runs a story in fake time.
func with(t *testing.T, name string, cfg Config, story func(c *qt.C, a *Admitter)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			cfg.Now = time.Now
			story(qt.New(t), New(cfg))
		})
	})
}

func ask(wait time.Duration, priority int) Request { return Request{time.Now().Add(wait), priority} }

func TestAdmit(t *testing.T) {
	ctx := context.Background()
	small := Config{Slots: 1, Connections: 2}
	with(t, "a free slot is given at once", small, func(c *qt.C, a *Admitter) {
		_, err := a.Admit(ctx, ask(time.Second, 0))
		c.Assert(err, qt.IsNil)
	})
	with(t, "past its deadline nothing runs", small, func(c *qt.C, a *Admitter) {
		_, err := a.Admit(ctx, ask(0, 0))
		refused(c, err, ReasonTooLate)
	})
	with(t, "connections bound what runs and waits", small, func(c *qt.C, a *Admitter) {
		first, err := a.Admit(ctx, ask(time.Minute, 0))
		c.Assert(err, qt.IsNil)
		go func() {
			ticket, err := a.Admit(ctx, ask(time.Minute, 0))
			c.Check(err, qt.IsNil)
			ticket.Release()
		}()
		synctest.Wait()
		_, err = a.Admit(ctx, ask(time.Minute, 0))
		refused(c, err, ReasonQueueFull)
		first.Release()
		synctest.Wait()
	})
	with(t, "the more important takes the place of the less", small, func(c *qt.C, a *Admitter) {
		first, _ := a.Admit(ctx, ask(time.Minute, 0))
		errs := make(chan error, 1)
		go func() {
			_, err := a.Admit(ctx, ask(time.Minute, 1))
			errs <- err
		}()
		synctest.Wait()
		go func() {
			ticket, err := a.Admit(ctx, ask(time.Minute, 9))
			c.Check(err, qt.IsNil)
			ticket.Release()
		}()
		refused(c, <-errs, ReasonDisplaced)
		first.Release()
		synctest.Wait()
	})
	with(t, "a caller that gives up while it waits never runs", small, func(c *qt.C, a *Admitter) {
		first, _ := a.Admit(ctx, ask(time.Minute, 0))
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := a.Admit(short, ask(time.Minute, 0))
		refused(c, err, ReasonCanceled)
		first.Release()
		running, waiting, _, _ := a.Load()
		c.Assert(running+waiting, qt.Equals, 0)
	})
	with(t, "leaving refuses what is new and what waits, and lets run what runs", small, func(c *qt.C, a *Admitter) {
		first, _ := a.Admit(ctx, ask(time.Minute, 0))
		errs := make(chan error, 1)
		go func() {
			_, err := a.Admit(ctx, ask(time.Minute, 1))
			errs <- err
		}()
		synctest.Wait()
		a.Drain()
		refused(c, <-errs, ReasonDraining)
		_, err := a.Admit(ctx, ask(time.Minute, 1))
		refused(c, err, ReasonDraining)
		first.Release()
	})
	with(t, "a wait past the contract is refused at once", Config{Slots: 1, Connections: 64, Bound: 250 * time.Millisecond}, func(c *qt.C, a *Admitter) {
		ticket, _ := a.Admit(ctx, ask(time.Minute, 0))
		advancer.Sleep(100 * time.Millisecond)
		ticket.Release() // a slot is held for 100 ms
		var all sync.WaitGroup
		var mu sync.Mutex
		late := 0
		start := time.Now()
		for range 10 {
			all.Go(func() {
				ticket, err := a.Admit(ctx, ask(time.Minute, 0))
				if err != nil {
					c.Check(time.Since(start), qt.Equals, time.Duration(0))
					mu.Lock()
					late++
					mu.Unlock()
					return
				}
				advancer.Sleep(100 * time.Millisecond)
				c.Check(time.Since(start) <= 300*time.Millisecond, qt.IsTrue)
				ticket.Release()
			})
		}
		all.Wait()
		c.Assert(late >= 6, qt.IsTrue, qt.Commentf("%d refused", late))
	})
}

// TestLimitsAreNeverPassed: whatever comes, no more than the slots run and no
// more than the connections run or wait; and every request is decided.
func TestLimitsAreNeverPassed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(rt, "slots")
		connections := rapid.IntRange(slots, 10).Draw(rt, "connections")
		type one struct{ after, holds, until, gives, priority int }
		requests := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) one {
			ms := rapid.IntRange(0, 200)
			return one{ms.Draw(t, "after"), ms.Draw(t, "holds"), ms.Draw(t, "until"), ms.Draw(t, "gives"), rapid.IntRange(0, 2).Draw(t, "priority")}
		}), 1, 40).Draw(rt, "requests")
		synctest.Test(t, func(t *testing.T) {
			a := New(Config{Slots: slots, Connections: connections, Now: time.Now})
			ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
			var all sync.WaitGroup
			for _, r := range requests {
				all.Go(func() {
					advancer.Sleep(ms(r.after))
					ctx, cancel := context.WithTimeout(context.Background(), ms(r.gives))
					defer cancel()
					ticket, err := a.Admit(ctx, ask(ms(r.until), r.priority))
					running, waiting, _, _ := a.Load()
					if running > slots || running+waiting > connections {
						t.Errorf("%d run and %d wait, of %d slots and %d connections", running, waiting, slots, connections)
					}
					if err == nil {
						advancer.Sleep(ms(r.holds))
						ticket.Release()
					}
				})
			}
			all.Wait()
			if running, waiting, _, _ := a.Load(); running+waiting > 0 {
				t.Errorf("%d run and %d wait at the end", running, waiting)
			}
		})
	})
}
