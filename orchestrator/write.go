package orchestrator

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
	"github.com/endivefall/endivefall/waiter"
)

// maxKeys bounds the keys in one transaction: each takes a check and a write or
// removal, and the owner's key takes a check.
const maxKeys = (storer.MaxTransactionOps - 1) / 2

// batch is a transaction on its way.
type batch struct {
	change storer.Transaction
	jobs   []written
	// opened and sealed are agents whose keys are written.
	opened, sealed []*agent
	// struck are agents whose keys are removed.
	struck []*agent
	// forgotten are jobs whose keys are removed.
	forgotten []*job
}

// keys counts the keys that the batch writes or removes.
func (b *batch) keys() int { return len(b.change.Writes) + len(b.change.Deletes) }

// written is a job's progress as a batch has it.
type written struct {
	job     *job
	changes uint64
	state   sequencer.State
}

// flush sends what is to be written, one transaction at a time.
func (o *Orchestrator) flush(ctx context.Context) {
	if o.writing || !o.loaded {
		return
	}
	b := o.gather()
	if b.keys() == 0 {
		return
	}
	o.send(ctx, b)
}

// send commits a batch, of which only one is on its way.
func (o *Orchestrator) send(ctx context.Context, b *batch) {
	o.writing = true
	o.works.Go(func() {
		at, sent, err := o.commit(ctx, &b.change)
		o.hand(func() {
			o.writing = false
			o.committed(b, at, sent, err)
		})
	})
}

// gather takes agents to enroll and jobs to write, up to a transaction's size.
func (o *Orchestrator) gather() *batch {
	b := &batch{change: storer.Transaction{Checks: []storer.Check{{Key: o.cfg.OwnerKey, Version: o.cfg.Epoch}}}}
	add := func(key string, version uint64, value []byte) {
		b.change.Checks = append(b.change.Checks, storer.Check{Key: key, Version: version})
		b.change.Writes = append(b.change.Writes, storer.Write{Key: key, Value: value})
	}
	for _, a := range o.agents {
		if a.enrolling && b.keys() < maxKeys {
			a.enrolling, a.writing = false, true
			b.opened = append(b.opened, a)
			add(agentPrefix+a.id, a.kept, registration{Open: true}.encode())
		}
		if a.sealing && b.keys() < maxKeys {
			a.sealing, a.writing = false, true
			b.sealed = append(b.sealed, a)
			add(agentPrefix+a.id, a.kept, registration{Held: a.holds()}.encode())
		}
	}
	for _, a := range o.agents {
		if a.striking && b.keys() < maxKeys {
			a.striking, a.writing = false, true
			b.struck = append(b.struck, a)
			b.change.Checks = append(b.change.Checks, storer.Check{Key: agentPrefix + a.id, Version: a.kept})
			b.change.Deletes = append(b.change.Deletes, agentPrefix+a.id)
			a.kept, a.open = 0, false // no order and no lease goes there from now on
		}
	}
	for len(o.dirty) > 0 && b.keys() < maxKeys {
		j := o.dirty[0]
		o.dirty = o.dirty[1:]
		j.queued = false
		p := j.Progress()
		value, err := p.Encode()
		if err != nil {
			o.cfg.Log.Error("progress not encoded", zap.String("job", j.Spec.ID), zap.Error(err))
			continue
		}
		b.jobs = append(b.jobs, written{j, j.changes, p.State})
		add(ProgressKey(j.Spec.ID), j.ProgressVersion, value)
	}
	return b
}

// commit repeats a transaction until it is known what became of it. The
// conditions keep a repeated or late one from taking effect twice.
func (o *Orchestrator) commit(ctx context.Context, change *storer.Transaction) (uint64, time.Time, error) {
	for {
		sent := o.cfg.Now()
		at, err := o.cfg.Store.CommitIdempotent(ctx, *change)
		o.cfg.ObserveDuration("ledger_write", o.cfg.Now().Sub(sent))
		if err == nil || ctx.Err() != nil || !errors.Is(err, storer.ErrUnavailable) && !errors.Is(err, storer.ErrUnknownOutcome) {
			return at, sent, err
		}
		o.cfg.Log.Warn("ledger not written", zap.Int("keys", len(change.Writes)), zap.Error(err))
		waiter.Sleep(ctx, retryPause)
	}
}

// committed takes the outcome of a transaction.
func (o *Orchestrator) committed(b *batch, at uint64, sent time.Time, err error) {
	var clash *storer.ConflictError
	if errors.As(err, &clash) {
		if clash.Item(o.cfg.OwnerKey).Version != o.cfg.Epoch {
			o.ending = ErrOwnershipLost
			return
		}
		o.reconcile(b, clash)
		return
	}
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			o.cfg.Log.Error("ledger refuses a write", zap.Int("keys", b.keys()), zap.Error(err))
			o.reconcile(b, &storer.ConflictError{})
		}
		return
	}
	o.cfg.ConfirmOwnership(sent)
	for _, a := range b.opened {
		a.kept, a.writing, a.open = at, false, true
		o.plan = true
		o.cfg.Log.Info("agent enrolled", zap.String("agent", a.id))
	}
	for _, a := range b.sealed {
		a.kept, a.writing = at, false
		o.cfg.Log.Info("what a lost agent holds is in the ledger", zap.String("agent", a.id), zap.Int("runs", len(a.runs)), zap.Int("ends", len(a.ends)))
	}
	for _, a := range b.struck {
		a.writing = false
		o.cfg.Log.Info("agent struck", zap.String("agent", a.id))
		if a.link == nil {
			delete(o.agents, a.id)
		}
	}
	now := o.cfg.Now()
	for _, w := range b.jobs {
		w.job.ProgressVersion, w.job.written = at, max(w.job.written, w.changes)
		if w.state.Final() && !w.job.DurableState.Final() {
			w.job.DurableState, w.job.over = w.state, now
			delete(o.open, w.job.Spec.ID)
			o.forgetAdvice(w.job)
			o.cfg.Log.Info("job over", zap.String("job", w.job.Spec.ID), zap.String("state", string(w.state)), zap.Duration("age", o.cfg.WallClock().Sub(w.job.Spec.AcceptedAt)))
			o.cfg.ObserveDuration("job", o.cfg.WallClock().Sub(w.job.Spec.AcceptedAt))
			o.cfg.Count("job_" + string(w.state))
		}
	}
	for _, j := range b.forgotten {
		delete(o.jobs, j.Spec.ID)
		o.forgetLoads(j)
	}
	o.tell()
}

// reconcile takes the versions that the ledger has for keys that differ from
// what was expected, and writes again. Only this owner writes them, so a
// difference is an answer that was lost.
func (o *Orchestrator) reconcile(b *batch, clash *storer.ConflictError) {
	for _, a := range slices.Concat(b.opened, b.sealed, b.struck) {
		a.writing, a.open, a.kept = false, false, clash.Item(agentPrefix+a.id).Version
	}
	for _, w := range b.jobs {
		w.job.ProgressVersion = clash.Item(ProgressKey(w.job.Spec.ID)).Version
		o.changed(w.job)
	}
	o.cfg.Log.Info("ledger differs; writing again", zap.Int("jobs", len(b.jobs)), zap.Int("agents", len(b.opened)+len(b.sealed)+len(b.struck)))
}

// sweep removes jobs whose state was kept long enough.
func (o *Orchestrator) sweep(ctx context.Context, now time.Time) {
	if o.writing {
		return
	}
	b := &batch{change: storer.Transaction{Checks: []storer.Check{{Key: o.cfg.OwnerKey, Version: o.cfg.Epoch}}}}
	for id, j := range o.jobs {
		if !j.Ended() || len(j.live) > 0 || j.over.IsZero() || now.Sub(j.over) < o.cfg.JobRetention {
			if j.Ended() && j.over.IsZero() {
				j.over = now
			}
			continue
		}
		b.change.Deletes = append(b.change.Deletes, JobKey(id), CancelKey(id), ProgressKey(id))
		b.forgotten = append(b.forgotten, j)
		if len(b.change.Deletes) > storer.MaxTransactionOps-4 {
			break
		}
	}
	if len(b.forgotten) == 0 {
		return
	}
	o.send(ctx, b)
}
