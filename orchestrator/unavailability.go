package orchestrator

import (
	"time"

	"github.com/endivefall/endivefall/evacuator"
)

// unavailability is why the worker of an agent may not receive tasks.
type unavailability int

const (
	available unavailability = iota
	// disconnected workers have no agent that answers, or an agent that doesn't reach them.
	disconnected
	// unregistered workers have an agent that is not reconciled, or whose registration is
	// not open, or open for an earlier process of the agent.
	unregistered
	draining
	// leaseless workers start nothing before their lease is renewed.
	leaseless
	// evacuated workers are in a domain that is evacuated, possiblyEvacuated ones in one that may be:
	// the evacuated domains are not known, or not known to be current.
	evacuated
	possiblyEvacuated
	// excluded workers have failed several runs in a row.
	excluded
)

// answers reports whether the agent answers and reaches its worker.
func (a *agent) answers(now time.Time) bool {
	return a.reachable() && a.snapshot != nil && !a.snapshot.Unreachable && now.Sub(a.lastSnapshotAt) <= isolationTimeout/2
}

// unavailability returns why the worker of an agent may not receive tasks now.
func (o *Orchestrator) unavailability(a *agent, now time.Time) unavailability {
	snapshot := a.snapshot
	switch {
	case !a.answers(now):
		return disconnected
	case snapshot.Draining:
		return draining
	case !a.registration.OpenFor(a.incarnation) || !a.reconciled:
		return unregistered
	case !snapshot.MayStart:
		return leaseless
	}
	switch o.startRefusal(a) {
	case evacuator.Evacuated:
		return evacuated
	case evacuator.Unknown, evacuator.Outdated:
		return possiblyEvacuated
	}
	if now.Before(a.health.excludedUntil) {
		return excluded
	}
	return available
}
