package scheduler

import (
	"context"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/placer"
	"github.com/endivefall/endivefall/recorder"
)

// planned is a grant that is to be made durable and then sent.
type planned struct {
	run    string
	need   parser.Resources // as corrected
	grant  recorder.Grant
	choice placer.Choice
	seq    uint64
	made   bool
	spec   parser.Job
	points map[int]string
}

// grant plans a round of grants, makes it durable, and sends it.
func (sh *shard) grant(ctx context.Context) {
	sh.mu.Lock()
	released := sh.released
	sh.mu.Unlock()
	if _, ok := sh.deadline(sh.s.cfg.Now()); !ok || released {
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
			p.points = points(r, p.grant.From, p.grant.To)
			p.seq, p.made = r.AddGrant(p.grant)
		}
		return nil
	})
	for _, p := range round {
		switch {
		case err != nil || !p.made:
			sh.s.cfg.Placer.Release(p.grant.Agent, p.need)
		case !sh.send(p):
			sh.close(ctx, p.grant.Agent, p.run, p.seq)
		}
	}
	if err == nil && len(round) == maxGrants {
		sh.nudge()
	}
}

func points(r *recorder.Run, from, to int) map[int]string {
	var some map[int]string
	for i, p := range r.Checkpoints {
		if i >= from && i < to {
			if some == nil {
				some = map[int]string{}
			}
			some[i] = p
		}
	}
	return some
}

// send sends a durable grant. It returns false if the grant was surely not
// sent: its agent has gone, or the commit took so long that the hold in the
// store has passed.
func (sh *shard) send(p *planned) bool {
	now := sh.s.cfg.Now()
	agent := p.grant.Agent
	link, ok := sh.s.cfg.AgentLink(agent)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	local, able := sh.deadline(now)
	if sh.released || !able || !ok || link.Incarnation != p.grant.Incarnation {
		return false
	}
	k := grantKey{p.run, p.seq}
	sh.track.sent[k] = sh.track.next()
	sh.since[k] = now
	sh.track.give(process{agent, link.Incarnation}, local)
	_ = link.Post(messenger.Frame{Kind: messenger.KindGrant, Grant: &messenger.Grant{
		Shard: sh.n, Epoch: p.grant.Epoch, Run: p.run, Seq: p.seq, From: p.grant.From, To: p.grant.To,
		ExpiresAt: link.RemoteDeadline(now, local), Need: p.need, Payload: p.spec.Payload, Checkpoints: p.points,
		Checkpointable: p.spec.Checkpoint, Idempotent: p.spec.Idempotent, Urgent: p.spec.Urgent,
	}})
	sh.s.cfg.Log.Info("task placed", zap.String("run", p.run), zap.Uint64("seq", p.seq), zap.String("agent", agent),
		zap.Int("from", p.grant.From), zap.Int("to", p.grant.To),
		zap.String("reason", p.choice.Reason), zap.Float64("score", p.choice.Score), zap.Int("others", len(p.choice.Alternatives)))
	return true
}
