package limiter

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/meter"
)

// TestGaugesAreSetInOrder guards against gauges that keep an old value, as one that is set outside
// the lock may be set after a later one.
func TestGaugesAreSetInOrder(t *testing.T) {
	c := qt.New(t)
	var g *Group
	set := map[meter.Gauge]int{}
	g = NewGroup(GroupConfig{Metrics: meter.Callers, Conns: 2, BodyBytes: 1 << 20, DecodeBytes: 1 << 20, Gauge: func(metric meter.Gauge, _ float64) {
		set[metric]++
		if g.mu.TryLock() {
			g.mu.Unlock()
			c.Errorf("%s is set without the lock", metric.Name())
		}
	}})
	conn := &Conn{group: g}
	g.add(conn)
	g.remove(conn)
	readLarge(c, g).Release()
	c.Assert(set, qt.DeepEquals, map[meter.Gauge]int{meter.Callers.Connections: 2, meter.Callers.BodyBytes: 2})
}

// TestOnlyDeadlinesCountAsBusy guards against callers that have gone being counted as rejected for
// want of room.
func TestOnlyDeadlinesCountAsBusy(t *testing.T) {
	for name, tc := range map[string]struct {
		end  func() (context.Context, context.CancelFunc)
		want bool
	}{
		"deadline": {func() (context.Context, context.CancelFunc) {
			return context.WithDeadline(context.Background(), time.Unix(0, 0))
		}, true},
		"gone": {func() (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			return ctx, cancel
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var counts []meter.Counter
			g := NewGroup(GroupConfig{Metrics: meter.Callers, BodyBytes: 1 << 20, DecodeBytes: 1 << 10, Count: func(counter meter.Counter) { counts = append(counts, counter) }})
			first, second := readLarge(c, g), readLarge(c, g)
			keep := func([]byte) error { return nil }
			c.Assert(first.Decode(context.Background(), keep), qt.IsNil)
			ctx, cancel := tc.end()
			defer cancel()
			c.Assert(second.Decode(ctx, keep), qt.ErrorIs, ErrBusy)
			c.Assert(slices.Contains(counts, meter.Callers.Shed.Of("decode_busy")), qt.Equals, tc.want)
		})
	}
}

// readLarge reads a body that is charged for one piece.
func readLarge(c *qt.C, g *Group) *Payload {
	r, err := http.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", smallBody+1)))
	c.Assert(err, qt.IsNil)
	p, err := g.ReadAll(r, 1<<20)
	c.Assert(err, qt.IsNil)
	return p
}
