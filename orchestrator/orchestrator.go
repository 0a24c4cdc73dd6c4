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

	"github.com/endivefall/endivefall/apportioner"
	"github.com/endivefall/endivefall/authorizer"
	"github.com/endivefall/endivefall/delayer"
	"github.com/endivefall/endivefall/evacuator"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/predictor"
	"github.com/endivefall/endivefall/provisioner"
	"github.com/endivefall/endivefall/regulator"
	"github.com/endivefall/endivefall/sequencer"
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
	// claims has the room that is kept for tasks, at most one claim for each.
	claims map[*sequencer.Task]*claim
	// shares has what was started lately, by pool.
	shares map[string]*apportioner.Share
	// shortDemands has the demand of short tasks, by pool.
	shortDemands map[string]*provisioner.Demand
	// delayers decide which tasks wait for their rack, by pool, if RemoteFactor is known.
	delayers map[string]*delayer.Delayer
	// lastClaims is when room for waiting tasks was last searched for.
	lastClaims time.Time
	agents     map[string]*agent
	// dirtyJobs are jobs whose progress is yet to be written to the ledger, in
	// order.
	dirtyJobs []*job
	// heldWrites has the jobs whose progress the ledger has rejected though it was written apart. They are not in
	// dirtyJobs.
	heldWrites map[*job]bool
	// progressDue is when dirtyJobs are written at the latest.
	progressDue time.Time
	// writing is set while a commit is in flight.
	writing bool
	// rosterDueAt is when the roster is written next, zero while all connected agents are in
	// it; rosterVersion is the version of its key.
	rosterDueAt   time.Time
	rosterVersion uint64
	// granting has the runs whose grants are not known to be durable. Nothing of them has been
	// sent.
	granting map[*run]bool
	// grantsAdopted is set once the jobs that earlier owners started without grants have them.
	grantsAdopted bool
	// starts limits how many bytes of starts are on their way to the agents.
	starts *regulator.Regulator
	// startsHeld is set if starts have been held back since the last confirmation.
	startsHeld bool
	// planDue is set when a placement round is due; nextPlan is the earliest time
	// at which it may start.
	planDue  bool
	nextPlan time.Time
	// configVersion is the version of the configuration that the open jobs follow.
	configVersion uint64
	// authorizer has the answers of the policy service, and decides what it is asked next.
	authorizer *authorizer.Authorizer
	// predictor estimates the interference between images that share a worker.
	predictor *predictor.Predictor
	// meanSlowdown is the mean logarithm of the ratio of actual to estimated run
	// time.
	meanSlowdown movingAverage
	// lastPreemption is when victims for a more urgent task were last searched for.
	lastPreemption time.Time
	// lastRelocation is when slowed runs were last checked for relocation.
	lastRelocation time.Time
	// evacuations are the evacuated domains as last reported. lastEvacuation is when runs were last moved out of
	// them, staysLoggedAt when it was last logged what stays there. roomless has the long-running ones that
	// were to leave and found no room then. unnamedDomains are those for which it was checked if any worker is
	// in them.
	evacuations    evacuator.View
	lastEvacuation time.Time
	staysLoggedAt  time.Time
	roomless       map[*run]bool
	// unplacedMoves has the runs that are to leave their workers and found none that takes them, with the time at
	// which that was seen last.
	unplacedMoves  map[*run]time.Time
	unnamedDomains map[string]bool
	// isolation decides whether to give ownership up because agents are unreachable.
	isolation isolation
	// blockingAgents is the number of agents that block tasks as last logged, at
	// blockingLoggedAt.
	blockingAgents   int
	blockingLoggedAt time.Time
	// reportStopsAt is when outstanding stops are reported next.
	reportStopsAt time.Time
	// waitLoggedAt is when the task that waits the longest was last logged.
	waitLoggedAt time.Time
	// orderReportedAt is the wall time at which the order of waiting jobs was last reported.
	orderReportedAt time.Time
	// waitsNoted is set once a round of placement has noted which tasks wait.
	waitsNoted bool
	// stopReason is the error that Serve is to return.
	stopReason error
	background sync.WaitGroup
}

// New returns an Orchestrator; Serve runs it.
func New(cfg Config) *Orchestrator {
	if cfg.Gauge == nil {
		cfg.Gauge = func(meter.Gauge, float64) {}
	}
	if cfg.ConfirmAfter == nil {
		cfg.ConfirmAfter = func(time.Time) {}
	}
	if cfg.Placement == nil {
		cfg.ConfigVersion = func() uint64 { return 0 }
		cfg.Placement = func(*sequencer.Spec) (sequencer.Placement, bool) { return sequencer.Placement{}, false }
	}
	if cfg.Evacuations == nil {
		cfg.Evacuations = func() evacuator.View { return evacuator.View{} }
	}
	if cfg.KnownSince == nil {
		cfg.KnownSince = func(uint64) (time.Time, bool) { return time.Time{}, false }
	}
	return &Orchestrator{
		cfg: cfg, actions: make(chan func(), queueCapacity), stopped: make(chan struct{}), done: make(chan struct{}),
		jobs: map[string]*job{}, openJobs: map[string]*job{}, unreadableJobs: map[string]bool{}, runs: map[runKey]*run{}, granting: map[*run]bool{}, heldWrites: map[*job]bool{}, claims: map[*sequencer.Task]*claim{}, roomless: map[*run]bool{}, unplacedMoves: map[*run]time.Time{}, unnamedDomains: map[string]bool{}, shares: map[string]*apportioner.Share{}, delayers: map[string]*delayer.Delayer{}, shortDemands: map[string]*provisioner.Demand{}, agents: map[string]*agent{},
		predictor: predictor.New(), authorizer: authorizer.New(), starts: regulator.New(), isolation: isolation{firstContactBy: cfg.ClaimedAt.Add(firstContactTimeout)},
	}
}

// Serve schedules the pools until ctx ends or ownership is lost, and returns the
// reason.
func (o *Orchestrator) Serve(ctx context.Context) error {
	defer close(o.done)
	defer func() { // the next owner reports its own
		for _, g := range []meter.Gauge{
			meter.OldestStop, meter.WaitingCommands, meter.LastingWaits, meter.BlockedWaits, meter.RoomClaims, meter.EvacuatedDomains, meter.EvacuatingRuns, meter.RackWaits,
			meter.PolicyWaits, meter.OldestPolicyWait,
		} {
			o.cfg.Gauge(g, 0)
		}
	}()
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
			o.cfg.ObserveDuration(meter.Plans, took)
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
func (o *Orchestrator) ownershipCurrent() bool {
	return o.confirmedWithin(o.cfg.UnextendedTTL) || o.confirmedWithin(o.cfg.ConfirmationTTL) && o.cfg.ConfirmationExtended()
}

// confirmedWithin reports whether ownership was confirmed less than ttl ago.
func (o *Orchestrator) confirmedWithin(ttl time.Duration) bool {
	return o.cfg.Now().Sub(o.cfg.OwnershipConfirmedAt()) < ttl
}

// mayRenew reports whether the lease of an agent may be renewed.
func (o *Orchestrator) mayRenew(a *agent) bool {
	return a.registration.MayRenew() && o.rosterAllows(a) && o.ownershipCurrent() && (a.registration.Open() || o.confirmedWithin(closedConfirmationTTL))
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
		o.adoptGrants()
		o.followQueues()
		o.releaseHeldWrites(now)
		o.followEvacuations(now)
		o.evacuate()
		o.evacuateDomains(now)
		o.relocateSlowedRuns(now)
		o.stopIncompleteGangs()
		o.planDue = o.planDue || len(o.openJobs) > 0
		o.deleteExpiredJobs(ctx, now)
	}
}
