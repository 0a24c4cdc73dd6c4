package scheduler

import (
	"context"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/recorder"
)

// lapse ends the grants of lost agents. Those of idempotent jobs may run again
// at once; all others only when their deadline has surely passed.
func (sh *shard) lapse(ctx context.Context) {
	var lost []grantKey
	for id, r := range sh.rec.Runs() {
		for seq, g := range r.Grants {
			k := grantKey{id, seq}
			if !sh.gone(k, g, r) {
				continue
			}
			lost = append(lost, k)
			sh.s.cfg.Log.Warn("grant lapsed", zap.String("run", id), zap.Uint64("seq", seq), zap.String("agent", g.Agent))
		}
	}
	if len(lost) == 0 {
		return
	}
	_ = sh.rec.Update(ctx, func(tx *recorder.Tx) error {
		changed := false
		for _, k := range lost {
			if r := tx.Run(k.run); r != nil && r.ExpireGrant(k.seq, tx.Now) {
				changed = true
			}
		}
		if !changed {
			return recorder.ErrUnchanged
		}
		return nil
	})
}

// gone says whether a grant may be given to another agent because its own is
// lost.
func (sh *shard) gone(k grantKey, g *recorder.Grant, r *recorder.Run) bool {
	now := sh.s.cfg.Now()
	p, connected := sh.s.cfg.AgentLink(g.Agent)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if connected && p.Incarnation == sh.track.holder(k, g).born {
		return false
	}
	if r.Spec.Idempotent {
		// Running such a task twice does no harm, so only the last deadline
		// that this owner gave counts, and not in full.
		return now.After(sh.track.reach[sh.track.holder(k, g)].Add(-sh.s.cfg.Lease/2)) && now.After(sh.born.Add(sh.s.cfg.Lease/2))
	}
	end := sh.track.end(k, g).Add(sh.s.cfg.Margin)
	if r.LossIsFinal(g) {
		// Nothing would be gained by giving the task up: it may not run again,
		// and its agent may yet return with its end or its checkpoint.
		end = end.Add(sh.s.cfg.LostAgentGrace)
	}
	return now.After(end)
}

// expire ends runs whose deadline has passed, and those that fail everywhere.
func (sh *shard) expire(ctx context.Context) {
	now := sh.s.cfg.EarliestPlatformTime(sh.s.cfg.Now())
	ends := map[string]string{}
	for id, r := range sh.rec.Runs() {
		switch {
		case r.State != recorder.Running:
		case now.After(r.Deadline):
			ends[id] = "deadline has passed"
		case r.FailsEverywhere():
			ends[id] = "fails at every worker that tried it"
		}
	}
	if len(ends) == 0 {
		return
	}
	_ = sh.rec.Update(ctx, func(tx *recorder.Tx) error {
		for id, reason := range ends {
			if r := tx.Run(id); r != nil {
				r.End(recorder.Failed, reason, tx.Now)
			}
		}
		return nil
	})
}
