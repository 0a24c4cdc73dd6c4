package scheduler

import (
	"context"
	"maps"
	"time"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/recorder"
	"github.com/endivefall/endivefall/waiter"
)

// agentLoop requests inventories from agents and revokes grants. It never waits
// for the store.
func (sh *shard) agentLoop(ctx context.Context) {
	waiter.Every(ctx, tickInterval, func() {
		sh.requestInventories()
		sh.revokeEnded()
		sh.prune()
	})
}

// prune drops the state of grants and runs that are no longer in the ledger, once
// there is enough of it to be worth the scan.
func (sh *shard) prune() {
	runs := sh.rec.Runs()
	live := func(k grantKey) bool { return runs[k.run] != nil && runs[k.run].Grants[k.seq] != nil }
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if len(sh.lastProgress) < 2*maxGrantsPerCommit {
		return
	}
	sh.tracker.prune(live)
	maps.DeleteFunc(sh.lastProgress, func(k grantKey, _ time.Time) bool { return !live(k) })
	maps.DeleteFunc(sh.revokeSentAt, func(k grantKey, _ time.Time) bool { return !live(k) })
	maps.DeleteFunc(sh.meanTaskTime, func(run string, _ time.Duration) bool { return runs[run] == nil })
	maps.DeleteFunc(sh.lastPlacement, func(run string, _ Placement) bool { return runs[run] == nil })
}

// agentsWithGrants returns the agents with live grants in the ledger.
func (sh *shard) agentsWithGrants() map[string]bool {
	agents := map[string]bool{}
	for _, r := range sh.rec.Runs() {
		for _, g := range r.Grants {
			agents[g.Agent] = true
		}
	}
	return agents
}

// requestInventories sends an inventory request to each connected agent with
// grants in the ledger, or that holds grants of the shard by its own account:
// every inventoryRetryInterval until the agent has confirmed this epoch on its
// current connection, then every inventoryRefreshInterval.
func (sh *shard) requestInventories() {
	now := sh.s.cfg.Now()
	agents := sh.agentsWithGrants()
	sh.mu.Lock()
	maps.Copy(agents, sh.reportedHolders)
	clear(sh.reportedHolders)
	sh.mu.Unlock()
	for agent := range agents {
		link, ok := sh.s.cfg.AgentLink(agent)
		if !ok {
			continue
		}
		sh.mu.Lock()
		interval := inventoryRefreshInterval
		if sh.tracker.confirmed[agent] != link.Incarnation {
			interval = inventoryRetryInterval
		}
		if now.Sub(sh.inventoryRequestedAt[agent]) > interval {
			sh.inventoryRequestedAt[agent] = now
			request := &messenger.GrantInventory{Shard: sh.n, Epoch: sh.rec.Epoch(), Seq: sh.tracker.nextSeq()}
			_ = link.TrySend(messenger.Frame{Kind: messenger.KindInventoryRequest, Inventory: request})
		}
		sh.mu.Unlock()
	}
}

// noteHolder records that an agent holds grants of the shard by its own account.
func (sh *shard) noteHolder(agent string) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.reportedHolders[agent] = true
}

// revokeEnded revokes the grants of runs that have ended.
func (sh *shard) revokeEnded() {
	now := sh.s.cfg.Now()
	for id, r := range sh.rec.Runs() {
		if r.State == recorder.Running {
			continue
		}
		for seq, g := range r.Grants {
			sh.sendRevoke(id, seq, g, false, now)
		}
	}
}

// sendRevoke revokes a grant at its agent, at most once per revokeRetryInterval.
func (sh *shard) sendRevoke(run string, seq uint64, g *recorder.Grant, evict bool, now time.Time) {
	k := grantKey{run, seq}
	sh.mu.Lock()
	due := now.Sub(sh.revokeSentAt[k]) > revokeRetryInterval
	if due {
		sh.revokeSentAt[k] = now
	}
	sh.mu.Unlock()
	link, ok := sh.s.cfg.AgentLink(g.Agent)
	if !due || !ok {
		return
	}
	revoke := &messenger.Grant{Shard: sh.n, Epoch: sh.rec.Epoch(), Run: run, Seq: seq, Evict: evict}
	_ = link.TrySend(messenger.Frame{Kind: messenger.KindRevoke, Grant: revoke})
}
