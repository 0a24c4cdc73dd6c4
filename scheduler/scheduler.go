// Package scheduler owns shards of the ledger at an entry: it accepts jobs,
// grants their tasks to agents and sees that each ends as it should.
package scheduler

import (
	"context"
	"errors"
	"fmt"
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

// Errors of a job's request.
var (
	// ErrNotOwner says that another entry owns the job's shard.
	ErrNotOwner = errors.New("another entry owns the job's shard")
	// ErrRunNotFound says that there is no such run.
	ErrRunNotFound = errors.New("no such run")
	// ErrTooLarge says that no instance could ever run a task of the job.
	ErrTooLarge = errors.New("no instance is large enough")
	// ErrShardFull says that the shard takes no new runs now.
	ErrShardFull = errors.New("ledger shard is full")
)

// Times of the scheduler.
const (
	// tick is how often a shard looks for what is due.
	tick = 100 * time.Millisecond
	// claimEvery is how often the owners of shards are looked at.
	claimEvery = time.Second
	// settleBefore is how long another entry must have been chosen for a shard
	// before this one hands it over.
	settleBefore = 5 * time.Second
)

// AgentLink is the link to an agent, as the scheduler needs it.
type AgentLink struct {
	ID, Incarnation string
	// Post queues a frame without waiting.
	Post func(messenger.Frame) error
	// RemoteDeadline returns the agent's time for a local deadline.
	RemoteDeadline func(now, local time.Time) time.Time
}

// Config is what a Scheduler needs.
type Config struct {
	Shards int
	// Lease is how long an agent may run on without hearing from the owner,
	// Margin what is added before its work counts as ended: the worker's stop
	// time and the drift of clocks.
	Lease, Margin time.Duration
	// LostAgentGrace is how long an agent that was lost may take to return with the end
	// of a task that may not run again.
	LostAgentGrace time.Duration
	Now            func() time.Time
	Placer         *placer.Placer
	Log            *zap.Logger
	// ShouldOwn says whether this entry should own the shard.
	ShouldOwn func(shard uint32) bool
	// Claim takes a shard over.
	Claim func(ctx context.Context, shard uint32) (*recorder.Recorder, error)
	// AgentLink returns the link to an agent.
	AgentLink func(agent string) (AgentLink, bool)
	// EarliestPlatformTime is the platform's clock at a local time, at the least.
	EarliestPlatformTime func(now time.Time) time.Time
	// Quota returns a team's quota; zero for none.
	Quota func(team string) parser.Resources
}

// Scheduler owns some shards. It is safe for concurrent use.
type Scheduler struct {
	cfg    Config
	sizer  *sizer.Sizer
	duties sync.WaitGroup
	mu     sync.Mutex
	// owned has the shards that this entry serves now.
	owned map[uint32]*shard
	// strange is since when another entry is chosen for an owned shard.
	strange map[uint32]time.Time
	leaving bool
}

// New returns a Scheduler that owns nothing yet.
func New(cfg Config) *Scheduler {
	return &Scheduler{cfg: cfg, sizer: sizer.New(), owned: map[uint32]*shard{}, strange: map[uint32]time.Time{}}
}

// ShardOf returns the shard that keeps a team's jobs. All of a team's jobs are
// in one, so that its quota has one keeper.
func ShardOf(team string, shards int) uint32 {
	return uint32(xxhash.Sum64String(team) % uint64(max(shards, 1)))
}

// Serve claims, serves and hands over shards until ctx ends.
func (s *Scheduler) Serve(ctx context.Context) {
	look := time.NewTicker(claimEvery)
	defer look.Stop()
	for {
		for n := range uint32(s.cfg.Shards) {
			s.look(ctx, n)
		}
		select {
		case <-ctx.Done():
			s.duties.Wait()
			return
		case <-look.C:
		}
	}
}

// look claims or hands over one shard.
func (s *Scheduler) look(ctx context.Context, n uint32) {
	s.mu.Lock()
	sh, leaving := s.owned[n], s.leaving
	s.mu.Unlock()
	chosen := s.cfg.ShouldOwn(n) && !leaving
	switch {
	case sh == nil && chosen:
		s.claim(ctx, n)
	case sh != nil && chosen:
		s.mu.Lock()
		delete(s.strange, n)
		s.mu.Unlock()
	case sh != nil && s.overdue(n):
		sh.release()
	}
}

// overdue says whether another entry has been chosen for the shard for long
// enough.
func (s *Scheduler) overdue(n uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, ok := s.strange[n]
	if !ok {
		s.strange[n] = s.cfg.Now()
		return s.leaving
	}
	return s.leaving || s.cfg.Now().Sub(since) > settleBefore
}

func (s *Scheduler) claim(ctx context.Context, n uint32) {
	rec, err := s.cfg.Claim(ctx, n)
	if err != nil {
		if !errors.Is(err, recorder.ErrOwned) {
			s.cfg.Log.Warn("shard not claimed", zap.Uint32("shard", n), zap.Error(err))
		}
		return
	}
	sh := newShard(n, rec, s)
	s.mu.Lock()
	s.owned[n] = sh
	s.mu.Unlock()
	s.cfg.Log.Info("shard claimed", zap.Uint32("shard", n), zap.Uint64("epoch", rec.Epoch()), zap.Int("runs", len(rec.Runs())))
	s.duties.Go(func() {
		sh.serve(ctx)
		s.mu.Lock()
		delete(s.owned, n)
		delete(s.strange, n)
		s.mu.Unlock()
		s.cfg.Log.Info("shard left", zap.Uint32("shard", n))
	})
}

// HandOver hands all shards over and returns when that is done or ctx ends.
func (s *Scheduler) HandOver(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	owned := s.shards()
	s.mu.Unlock()
	for _, sh := range owned {
		sh.release()
	}
	for _, sh := range owned {
		select {
		case <-sh.left:
		case <-ctx.Done():
			return
		}
	}
}

// shards lists the owned shards; the caller holds mu.
func (s *Scheduler) shards() []*shard {
	list := make([]*shard, 0, len(s.owned))
	for _, sh := range s.owned {
		list = append(list, sh)
	}
	return list
}

func (s *Scheduler) all() []*shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shards()
}

func (s *Scheduler) shard(n uint32) *shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owned[n]
}

func (s *Scheduler) ofRun(id string) (*shard, error) {
	team, _, _ := strings.Cut(id, "/")
	sh := s.shard(ShardOf(team, s.cfg.Shards))
	if sh == nil {
		return nil, fmt.Errorf("%s: %w", id, ErrNotOwner)
	}
	return sh, nil
}

// AgentConnected starts what a newly connected agent needs: a survey for each shard.
func (s *Scheduler) AgentConnected(agent string) {
	for _, sh := range s.all() {
		sh.post(event{kind: joined, agent: agent})
	}
}

// HandleInventory takes the answer to a survey.
func (s *Scheduler) HandleInventory(agent, born string, v messenger.GrantInventory) {
	if sh := s.shard(v.Shard); sh != nil && sh.rec.Epoch() == v.Epoch {
		sh.post(event{kind: surveyed, agent: agent, born: born, held: v.Grants, order: v.Seq})
	}
}

// HandleReport takes the ends of tasks. It is answered when they are durable.
func (s *Scheduler) HandleReport(agent string, rep messenger.Report) {
	if sh := s.shard(rep.Shard); sh != nil {
		sh.post(event{kind: reported, agent: agent, report: &rep})
	}
}

// HandleDecline takes the word that a grant was not started.
func (s *Scheduler) HandleDecline(agent string, g messenger.Grant) {
	if sh := s.shard(g.Shard); sh != nil {
		sh.post(event{kind: declined, agent: agent, grant: &g})
	}
}

// ExtendLeases returns the new deadlines of an agent's grants, on its clock.
func (s *Scheduler) ExtendLeases(agent string, until func(now, local time.Time) time.Time) []messenger.LeaseRenewal {
	var list []messenger.LeaseRenewal
	for _, sh := range s.all() {
		if e, ok := sh.extend(agent, until); ok {
			list = append(list, e)
		}
	}
	return list
}

// OwnedShards lists the shards that this entry serves.
func (s *Scheduler) OwnedShards() []uint32 {
	var list []uint32
	for _, sh := range s.all() {
		list = append(list, sh.n)
	}
	return list
}

// ShardCount returns the number of the ledger's shards.
func (s *Scheduler) ShardCount() int { return s.cfg.Shards }
