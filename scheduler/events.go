package scheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/recorder"
)

// maxReports bounds the reports in one change, so that a burst becomes one
// commit.
const maxReports = 1024

// gather takes a report and all others that are waiting, makes them durable
// together, and answers each.
func (sh *shard) gather(ctx context.Context, first event) {
	batch := []event{first}
	var after *event
	for after == nil && len(batch) < maxReports {
		select {
		case e := <-sh.events:
			if e.kind != reported {
				after = &e
				continue
			}
			batch = append(batch, e)
			continue
		default:
		}
		break
	}
	// The order of reports does not matter: each outcome counts once.
	sh.write(func() { sh.settle(ctx, batch) })
	if after != nil {
		sh.handle(ctx, *after)
	}
}

func (sh *shard) settle(ctx context.Context, batch []event) {
	now := sh.s.cfg.Now()
	for _, e := range batch {
		sh.learn(e, now)
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
		return // the agents repeat their reports, here or to the next owner
	}
	for _, e := range batch {
		if p, ok := sh.s.cfg.AgentLink(e.agent); ok {
			rep := *e.report
			rep.Outcomes = append([]messenger.Outcome(nil), rep.Outcomes...)
			for i := range rep.Outcomes {
				rep.Outcomes[i] = messenger.Outcome{Index: rep.Outcomes[i].Index}
			}
			_ = p.Post(messenger.Frame{Kind: messenger.KindReportAck, Report: &rep})
		}
	}
	sh.nudge()
}

// pacing is the weight of one grant in the mean time of a task.
const pacing = 0.3

// learn takes the pace of a run and the health of a worker from a report.
func (sh *shard) learn(e event, now time.Time) {
	for _, o := range e.report.Outcomes {
		sh.s.sizer.Observe(kindOf(e.report.Run), o.Peak)
		failed := o.Status == messenger.AttemptFailed
		if o.Status != messenger.AttemptFinished && !failed {
			continue
		}
		if sh.s.cfg.Placer.RecordResult(e.agent, e.report.Run, failed) {
			sh.s.cfg.Log.Warn("worker set aside: tasks of several runs fail there", zap.String("agent", e.agent))
		}
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	k := grantKey{e.report.Run, e.report.Seq}
	since, ok := sh.since[k]
	if !ok || len(e.report.Outcomes) == 0 {
		return
	}
	took := now.Sub(since) / time.Duration(len(e.report.Outcomes))
	sh.since[k] = now
	if old := sh.pace[k.run]; old > 0 {
		took = old + time.Duration(pacing*float64(took-old))
	}
	sh.pace[k.run] = took
}

// close ends a grant that was never started. Its agent's digest was wrong or
// is old, so the agent gets nothing before the next one.
func (sh *shard) close(ctx context.Context, agent, run string, seq uint64) {
	sh.s.cfg.Placer.MarkStale(agent)
	err := sh.rec.Update(ctx, func(tx *recorder.Tx) error {
		r := tx.Run(run)
		if r == nil || !r.ApplyOutcomes(seq, nil, true, tx.Now) {
			return recorder.ErrUnchanged
		}
		return nil
	})
	if err == nil {
		sh.nudge()
	}
}

// reconcile takes an agent's list of held grants. What the ledger has for that
// process and the agent does not hold was never started there; what the agent
// holds and the ledger has not is stopped.
func (sh *shard) reconcile(ctx context.Context, e event) {
	p, ok := sh.s.cfg.AgentLink(e.agent)
	if !ok || p.Incarnation != e.born {
		return
	}
	held := map[grantKey]bool{}
	for _, h := range e.held {
		held[grantKey{h.Run, h.Seq}] = true
	}
	for _, k := range sh.match(e, held) {
		sh.write(func() { sh.close(ctx, e.agent, k.run, k.seq) })
	}
	for k := range held {
		stale := &messenger.Grant{Shard: sh.n, Epoch: sh.rec.Epoch(), Run: k.run, Seq: k.seq}
		_ = p.Post(messenger.Frame{Kind: messenger.KindRevoke, Grant: stale})
	}
}

// match confirms the agent's process, returns the grants that it never
// started, and leaves in held those that the ledger does not have.
func (sh *shard) match(e event, held map[grantKey]bool) []grantKey {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.released {
		clear(held)
		return nil
	}
	sh.track.take(process{e.agent, e.born}, sh.s.cfg.Now(), sh.s.cfg.Lease)
	var unsent []grantKey
	for id, r := range sh.rec.Runs() {
		for seq, g := range r.Grants {
			k := grantKey{id, seq}
			switch {
			case g.Agent != e.agent:
			case held[k]:
				delete(held, k)
				sh.track.adopted[k] = e.born
			case sh.track.unsent(k, g, e.born, e.order):
				unsent = append(unsent, k)
			}
		}
	}
	return unsent
}
