package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/protector"
	"github.com/endivefall/endivefall/waiter"
)

// fewRequests is how many answers are needed to tell a tail latency; fewer are
// kept for the next step.
const fewRequests = 50

// window collects the latencies of the target's answers since the last step.
type window struct {
	mu   sync.Mutex
	took []time.Duration
}

// maxTook bounds the latencies of one step; more add nothing to the tail.
const maxTook = 20_000

func (w *window) add(took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.took) < maxTook {
		w.took = append(w.took, took)
	}
}

// tail returns the percentile of what was collected, or 0 when that is too
// little.
func (w *window) tail(percentile float64) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.took)
	if n < fewRequests {
		return 0
	}
	slices.Sort(w.took)
	tail := w.took[min(int(percentile/100*float64(n)), n-1)]
	w.took = w.took[:0]
	return tail
}

// protectLoop keeps the target's contract beside the batch tasks.
func (a *Agent) protectLoop(ctx context.Context) {
	p := protector.New(0)
	hurts := map[string]float64{}
	waiter.Every(ctx, protector.StepInterval, func() {
		a.gauge()
		service, _ := a.curator.Service(a.cfg.Settings.Team, a.cfg.Settings.Service)
		if service == nil {
			return
		}
		p.SetBound(service.Contract.Limit)
		a.protect(ctx, p, hurts, a.window.tail(service.Contract.Percentile))
		a.atRisk.Store(p.AtRisk(a.now()))
	})
}

// gauge shows the agent's state as metrics.
func (a *Agent) gauge() {
	load, free := a.load(), a.commit.Free()
	a.meter.Gauge("requests_running").Update(float64(load.Running))
	a.meter.Gauge("requests_waiting").Update(float64(load.Waiting))
	a.meter.Gauge("grants").Update(float64(a.runner.HeldGrants()))
	a.meter.Gauge("free_processors").Update(free.Processors)
	a.meter.Gauge("free_memory").Update(float64(free.Memory))
	tight := 0.0
	if a.tight() {
		tight = 1
	}
	a.meter.Gauge("tight").Update(tight)
}

// protect takes one step: what the worker measured goes in, shares and
// evictions come out.
func (a *Agent) protect(ctx context.Context, p *protector.Protector, hurts map[string]float64, tail time.Duration) {
	var tasks []protector.Task
	for _, w := range a.runner.RunningTasks() {
		tasks = append(tasks, protector.Task{ID: w.ID, Kind: w.Job, StartedAt: w.StartedAt, Evictable: w.Evictable})
		// The worker repeats a measurement until it has a newer one.
		if w.Interference > 0 && hurts[w.Job] != w.Interference {
			hurts[w.Job] = w.Interference
			p.ObserveInterference(w.Job, w.Interference)
		}
	}
	for _, o := range p.Step(a.now(), tasks, tail) {
		if o.Evict {
			a.runner.Evict(o.ID, o.Reason)
			continue
		}
		a.cfg.Log.Info("task throttled", zap.String("task", o.ID), zap.Float64("share", o.Share), zap.Duration("tail", tail))
		if err := a.worker.Throttle(ctx, o.ID, o.Share); err != nil {
			a.cfg.Log.Warn("task not throttled", zap.String("task", o.ID), zap.Error(err))
		}
	}
}
