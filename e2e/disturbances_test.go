package e2e

import (
	"context"
	"time"

	"github.com/endivefall/endivefall/elector"
)

// soakSettleTime is how long a fault acts on after its end: until the next heartbeat of a
// worker, an agent has left an owner that does not answer, and a list shows the runs.
const soakSettleTime = heartbeatInterval + 1200*time.Millisecond + 1200*time.Millisecond

// recordDisturbances tells the auditor which workers a stop may not reach in time: all while
// the store, the owner or the owner's links are faulty and while the owner changes, one
// while its agent, the links of its agent or its replies are.
func (p *poolWorld) recordDisturbances() {
	since, now := p.recordedAt, time.Now()
	p.recordedAt = now
	disturb := func(worker, why string) {
		if since.After(p.disturbedUntil[worker]) {
			p.logf("disturbed: %s %s", why, worker)
		}
		p.disturbedUntil[worker] = now.Add(soakSettleTime)
		p.auditor.Disturb(worker, since, now.Add(soakSettleTime))
	}
	owner, term, err := elector.FindOwner(context.Background(), p.store.Client())
	if err != nil || p.storeFaulty {
		disturb("", "store or ownership")
	}
	if term != p.ownerTerm {
		disturb("", "owner changed")
	}
	p.ownerTerm = term
	for _, proc := range p.procs {
		disturbed := proc.disturbed()
		switch {
		case proc.worker != nil:
			if disturbed || p.losesReplies(proc.worker) {
				disturb(proc.name, "agent or worker")
			}
		case err == nil && proc.peer == owner.String():
			if proc.absent() {
				p.lostTerm = term
			}
			if disturbed {
				disturb("", "owner "+proc.name)
			}
		}
	}
	if term == p.lostTerm { // also once the lost owner is back: another term is to begin
		disturb("", "owner lost")
	}
}
