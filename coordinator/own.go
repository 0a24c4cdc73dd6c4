package coordinator

import (
	"context"

	"github.com/endivefall/endivefall/connector"
	"github.com/endivefall/endivefall/elector"
	"github.com/endivefall/endivefall/orchestrator"
	"github.com/endivefall/endivefall/waiter"
)

// ownLoop serves ownership for as long as this process has it.
func (c *Coordinator) ownLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		record, epoch := c.elector.Owner()
		c.asker.Aim(record.Owner)
		for c.elector.IsOwner() && ctx.Err() == nil {
			record, epoch = c.elector.Owner()
			c.own(ctx, record, epoch)
			c.mu.Lock()
			leaving := c.leaving
			c.mu.Unlock()
			if leaving {
				break
			}
		}
	}
}

// own schedules the pools until ownership is lost or given up.
func (c *Coordinator) own(parent context.Context, record elector.OwnerRecord, epoch uint64) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	foreign := proof
	if record.PredecessorsStopped {
		foreign = 0
	}
	o := orchestrator.New(orchestrator.Config{
		Term: record.Term, Epoch: epoch, OwnerKey: elector.OwnerKey, Store: c.relayer.Store(), Now: c.cfg.Now, WallClock: c.cfg.WallClock,
		LeaseDuration: RunLease(c.cfg.MaxWorkerLease), ConfirmationTTL: proof, PreviousOwnerTTL: foreign, JobRetention: c.cfg.JobRetention,
		QueryPolicy: c.cfg.QueryPolicy, OwnershipConfirmedAt: c.elector.OwnershipConfirmedAt, ConfirmOwnership: c.elector.ConfirmOwnership,
		HasOtherOwner: func() bool { return len(c.elector.Members()) > 0 },
		Log:           c.cfg.Log, Count: c.cfg.Count, ObserveDuration: c.cfg.ObserveDuration,
	})
	c.mu.Lock()
	if c.leaving {
		c.mu.Unlock()
		c.release(parent, epoch, "process ends")
		return
	}
	owned := make(chan struct{})
	c.overseer, c.owned = o, owned
	c.mu.Unlock()
	ended := make(chan error, 1)
	go func() { ended <- o.Serve(ctx) }()
	why := c.watch(ended, record, epoch)
	cancel()
	<-o.Done()
	c.mu.Lock()
	links := c.links
	c.links, c.overseer = map[*connector.Link]*orchestrator.AgentLink{}, nil
	c.mu.Unlock()
	for l := range links {
		l.Close("not the owner any more")
	}
	c.release(parent, epoch, why)
	c.mu.Lock()
	c.owned = nil
	c.mu.Unlock()
	close(owned)
}

// watch waits until an epoch of ownership is over, and says why.
func (c *Coordinator) watch(ended <-chan error, record elector.OwnerRecord, epoch uint64) string {
	for {
		select {
		case err := <-ended:
			if err == nil {
				return "process ends"
			}
			return err.Error()
		case <-c.wake:
		}
		c.mu.Lock()
		leaving := c.leaving
		c.mu.Unlock()
		now, at := c.elector.Owner()
		switch {
		case leaving:
			return "process ends"
		case !c.elector.IsOwner() || at != epoch || now.Term != record.Term:
			return "another owner"
		}
	}
}

// release gives ownership up, again until the store has it or ctx ends. An epoch
// is never owned twice: what it started is not known any more, and jobs newer
// than the epoch would count as never started.
func (c *Coordinator) release(ctx context.Context, epoch uint64, why string) {
	for {
		bound, done := context.WithTimeout(context.WithoutCancel(ctx), handover)
		c.elector.Release(bound, why)
		done()
		if _, now := c.elector.Owner(); ctx.Err() != nil || !c.elector.IsOwner() || now != epoch {
			return
		}
		waiter.Sleep(ctx, releasePause)
	}
}

func (c *Coordinator) owner() *orchestrator.Orchestrator {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overseer
}
