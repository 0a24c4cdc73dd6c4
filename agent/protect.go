package agent

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/protector"
	"github.com/endivefall/endivefall/waiter"
)

// minTailSamples is the number of latencies needed to compute a tail latency;
// fewer are kept for the next step.
const minTailSamples = 50

// latencyWindow collects the latencies of requests to the target since the last
// step.
type latencyWindow struct {
	mu      sync.Mutex
	samples []time.Duration
}

// maxTailSamples bounds the latencies of one step; more add nothing to the
// estimate of the tail.
const maxTailSamples = 20_000

func (w *latencyWindow) add(latency time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.samples) < maxTailSamples {
		w.samples = append(w.samples, latency)
	}
}

// tail returns the percentile of the collected latencies and clears them, or
// returns 0 if there are fewer than minTailSamples.
func (w *latencyWindow) tail(percentile float64) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.samples)
	if n < minTailSamples {
		return 0
	}
	slices.Sort(w.samples)
	tail := w.samples[min(int(percentile/100*float64(n)), n-1)]
	w.samples = w.samples[:0]
	return tail
}

// protection is what protectLoop knows of the running tasks. Only its goroutine uses it.
type protection struct {
	// interference holds the last measurement of each job.
	interference map[string]float64
	// shares holds, by task, the CPU shares that the tasks are to have, and confirmed
	// those that the worker is known to have applied.
	shares, confirmed map[string]float64
}

func newProtection() *protection {
	return &protection{interference: map[string]float64{}, shares: map[string]float64{}, confirmed: map[string]float64{}}
}

// protectLoop throttles and evicts batch tasks to hold the tail-latency contract
// of the target's service.
func (a *Agent) protectLoop(ctx context.Context) {
	p := protector.New(0)
	s := newProtection()
	waiter.Every(ctx, protector.StepInterval, func() {
		a.updateGauges()
		service, _ := a.cataloger.Service(a.cfg.Settings.Team, a.cfg.Settings.Service)
		if service == nil {
			return
		}
		p.SetLimit(service.Contract.Limit)
		a.protect(ctx, p, s, a.latencies.tail(service.Contract.Percentile))
		a.atRisk.Store(p.AtRisk(a.now()))
	})
}

// updateGauges exports the agent's state as metrics.
func (a *Agent) updateGauges() {
	load, free := a.load(), a.reserver.Free()
	a.meter.Set(meter.RequestsRunning, float64(load.Running))
	a.meter.Set(meter.RequestsWaiting, float64(load.Waiting))
	a.meter.Set(meter.HeldGrants, float64(a.runner.HeldGrants()))
	a.meter.Set(meter.FreeProcessors, free.Processors)
	a.meter.Set(meter.FreeMemory, float64(free.Memory))
	pressure := 0.0
	if a.underPressure() {
		pressure = 1
	}
	a.meter.Set(meter.Tight, pressure)
}

// protect executes one step of the controller: it passes on the interference
// that the worker measured, and applies the resulting shares and evictions.
func (a *Agent) protect(ctx context.Context, p *protector.Protector, s *protection, tail time.Duration) {
	var tasks []protector.Task
	isRunning := map[string]bool{}
	for _, running := range a.runner.RunningTasks() {
		isRunning[running.ID] = true
		tasks = append(tasks, protector.Task{ID: running.ID, Kind: running.Job, StartedAt: running.StartedAt, Evictable: running.Evictable})
		// The worker repeats a measurement until it has a newer one.
		if running.Interference > 0 && s.interference[running.Job] != running.Interference {
			s.interference[running.Job] = running.Interference
			p.ObserveInterference(running.Job, running.Interference)
		}
	}
	for _, action := range p.Step(a.now(), tasks, tail) {
		if action.Evict {
			a.runner.Evict(action.ID, action.Reason)
			continue
		}
		a.cfg.Log.Info("task throttled", zap.String("task", action.ID), zap.Float64("share", action.Share), zap.Duration("tail", tail))
		s.shares[action.ID] = action.Share
	}
	ended := func(id string, _ float64) bool { return !isRunning[id] }
	maps.DeleteFunc(s.shares, ended)
	maps.DeleteFunc(s.confirmed, ended)
	a.applyShares(ctx, s)
}

// applyShares sends each share that the worker has not confirmed, in any order, so that
// a call that gets no answer doesn't hold up the same tasks in each step.
func (a *Agent) applyShares(ctx context.Context, s *protection) {
	ctx, cancel := context.WithTimeout(ctx, protector.StepInterval)
	defer cancel()
	for id, share := range s.shares {
		if confirmed, ok := s.confirmed[id]; ok && confirmed == share {
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if err := a.executor.Throttle(ctx, id, share); err != nil {
			delete(s.confirmed, id) // it may have taken effect
			a.cfg.Log.Warn("throttling a task failed", zap.String("task", id), zap.Error(err))
			continue
		}
		s.confirmed[id] = share
	}
}
