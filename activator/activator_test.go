package activator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/storer"
)

// TestServiceActivatedOnce checks that every entry gets the time of the first activation,
// and that a service that is not cached has none while the store is down.
func TestServiceActivatedOnce(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	values := map[string][]byte{}
	down := false
	now := time.Unix(1000, 0)
	newActivator := func() *Activator {
		return New(Config{
			Now: func() time.Time { return now }, Earliest: func(now time.Time) time.Time { return now },
			Get: func(_ context.Context, key string) (storer.Item, error) {
				if down {
					return storer.Item{}, storer.ErrUnavailable
				}
				if values[key] == nil {
					return storer.Item{}, storer.ErrNotFound
				}
				return storer.Item{Value: values[key]}, nil
			},
			CompareAndSwapRetry: func(_ context.Context, key string, value []byte, _ uint64, _ string) (uint64, error) {
				if values[key] != nil {
					return 0, storer.ErrConflict
				}
				values[key] = value
				return 1, nil
			},
		})
	}
	first, second := newActivator(), newActivator()
	at, err := first.ActiveSince(ctx, "team", "service")
	c.Assert(err, qt.IsNil)
	c.Assert(at, qt.Equals, now)
	now = now.Add(time.Hour)
	at, err = second.ActiveSince(ctx, "team", "service")
	c.Assert(err, qt.IsNil)
	c.Assert(at, qt.Equals, time.Unix(1000, 0))

	down = true
	_, err = second.ActiveSince(ctx, "team", "service")
	c.Assert(err, qt.IsNil, qt.Commentf("the cached time is returned while the store is down"))
	_, err = second.ActiveSince(ctx, "team", "other")
	c.Assert(err, qt.ErrorIs, storer.ErrUnavailable)
	down = false
	now = now.Add(retryDelay)
	_, err = second.ActiveSince(ctx, "team", "other")
	c.Assert(err, qt.IsNil)
}
