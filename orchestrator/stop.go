package orchestrator

import (
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
)

// stopRun marks a run to be stopped and asks its agent to do so.
func (o *Orchestrator) stopRun(r *run, reason string) {
	if o.granting[r] {
		o.dropGrant(r, reason)
		return
	}
	r.evict = true
	if r.stopWantedAt.IsZero() {
		r.stopWantedAt = o.cfg.Now()
	}
	if !o.stopDue(r) {
		return
	}
	repeated := r.stopQueuedOn == r.agent.link
	r.stopQueuedOn, r.stopSeq = r.agent.link, notSent
	if o.queueCommand(r.agent, queuedCommand{kind: stopCommand, run: r}) {
		o.cfg.Log.Info("stopping run", zap.String("task", r.key.task), zap.Uint64("attempt", r.key.attempt), zap.String("agent", r.agent.id), zap.String("why", reason), zap.Bool("repeated", repeated))
	}
}

// stopRepeatDelay is the delay before an agent is asked again that still lists a run without
// stopping it.
const stopRepeatDelay = time.Second

// stopDue reports whether an agent is to be asked to stop a run: once on each connection,
// and again while it has seen the command and still does not report that it stops the run.
func (o *Orchestrator) stopDue(r *run) bool {
	a := r.agent
	if !a.reachable() || r.stopQueuedOn != a.link {
		return a.reachable()
	}
	seen := a.snapshot != nil && a.snapshot.Seq >= r.stopSeq
	return seen && r.phase != messenger.PhaseStopping && !o.cfg.Now().Before(r.stopAgainAt)
}

// stopStray asks an agent to stop a run that it lists and that is not one of its known
// runs.
func (o *Orchestrator) stopStray(a *agent, status messenger.RunStatus, why string) {
	key, now := runKey{status.Task, status.Attempt}, o.cfg.Now()
	known := a.strays[key]
	if known == nil {
		known = &stray{firstListedAt: now}
		a.strays[key] = known
	}
	if status.Phase == messenger.PhaseStopping || known.stopSeq == notSent || now.Before(known.stopAgainAt) {
		return
	}
	known.stopSeq = notSent
	if o.queueCommand(a, queuedCommand{kind: stopCommand, stray: known, key: key}) {
		o.cfg.Log.Warn("stopping a stray run", zap.String("task", status.Task), zap.Uint64("attempt", status.Attempt), zap.String("agent", a.id), zap.String("why", why))
	}
}

const (
	// stopReportInterval is the time between two reports of outstanding stops.
	stopReportInterval = time.Second
	// maxStopAge is the age from which an outstanding stop is logged.
	maxStopAge = 3 * time.Second
)

// reportStops reports the age of the oldest stop whose run has not ended.
func (o *Orchestrator) reportStops(now time.Time) {
	if now.Before(o.reportStopsAt) {
		return
	}
	o.reportStopsAt = now.Add(stopReportInterval)
	oldest, outstanding, waiting := now, 0, 0
	var oldestRun *run // the one with the oldest stop; nil for a stray
	for _, r := range o.runs {
		if r.stopWantedAt.IsZero() {
			continue
		}
		outstanding++
		if r.stopWantedAt.Before(oldest) {
			oldest, oldestRun = r.stopWantedAt, r
		}
	}
	for _, a := range o.agents {
		outstanding += len(a.strays)
		waiting += len(a.outbox)
		for _, stray := range a.strays {
			if stray.firstListedAt.Before(oldest) {
				oldest, oldestRun = stray.firstListedAt, nil
			}
		}
	}
	age := now.Sub(oldest)
	o.cfg.Gauge(meter.OldestStop, age.Seconds())
	o.cfg.Gauge(meter.WaitingCommands, float64(waiting))
	if age < maxStopAge {
		return
	}
	if oldestRun == nil {
		o.cfg.Log.Warn("stop of a stray run is outstanding", zap.Duration("age", age), zap.Int("outstanding", outstanding))
		return
	}
	o.cfg.Log.Warn("stop is outstanding", zap.String("task", oldestRun.key.task), zap.Uint64("attempt", oldestRun.key.attempt), zap.Duration("age", age), zap.Int("outstanding", outstanding),
		zap.String("agent", oldestRun.agent.id), zap.Bool("connected", oldestRun.agent.link != nil), zap.Bool("sent", oldestRun.stopQueuedOn != nil && oldestRun.stopQueuedOn == oldestRun.agent.link && oldestRun.stopSeq != notSent),
		zap.Uint8("phase", uint8(oldestRun.phase)), zap.Bool("job_ended", oldestRun.job.Ended()))
}
