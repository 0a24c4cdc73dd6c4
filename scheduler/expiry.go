package scheduler

import (
	"context"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/recorder"
)

// expireGrants ends the grants of lost agents, so that their tasks may run again.
func (sh *shard) expireGrants(ctx context.Context) {
	var expired []grantKey
	for id, r := range sh.rec.Runs() {
		for seq, g := range r.Grants {
			k := grantKey{id, seq}
			if !sh.grantExpired(k, g, r) {
				continue
			}
			expired = append(expired, k)
			sh.s.cfg.Log.Warn("grant lapsed", zap.String("run", id), zap.Uint64("seq", seq), zap.String("agent", g.Agent))
		}
	}
	if len(expired) == 0 {
		return
	}
	_ = sh.rec.Update(ctx, func(tx *recorder.Tx) error {
		changed := false
		for _, k := range expired {
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

// grantExpired reports whether the tasks of a grant may be granted to another
// agent because the holder is lost. Grants of idempotent jobs expire up to half a
// lease before their deadline, all others only after the last deadline that any
// owner may have set, plus the margin.
func (sh *shard) grantExpired(k grantKey, g *recorder.Grant, r *recorder.Run) bool {
	now := sh.s.cfg.Now()
	link, connected := sh.s.cfg.AgentLink(g.Agent)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if connected && link.Incarnation == sh.tracker.holder(k, g).incarnation {
		return false
	}
	if r.Spec.Idempotent {
		// Running an idempotent task twice does no harm, so only the deadline
		// set by this owner counts, less half a lease, and at the earliest
		// half a lease after the claim.
		return now.After(sh.tracker.deadlines[sh.tracker.holder(k, g)].Add(-sh.s.cfg.Lease/2)) && now.After(sh.claimedAt.Add(sh.s.cfg.Lease/2))
	}
	expiry := sh.tracker.expiry(k, g).Add(sh.s.cfg.Margin)
	if r.LossIsFinal(g) {
		// The task may not run again, so expiring its grant early gains nothing,
		// while the agent may still return with its outcome or checkpoint.
		expiry = expiry.Add(sh.s.cfg.LostAgentGrace)
	}
	return now.After(expiry)
}

// endRuns fails runs whose deadline has passed and runs whose tasks fail at every
// agent that tried them.
func (sh *shard) endRuns(ctx context.Context) {
	// The lower bound ensures that no run fails before its deadline has passed.
	earliest := sh.s.cfg.EarliestPlatformTime(sh.s.cfg.Now())
	reasons := map[string]string{}
	for id, r := range sh.rec.Runs() {
		switch {
		case r.State != recorder.Running:
		case earliest.After(r.Deadline):
			reasons[id] = "deadline has passed"
		case r.FailsEverywhere():
			reasons[id] = "fails at every worker that tried it"
		}
	}
	if len(reasons) == 0 {
		return
	}
	_ = sh.rec.Update(ctx, func(tx *recorder.Tx) error {
		for id, reason := range reasons {
			if r := tx.Run(id); r != nil {
				r.End(recorder.Failed, reason, tx.Now)
			}
		}
		return nil
	})
}
