package coordinator

import (
	"context"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/connector"
	"github.com/endivefall/endivefall/elector"
	"github.com/endivefall/endivefall/orchestrator"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/waiter"
)

// ownershipLoop schedules the pools whenever this process is the owner.
func (c *Coordinator) ownershipLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		record, epoch := c.elector.Owner()
		c.ownerClient.SetOwner(record.Owner)
		for c.elector.IsOwner() && ctx.Err() == nil {
			record, epoch = c.elector.Owner()
			c.serveOwnership(ctx, record, epoch)
			c.wakeOwnershipLoop() // it has consumed the notices of newer records
			c.mu.Lock()
			shuttingDown := c.shuttingDown
			c.mu.Unlock()
			if shuttingDown {
				break
			}
		}
	}
}

// serveOwnership schedules the pools until ownership is lost or released.
func (c *Coordinator) serveOwnership(parent context.Context, record elector.OwnerRecord, epoch uint64) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	previousOwnerTTL := record.EarlierOwnersTTL()
	claimedAt := c.elector.ClaimedAt()
	earlierConfirmedBy, earlierOwnersUntil := c.elector.EarlierOwners()
	o := orchestrator.New(orchestrator.Config{
		Term: record.Term, Epoch: epoch, OwnerKey: elector.OwnerKey, ClaimedAt: claimedAt, ClaimSentAt: c.elector.ClaimSentAt(), Store: c.Store(), Now: c.cfg.Now, WallClock: c.cfg.WallClock,
		LeaseDuration: RunLease(c.cfg.MaxWorkerLease), JobRetention: c.cfg.JobRetention, RemoteFactor: c.cfg.RemoteFactor, QueryPolicy: c.cfg.QueryPolicy,
		ConfigVersion: c.configVersion, Placement: c.placement, Evacuations: c.cfg.Evacuations, EvacuationBound: c.cfg.EvacuationBound,
		UnextendedTTL: elector.UnextendedTTL, ConfirmationTTL: elector.ConfirmationTTL, ConfirmationExtended: c.elector.ConfirmationExtended,
		ExtendedForAnyAgent: c.elector.ExtendedForAnyAgent,
		PreviousOwnerTTL:    previousOwnerTTL, EarlierConfirmedBy: earlierConfirmedBy, EarlierOwnersUntil: earlierOwnersUntil, KnownSince: c.chronicler.KnownSince,
		RosterFrom: c.elector.RosterFrom(), UnrosteredUntil: c.elector.UnrosteredUntil(), RulesSince: record.RulesSince,
		OwnershipConfirmedAt: c.elector.OwnershipConfirmedAt, ConfirmAfter: c.elector.ConfirmAfter, HasStandby: func() bool { return len(c.elector.Members()) > 0 },
		Log: c.cfg.Log, Count: c.cfg.Count, Gauge: c.cfg.Gauge, ObserveDuration: c.cfg.ObserveDuration,
	})
	c.mu.Lock()
	if c.shuttingDown {
		c.mu.Unlock()
		c.release(parent, epoch, "process ends")
		return
	}
	ownershipEnded := make(chan struct{})
	c.orchestrator, c.ownershipEnded = o, ownershipEnded
	c.mu.Unlock()
	c.cfg.Log.Info("orchestrator started", zap.Uint64("term", record.Term), zap.Uint64("epoch", epoch), zap.Duration("since_claim", c.cfg.Now().Sub(claimedAt)), zap.Duration("previous_owner_ttl", previousOwnerTTL))
	serveErr := make(chan error, 1)
	go func() { serveErr <- o.Serve(ctx) }()
	reason := c.waitForOwnershipEnd(serveErr, record, epoch)
	cancel()
	<-o.Done()
	c.mu.Lock()
	links := c.links
	c.links, c.orchestrator = map[*connector.Link]*orchestrator.AgentLink{}, nil
	c.mu.Unlock()
	for l := range links {
		l.Close("not the owner any more")
	}
	c.release(parent, epoch, reason)
	c.mu.Lock()
	c.ownershipEnded = nil
	c.mu.Unlock()
	close(ownershipEnded)
}

// waitForOwnershipEnd waits until an epoch of ownership is over and returns the
// reason.
func (c *Coordinator) waitForOwnershipEnd(serveErr <-chan error, record elector.OwnerRecord, epoch uint64) string {
	for {
		select {
		case err := <-serveErr:
			if err == nil {
				return "process ends"
			}
			return err.Error()
		case <-c.wake:
		}
		c.mu.Lock()
		shuttingDown := c.shuttingDown
		c.mu.Unlock()
		current, currentEpoch := c.elector.Owner()
		switch {
		case shuttingDown:
			return "process ends"
		case !c.elector.IsOwner() || currentEpoch != epoch || current.Term != record.Term:
			return "another owner"
		}
	}
}

// release releases ownership, retrying until the store has recorded it or ctx ends.
// The same epoch must not be served twice: which runs it started is no longer
// known, and jobs newer than the epoch would count as never started.
func (c *Coordinator) release(ctx context.Context, epoch uint64, reason string) {
	for {
		releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handoverTimeout)
		c.elector.Release(releaseCtx, reason)
		cancel()
		if _, currentEpoch := c.elector.Owner(); ctx.Err() != nil || !c.elector.IsOwner() || currentEpoch != epoch {
			return
		}
		waiter.Sleep(ctx, releaseRetryDelay)
	}
}

// activeOrchestrator returns the orchestrator while this process owns the pools, and
// nil otherwise.
func (c *Coordinator) activeOrchestrator() *orchestrator.Orchestrator {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.orchestrator
}

// configVersion returns the version of the configuration in force at this entry, or 0.
func (c *Coordinator) configVersion() uint64 {
	if queues := c.Acceptor.Queues(); queues != nil {
		return queues.Version
	}
	return 0
}

// placement returns where the configuration in force at this entry lets the tasks of a job start, and
// false if it has no queue for the job.
func (c *Coordinator) placement(spec *sequencer.Spec) (sequencer.Placement, bool) {
	queues := c.Acceptor.Queues()
	if queues == nil {
		return sequencer.Placement{}, false
	}
	q, ok := queues.Of(spec)
	return sequencer.Placement{Pool: q.Pool, PolicyRestricted: q.PolicyRestricted, Version: queues.Version}, ok
}
