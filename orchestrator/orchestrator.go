// Package orchestrator schedules the jobs of the pools while its process is their
// owner: it processes the agents' snapshots, places tasks, and records the ends of
// runs in the ledger before the agents may discard them.
package orchestrator

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/predictor"
	"github.com/endivefall/endivefall/regulator"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// ErrOwnershipLost reports that another process owns the pools.
var ErrOwnershipLost = errors.New("another process is the owner")

// ErrAgentsUnreachable reports that too few agents are reachable to keep ownership.
var ErrAgentsUnreachable = errors.New("most agents are unreachable")

// Keys in the ledger.
const (
	// InputPrefix is the key prefix of accepted jobs and of cancellations.
	InputPrefix = "ef/in/"
	// ClaimKey is the key that each claim of ownership writes. It has InputPrefix, so
	// that the watch of inputs shows a claim before the jobs that are accepted after it,
	// and follows the keys of jobs, so that a list of them shows one, too.
	ClaimKey = InputPrefix + "owner"
	// progressPrefix is the key prefix of job progress.
	progressPrefix = "ef/out/"
	// agentPrefix is the key prefix of agents that may hold work.
	agentPrefix = "ef/agent/"
)

// JobKey returns the key of an accepted job.
func JobKey(id string) string { return InputPrefix + "j" + id }

// CancelKey returns the key of a job's cancellation.
func CancelKey(id string) string { return InputPrefix + "x" + id }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id string) string { return progressPrefix + id }

// Intervals and timeouts of the owner.
const (
	// tickInterval is how often deadlines are checked.
	tickInterval = 50 * time.Millisecond
	// minPlanInterval is the shortest time between the starts of two placement
	// rounds. After a round, the next one starts no earlier than planIntervalFactor
	// times its duration, so that under load most of the processor is left for
	// messages of the agents.
	minPlanInterval    = 8 * time.Millisecond
	planIntervalFactor = 6
	// closedConfirmationTTL replaces ConfirmationTTL for the renewal of leases under a
	// closed registration: four intervals between confirmations.
	closedConfirmationTTL = 2 * time.Second
	// leaseMargin covers the delivery of a message and the handling of an expired
	// lease at a worker.
	leaseMargin = 150 * time.Millisecond
	// watchTimeout bounds a watch request, so that one that hears nothing is noticed:
	// accepted jobs and cancellations wait for it.
	watchTimeout = 500 * time.Millisecond
	// storeRetryDelay is the delay after a failed store call.
	storeRetryDelay = 100 * time.Millisecond
	// isolationTimeout is how long an agent may be silent before it counts as
	// unreachable, and how long most agents may then be unreachable before ownership
	// is released. It is shorter than a brief network partition and longer than two
	// lost heartbeats.
	isolationTimeout = 2200 * time.Millisecond
	// progressWriteDelay is how long changes of jobs that have not ended are collected
	// before they are written.
	progressWriteDelay = 150 * time.Millisecond
)

// queueCapacity bounds the actions that wait for the goroutine of Serve. When the
// queue is full, the reader of a connection blocks.
const queueCapacity = 1024

// Config holds the settings and dependencies of an Orchestrator.
type Config struct {
	// Term and Epoch identify the claim of this process. Every write requires that
	// the key OwnerKey still has the version Epoch.
	Term, Epoch uint64
	OwnerKey    string
	// ClaimedAt is when this process learned that its claim had taken effect. No earlier
	// owner has a confirmation of its ownership that is younger.
	ClaimedAt time.Time
	Store     *storer.Store
	// Now is a clock that includes the time during which the instance was
	// suspended; WallClock is the time of day.
	Now, WallClock func() time.Time
	// LeaseDuration is how long runs continue without a lease renewal by the owner.
	LeaseDuration time.Duration
	// ConfirmationTTL is how long a confirmation of ownership is valid.
	ConfirmationTTL time.Duration
	// PreviousOwnerTTL is how long an earlier owner may have sent commands after
	// the claim: ConfirmationTTL, or 0 if it had certainly stopped.
	PreviousOwnerTTL time.Duration
	// JobRetention is how long the state of an ended job is kept.
	JobRetention time.Duration
	// OwnershipConfirmedAt returns the time of the newest confirmation of
	// ownership; ConfirmOwnership records one.
	OwnershipConfirmedAt func() time.Time
	ConfirmOwnership     func(sent time.Time)
	// QueryPolicy asks the policy service of a queue which worker incarnations may
	// run a step, and how long the answer is valid.
	QueryPolicy func(ctx context.Context, step string, workers []string) ([]PolicyGrant, time.Duration, error)
	// HasStandby reports whether another live entry could own the pools.
	HasStandby func() bool
	Log        *zap.Logger
	// Count, Gauge and ObserveDuration record metrics; Gauge may be nil.
	Count           func(name string)
	Gauge           func(name string, value float64)
	ObserveDuration func(name string, d time.Duration)
}

// Orchestrator holds the state of the owner. Only the goroutine of Serve accesses
// it; other goroutines pass functions to that goroutine through actions.
type Orchestrator struct {
	cfg     Config
	actions chan func()
	// stopped is closed when the loop no longer reads actions, done when Serve has
	// returned.
	stopped, done chan struct{}
	loaded        bool
	// inputVersion is the version of the ledger up to which all inputs have been handled.
	inputVersion uint64
	jobs         map[string]*job
	openJobs     map[string]*job // jobs that have not ended
	// unreadableJobs are jobs whose progress can't be decoded. They are not
	// scheduled, since it is unknown which of their tasks have ended.
	unreadableJobs map[string]bool
	runs           map[runKey]*run
	agents         map[string]*agent
	// dirtyJobs are jobs whose progress is yet to be written to the ledger, in
	// order.
	dirtyJobs []*job
	// progressDue is when dirtyJobs are written at the latest.
	progressDue time.Time
	// writing is set while a commit is in flight.
	writing bool
	// starts limits how many bytes of starts are on their way to the agents.
	starts *regulator.Regulator
	// startsHeld is set if starts have been held back since the last confirmation.
	startsHeld bool
	// planDue is set when a placement round is due; nextPlan is the earliest time
	// at which it may start.
	planDue  bool
	nextPlan time.Time
	// policies holds the known grants by name of the step, for queues with a
	// policy; policyQueries counts the queries in flight.
	policies      map[string]*stepPolicy
	policyQueries int
	// predictor estimates the interference between images that share a worker.
	predictor *predictor.Predictor
	// meanSlowdown is the mean logarithm of the ratio of actual to estimated run
	// time.
	meanSlowdown movingAverage
	// lastPreemption is when victims for a more urgent task were last searched for.
	lastPreemption time.Time
	// lastRelocation is when slowed runs were last checked for relocation.
	lastRelocation time.Time
	// isolation decides whether to give ownership up because agents are unreachable.
	isolation isolation
	// blockingAgents is the number of agents that block tasks as last logged, at
	// blockingLoggedAt.
	blockingAgents   int
	blockingLoggedAt time.Time
	// reportStopsAt is when outstanding stops are reported next.
	reportStopsAt time.Time
	// stopReason is the error that Serve is to return.
	stopReason error
	background sync.WaitGroup
}

// job is a job in the ledger.
type job struct {
	*sequencer.Job
	// revision counts the changes of the progress; durableRevision is the newest
	// revision in the ledger.
	revision, durableRevision uint64
	dirty                     bool // it is in dirtyJobs
	// endWriting is set while a write of a final state is in flight, cancelWaiting once a
	// cancellation has been read meanwhile.
	endWriting, cancelWaiting bool
	liveRuns                  map[runKey]*run
	// suspected is set once a task of it was suspected of crashing workers.
	suspected bool
	// checkpointsSavedAt is the local time at which new checkpoints were last
	// queued for writing.
	checkpointsSavedAt time.Time
	// endedAt is the local time at which the job's final state became durable or,
	// for a job that was canceled or ended before, was first noticed.
	endedAt time.Time
}

// runKey identifies a run.
type runKey struct {
	task    string
	attempt uint64
}

// run is a run that may be active.
type run struct {
	key   runKey
	task  *sequencer.Task
	job   *job
	agent *agent
	// link and seq identify the command that started the run; a nil link means that
	// the run was adopted from the snapshot of the agent.
	link  *AgentLink
	seq   uint64
	phase messenger.Phase
	// stopSentOn is the connection on which a stop command was last sent, stopSeq the
	// number of that command. It is not sent again on that connection before stopAgainAt.
	stopSentOn  *AgentLink
	stopSeq     uint64
	stopAgainAt time.Time
	// stopWantedAt is when the run was to be stopped first; zero while it is not.
	stopWantedAt    time.Time
	progressPercent int
	measurement     int64
	pacePercent     int
	startedAt       time.Time
	// progressedAt is the local time at which progressPercent last grew. It is also
	// advanced while the run is throttled.
	progressedAt time.Time
	// throttled is set once the run was slowed; resumed is set for a run that began
	// from a checkpoint or was adopted.
	throttled, resumed bool
	// aliveAt is the local time of the last snapshot that showed it at work on a worker that
	// answers; progressed is set once it has saved a checkpoint or, if it runs long, is
	// fully at work.
	aliveAt    time.Time
	progressed bool
	// evict is set once the run is to be stopped.
	evict bool
	// moveTo is the agent on which capacity is reserved for the task of a run that is
	// stopped to move, until moveBy; nil for none.
	moveTo *agent
	moveBy time.Time
}

// New returns an Orchestrator; Serve runs it.
func New(cfg Config) *Orchestrator {
	if cfg.Gauge == nil {
		cfg.Gauge = func(string, float64) {}
	}
	return &Orchestrator{
		cfg: cfg, actions: make(chan func(), queueCapacity), stopped: make(chan struct{}), done: make(chan struct{}),
		jobs: map[string]*job{}, openJobs: map[string]*job{}, unreadableJobs: map[string]bool{}, runs: map[runKey]*run{}, agents: map[string]*agent{},
		predictor: predictor.New(), policies: map[string]*stepPolicy{}, starts: regulator.New(), isolation: isolation{firstContactBy: cfg.ClaimedAt.Add(firstContactTimeout)},
	}
}

// Serve schedules the pools until ctx ends or ownership is lost, and returns the
// reason.
func (o *Orchestrator) Serve(ctx context.Context) error {
	defer close(o.done)
	defer o.cfg.Gauge(oldestStopGauge, 0) // the next owner reports its own
	ctx, cancel := context.WithCancel(ctx)
	defer o.background.Wait() // after stopped is closed: enqueue blocks until then
	defer close(o.stopped)
	defer cancel()
	o.background.Go(func() { o.watchLedger(ctx) })
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var planTimer <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			o.cfg.Log.Info("orchestrator stopped", zap.Uint64("term", o.cfg.Term), zap.Int("open", len(o.openJobs)), zap.Int("runs", len(o.runs)))
			return nil
		case action := <-o.actions:
			action()
		case <-tick.C:
			o.tick(ctx)
		case <-planTimer:
			planTimer = nil
		}
		if o.stopReason != nil {
			o.cfg.Log.Warn("ownership ended", zap.Uint64("term", o.cfg.Term), zap.Error(o.stopReason))
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

// enqueue passes an action to the goroutine of Serve. It blocks while the queue is
// full and drops the action once Serve has ended.
func (o *Orchestrator) enqueue(action func()) {
	select {
	case o.actions <- action:
	case <-o.stopped:
	}
}

// ownershipCurrent reports whether the last confirmation of ownership is recent
// enough for this process to send commands.
func (o *Orchestrator) ownershipCurrent() bool { return o.confirmedWithin(o.cfg.ConfirmationTTL) }

// confirmedWithin reports whether ownership was confirmed less than ttl ago.
func (o *Orchestrator) confirmedWithin(ttl time.Duration) bool {
	return o.cfg.Now().Sub(o.cfg.OwnershipConfirmedAt()) < ttl
}

// mayRenew reports whether the lease of an agent may be renewed.
func (o *Orchestrator) mayRenew(a *agent) bool {
	ttl := o.cfg.ConfirmationTTL
	if !a.mayRunAny {
		ttl = min(ttl, closedConfirmationTTL)
	}
	return a.keyVersion != 0 && o.confirmedWithin(ttl)
}

// tick checks deadlines.
func (o *Orchestrator) tick(ctx context.Context) {
	now := o.cfg.Now()
	o.starts.Expire(now)
	reachable := 0
	for _, a := range o.agents {
		if a.link != nil && now.Sub(a.lastSnapshotAt) < isolationTimeout {
			reachable++
		}
		o.closeRegistration(a, now)
		o.boundRegistration(a)
		o.expireLease(a, now)
	}
	if o.loaded && o.isolation.giveUp(now, reachable, len(o.agents)) && o.cfg.HasStandby() {
		o.stopReason = ErrAgentsUnreachable
	}
	if o.loaded {
		o.logBlockingAgents(now)
		o.reportStops(now)
		o.evacuate()
		o.relocateSlowedRuns(now)
		o.stopIncompleteGangs()
		o.planDue = o.planDue || len(o.openJobs) > 0
		o.deleteExpiredJobs(ctx, now)
	}
}
