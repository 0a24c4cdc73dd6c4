package scheduler

import (
	"context"
	"maps"
	"time"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/recorder"
	"github.com/endivefall/endivefall/waiter"
)

// askLoop surveys and stops agents. It never waits for the store.
func (sh *shard) askLoop(ctx context.Context) {
	waiter.Every(ctx, tick, func() {
		sh.survey()
		sh.revoke()
		sh.forget()
	})
}

// forget drops what is known of grants and runs that are gone.
func (sh *shard) forget() {
	runs := sh.rec.Runs()
	live := func(k grantKey) bool { return runs[k.run] != nil && runs[k.run].Grants[k.seq] != nil }
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if len(sh.since) < 2*maxGrants {
		return
	}
	sh.track.forget(live)
	maps.DeleteFunc(sh.since, func(k grantKey, _ time.Time) bool { return !live(k) })
	maps.DeleteFunc(sh.revoked, func(k grantKey, _ time.Time) bool { return !live(k) })
	maps.DeleteFunc(sh.pace, func(run string, _ time.Duration) bool { return runs[run] == nil })
	maps.DeleteFunc(sh.explained, func(run string, _ Placement) bool { return runs[run] == nil })
}

// holders returns the agents with live grants in the ledger.
func (sh *shard) holders() map[string]bool {
	agents := map[string]bool{}
	for _, r := range sh.rec.Runs() {
		for _, g := range r.Grants {
			agents[g.Agent] = true
		}
	}
	return agents
}

// survey asks agents that have grants in the ledger and have not taken this
// epoch on their present connection, and now and then the others.
func (sh *shard) survey() {
	now := sh.s.cfg.Now()
	for agent := range sh.holders() {
		p, ok := sh.s.cfg.AgentLink(agent)
		if !ok {
			continue
		}
		sh.mu.Lock()
		wait := recheck
		if sh.track.confirmed[agent] != p.Incarnation {
			wait = resurvey
		}
		if now.Sub(sh.asked[agent]) > wait {
			sh.asked[agent] = now
			ask := &messenger.GrantInventory{Shard: sh.n, Epoch: sh.rec.Epoch(), Seq: sh.track.next()}
			_ = p.Post(messenger.Frame{Kind: messenger.KindInventoryRequest, Inventory: ask})
		}
		sh.mu.Unlock()
	}
}

// revoke stops the grants of runs that have ended.
func (sh *shard) revoke() {
	now := sh.s.cfg.Now()
	for id, r := range sh.rec.Runs() {
		if r.State == recorder.Running {
			continue
		}
		for seq, g := range r.Grants {
			sh.tellStop(id, seq, g, false, now)
		}
	}
}

// tellStop sends a revoke, again after a while if the grant is still there.
func (sh *shard) tellStop(run string, seq uint64, g *recorder.Grant, evict bool, now time.Time) {
	k := grantKey{run, seq}
	sh.mu.Lock()
	due := now.Sub(sh.revoked[k]) > revokeAgain
	if due {
		sh.revoked[k] = now
	}
	sh.mu.Unlock()
	p, ok := sh.s.cfg.AgentLink(g.Agent)
	if !due || !ok {
		return
	}
	stop := &messenger.Grant{Shard: sh.n, Epoch: sh.rec.Epoch(), Run: run, Seq: seq, Evict: evict}
	_ = p.Post(messenger.Frame{Kind: messenger.KindRevoke, Grant: stop})
}
