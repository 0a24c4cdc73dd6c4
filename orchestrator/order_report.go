package orchestrator

import (
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/meter"
)

// reportOrder reports how many ranked jobs of each class have tasks left to start, at most each
// waitLogInterval, and logs them while best-effort jobs wait.
func (o *Orchestrator) reportOrder(ranked []rankedJob, now time.Time) {
	if now.Sub(o.orderReportedAt) < waitLogInterval {
		return
	}
	o.orderReportedAt = now
	counts := map[allocator.Class]int{}
	corrected := 0
	var first *rankedJob // of the best-effort jobs that wait
	for n := range ranked {
		r := &ranked[n]
		if r.rank.Waiting == 0 {
			continue
		}
		counts[r.rank.Class]++
		if r.j.corrections.Known() {
			corrected++
		}
		if first == nil {
			first = r
		}
	}
	for class := allocator.Filling; class <= allocator.Worthless; class++ {
		o.cfg.Gauge(meter.WaitingJobs.Of(class.String()), float64(counts[class]))
	}
	if first == nil {
		return
	}
	o.cfg.Log.Info("best-effort jobs wait", zap.Int("filling", counts[allocator.Filling]), zap.Int("late", counts[allocator.Late]), zap.Int("worthless", counts[allocator.Worthless]), zap.Int("corrected", corrected),
		zap.String("first", first.j.Spec.ID), zap.Stringer("its_class", first.rank.Class), zap.Int("its_tasks_left", first.rank.Waiting), zap.Duration("its_age", now.Sub(first.j.Spec.AcceptedAt)))
}
