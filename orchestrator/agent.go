package orchestrator

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/differ"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/registrar"
)

// agent is the state of an agent that may hold work.
type agent struct {
	id string
	// link is the current connection, or nil; incarnation identifies the process at
	// its other end.
	link        *AgentLink
	incarnation string
	// lastSnapshotAt is the local time of its last snapshot.
	lastSnapshotAt time.Time
	// snapshot is the last one, complete; snapshots restores it from the changes that
	// link carries.
	snapshot  *messenger.WorkerSnapshot
	snapshots differ.Decoder
	// payloads has the payloads that the agent keeps, if it does.
	payloads differ.PayloadEncoder
	// registration is its record in the ledger and the changes of it. Runs are started only while
	// it is open for the process that is connected.
	registration registrar.Tracker
	// lastRenewal is the last renewal of the lease.
	lastRenewal renewal
	// leaving is set once the process that is or was connected has said that it ends.
	leaving bool
	// reached is set once this owner has a snapshot of it, inRoster once the roster of this
	// owner in the ledger has the agent.
	reached, inRoster bool
	// recordedTasks are the tasks that a closed registration of an earlier owner, or of the
	// agent itself, lists as possibly running, while hasUnknownRuns is set.
	recordedTasks []string
	// leaseExpiresAt is the local time until which its runs may continue without a
	// lease renewal.
	leaseExpiresAt time.Time
	// reconciled is set once a complete snapshot was received in this term;
	// hasUnknownRuns while an earlier owner may have left runs there that are not
	// known here.
	reconciled, hasUnknownRuns bool
	// seq is the number of the last command on link, confirmedSeq that of the last one
	// that the agent has confirmed, outbox those that wait to be sent.
	seq, confirmedSeq uint64
	outbox            []queuedCommand
	// lastEnd is the newest end handled from this incarnation, durableEnd the
	// newest end that it may discard, ackedEnd the newest end that was acknowledged
	// to it.
	lastEnd, durableEnd, ackedEnd uint64
	// pendingEnds are the ends after durableEnd.
	pendingEnds []pendingEnd
	// runs are the runs that may be active there.
	runs map[runKey]*run
	// strays are runs that its snapshots list, and that are to be stopped, though they are
	// not in runs.
	strays map[runKey]*stray
	// measurementUpdates is the update count of the last measurements that were
	// learned.
	measurementUpdates uint64
	// silentSince is the local time of the last snapshot from which on its worker, which
	// was not draining, could start nothing; it is kept once the worker can again.
	silentSince time.Time
	// health tracks the recent results of its runs.
	health workerHealth
}

func (o *Orchestrator) agent(id string) *agent {
	a := o.agents[id]
	if a == nil {
		a = &agent{id: id, runs: map[runKey]*run{}, strays: map[runKey]*stray{}}
		o.agents[id] = a
	}
	return a
}

// reachable reports whether commands can be sent to the agent.
func (a *agent) reachable() bool { return a.link != nil && !a.link.ended }

// Connect registers a new connection to an agent.
func (o *Orchestrator) Connect(l *AgentLink) {
	o.enqueue(func() {
		a := o.agent(l.ID)
		if a.incarnation != l.Incarnation {
			a.leaving = false
			a.incarnation, a.lastEnd, a.durableEnd, a.ackedEnd, a.pendingEnds = l.Incarnation, 0, 0, 0, nil
		}
		o.dropOutbox(a)
		a.link, a.seq, a.confirmedSeq, a.snapshot, a.lastSnapshotAt, a.measurementUpdates = l, 0, 0, nil, o.cfg.Now(), 0
		a.snapshots, a.payloads, a.strays = differ.Decoder{}, differ.PayloadEncoder{}, map[runKey]*stray{}
		o.starts.Drop(a.id)
		o.cfg.Log.Info("agent connected", zap.String("agent", l.ID), zap.String("born", l.Incarnation))
	})
}

// Disconnect handles the end of a connection.
func (o *Orchestrator) Disconnect(l *AgentLink) {
	o.enqueue(func() {
		if a := o.agents[l.ID]; a != nil && a.link == l {
			if a.snapshot != nil && a.snapshot.Complete && a.snapshot.Draining && len(a.snapshot.Runs) == 0 && len(o.runsOf(a)) == 0 {
				a.leaseExpiresAt = o.cfg.Now() // it accepted no more starts and had no runs
			}
			o.dropOutbox(a)
			a.link, a.snapshot = nil, nil
			o.starts.Drop(a.id)
			o.cfg.Log.Info("agent disconnected", zap.String("agent", l.ID), zap.Duration("lease", a.leaseExpiresAt.Sub(o.cfg.Now())))
		}
	})
}

// runsOf returns an agent's runs, in any order.
func (o *Orchestrator) runsOf(a *agent) []*run { return slices.Collect(maps.Values(a.runs)) }

// agentsWithUnknownRuns counts the agents that may hold runs of an earlier owner.
func (o *Orchestrator) agentsWithUnknownRuns() int {
	n := 0
	for _, a := range o.agents {
		if a.hasUnknownRuns {
			n++
		}
	}
	return n
}

// expireLease ends the runs of an agent once its lease has certainly expired, unless
// the agent reports their ends itself.
func (o *Orchestrator) expireLease(a *agent, now time.Time) {
	reporting := a.link != nil && a.snapshot != nil && a.snapshot.Reconciled && now.Sub(a.lastSnapshotAt) < isolationTimeout
	if reporting || now.Before(a.leaseExpiresAt) || !o.loaded {
		return
	}
	// A later owner may have renewed the lease unless there was none when it ended.
	if o.cfg.OwnershipConfirmedAt().Before(a.leaseExpiresAt) {
		o.cfg.ConfirmAfter(a.leaseExpiresAt)
		return
	}
	for _, r := range o.runsOf(a) {
		if o.granting[r] {
			o.dropGrant(r, "the lease expired")
			continue
		}
		// The agent rejects a command that arrives now, as it has no lease.
		o.endRun(r, messenger.RunEnd{Task: r.key.task, Attempt: r.key.attempt, Status: messenger.EndLeaseExpired, Reason: "agent unreachable and lease expired"})
	}
	if a.hasUnknownRuns {
		a.hasUnknownRuns, a.recordedTasks, o.planDue = false, nil, true
		o.cfg.Log.Info("lease of an unreachable agent expired", zap.String("agent", a.id), zap.Time("vouched", a.leaseExpiresAt))
	}
	a.reconciled = false
	switch {
	case a.registration.Writing() || a.registration.Wanted() == registrar.Open:
	case a.registration.Version() == 0:
		if a.link == nil { // nothing is left of it
			delete(o.agents, a.id)
		}
	case now.After(a.leaseExpiresAt.Add(registrationRemovalDelay)):
		a.registration.Want(registrar.Remove)
	}
}

// registrationRemovalDelay is the delay between the expiry of the lease of an
// absent agent and the removal of its registration, after which a new owner does
// not wait for it.
const registrationRemovalDelay = 2 * time.Second
