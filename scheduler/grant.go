package scheduler

import (
	"context"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/placer"
	"github.com/endivefall/endivefall/recorder"
)

// plannedGrant is a grant to commit and then send.
type plannedGrant struct {
	run         string
	need        parser.Resources // as corrected by the sizer
	grant       recorder.Grant
	choice      placer.Choice
	seq         uint64
	added       bool // whether the run accepted the grant
	spec        parser.Job
	checkpoints map[int]string
}

// grantTasks plans a round of grants, commits it and then sends it.
func (sh *shard) grantTasks(ctx context.Context) {
	sh.mu.Lock()
	released := sh.released
	sh.mu.Unlock()
	if _, ok := sh.grantDeadline(sh.s.cfg.Now()); !ok || released {
		return
	}
	round := sh.plan()
	if len(round) == 0 {
		return
	}
	err := sh.rec.Update(ctx, func(tx *recorder.Tx) error {
		for _, p := range round {
			r := tx.Run(p.run)
			if r == nil {
				continue
			}
			p.checkpoints = checkpointsIn(r, p.grant.From, p.grant.To)
			p.seq, p.added = r.AddGrant(p.grant)
		}
		return nil
	})
	for _, p := range round {
		switch {
		case err != nil || !p.added:
			sh.s.cfg.Placer.Release(p.grant.Agent, p.need)
		case !sh.sendGrant(p):
			sh.closeUnstarted(ctx, p.grant.Agent, p.run, p.seq)
		}
	}
	if err == nil && len(round) == maxGrantsPerCommit {
		sh.wakePlanner()
	}
}

// checkpointsIn returns the checkpoints of the tasks with indexes in [from, to),
// or nil if there are none.
func checkpointsIn(r *recorder.Run, from, to int) map[int]string {
	var checkpoints map[int]string
	for i, p := range r.Checkpoints {
		if i >= from && i < to {
			if checkpoints == nil {
				checkpoints = map[int]string{}
			}
			checkpoints[i] = p
		}
	}
	return checkpoints
}

// sendGrant sends a committed grant. It returns false if the grant was certainly
// not sent: the shard was released, the agent disconnected or restarted, or the
// commit took so long that the ownership of the shard has expired.
func (sh *shard) sendGrant(p *plannedGrant) bool {
	now := sh.s.cfg.Now()
	agent := p.grant.Agent
	link, ok := sh.s.cfg.AgentLink(agent)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	deadline, valid := sh.grantDeadline(now)
	if sh.released || !valid || !ok || link.Incarnation != p.grant.Incarnation {
		return false
	}
	k := grantKey{p.run, p.seq}
	sh.tracker.sentSeq[k] = sh.tracker.nextSeq()
	sh.lastProgress[k] = now
	sh.tracker.extend(agentProcess{agent, link.Incarnation}, deadline)
	_ = link.TrySend(messenger.Frame{Kind: messenger.KindGrant, Grant: &messenger.Grant{
		Shard: sh.n, Epoch: p.grant.Epoch, Run: p.run, Seq: p.seq, From: p.grant.From, To: p.grant.To,
		ExpiresAt: link.RemoteDeadline(now, deadline), Need: p.need, Payload: p.spec.Payload, Checkpoints: p.checkpoints,
		Checkpointable: p.spec.Checkpoint, Idempotent: p.spec.Idempotent, Urgent: p.spec.Urgent,
	}})
	sh.s.cfg.Log.Info("task placed", zap.String("run", p.run), zap.Uint64("seq", p.seq), zap.String("agent", agent),
		zap.Int("from", p.grant.From), zap.Int("to", p.grant.To),
		zap.String("reason", p.choice.Reason), zap.Float64("score", p.choice.Score), zap.Int("others", len(p.choice.Alternatives)))
	return true
}
