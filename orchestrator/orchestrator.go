// Package orchestrator schedules the jobs of the pools while its process is their
// owner: it hears the agents, places tasks, and writes to the ledger what has
// ended before the agents may forget it.
package orchestrator

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/predictor"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// ErrOwnershipLost says that another process owns the pools now.
var ErrOwnershipLost = errors.New("another process is the owner")

// ErrAgentsUnreachable says that too few agents are heard to own the pools.
var ErrAgentsUnreachable = errors.New("most agents are out of reach")

// Keys of the ledger.
const (
	// InputPrefix stands before the keys of accepted jobs and of cancels.
	InputPrefix = "ef/in/"
	// progressPrefix stands before the keys of progress.
	progressPrefix = "ef/out/"
	// agentPrefix stands before the keys of agents that may hold work.
	agentPrefix = "ef/agent/"
)

// JobKey is the key of an accepted job.
func JobKey(id string) string { return InputPrefix + "j" + id }

// CancelKey is the key of a job's cancel.
func CancelKey(id string) string { return InputPrefix + "x" + id }

// ProgressKey is the key of a job's progress.
func ProgressKey(id string) string { return progressPrefix + id }

// Times of an owner.
const (
	// tickInterval is how often deadlines are looked at.
	tickInterval = 50 * time.Millisecond
	// minPlanInterval is the least time between two rounds of placement; planShare is
	// how many times as long as a round the next one is put off, so that under
	// load most of the processor is left for what agents say.
	minPlanInterval = 8 * time.Millisecond
	planIntervalFactor = 6
	// leaseMargin covers the way of a message and the end of a lease at a worker.
	leaseMargin = 150 * time.Millisecond
	// watchTimeout bounds a watch, so that a silent connection is noticed.
	watchTimeout = 2 * time.Second
	// storeRetryDelay is the wait after a failed call to the store.
	storeRetryDelay = 100 * time.Millisecond
	// isolationTimeout is how long most agents may be silent before ownership is given
	// up: less than a short cut, more than two lost heartbeats.
	isolationTimeout = 2200 * time.Millisecond
)

// queueCapacity bounds what waits for the owner's goroutine; a link's reader waits
// when it is full.
const queueCapacity = 1024

// Config is what an Overseer needs.
type Config struct {
	// Term and Epoch are of this process's claim: the owner's key and its
	// version are a condition of every write.
	Term, Epoch uint64
	OwnerKey    string
	Store       *storer.Store
	// Now is a clock that counts the time in which the instance was suspended;
	// WallClock is the time of day.
	Now, WallClock func() time.Time
	// LeaseDuration is how long runs go on without a word of the owner.
	LeaseDuration time.Duration
	// ConfirmationTTL is how long a proof of ownership holds.
	ConfirmationTTL time.Duration
	// PreviousOwnerTTL is how long an earlier owner may have given orders after the
	// claim: Proof, or 0 where it surely had stopped.
	PreviousOwnerTTL time.Duration
	// JobRetention is how long the state of a job that is over is kept.
	JobRetention time.Duration
	// OwnershipConfirmedAt and Prove read and note the newest proof of ownership.
	OwnershipConfirmedAt func() time.Time
	ConfirmOwnership     func(sent time.Time)
	// QueryPolicy asks the service of a queue's policy which lives of workers may run
	// a step, and how long that holds.
	QueryPolicy func(ctx context.Context, step string, workers []string) ([]PolicyGrant, time.Duration, error)
	// HasOtherOwner says whether another living entry could own the pools.
	HasOtherOwner func() bool
	Log           *zap.Logger
	// Count and Time are told of events for metrics.
	Count           func(name string)
	ObserveDuration func(name string, d time.Duration)
}

// Orchestrator is the owner's state. All of it belongs to the goroutine of Serve;
// others hand it functions through do.
type Orchestrator struct {
	cfg Config
	actions  chan func()
	// stopped is closed when the loop takes nothing more from do, done when Serve
	// has returned.
	stopped, done chan struct{}
	// claimedAt is the local time at which ownership was known.
	claimedAt time.Time
	loaded  bool
	jobs    map[string]*job
	openJobs    map[string]*job // jobs that are not over
	// unreadableJobs are jobs whose progress can't be read: without their ends nothing of
	// them may run again.
	unreadableJobs map[string]bool
	runs   map[runKey]*run
	agents map[string]*agent
	// dirtyJobs has jobs whose progress is not in the ledger, in order.
	dirtyJobs []*job
	// writing is set while a commit is on its way.
	writing bool
	// planDue is set when a round of placement is due, planned is when the next
	// one may begin.
	planDue    bool
	nextPlan time.Time
	// policies has what is known of steps of queues with a policy, asking counts
	// the calls on their way.
	policies map[string]*stepPolicy
	policyQueries int
	// predictor is what is known of images beside each other.
	predictor *predictor.Predictor
	// meanSlowdown is the mean of how much longer than estimated runs take, as a
	// logarithm.
	meanSlowdown movingAverage
	// lastPreemption is when victims for a more urgent task were last looked for.
	lastPreemption time.Time
	// lastRelocation is when runs were last looked at for a better place.
	lastRelocation time.Time
	// isolatedSince is since when too few agents are heard; zero while enough are.
	isolatedSince time.Time
	// stopReason is why Serve is to return.
	stopReason error
	background  sync.WaitGroup
}

// job is a job of the ledger.
type job struct {
	*sequencer.Job
	// revision counts revision of the progress, durableRevision those in the ledger.
	revision, durableRevision uint64
	dirty           bool // it is in dirty
	liveRuns             map[runKey]*run
	// checkpointsSavedAt is the local time at which checkpoints were last written.
	checkpointsSavedAt time.Time
	// endedAt is the local time at which the job's final state became durable.
	endedAt time.Time
}

// runKey names a run.
type runKey struct {
	task    string
	attempt uint64
}

// run is a run that may be going on.
type run struct {
	key   runKey
	task  *sequencer.Task
	job   *job
	agent *agent
	// link and seq tell by which order it was started; a nil link means that
	// the run was found at the agent.
	link  *AgentLink
	seq   uint64
	phase messenger.Phase
	// stopSentOn is set once a stop was sent on the link.
	stopSentOn *AgentLink
	progressPercent int
	measurement  int64
	pacePercent    int
	startedAt   time.Time
	// progressedAt is the local time at which percent last grew.
	progressedAt time.Time
	// throttled is set once the run was slowed; resumed for one that began from a
	// checkpoint.
	throttled, resumed bool
	// evict is set when the run is to be stopped for another reason than the
	// job's end.
	evict bool
}

// New returns an Overseer; Serve runs it.
func New(cfg Config) *Orchestrator {
	return &Orchestrator{
		cfg: cfg, actions: make(chan func(), queueCapacity), stopped: make(chan struct{}), done: make(chan struct{}),
		jobs: map[string]*job{}, openJobs: map[string]*job{}, unreadableJobs: map[string]bool{}, runs: map[runKey]*run{}, agents: map[string]*agent{},
		predictor: predictor.New(), policies: map[string]*stepPolicy{},
	}
}

// Serve owns the pools until ctx ends or ownership is lost, and says why.
func (o *Orchestrator) Serve(ctx context.Context) error {
	defer close(o.done)
	ctx, cancel := context.WithCancel(ctx)
	defer o.background.Wait() // after the loop has stopped, or they would wait for it
	defer close(o.stopped)
	defer cancel()
	o.claimedAt = o.cfg.Now()
	o.background.Go(func() { o.watchLedger(ctx) })
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var planTimer <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			o.cfg.Log.Info("owner ends", zap.Uint64("term", o.cfg.Term), zap.Int("open", len(o.openJobs)), zap.Int("runs", len(o.runs)))
			return nil
		case action := <-o.actions:
			action()
		case <-tick.C:
			o.tick(ctx)
		case <-planTimer:
			planTimer = nil
		}
		if o.stopReason != nil {
			o.cfg.Log.Warn("ownership ends", zap.Uint64("term", o.cfg.Term), zap.Error(o.stopReason))
			return o.stopReason
		}
		o.flush(ctx)
		if o.planDue && o.loaded && planTimer == nil {
			started := o.cfg.Now()
			if wait := o.nextPlan.Sub(started); wait > 0 {
				planTimer = time.After(wait)
				continue
			}
			o.planDue = false
			o.place()
			took := o.cfg.Now().Sub(started)
			o.cfg.ObserveDuration("plan", took)
			o.nextPlan = started.Add(max(minPlanInterval, took*planIntervalFactor))
		}
	}
}

// Done is closed when Serve has returned.
func (o *Orchestrator) Done() <-chan struct{} { return o.done }

// enqueue gives the owner's goroutine something to do; it waits while the queue is
// full and drops it when the owner has ended.
func (o *Orchestrator) enqueue(action func()) {
	select {
	case o.actions <- action:
	case <-o.stopped:
	}
}

// ownershipCurrent says whether this process may give orders: its ownership was proven
// lately enough.
func (o *Orchestrator) ownershipCurrent() bool {
	return o.cfg.Now().Sub(o.cfg.OwnershipConfirmedAt()) < o.cfg.ConfirmationTTL
}

// tick looks at deadlines.
func (o *Orchestrator) tick(ctx context.Context) {
	now := o.cfg.Now()
	reachable := 0
	for _, a := range o.agents {
		if a.link != nil && now.Sub(a.lastSnapshotAt) < isolationTimeout {
			reachable++
		}
		o.closeRegistration(a, now)
		o.expireLease(a, now)
	}
	if o.loaded && len(o.agents) >= 3 && reachable*2 < len(o.agents) && o.cfg.HasOtherOwner() {
		if o.isolatedSince.IsZero() {
			o.isolatedSince = now
		}
		if now.Sub(o.isolatedSince) > isolationTimeout {
			o.stopReason = ErrAgentsUnreachable
		}
	} else {
		o.isolatedSince = time.Time{}
	}
	if o.loaded {
		o.evacuate()
		o.relocateSlowedRuns(now)
		o.stopIncompleteGangs()
		o.planDue = o.planDue || len(o.openJobs) > 0
		o.deleteExpiredJobs(ctx, now)
	}
}
