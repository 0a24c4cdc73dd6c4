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

// events bounds what agents sent and the shard has not handled. When it is
// full, the message is dropped: agents repeat reports, and surveys cover the
// rest.
const events = 4096

// maxWrites bounds the changes that wait for the store.
const maxWrites = 64

// kind is what an event is about.
type kind int

const (
	joined kind = iota
	surveyed
	reported
	declined
)

// event is a message of an agent to a shard.
type event struct {
	kind        kind
	agent, born string
	held        []messenger.GrantRef
	order       uint64
	report      *messenger.Report
	grant       *messenger.Grant
}

// shard serves one owned shard of the ledger. One goroutine plans and grants,
// one handles events, one asks and stops agents, one commits. Only the first
// and the last wait for the store.
type shard struct {
	n      uint32
	rec    *recorder.Recorder
	s      *Scheduler
	events chan event
	wake   chan struct{}
	// stop is closed to hand the shard over, left when that is done.
	stop, left chan struct{}
	once       sync.Once

	// writing bounds the changes that wait for the store beside the planner's.
	writing chan struct{}
	writes  sync.WaitGroup

	// born is when this entry took the shard.
	born time.Time

	mu    sync.Mutex
	track *tracker
	// released is set once no deadline may be moved any more.
	released bool
	// pace is the mean time of a task of a run.
	pace map[string]time.Duration
	// since is when a grant was sent or last reported, for its pace and for
	// the least loss.
	since map[grantKey]time.Time
	// asked is when an agent was last surveyed.
	asked map[string]time.Time
	// revoked has the grants that were told to stop, and when.
	revoked map[grantKey]time.Time
	// explained is the last placement of a run, for explain.
	explained map[string]Placement
}

func newShard(n uint32, rec *recorder.Recorder, s *Scheduler) *shard {
	now := s.cfg.Now()
	inherited := now.Add(rec.PreviousOwnershipEnd().Sub(s.cfg.EarliestPlatformTime(now)))
	return &shard{
		n: n, rec: rec, s: s, born: now,
		events: make(chan event, events), wake: make(chan struct{}, 1),
		stop: make(chan struct{}), left: make(chan struct{}), writing: make(chan struct{}, maxWrites),
		track: newTracker(rec.Epoch(), inherited),
		pace:  map[string]time.Duration{}, since: map[grantKey]time.Time{}, asked: map[string]time.Time{},
		revoked: map[grantKey]time.Time{}, explained: map[string]Placement{},
	}
}

func (sh *shard) post(e event) {
	select {
	case sh.events <- e:
	default:
	}
}

func (sh *shard) nudge() {
	select {
	case sh.wake <- struct{}{}:
	default:
	}
}

// release stops extending and granting, and hands the shard over.
func (sh *shard) release() {
	sh.mu.Lock()
	sh.released = true
	sh.mu.Unlock()
	sh.once.Do(func() { close(sh.stop) })
}

// serve runs the shard until it is lost, handed over or ctx ends.
func (sh *shard) serve(ctx context.Context) {
	defer close(sh.left)
	process := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	committing, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	// A write on its way is settled first; only the end of the process bounds
	// that, a lease later.
	hard, kill := context.WithCancel(context.WithoutCancel(ctx))
	defer kill()
	defer context.AfterFunc(process, func() { time.AfterFunc(sh.s.cfg.Lease, kill) })()
	var duties, commits sync.WaitGroup
	commits.Go(func() { _ = sh.rec.Serve(committing, hard) })
	duties.Go(func() { sh.eventLoop(ctx) })
	duties.Go(func() { sh.planLoop(ctx) })
	duties.Go(func() { sh.askLoop(ctx) })
	select {
	case <-sh.stop:
	case <-sh.rec.Lost():
	case <-ctx.Done():
	}
	sh.release()
	cancel()
	duties.Wait()
	sh.writes.Wait()
	end()
	commits.Wait()
	sh.handOver(process, hard)
}

// handOver writes that the shard has no owner, so that the next one need not
// wait for the end of this process. While the process lives it does not give
// up: until that is written, nobody else may take the shard.
func (sh *shard) handOver(process, hard context.Context) {
	until := sh.s.cfg.Now().Add(sh.s.cfg.Lease)
	for {
		select {
		case <-sh.rec.Lost():
			return
		default:
		}
		bound, cancel := context.WithTimeout(hard, sh.s.cfg.Lease)
		err := sh.rec.Release(bound, until)
		cancel()
		if err == nil || errors.Is(err, recorder.ErrNotOwner) {
			return
		}
		sh.s.cfg.Log.Warn("shard not handed over", zap.Uint32("shard", sh.n), zap.Error(err))
		if process.Err() != nil {
			return
		}
	}
}

// extend moves the deadline of an agent's grants, if it took the epoch on this
// connection.
func (sh *shard) extend(agent string, until func(now, local time.Time) time.Time) (messenger.LeaseRenewal, bool) {
	now := sh.s.cfg.Now()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	born := sh.track.confirmed[agent]
	local, ok := sh.deadline(now)
	if sh.released || born == "" || !ok {
		return messenger.LeaseRenewal{}, false
	}
	sh.track.give(process{agent, born}, local)
	return messenger.LeaseRenewal{Shard: sh.n, Epoch: sh.rec.Epoch(), ExpiresAt: until(now, local)}, true
}

// deadline returns the local time up to which grants may be given now: a lease
// from now, but never past the hold that is in the store.
func (sh *shard) deadline(now time.Time) (time.Time, bool) {
	local := now.Add(sh.s.cfg.Lease)
	if limit := sh.rec.OwnershipEnd(now); limit.Before(local) {
		local = limit
	}
	return local, local.After(now)
}

// write runs a change beside the other duties. When too many wait for the
// store, it is dropped: what agents say, they say again.
func (sh *shard) write(do func()) {
	select {
	case sh.writing <- struct{}{}:
	default:
		return
	}
	sh.writes.Go(func() {
		defer func() { <-sh.writing }()
		do()
	})
}

// eventLoop handles what agents send, in order.
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
	case joined:
		sh.mu.Lock()
		delete(sh.track.confirmed, e.agent)
		delete(sh.asked, e.agent)
		sh.mu.Unlock()
		sh.survey()
	case surveyed:
		sh.reconcile(ctx, e)
	case reported:
		sh.gather(ctx, e)
	case declined:
		sh.write(func() { sh.close(ctx, e.agent, e.grant.Run, e.grant.Seq) })
	}
}
