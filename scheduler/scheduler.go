// Package scheduler owns ledger shards at an entry: it accepts jobs, grants
// their tasks to agents and records the outcome of each task.
package scheduler

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/placer"
	"github.com/endivefall/endivefall/recorder"
	"github.com/endivefall/endivefall/sizer"
)

// Errors of job requests.
var (
	// ErrNotOwner means that this entry does not own the job's shard.
	ErrNotOwner = errors.New("another entry owns the job's shard")
	// ErrRunNotFound means that the shard has no run with the given id.
	ErrRunNotFound = errors.New("no such run")
	// ErrTooLarge means that a task of the job needs more than any instance has.
	ErrTooLarge = errors.New("no instance is large enough")
	// ErrShardFull means that the shard has reached its size limit for new runs.
	ErrShardFull = errors.New("ledger shard is full")
)

// Intervals of the scheduler.
const (
	// tickInterval is the time between two checks for due work in a shard.
	tickInterval = 100 * time.Millisecond
	// claimInterval is the time between two checks of the ownership of all shards.
	claimInterval = time.Second
	// handOverDelay is how long another entry must have been the chosen owner of
	// a shard before this entry hands it over.
	handOverDelay = 5 * time.Second
)

// AgentLink is the connection to one process of an agent.
type AgentLink struct {
	ID, Incarnation string
	// TrySend queues a frame without waiting.
	TrySend func(messenger.Frame) error
	// RemoteDeadline converts a local deadline to the agent's clock.
	RemoteDeadline func(now, deadline time.Time) time.Time
}

// Config holds the settings and dependencies of a Scheduler.
type Config struct {
	Shards int
	// Lease is how long an agent may run tasks after its last lease renewal.
	// Margin is added to it before the tasks count as ended: it covers the
	// worker's stop time and clock drift.
	Lease, Margin time.Duration
	// LostAgentGrace is the additional time for a lost agent to return with the
	// outcome of a task that may not run again.
	LostAgentGrace time.Duration
	Now            func() time.Time
	Placer         *placer.Placer
	Log            *zap.Logger
	// ShouldOwn reports whether this entry is the chosen owner of the shard.
	ShouldOwn func(shard uint32) bool
	// Claim acquires the ownership of a shard.
	Claim func(ctx context.Context, shard uint32) (*recorder.Recorder, error)
	// AgentLink returns the link to a connected agent.
	AgentLink func(agent string) (AgentLink, bool)
	// EarliestPlatformTime returns a lower bound of the platform's clock at a
	// local time.
	EarliestPlatformTime func(now time.Time) time.Time
	// Quota returns a team's quota; zero means unlimited.
	Quota func(team string) parser.Resources
}

// Scheduler serves the shards that this entry owns. It is safe for concurrent
// use.
type Scheduler struct {
	cfg           Config
	sizer         *sizer.Sizer
	shardsRunning sync.WaitGroup
	mu            sync.Mutex
	// owned holds the shards that this entry serves.
	owned map[uint32]*shard
	// otherChosenSince holds, for an owned shard, since when another entry has
	// been its chosen owner.
	otherChosenSince map[uint32]time.Time
	handingOver      bool
}

// New returns a Scheduler that owns no shards.
func New(cfg Config) *Scheduler {
	return &Scheduler{cfg: cfg, sizer: sizer.New(), owned: map[uint32]*shard{}, otherChosenSince: map[uint32]time.Time{}}
}

// ShardOf returns the shard of a team's jobs. All jobs of a team share a shard,
// so that a single owner enforces the team's quota.
func ShardOf(team string, shards int) uint32 {
	return uint32(xxhash.Sum64String(team) % uint64(max(shards, 1)))
}

// Serve claims, serves and hands over shards until ctx ends.
func (s *Scheduler) Serve(ctx context.Context) {
	ticker := time.NewTicker(claimInterval)
	defer ticker.Stop()
	for {
		for n := range uint32(s.cfg.Shards) {
			s.updateOwnership(ctx, n)
		}
		select {
		case <-ctx.Done():
			s.shardsRunning.Wait()
			return
		case <-ticker.C:
		}
	}
}

// updateOwnership claims a shard or starts its handover, if either is due.
func (s *Scheduler) updateOwnership(ctx context.Context, n uint32) {
	s.mu.Lock()
	sh, handingOver := s.owned[n], s.handingOver
	s.mu.Unlock()
	chosen := s.cfg.ShouldOwn(n) && !handingOver
	switch {
	case sh == nil && chosen:
		s.claim(ctx, n)
	case sh != nil && chosen:
		s.mu.Lock()
		delete(s.otherChosenSince, n)
		s.mu.Unlock()
	case sh != nil && s.handOverDue(n):
		sh.release()
	}
}

// handOverDue reports whether another entry has been the chosen owner of the
// shard for longer than handOverDelay, or all shards are being handed over.
func (s *Scheduler) handOverDue(n uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, ok := s.otherChosenSince[n]
	if !ok {
		s.otherChosenSince[n] = s.cfg.Now()
		return s.handingOver
	}
	return s.handingOver || s.cfg.Now().Sub(since) > handOverDelay
}

func (s *Scheduler) claim(ctx context.Context, n uint32) {
	rec, err := s.cfg.Claim(ctx, n)
	if err != nil {
		if !errors.Is(err, recorder.ErrOwned) {
			s.cfg.Log.Warn("failed to claim shard", zap.Uint32("shard", n), zap.Error(err))
		}
		return
	}
	sh := newShard(n, rec, s)
	s.mu.Lock()
	s.owned[n] = sh
	s.mu.Unlock()
	s.cfg.Log.Info("shard claimed", zap.Uint32("shard", n), zap.Uint64("epoch", rec.Epoch()), zap.Int("runs", len(rec.Runs())))
	s.shardsRunning.Go(func() {
		sh.serve(ctx)
		s.mu.Lock()
		delete(s.owned, n)
		delete(s.otherChosenSince, n)
		s.mu.Unlock()
		s.cfg.Log.Info("shard left", zap.Uint32("shard", n))
	})
}

// HandOver hands over all shards and claims no more. It returns when all are
// handed over or ctx ends.
func (s *Scheduler) HandOver(ctx context.Context) {
	s.mu.Lock()
	s.handingOver = true
	shards := s.shardsLocked()
	s.mu.Unlock()
	for _, sh := range shards {
		sh.release()
	}
	for _, sh := range shards {
		select {
		case <-sh.done:
		case <-ctx.Done():
			return
		}
	}
}

// shardsLocked returns the owned shards; the caller holds mu.
func (s *Scheduler) shardsLocked() []*shard {
	list := make([]*shard, 0, len(s.owned))
	for _, sh := range s.owned {
		list = append(list, sh)
	}
	return list
}

func (s *Scheduler) allShards() []*shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shardsLocked()
}

func (s *Scheduler) shard(n uint32) *shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owned[n]
}

// shardOfRun returns the owned shard of a run or team.
func (s *Scheduler) shardOfRun(id string) (*shard, error) {
	team, _, _ := strings.Cut(id, "/")
	sh := s.shard(ShardOf(team, s.cfg.Shards))
	if sh == nil {
		return nil, fmt.Errorf("%s: %w", id, ErrNotOwner)
	}
	return sh, nil
}

// AgentConnected requests the inventory of a newly connected agent for each shard
// in which it has grants.
func (s *Scheduler) AgentConnected(agent string) {
	for _, sh := range s.allShards() {
		sh.enqueue(event{kind: agentConnected, agent: agent})
	}
}

// HandleInventory passes an agent's inventory to the shard, unless it answers a
// request of another epoch.
func (s *Scheduler) HandleInventory(agent, incarnation string, inv messenger.GrantInventory) {
	if sh := s.shard(inv.Shard); sh != nil && sh.rec.Epoch() == inv.Epoch {
		sh.enqueue(event{kind: inventoryReceived, agent: agent, incarnation: incarnation, grants: inv.Grants, inventorySeq: inv.Seq})
	}
}

// HandleReport passes task outcomes to the shard, which acknowledges them once
// they are durable.
func (s *Scheduler) HandleReport(agent string, rep messenger.Report) {
	if sh := s.shard(rep.Shard); sh != nil {
		sh.enqueue(event{kind: reportReceived, agent: agent, report: &rep})
	}
}

// HandleDecline passes on that an agent declined a grant and started none of its
// tasks.
func (s *Scheduler) HandleDecline(agent string, g messenger.Grant) {
	if sh := s.shard(g.Shard); sh != nil {
		sh.enqueue(event{kind: grantDeclined, agent: agent, grant: &g})
	}
}

// ExtendLeases extends an agent's grants in all shards and returns the new
// deadlines, on the agent's clock. held lists the shards whose grants the agent
// holds.
func (s *Scheduler) ExtendLeases(agent string, held []uint32, remoteDeadline func(now, deadline time.Time) time.Time) []messenger.LeaseRenewal {
	var renewals []messenger.LeaseRenewal
	for _, sh := range s.allShards() {
		if slices.Contains(held, sh.n) {
			sh.noteHolder(agent)
		}
		if renewal, ok := sh.extendLease(agent, remoteDeadline); ok {
			renewals = append(renewals, renewal)
		}
	}
	return renewals
}

// OwnedShards returns the numbers of the shards that this entry serves.
func (s *Scheduler) OwnedShards() []uint32 {
	var numbers []uint32
	for _, sh := range s.allShards() {
		numbers = append(numbers, sh.n)
	}
	return numbers
}

// ShardCount returns the number of shards in the ledger.
func (s *Scheduler) ShardCount() int { return s.cfg.Shards }
