package entry

import (
	"context"
	"time"

	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/waiter"
)

// gaugeInterval is the interval between updates of an entry's gauges.
const gaugeInterval = 2 * time.Second

// gaugeLoop exports the entry's state as metrics.
func (e *Entry) gaugeLoop(ctx context.Context) {
	waiter.Every(ctx, gaugeInterval, func() {
		e.meter.Set(meter.RequestsInside, float64(e.dispatcher.InFlight()))
		e.meter.Set(meter.Links, float64(len(e.connector.Links())))
		synced := 0.0
		if e.announcer.Synced() {
			synced = 1
		}
		e.meter.Set(meter.StoreSettled, synced)
		if s := e.scheduler.Load(); s != nil {
			stats := s.Stats()
			e.meter.Set(meter.LedgerShards, float64(stats.Shards))
			e.meter.Set(meter.LedgerCommits, float64(stats.Commits))
			e.meter.Set(meter.LedgerChanges, float64(stats.Changes))
			e.meter.Set(meter.LedgerBytes, float64(stats.Bytes))
		}
	})
}
