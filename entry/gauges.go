package entry

import (
	"context"
	"time"

	"github.com/endivefall/endivefall/waiter"
)

// gaugeInterval is the interval between updates of an entry's gauges.
const gaugeInterval = 2 * time.Second

// gaugeLoop exports the entry's state as metrics.
func (e *Entry) gaugeLoop(ctx context.Context) {
	waiter.Every(ctx, gaugeInterval, func() {
		e.meter.Gauge("requests_inside").Update(float64(e.dispatcher.InFlight()))
		e.meter.Gauge("links").Update(float64(len(e.connector.Links())))
		synced := 0.0
		if e.announcer.Synced() {
			synced = 1
		}
		e.meter.Gauge("store_settled").Update(synced)
		if s := e.scheduler.Load(); s != nil {
			stats := s.Stats()
			e.meter.Gauge("ledger_shards").Update(float64(stats.Shards))
			e.meter.Gauge("ledger_commits").Update(float64(stats.Commits))
			e.meter.Gauge("ledger_changes").Update(float64(stats.Changes))
			e.meter.Gauge("ledger_bytes").Update(float64(stats.Bytes))
		}
	})
}
