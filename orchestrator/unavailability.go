package orchestrator

import "time"

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
	// excluded workers have failed several runs in a row.
	excluded
)

// unavailability returns why the worker of an agent may not receive tasks now.
func (o *Orchestrator) unavailability(a *agent, now time.Time) unavailability {
	snapshot := a.snapshot
	switch {
	case !a.reachable() || snapshot == nil || snapshot.Unreachable || now.Sub(a.lastSnapshotAt) > isolationTimeout/2:
		return disconnected
	case snapshot.Draining:
		return draining
	case !a.registration.OpenFor(a.incarnation) || !a.reconciled:
		return unregistered
	case !snapshot.MayStart:
		return leaseless
	case now.Before(a.health.excludedUntil):
		return excluded
	}
	return available
}
