package runner

import (
	"context"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/decoder"
	"github.com/endivefall/endivefall/parser"
)

// slack is what a task may use above its reservation before it is acted on;
// measurements are not exact.
const slack = 1.05

// squeeze is a throttle that keeps a task within its reservation.
type squeeze struct {
	task  string
	share float64
}

// outgrow acts on tasks that use more than they reserved, before they hurt the
// others: the reservation grows if there is room; else a task is throttled to
// its processors, and evicted for its memory.
func (r *Runner) outgrow(ctx context.Context) {
	r.mu.Lock()
	var squeezes []squeeze
	for _, l := range r.held {
		t, ok := r.report[l.task]
		if l.task == "" || !ok || l.halt != none {
			continue
		}
		if s, needed := r.fit(l, t.Used); needed {
			squeezes = append(squeezes, s)
		}
	}
	r.mu.Unlock()
	for _, s := range squeezes {
		if err := r.cfg.Worker.Throttle(ctx, s.task, s.share); err != nil {
			r.cfg.Log.Warn("task not throttled", zap.String("task", s.task), zap.Error(err))
		}
	}
}

// fit makes one task fit; the caller holds mu.
func (r *Runner) fit(l *lane, used parser.Resources) (squeeze, bool) {
	has := l.grant.Need
	tooMuch := float64(used.Memory) > slack*float64(has.Memory)
	tooBusy := used.Processors > slack*has.Processors
	if !tooMuch && !tooBusy {
		return squeeze{}, false
	}
	grown := parser.Resources{
		Processors:   max(has.Processors, used.Processors),
		Memory:       max(has.Memory, used.Memory+used.Memory/decoder.Size(10)),
		Accelerators: has.Accelerators,
	}
	if r.cfg.Reserver.Resize(l.name(), grown) == nil {
		l.grant.Need = grown
		return squeeze{}, false
	}
	if tooMuch && (l.grant.Checkpointable || l.grant.Idempotent) {
		l.stop(evict)
		r.cfg.Log.Info("task evicted: it outgrew its memory", zap.String("run", l.grant.Run), zap.Int("task", l.next))
		return squeeze{}, false
	}
	return squeeze{l.task, has.Processors / used.Processors}, tooBusy
}
