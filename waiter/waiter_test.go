package waiter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSleepEndsWithItsTimeOrItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		start := time.Now()
		Sleep(context.Background(), time.Second)
		Sleep(context.Background(), -time.Second)
		c.Assert(time.Since(start), qt.Equals, time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		Sleep(ctx, time.Hour)
		c.Assert(time.Since(start), qt.Equals, 2*time.Second)
	})
}

func TestEveryEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), 3500*time.Millisecond)
		defer cancel()
		calls := 0
		Every(ctx, time.Second, func() { calls++ })
		c.Assert(calls, qt.Equals, 3)
	})
}
