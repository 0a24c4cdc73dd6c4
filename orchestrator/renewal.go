package orchestrator

import (
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/estimator"
	"github.com/endivefall/endivefall/messenger"
)

// renewal is a renewal of the lease of a worker.
type renewal struct {
	// worker is the incarnation of the worker, sentAt the time on its clock from which the lease
	// counts.
	worker string
	sentAt time.Time
}

// earlierOwnersLeft returns for how long an earlier owner may still act; it has stopped if that is
// not above 0.
func (o *Orchestrator) earlierOwnersLeft() time.Duration {
	return o.cfg.ClaimedAt.Add(estimator.MaxLocalElapsed(o.cfg.PreviousOwnerTTL)).Sub(o.cfg.Now())
}

// endsRenewal reports whether a closed registration may say that the lease is renewed no more: the
// agent leaves, or is unreachable, in no outage of the store. If it returns, its registration is written
// again.
func (o *Orchestrator) endsRenewal(a *agent) bool {
	return a.leaving || a.unreachable(o.cfg.Now()) && o.confirmedWithin(closedConfirmationTTL)
}

// boundEndedRenewals bounds the wait for agents of which a registration says that their lease is renewed no
// more: it counts from when that was written, at the latest when this process knew a version of the
// store that was as new. That holds if each owner from the one that wrote it to the last one heeds it.
func (o *Orchestrator) boundEndedRenewals() {
	if !o.versionsSound() {
		o.cfg.Log.Warn("the version of the claim was known before it was sent; waiting for all agents", zap.Uint64("epoch", o.cfg.Epoch))
		return
	}
	for _, a := range o.agents {
		record, version := a.registration.Record(), a.registration.Version()
		if !a.hasUnknownRuns || record.RenewalsEndedInTerm == 0 || !o.heededSince(record.RenewalsEndedInTerm) {
			continue
		}
		writtenBy, ok := o.cfg.KnownSince(version)
		if !ok || version <= record.Epoch { // a version that is not above that of the claim is cut short
			continue
		}
		earlierUntil := writtenBy.Add(estimator.MaxLocalElapsed(time.Duration(record.EarlierMs) * time.Millisecond))
		if known := o.cfg.UnrosteredUntil; !known.IsZero() && known.Before(earlierUntil) {
			earlierUntil = known // no owner before the last one acts after that
		}
		if expiresAt := later(writtenBy, earlierUntil).Add(o.maxLeaseElapsed()); expiresAt.Before(a.leaseExpiresAt) {
			a.leaseExpiresAt = expiresAt
		}
	}
}

// heededSince reports whether each owner from that of a term to the last one heeds that a
// registration says that a lease is renewed no more.
func (o *Orchestrator) heededSince(term uint64) bool {
	return o.cfg.RulesSince > 0 && o.cfg.RulesSince <= term && term < o.cfg.Term
}

// versionsSound reports whether no version as high as that of the claim was known before the claim
// was sent. Otherwise the versions of the store have gone back, or one was too high, and when
// a version was known says nothing of when a record was written.
func (o *Orchestrator) versionsSound() bool {
	at, ok := o.cfg.KnownSince(o.cfg.Epoch)
	return !ok || !at.Before(o.cfg.ClaimSentAt)
}

// boundWorkerless bounds the wait for an agent that is connected and knows no worker: it alone renews the lease of
// its worker, and obeys no earlier owner any more. What its worker runs, if there is one, ends with the
// lease that an earlier process of the agent has renewed last.
func (o *Orchestrator) boundWorkerless(a *agent, snapshot *messenger.WorkerSnapshot) {
	if !a.hasUnknownRuns || snapshot.WorkerlessMs <= 0 || snapshot.Term != o.cfg.Term {
		return
	}
	workerless := estimator.MinWorkerElapsed(time.Duration(min(snapshot.WorkerlessMs, o.maxLeaseElapsed().Milliseconds())) * time.Millisecond)
	expiresAt := a.lastSnapshotAt.Add(o.maxLeaseElapsed() - workerless)
	if !expiresAt.Before(a.leaseExpiresAt) {
		return
	}
	o.cfg.Log.Info("wait for an agent without a worker bounded", zap.String("agent", a.id), zap.Duration("workerless", workerless), zap.Duration("lease", expiresAt.Sub(o.cfg.Now())),
		zap.Duration("lease_before", a.leaseExpiresAt.Sub(o.cfg.Now())))
	a.leaseExpiresAt = expiresAt
}
