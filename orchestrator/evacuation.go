package orchestrator

import (
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/estimator"
	"github.com/endivefall/endivefall/evacuator"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
)

// startRefusal returns why no task may start in the domain of an agent's worker now.
func (o *Orchestrator) startRefusal(a *agent) evacuator.Refusal {
	domain := ""
	if a.snapshot != nil {
		domain = a.snapshot.Domain
	}
	return o.evacuationPolicy().Check(o.cfg.Evacuations(), domain, o.cfg.OwnershipConfirmedAt())
}

func (o *Orchestrator) evacuationPolicy() evacuator.Policy {
	return evacuator.Policy{Bound: o.cfg.EvacuationBound}
}

// isEvacuated reports whether the domain of an agent's worker is known to be evacuated.
func (o *Orchestrator) isEvacuated(a *agent) bool {
	return a.snapshot != nil && o.cfg.Evacuations().Evacuated(a.snapshot.Domain)
}

// startBy returns when a start that is sent to an agent now must not begin any more, in Unix ms on
// the worker's clock; 0 for no such time. The worker's clock had reached SentAt as its snapshot
// arrived, and runs no slower than estimator allows, as the agent counts it.
func (o *Orchestrator) startBy(a *agent) int64 {
	local := o.evacuationPolicy().StartBy(o.cfg.Evacuations(), o.cfg.Now())
	if local.IsZero() || a.snapshot == nil {
		return 0
	}
	return a.snapshot.SentAt.Add(estimator.MinWorkerElapsed(local.Sub(a.lastSnapshotAt))).UnixMilli()
}

// warmupOf returns for how long the worker of an agent is still slow, as after an evacuation; 0
// where none has a bound, so that placement there stays as it was.
func (o *Orchestrator) warmupOf(a *agent) time.Duration {
	if o.cfg.EvacuationBound <= 0 {
		return 0
	}
	left := time.Duration(a.snapshot.WarmupMs)*time.Millisecond - o.cfg.Now().Sub(a.lastSnapshotAt)
	return max(left, 0)
}

// refuseQueued reports whether the start that a queued command asks for is no longer allowed, and
// ends its run then.
func (o *Orchestrator) refuseQueued(a *agent, c queuedCommand) bool {
	if c.kind != startCommand || o.startRefusal(a) == evacuator.Allowed {
		return false
	}
	o.refuseStart(c.run)
	return true
}

// refuseStart ends a run whose start was not sent.
func (o *Orchestrator) refuseStart(r *run) {
	o.cfg.Count(meter.RefusedStarts)
	o.endRun(r, messenger.RunEnd{Task: r.key.task, Attempt: r.key.attempt, Status: messenger.EndNotStarted, Reason: "its domain is evacuated, or may be"})
}

// followEvacuations withdraws what was to start in evacuated domains, and reports changes of them.
func (o *Orchestrator) followEvacuations(now time.Time) {
	view := o.cfg.Evacuations()
	o.reportEvacuations(view, now)
	runs := 0
	for _, a := range o.agents {
		if !o.isEvacuated(a) {
			continue
		}
		o.withdrawStarts(a)
		runs += len(a.runs)
	}
	o.cfg.Gauge(meter.EvacuatedDomains, float64(view.Len()))
	o.cfg.Gauge(meter.EvacuatingRuns, float64(runs))
}

// withdrawStarts drops the starts for an agent that were not sent, stops the runs that its worker
// has not confirmed, and drops the claims of room there.
func (o *Orchestrator) withdrawStarts(a *agent) {
	for _, r := range o.runsOf(a) {
		switch {
		case o.granting[r]:
			o.cfg.Count(meter.RefusedStarts)
			o.dropGrant(r, "its domain is evacuated")
		case r.link != nil && r.seq == notSent:
			o.refuseStart(r) // its command in the outbox is obsolete
		case r.phase == messenger.PhaseStarting && !r.evict && o.ownershipCurrent():
			o.cfg.Count(meter.RefusedStarts)
			o.stopRun(r, "its domain is evacuated, and it has not begun")
		}
	}
	for t, cl := range o.claims {
		if cl.agent == a {
			delete(o.claims, t)
			o.cfg.Log.Info("claim of room dropped", zap.String("task", t.Name()), zap.String("agent", a.id), zap.String("why", "its domain is evacuated"))
		}
	}
}

// reportEvacuations logs requests and withdrawals, and requests for domains without a worker.
func (o *Orchestrator) reportEvacuations(view evacuator.View, now time.Time) {
	for _, domain := range view.Domains() {
		if !o.evacuations.Evacuated(domain) {
			agents, runs := o.countIn(domain)
			o.cfg.Log.Info("evacuation requested", zap.String("domain", domain), zap.Int("agents", agents), zap.Int("runs", runs), zap.Duration("age", now.Sub(view.ReadAt)))
		}
		o.reportUnnamed(domain, now)
	}
	for _, domain := range o.evacuations.Domains() {
		if !view.Evacuated(domain) {
			delete(o.unnamedDomains, domain)
			agents, runs := o.countIn(domain)
			o.cfg.Log.Info("evacuation withdrawn", zap.String("domain", domain), zap.Int("agents", agents), zap.Int("runs", runs))
			o.planDue = true
		}
	}
	o.evacuations = view
}

// unnamedDelay is the time after the claim by which most agents have connected.
const unnamedDelay = 5 * time.Second

// reportUnnamed logs once that no worker is in an evacuated domain, as where its name is mistaken.
func (o *Orchestrator) reportUnnamed(domain string, now time.Time) {
	if o.unnamedDomains[domain] || now.Sub(o.cfg.ClaimedAt) < unnamedDelay {
		return
	}
	o.unnamedDomains[domain] = true
	if agents, _ := o.countIn(domain); agents == 0 {
		o.cfg.Log.Warn("no worker is in the evacuated domain", zap.String("domain", domain))
	}
}

// countIn returns the numbers of agents with a worker in a domain, and of their runs.
func (o *Orchestrator) countIn(domain string) (agents, runs int) {
	for _, a := range o.agents {
		if a.snapshot != nil && a.snapshot.Domain == domain {
			agents++
			runs += len(a.runs)
		}
	}
	return agents, runs
}
