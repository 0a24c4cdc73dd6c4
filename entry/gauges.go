package entry

import (
	"context"
	"time"

	"github.com/endivefall/endivefall/waiter"
)

// gaugeEvery is how often an entry's gauges are set.
const gaugeEvery = 2 * time.Second

// gaugeLoop shows the entry's state as metrics.
func (e *Entry) gaugeLoop(ctx context.Context) {
	waiter.Every(ctx, gaugeEvery, func() {
		e.meter.Gauge("requests_inside").Update(float64(e.dispatcher.InFlight()))
		e.meter.Gauge("links").Update(float64(len(e.connector.Links())))
		settled := 0.0
		if e.announcer.Synced() {
			settled = 1
		}
		e.meter.Gauge("store_settled").Update(settled)
		if s := e.scheduler.Load(); s != nil {
			c := s.Stats()
			e.meter.Gauge("ledger_shards").Update(float64(c.Shards))
			e.meter.Gauge("ledger_commits").Update(float64(c.Commits))
			e.meter.Gauge("ledger_changes").Update(float64(c.Changes))
			e.meter.Gauge("ledger_bytes").Update(float64(c.Bytes))
		}
	})
}
