package scheduler

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/recorder"
)

// eventQueueSize bounds the queue of messages from agents. A message that finds
// it full is dropped: agents repeat reports, and inventories recover the rest.
const eventQueueSize = 4096

// maxPendingWrites bounds the changes from agent messages that wait for the
// store.
const maxPendingWrites = 64

// eventKind is the type of an event.
type eventKind int

const (
	agentConnected eventKind = iota
	inventoryReceived
	reportReceived
	grantDeclined
)

// event is a message from an agent, or a notice that it connected.
type event struct {
	kind               eventKind
	agent, incarnation string
	grants             []messenger.GrantRef
	inventorySeq       uint64
	report             *messenger.Report
	grant              *messenger.Grant
}

// shard serves one owned shard of the ledger. One goroutine plans and grants,
// one handles events, one sends inventory requests and revokes, and one commits.
// Of these, only the planner and the commit loop wait for the store.
type shard struct {
	n      uint32
	rec    *recorder.Recorder
	s      *Scheduler
	events chan event
	wake   chan struct{}
	// stop is closed to start the handover, done when it has ended.
	stop, done chan struct{}
	stopOnce   sync.Once

	// writeSlots bounds the changes from agent messages that wait for the store.
	writeSlots chan struct{}
	writes     sync.WaitGroup

	// claimedAt is when this entry claimed the shard.
	claimedAt time.Time

	mu      sync.Mutex
	tracker *tracker
	// released is set once no deadline may be extended and no grant sent.
	released bool
	// meanTaskTime is the moving average of the time per task, by run.
	meanTaskTime map[string]time.Duration
	// lastProgress is when a grant was sent or its last outcomes were reported.
	lastProgress map[grantKey]time.Time
	// reportedHolders has the agents that named the shard in a heartbeat since the
	// last requestInventories. The ledger may have none of their grants any more.
	reportedHolders map[string]bool
	// inventoryRequestedAt is when an agent was last sent an inventory request.
	inventoryRequestedAt map[string]time.Time
	// revokeSentAt is when a revoke was last sent for a grant.
	revokeSentAt map[grantKey]time.Time
	// lastPlacement holds the last placement of each run, for Explain.
	lastPlacement map[string]Placement
}

func newShard(n uint32, rec *recorder.Recorder, s *Scheduler) *shard {
	now := s.cfg.Now()
	inheritedDeadline := now.Add(rec.PreviousOwnershipEnd().Sub(s.cfg.EarliestPlatformTime(now)))
	return &shard{
		n: n, rec: rec, s: s, claimedAt: now,
		events: make(chan event, eventQueueSize), wake: make(chan struct{}, 1),
		stop: make(chan struct{}), done: make(chan struct{}), writeSlots: make(chan struct{}, maxPendingWrites),
		tracker:      newTracker(rec.Epoch(), inheritedDeadline),
		meanTaskTime: map[string]time.Duration{}, lastProgress: map[grantKey]time.Time{}, inventoryRequestedAt: map[string]time.Time{},
		reportedHolders: map[string]bool{}, revokeSentAt: map[grantKey]time.Time{}, lastPlacement: map[string]Placement{},
	}
}

// enqueue queues an event, or drops it if the queue is full.
func (sh *shard) enqueue(e event) {
	select {
	case sh.events <- e:
	default:
	}
}

// wakePlanner starts a round of planning without waiting for the next tick.
func (sh *shard) wakePlanner() {
	select {
	case sh.wake <- struct{}{}:
	default:
	}
}

// release stops extending and granting, and starts the handover.
func (sh *shard) release() {
	sh.mu.Lock()
	sh.released = true
	sh.mu.Unlock()
	sh.stopOnce.Do(func() { close(sh.stop) })
}

// serve runs the shard until it is lost or released or ctx ends, and then hands
// it over.
func (sh *shard) serve(ctx context.Context) {
	defer close(sh.done)
	processCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	commitLoopCtx, stopCommitLoop := context.WithCancel(context.WithoutCancel(ctx))
	defer stopCommitLoop()
	// A write in flight is settled before the handover. It has no time limit
	// until the process is told to end, and one lease from then on.
	storeCtx, cancelStore := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelStore()
	defer context.AfterFunc(processCtx, func() { time.AfterFunc(sh.s.cfg.Lease, cancelStore) })()
	var loops, commits sync.WaitGroup
	commits.Go(func() { _ = sh.rec.Serve(commitLoopCtx, storeCtx) })
	loops.Go(func() { sh.eventLoop(ctx) })
	loops.Go(func() { sh.planLoop(ctx) })
	loops.Go(func() { sh.agentLoop(ctx) })
	select {
	case <-sh.stop:
	case <-sh.rec.Lost():
	case <-ctx.Done():
	}
	sh.release()
	cancel()
	loops.Wait()
	sh.writes.Wait()
	stopCommitLoop()
	commits.Wait()
	sh.handOver(processCtx, storeCtx)
}

// handOver records in the store that the shard has no owner, so that the next
// owner need not wait for this process to end. It retries as long as the process
// runs: until the write succeeds, no other entry may take over the shard.
func (sh *shard) handOver(processCtx, storeCtx context.Context) {
	lastDeadline := sh.s.cfg.Now().Add(sh.s.cfg.Lease)
	for {
		select {
		case <-sh.rec.Lost():
			return
		default:
		}
		releaseCtx, cancel := context.WithTimeout(storeCtx, sh.s.cfg.Lease)
		err := sh.rec.Release(releaseCtx, lastDeadline)
		cancel()
		if err == nil || errors.Is(err, recorder.ErrNotOwner) {
			return
		}
		sh.s.cfg.Log.Warn("failed to hand over shard", zap.Uint32("shard", sh.n), zap.Error(err))
		if processCtx.Err() != nil {
			return
		}
	}
}

// extendLease extends the deadline of an agent's grants, if the agent confirmed
// the epoch on its current connection.
func (sh *shard) extendLease(agent string, remoteDeadline func(now, deadline time.Time) time.Time) (messenger.LeaseRenewal, bool) {
	now := sh.s.cfg.Now()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	incarnation := sh.tracker.confirmed[agent]
	deadline, ok := sh.grantDeadline(now)
	if sh.released || incarnation == "" || !ok {
		return messenger.LeaseRenewal{}, false
	}
	sh.tracker.extend(agentProcess{agent, incarnation}, deadline)
	return messenger.LeaseRenewal{Shard: sh.n, Epoch: sh.rec.Epoch(), ExpiresAt: remoteDeadline(now, deadline)}, true
}

// grantDeadline returns the local deadline for grants made now: one lease from
// now, but never past the ownership recorded in the store. It returns false if
// that has expired.
func (sh *shard) grantDeadline(now time.Time) (time.Time, bool) {
	deadline := now.Add(sh.s.cfg.Lease)
	if limit := sh.rec.OwnershipEnd(now); limit.Before(deadline) {
		deadline = limit
	}
	return deadline, deadline.After(now)
}

// writeAsync runs a change in its own goroutine. When too many changes wait for
// the store, the change is dropped: agents repeat their messages.
func (sh *shard) writeAsync(do func()) {
	select {
	case sh.writeSlots <- struct{}{}:
	default:
		return
	}
	sh.writes.Go(func() {
		defer func() { <-sh.writeSlots }()
		do()
	})
}

// eventLoop handles events in the order of arrival.
func (sh *shard) eventLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-sh.events:
			sh.handle(ctx, e)
		}
	}
}

func (sh *shard) handle(ctx context.Context, e event) {
	switch e.kind {
	case agentConnected:
		sh.mu.Lock()
		delete(sh.tracker.confirmed, e.agent)
		delete(sh.inventoryRequestedAt, e.agent)
		sh.mu.Unlock()
		sh.requestInventories()
	case inventoryReceived:
		sh.reconcile(ctx, e)
	case reportReceived:
		sh.collectReports(ctx, e)
	case grantDeclined:
		sh.writeAsync(func() { sh.closeUnstarted(ctx, e.agent, e.grant.Run, e.grant.Seq) })
	}
}
