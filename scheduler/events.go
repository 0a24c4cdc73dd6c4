package scheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/recorder"
)

// maxReportsPerCommit bounds the reports in one change. Batching turns a burst
// of reports into one commit.
const maxReportsPerCommit = 1024

// collectReports batches a report with the reports queued behind it and applies
// them in one change. It stops at the first event of another kind, which it
// handles next.
func (sh *shard) collectReports(ctx context.Context, first event) {
	batch := []event{first}
	var next *event
	for next == nil && len(batch) < maxReportsPerCommit {
		select {
		case e := <-sh.events:
			if e.kind != reportReceived {
				next = &e
				continue
			}
			batch = append(batch, e)
			continue
		default:
		}
		break
	}
	// Reports may be applied in any order: each outcome counts once.
	sh.writeAsync(func() { sh.applyReports(ctx, batch) })
	if next != nil {
		sh.handle(ctx, *next)
	}
}

// applyReports writes a batch of reports to the ledger and acknowledges each of
// them once the change is durable.
func (sh *shard) applyReports(ctx context.Context, batch []event) {
	now := sh.s.cfg.Now()
	for _, e := range batch {
		sh.observeReport(e, now)
	}
	err := sh.rec.Update(ctx, func(tx *recorder.Tx) error {
		changed := false
		for _, e := range batch {
			r := tx.Run(e.report.Run)
			if r != nil && r.ApplyOutcomes(e.report.Seq, e.report.Outcomes, e.report.Closed, tx.Now) {
				changed = true
			}
		}
		if !changed {
			return recorder.ErrUnchanged
		}
		return nil
	})
	if err != nil {
		return // agents repeat unacknowledged reports, to this owner or the next
	}
	for _, e := range batch {
		if link, ok := sh.s.cfg.AgentLink(e.agent); ok {
			ack := *e.report
			ack.Outcomes = append([]messenger.Outcome(nil), ack.Outcomes...)
			for i := range ack.Outcomes {
				ack.Outcomes[i] = messenger.Outcome{Index: ack.Outcomes[i].Index}
			}
			_ = link.TrySend(messenger.Frame{Kind: messenger.KindReportAck, Report: &ack})
		}
	}
	sh.wakePlanner()
}

// taskTimeWeight is the weight of one report in the moving average of the time
// per task.
const taskTimeWeight = 0.3

// observeReport updates the mean task time of a run, the measured size of its
// tasks and the failure record of the worker.
func (sh *shard) observeReport(e event, now time.Time) {
	for _, o := range e.report.Outcomes {
		sh.s.sizer.Observe(jobOf(e.report.Run), o.Peak)
		failed := o.Status == messenger.AttemptFailed
		if o.Status != messenger.AttemptFinished && !failed {
			continue
		}
		if sh.s.cfg.Placer.RecordResult(e.agent, e.report.Run, failed) {
			sh.s.cfg.Log.Warn("worker excluded: tasks of several runs fail there", zap.String("agent", e.agent))
		}
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	k := grantKey{e.report.Run, e.report.Seq}
	last, ok := sh.lastProgress[k]
	if !ok || len(e.report.Outcomes) == 0 {
		return
	}
	taskTime := now.Sub(last) / time.Duration(len(e.report.Outcomes))
	sh.lastProgress[k] = now
	if mean := sh.meanTaskTime[k.run]; mean > 0 {
		taskTime = mean + time.Duration(taskTimeWeight*float64(taskTime-mean))
	}
	sh.meanTaskTime[k.run] = taskTime
}

// closeUnstarted closes a grant that its agent never started. The agent's free
// resources as known here were wrong or outdated, so it gets no further grants
// before its next heartbeat.
func (sh *shard) closeUnstarted(ctx context.Context, agent, run string, seq uint64) {
	sh.s.cfg.Placer.MarkStale(agent)
	err := sh.rec.Update(ctx, func(tx *recorder.Tx) error {
		r := tx.Run(run)
		if r == nil || !r.ApplyOutcomes(seq, nil, true, tx.Now) {
			return recorder.ErrUnchanged
		}
		return nil
	})
	if err == nil {
		sh.wakePlanner()
	}
}

// reconcile compares an agent's inventory with the ledger. Grants that the agent
// never started are closed, and grants that the ledger does not have are revoked.
func (sh *shard) reconcile(ctx context.Context, e event) {
	link, ok := sh.s.cfg.AgentLink(e.agent)
	if !ok || link.Incarnation != e.incarnation {
		return
	}
	held := map[grantKey]bool{}
	for _, h := range e.grants {
		held[grantKey{h.Run, h.Seq}] = true
	}
	for _, k := range sh.matchInventory(e, held) {
		sh.writeAsync(func() { sh.closeUnstarted(ctx, e.agent, k.run, k.seq) })
	}
	for k := range held {
		revoke := &messenger.Grant{Shard: sh.n, Epoch: sh.rec.Epoch(), Run: k.run, Seq: k.seq}
		_ = link.TrySend(messenger.Frame{Kind: messenger.KindRevoke, Grant: revoke})
	}
}

// matchInventory confirms the agent's process and returns the grants that it
// never started. It leaves in held only grants to revoke: those that the ledger
// does not have for this agent, or none once the shard is released.
func (sh *shard) matchInventory(e event, held map[grantKey]bool) []grantKey {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.released {
		clear(held)
		return nil
	}
	sh.tracker.acceptEpoch(agentProcess{e.agent, e.incarnation}, sh.s.cfg.Now(), sh.s.cfg.Lease)
	var unstarted []grantKey
	for id, r := range sh.rec.Runs() {
		for seq, g := range r.Grants {
			k := grantKey{id, seq}
			switch {
			case g.Agent != e.agent:
			case held[k]:
				delete(held, k)
				sh.tracker.adoptedBy[k] = e.incarnation
			case sh.tracker.neverStarted(k, g, e.incarnation, e.inventorySeq):
				unstarted = append(unstarted, k)
			}
		}
	}
	return unstarted
}
