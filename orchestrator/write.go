package orchestrator

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/storer"
	"github.com/endivefall/endivefall/waiter"
)

// maxBatchKeys limits the keys in one transaction: each key takes a check and a
// write or deletion, and the owner's key takes a check.
const maxBatchKeys = (storer.MaxTransactionOps - 1) / 2

// maxBatchBytes is the size of the progress in one transaction from which no more is added to it: as much as
// one value may have.
const maxBatchBytes = storer.MaxValueBytes

// flush commits pending changes, one transaction at a time.
func (o *Orchestrator) flush(ctx context.Context) {
	if o.writing || !o.loaded || !o.writeDue() {
		return
	}
	b := o.nextBatch()
	if b.keyCount() == 0 {
		return
	}
	o.commitAsync(ctx, b)
}

// writeDue reports whether there are changes that are to be written now.
func (o *Orchestrator) writeDue() bool {
	if len(o.dirtyJobs) > 0 && !o.cfg.Now().Before(o.progressDue) || o.rosterDue() {
		return true
	}
	for _, a := range o.agents {
		if a.registration.Wanted() != registrar.None {
			return true
		}
	}
	return false
}

// commitAsync commits a batch in the background. Only one commit is in flight.
func (o *Orchestrator) commitAsync(ctx context.Context, b *batch) {
	o.writing = true
	o.background.Go(func() {
		version, err := o.commit(ctx, &b.transaction)
		o.enqueue(func() {
			o.writing = false
			o.handleCommit(b, version, err)
		})
	})
}

// nextBatch collects pending registrations and job progress, up to the size of a
// transaction.
func (o *Orchestrator) nextBatch() *batch {
	b := &batch{transaction: storer.Transaction{Checks: []storer.Check{{Key: o.cfg.OwnerKey, Version: o.cfg.Epoch}}}}
	add := func(key string, version uint64, value []byte) {
		b.transaction.Checks = append(b.transaction.Checks, storer.Check{Key: key, Version: version})
		b.transaction.Writes = append(b.transaction.Writes, storer.Write{Key: key, Value: value})
	}
	if !o.rosterDueAt.IsZero() {
		agents, value := o.nextRoster()
		o.rosterDueAt, b.hasRoster, b.rosterAgents = time.Time{}, true, agents
		add(rosterKey, o.rosterVersion, value)
	}
	for _, a := range o.agents {
		if b.keyCount() == maxBatchKeys {
			break
		}
		r := registrar.Registration{}
		switch a.registration.Wanted() {
		case registrar.Open:
			r = registrar.Registration{Open: true, Incarnation: a.incarnation}
			b.openedAgents = append(b.openedAgents, a)
		case registrar.Close:
			r = o.closedRegistration(a)
			b.closedAgents = append(b.closedAgents, a)
		default:
			continue // removals go last, as starts and leases wait for the others
		}
		a.registration.Send(r)
		add(registrar.Key(a.id), a.registration.Version(), r.Encode())
	}
	for _, a := range o.agents {
		if a.registration.Wanted() == registrar.Remove && b.keyCount() < maxBatchKeys {
			a.registration.Send(registrar.Registration{})
			b.removedAgents = append(b.removedAgents, a)
			b.transaction.Checks = append(b.transaction.Checks, storer.Check{Key: registrar.Key(a.id), Version: a.registration.Version()})
			b.transaction.Deletes = append(b.transaction.Deletes, registrar.Key(a.id))
		}
	}
	o.putGrantsFirst()
	size := 0
	for n := 0; n < len(o.dirtyJobs) && b.keyCount() < maxBatchKeys && size < maxBatchBytes; {
		j := o.dirtyJobs[n]
		if j.apart && b.keyCount() > 0 {
			n++
			continue
		}
		o.dirtyJobs = slices.Delete(o.dirtyJobs, n, n+1)
		j.dirty, j.grantDue = false, false
		p := j.Progress()
		value, omitted, err := p.EncodeWithin(storer.MaxValueBytes)
		if err != nil {
			o.cfg.Log.Error("encoding progress failed", zap.String("job", j.Spec.ID), zap.Error(err))
			continue
		}
		if omitted > 0 {
			o.cfg.Count(meter.OmittedCheckpoints)
			o.cfg.Log.Warn("progress has no room for all checkpoints", zap.String("job", j.Spec.ID), zap.Int("omitted", omitted), zap.Int("bytes", len(value)))
		}
		j.endWriting = p.State.Final()
		b.jobs = append(b.jobs, jobWrite{j, j.revision, p.State})
		add(ProgressKey(j.Spec.ID), j.ProgressVersion, value)
		size += len(value)
		if j.apart {
			break
		}
	}
	return b
}

// commit retries a transaction until its outcome is known. The checks keep a
// repeated or delayed transaction from taking effect twice.
func (o *Orchestrator) commit(ctx context.Context, transaction *storer.Transaction) (uint64, error) {
	for {
		sent := o.cfg.Now()
		version, err := o.commitOnce(ctx, transaction)
		o.cfg.ObserveDuration(meter.LedgerWrites, o.cfg.Now().Sub(sent))
		if err == nil || ctx.Err() != nil || !errors.Is(err, storer.ErrUnavailable) && !errors.Is(err, storer.ErrUnknownOutcome) {
			return version, err
		}
		o.cfg.Log.Warn("ledger write failed; retrying", zap.Int("keys", len(transaction.Writes)), zap.Error(err))
		waiter.Sleep(ctx, storeRetryDelay)
	}
}

// commitOnce tries a transaction. One that took effect in an earlier attempt is a
// success only while this process is the owner: a later one may have changed the keys since.
func (o *Orchestrator) commitOnce(ctx context.Context, transaction *storer.Transaction) (uint64, error) {
	version, err := o.cfg.Store.Commit(ctx, *transaction)
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) && conflict.Item(o.cfg.OwnerKey).Version == o.cfg.Epoch && conflict.AlreadyApplied(*transaction) {
		return conflict.AppliedVersion(*transaction), nil
	}
	return version, err
}

// handleCommit processes the outcome of a transaction.
func (o *Orchestrator) handleCommit(b *batch, version uint64, err error) {
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		if conflict.Item(o.cfg.OwnerKey).Version != o.cfg.Epoch {
			o.stopReason = ErrOwnershipLost
			return
		}
		o.resolveConflict(b, conflict)
		return
	}
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			o.cfg.Log.Error("ledger rejected a write", zap.Int("keys", b.keyCount()), zap.Error(err))
			o.handleRejection(b)
		}
		return
	}
	o.handleRosterWritten(b, version)
	for _, a := range b.openedAgents {
		a.registration.Committed(version)
		o.planDue = true
		o.cfg.Log.Info("agent registered", zap.String("agent", a.id))
		if a.snapshot != nil {
			o.ackSnapshot(a) // it starts nothing without a lease
		}
	}
	for _, a := range b.closedAgents {
		a.registration.Committed(version)
		o.cfg.Log.Info("agent registration closed", zap.String("agent", a.id), zap.Int("runs", len(a.runs)), zap.Int("ends", len(a.pendingEnds)))
		o.letLeave(a)
	}
	for _, a := range b.removedAgents {
		a.registration.Committed(version)
		o.cfg.Log.Info("agent registration removed", zap.String("agent", a.id))
		o.letLeave(a)
		if a.link == nil {
			delete(o.agents, a.id)
		}
	}
	o.handleProgressWritten(b, version)
	for _, j := range b.deletedJobs {
		delete(o.jobs, j.Spec.ID)
		o.forgetLoads(j)
	}
}

// handleProgressWritten processes that the progress of jobs is in the ledger.
func (o *Orchestrator) handleProgressWritten(b *batch, version uint64) {
	now := o.cfg.Now()
	for _, write := range b.jobs {
		write.job.endWriting, write.job.cancelWaiting = false, false
		write.job.apart = false
		write.job.ProgressVersion, write.job.durableRevision = version, max(write.job.durableRevision, write.revision)
		o.startGranted(write.job)
		if write.state.Final() && !write.job.DurableState.Final() {
			write.job.DurableState, write.job.endedAt = write.state, now
			delete(o.openJobs, write.job.Spec.ID)
			o.forgetPolicy(write.job)
			o.cfg.Log.Info("job ended", zap.String("job", write.job.Spec.ID), zap.String("state", string(write.state)), zap.Duration("age", o.cfg.WallClock().Sub(write.job.Spec.AcceptedAt)))
			o.cfg.ObserveDuration(meter.JobTimes, o.cfg.WallClock().Sub(write.job.Spec.AcceptedAt))
			o.cfg.Count(meter.JobEnds.Of(string(write.state)))
		}
	}
	o.ackDurableEnds()
}

// letLeave acknowledges the snapshot of an agent that waits to end.
func (o *Orchestrator) letLeave(a *agent) {
	if a.snapshot != nil && a.snapshot.Leaving {
		o.ackSnapshot(a)
	}
}

// deleteExpiredJobs deletes jobs that ended longer than JobRetention ago.
func (o *Orchestrator) deleteExpiredJobs(ctx context.Context, now time.Time) {
	if o.writing {
		return
	}
	b := &batch{transaction: storer.Transaction{Checks: []storer.Check{{Key: o.cfg.OwnerKey, Version: o.cfg.Epoch}}}}
	for id, j := range o.jobs {
		if !j.Ended() || len(j.liveRuns) > 0 || j.endedAt.IsZero() || now.Sub(j.endedAt) < o.cfg.JobRetention {
			if j.Ended() && j.endedAt.IsZero() {
				j.endedAt = now
			}
			if j.DurableState.Final() && len(j.liveRuns) == 0 {
				j.Spec.Shrink()
			}
			continue
		}
		b.transaction.Deletes = append(b.transaction.Deletes, JobKey(id), CancelKey(id), ProgressKey(id))
		b.deletedJobs = append(b.deletedJobs, j)
		if len(b.transaction.Deletes) > storer.MaxTransactionOps-4 {
			break
		}
	}
	if len(b.deletedJobs) == 0 {
		return
	}
	o.commitAsync(ctx, b)
}
