package orchestrator

import (
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/storer"
)

// rejectedWriteDelay is how long a job waits after the ledger has rejected a write of it alone: the same again
// would most likely be rejected, too.
const rejectedWriteDelay = 5 * time.Second

// resolveConflict adopts the state in the ledger of the keys of a batch that was refused. A conflict
// means that the reply to an earlier attempt was lost, or that an agent has closed its own
// registration as it ended. Where an earlier attempt has taken effect, only registrations may have changed
// since: the owner alone writes the other keys. The next snapshot or tick updates the registration of an
// agent.
func (o *Orchestrator) resolveConflict(b *batch, conflict *storer.ConflictError) {
	final := conflict.Final(b.transaction)
	for _, a := range b.agents() {
		o.loadRegistration(a, conflict.Item(registrar.Key(a.id)), final)
	}
	version, applied := b.appliedVersion(conflict)
	o.cfg.Log.Info("ledger versions differ", zap.Int("jobs", len(b.jobs)), zap.Int("agents", len(b.agents())), zap.Bool("final", final), zap.Bool("applied", applied))
	if applied {
		o.handleRosterWritten(b, version)
		o.handleProgressWritten(b, version)
		return
	}
	if b.hasRoster {
		o.rosterVersion = conflict.Item(rosterKey).Version
	}
	for _, write := range b.jobs {
		write.job.ProgressVersion = conflict.Item(ProgressKey(write.job.Spec.ID)).Version
	}
	o.writeAgain(b)
}

// handleRejection keeps what was last known of the keys of a batch that the ledger rejected, though an
// earlier attempt without a reply may take effect: the next write meets it then. One job whose progress is
// rejected must not hold up the others, so that each is written apart from now on.
func (o *Orchestrator) handleRejection(b *batch) {
	for _, a := range b.agents() {
		a.registration.SetInDoubt(a.registration.Version(), a.registration.Record())
	}
	for _, write := range b.jobs {
		if write.job.apart { // nothing else was in the batch
			write.job.writeFrom, o.heldWrites[write.job] = o.cfg.Now().Add(rejectedWriteDelay), true
			o.cfg.Count(meter.RejectedJobs)
			o.cfg.Log.Error("ledger takes no progress of a job", zap.String("job", write.job.Spec.ID), zap.Time("again", write.job.writeFrom))
		}
		write.job.apart = true
	}
	o.writeAgain(b)
}

// releaseHeldWrites queues the progress of jobs that have waited after a rejected write.
func (o *Orchestrator) releaseHeldWrites(now time.Time) {
	for j := range o.heldWrites {
		if !now.Before(j.writeFrom) {
			delete(o.heldWrites, j)
			o.markDirty(j)
		}
	}
}

// writeAgain queues the roster and the progress of a batch that did not take effect.
func (o *Orchestrator) writeAgain(b *batch) {
	if b.hasRoster {
		o.rosterDueAt = o.cfg.Now().Add(rosterInterval)
	}
	for _, write := range b.jobs {
		write.job.endWriting = false
		if write.job.cancelWaiting {
			write.job.cancelWaiting = false
			o.cancelJob(write.job.Spec.ID)
		}
		o.markDirty(write.job)
		for _, r := range write.job.liveRuns {
			if o.granting[r] && write.job.dirty { // its start waits for the write
				write.job.grantDue, o.progressDue = true, o.cfg.Now()
			}
		}
	}
}
