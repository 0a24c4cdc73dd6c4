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
	// outPrefix stands before the keys of progress.
	outPrefix = "ef/out/"
	// agentPrefix stands before the keys of agents that may hold work.
	agentPrefix = "ef/agent/"
)

// JobKey is the key of an accepted job.
func JobKey(id string) string { return InputPrefix + "j" + id }

// CancelKey is the key of a job's cancel.
func CancelKey(id string) string { return InputPrefix + "x" + id }

// ProgressKey is the key of a job's progress.
func ProgressKey(id string) string { return outPrefix + id }

// Times of an owner.
const (
	// tickEvery is how often deadlines are looked at.
	tickEvery = 50 * time.Millisecond
	// planPause is the least time between two rounds of placement; planShare is
	// how many times as long as a round the next one is put off, so that under
	// load most of the processor is left for what agents say.
	planPause = 8 * time.Millisecond
	planShare = 6
	// margin covers the way of a message and the end of a lease at a worker.
	margin = 150 * time.Millisecond
	// watchWait bounds a watch, so that a silent connection is noticed.
	watchWait = 2 * time.Second
	// retryPause is the wait after a failed call to the store.
	retryPause = 100 * time.Millisecond
	// isolated is how long most agents may be silent before ownership is given
	// up: less than a short cut, more than two lost heartbeats.
	isolated = 2200 * time.Millisecond
)

// queue bounds what waits for the owner's goroutine; a link's reader waits
// when it is full.
const queue = 1024

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
	do  chan func()
	// stopped is closed when the loop takes nothing more from do, done when Serve
	// has returned.
	stopped, done chan struct{}
	// claimed is the local time at which ownership was known.
	claimed time.Time
	loaded  bool
	jobs    map[string]*job
	open    map[string]*job // jobs that are not over
	// barred are jobs whose progress can't be read: without their ends nothing of
	// them may run again.
	barred map[string]bool
	runs   map[runKey]*run
	agents map[string]*agent
	// dirty has jobs whose progress is not in the ledger, in order.
	dirty []*job
	// writing is set while a commit is on its way.
	writing bool
	// plan is set when a round of placement is due, planned is when the next
	// one may begin.
	plan    bool
	planned time.Time
	// advice has what is known of steps of queues with a policy, asking counts
	// the calls on their way.
	advice map[string]*advice
	asking int
	// press is what is known of images beside each other.
	press *predictor.Predictor
	// slowness is the mean of how much longer than estimated runs take, as a
	// logarithm.
	slowness fading
	// preempted is when victims for a more urgent task were last looked for.
	preempted time.Time
	// moved is when runs were last looked at for a better place.
	moved time.Time
	// lonely is since when too few agents are heard; zero while enough are.
	lonely time.Time
	// ending is why Serve is to return.
	ending error
	works  sync.WaitGroup
}

// job is a job of the ledger.
type job struct {
	*sequencer.Job
	// changes counts changes of the progress, written those in the ledger.
	changes, written uint64
	queued           bool // it is in dirty
	live             map[runKey]*run
	// saved is the local time at which checkpoints were last written.
	saved time.Time
	// over is the local time at which the job's final state became durable.
	over time.Time
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
	// stopped is set once a stop was sent on the link.
	stopped *AgentLink
	percent int
	figure  int64
	pace    int
	began   time.Time
	// moved is the local time at which percent last grew.
	moved time.Time
	// paced is set once the run was slowed; resumed for one that began from a
	// checkpoint.
	paced, resumed bool
	// evict is set when the run is to be stopped for another reason than the
	// job's end.
	evict bool
}

// New returns an Overseer; Serve runs it.
func New(cfg Config) *Orchestrator {
	return &Orchestrator{
		cfg: cfg, do: make(chan func(), queue), stopped: make(chan struct{}), done: make(chan struct{}),
		jobs: map[string]*job{}, open: map[string]*job{}, barred: map[string]bool{}, runs: map[runKey]*run{}, agents: map[string]*agent{},
		press: predictor.New(), advice: map[string]*advice{},
	}
}

// Serve owns the pools until ctx ends or ownership is lost, and says why.
func (o *Orchestrator) Serve(ctx context.Context) error {
	defer close(o.done)
	ctx, cancel := context.WithCancel(ctx)
	defer o.works.Wait() // after the loop has stopped, or they would wait for it
	defer close(o.stopped)
	defer cancel()
	o.claimed = o.cfg.Now()
	o.works.Go(func() { o.follow(ctx) })
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	var soon <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			o.cfg.Log.Info("owner ends", zap.Uint64("term", o.cfg.Term), zap.Int("open", len(o.open)), zap.Int("runs", len(o.runs)))
			return nil
		case f := <-o.do:
			f()
		case <-tick.C:
			o.tick(ctx)
		case <-soon:
			soon = nil
		}
		if o.ending != nil {
			o.cfg.Log.Warn("ownership ends", zap.Uint64("term", o.cfg.Term), zap.Error(o.ending))
			return o.ending
		}
		o.flush(ctx)
		if o.plan && o.loaded && soon == nil {
			begun := o.cfg.Now()
			if rest := o.planned.Sub(begun); rest > 0 {
				soon = time.After(rest)
				continue
			}
			o.plan = false
			o.place()
			took := o.cfg.Now().Sub(begun)
			o.cfg.ObserveDuration("plan", took)
			o.planned = begun.Add(max(planPause, took*planShare))
		}
	}
}

// Done is closed when Serve has returned.
func (o *Orchestrator) Done() <-chan struct{} { return o.done }

// hand gives the owner's goroutine something to do; it waits while the queue is
// full and drops it when the owner has ended.
func (o *Orchestrator) hand(f func()) {
	select {
	case o.do <- f:
	case <-o.stopped:
	}
}

// current says whether this process may give orders: its ownership was proven
// lately enough.
func (o *Orchestrator) current() bool {
	return o.cfg.Now().Sub(o.cfg.OwnershipConfirmedAt()) < o.cfg.ConfirmationTTL
}

// tick looks at deadlines.
func (o *Orchestrator) tick(ctx context.Context) {
	now := o.cfg.Now()
	heard := 0
	for _, a := range o.agents {
		if a.link != nil && now.Sub(a.heard) < isolated {
			heard++
		}
		o.seal(a, now)
		o.expire(a, now)
	}
	if o.loaded && len(o.agents) >= 3 && heard*2 < len(o.agents) && o.cfg.HasOtherOwner() {
		if o.lonely.IsZero() {
			o.lonely = now
		}
		if now.Sub(o.lonely) > isolated {
			o.ending = ErrAgentsUnreachable
		}
	} else {
		o.lonely = time.Time{}
	}
	if o.loaded {
		o.evacuate()
		o.relieve(now)
		o.mendGangs()
		o.plan = o.plan || len(o.open) > 0
		o.sweep(ctx, now)
	}
}
