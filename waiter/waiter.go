// Package waiter waits.
package waiter

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Every calls do each time that d has passed, until ctx ends.
func Every(ctx context.Context, d time.Duration, do func()) {
	tick := time.NewTicker(d)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			do()
		}
	}
}
