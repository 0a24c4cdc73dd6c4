// Package supervisor controls one worker of a pool from its agent: it starts and
// stops runs, renews their lease, and reports running and ended runs to the
// pool's owner. No other package calls the worker.
package supervisor

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/differ"
	"github.com/endivefall/endivefall/estimator"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/pacer"
	"github.com/endivefall/endivefall/storer"
)

// Timeouts and intervals of calls to the worker.
const (
	// callTimeout bounds a call to a worker; replies take 1 to 2 ms.
	callTimeout = 700 * time.Millisecond
	// minReplyTimeout bounds a start, stop or set pace call, and a list request beyond its wait, unless
	// the worker has taken long for its last list. A short task that waits for longer misses its
	// objective; its end, too, shows only in a list. What is given up too early costs one more call:
	// the fence tells what became of a start. An agent whose processor is capped may be delayed by a
	// tenth of a second.
	minReplyTimeout = 250 * time.Millisecond
	// maxUnansweredStarts is the number of start calls in a row without a reply from which on a start
	// gets callTimeout: the worker may take longer for starts than for lists.
	maxUnansweredStarts = 2
	// replyTimeFactor is how much longer than the last reply the next one may take.
	replyTimeFactor = 2
	// probeTimeout bounds a list request to a worker that did not answer the last one,
	// for probeDuration; a worker that is slow for longer gets the usual time.
	probeTimeout  = 200 * time.Millisecond
	probeDuration = 1500 * time.Millisecond
	// listWait is how long the worker may hold a list request until a run
	// ends. It bounds the delay of lease renewals and of acknowledged ends.
	listWait = 500 * time.Millisecond
	// measurementWait replaces listWait where each new measurement is to be
	// read soon.
	measurementWait = 100 * time.Millisecond
	// minListInterval is the minimum time between two list requests.
	minListInterval = 15 * time.Millisecond
	// retryDelay is the minimum time between a failed list request and the next
	// one, and the delay after a failed set pace call.
	retryDelay = 100 * time.Millisecond
	// leaseExpiryMargin covers the transit time of a call that carried a lease.
	leaseExpiryMargin = 100 * time.Millisecond
	// minStartLease is the minimum remaining lease for sending a start.
	minStartLease = 500 * time.Millisecond
)

// Config configures a Supervisor.
type Config struct {
	// ID identifies the instance, Incarnation this process of the agent.
	ID, Incarnation string
	Worker          WorkerClient
	// LeaseDuration is how long runs continue without contact to the owner.
	LeaseDuration time.Duration
	// Now reads a clock that also advances while the instance is suspended; WallClock is
	// the time of day, time.Now when nil.
	Now, WallClock func() time.Time
	Log            *zap.Logger
	// FindOwner returns the owner's address and term.
	FindOwner func(ctx context.Context) (netip.AddrPort, uint64, error)
	// GetItem and Commit reach the store, so that an agent that ends without an owner can
	// close its registration; nil if it can't.
	GetItem func(ctx context.Context, key string) (storer.Item, error)
	Commit  func(ctx context.Context, change storer.Transaction) (uint64, error)
	// Client opens connections to owners.
	Client *http.Client
	// OnPeers is called with the addresses of the entries that the owner knows.
	OnPeers func([]netip.AddrPort)
	// Count increments the counter of a name, Gauge sets the gauge of a name.
	Count func(c meter.Counter)
	Gauge func(g meter.Gauge, value float64)
	// Pacer decides the paces of best-effort tasks; nil if none is ever slowed.
	Pacer *pacer.Pacer
}

// Supervisor controls one worker.
type Supervisor struct {
	cfg Config
	// dirty holds a token while there are changes that no snapshot has carried.
	dirty chan struct{}
	// applied holds a token while AwaitOwner has not seen the latest appliedSentAt.
	applied chan struct{}
	// listNow holds a token while the next list request must not wait for an end.
	listNow chan struct{}
	// changed holds a token while a run may need a call that enforceLoop has not seen.
	changed chan struct{}

	mu sync.Mutex
	// heartbeat is the newest heartbeat of the worker's current incarnation, empty
	// while none is confirmed.
	heartbeat Heartbeat
	// workerlessSince is the local time since which no incarnation has been confirmed; zero while one is.
	workerlessSince time.Time
	// reconciled is set once runs has been compared with the incarnation's lists, and
	// complete once one of them had all runs and all ends: since then, each run of the
	// incarnation whose end is not acknowledged is in runs or ends.
	reconciled, complete bool
	// endsUnlisted is set while the last list may have lacked ends.
	endsUnlisted bool
	// draining is set when the worker has announced that it is shutting down, closed once it
	// has closed the connection of a call since then.
	draining, closed bool
	// leaving is set once this process of the agent is to end; it starts nothing more.
	leaving bool
	// leaveAfter is the time on the worker's clock from which on an owner has to have applied a
	// snapshot before the agent ends.
	leaveAfter time.Time
	// fence is the fencing number of calls, above every number used before for this
	// worker ID. earlierFence is the last one used for the incarnation that ended last,
	// which had earlierWorkerID and earlierStartedAt.
	fence, earlierFence uint64
	earlierWorkerID     string
	earlierStartedAt    time.Time
	// fenceStep is by how much the fence was last raised because the worker had seen a
	// higher one; it doubles until a list request succeeds.
	fenceStep uint64
	// term is the highest term received of any owner. termLeasedSince is the ownerLeaseSince at
	// that moment; zero if the lease was over.
	term            uint64
	termLeasedSince time.Time
	// ownerLeaseUntil is the local time before which no owner counts the lease as over, whichever
	// incarnation of the worker it was granted for. Since ownerLeaseSince it has never been.
	ownerLeaseUntil, ownerLeaseSince time.Time
	// leaseExpiresAt is when the runs' lease expires, on the worker's clock. It
	// never decreases within an incarnation.
	leaseExpiresAt time.Time
	// sentLease is the latest lease expiry that a call to this incarnation may
	// have carried.
	sentLease time.Time
	// appliedSentAt is the SentAt of the newest snapshot of this incarnation that an
	// owner has applied.
	appliedSentAt time.Time
	// workerClock is the latest time read from the worker's clock, clockReadAt the
	// local time at which the reply arrived.
	workerClock, clockReadAt time.Time
	// replyTime is how long the worker took for its last lists, beyond their waits; the longest time
	// is forgotten by an eighth with each list.
	replyTime time.Duration
	// unansweredStarts is the number of start calls in a row that got no reply.
	unansweredStarts int
	// unreachableSince is when the first list request failed since the worker last
	// answered one; zero while it answers.
	unreachableSince time.Time
	// aliveAt is the local time of the last reply of the incarnation; brokenAt is when its
	// connection broke, zero while it answers or if it fell silent instead.
	aliveAt, brokenAt time.Time
	runs              map[runKey]*run
	// unknownStops are the stops of runs that are not in runs, with the local time of their
	// arrival. The next list that is requested settles them.
	unknownStops map[runKey]time.Time
	ends         []pendingEnd
	// ownerHeardAt is when the owner last answered on the current connection.
	ownerHeardAt time.Time
	// lastEnd is the newest sequence number that this process has given to an
	// end. seenEnd is the newest of the worker's own numbers that was processed,
	// ackedEnd the newest that the worker may discard.
	lastEnd, seenEnd, ackedEnd uint64
	// commandSeq is the number of the last command on the current connection.
	commandSeq uint64
	// payloads are those that the owner has sent on the current connection.
	payloads differ.PayloadDecoder
	// ownerConfirmedAt is when the owner last confirmed its ownership on the current
	// connection, or when that was opened.
	ownerConfirmedAt time.Time
	// loadLoggedAt is when the worker's load was last logged.
	loadLoggedAt time.Time
	// reportStopsAt is when outstanding stops are reported next.
	reportStopsAt time.Time
	// conn is the connection to the owner, or nil.
	conn  *messenger.Conn
	calls sync.WaitGroup
}

// New returns a Supervisor; Serve runs it.
func New(cfg Config) *Supervisor {
	if cfg.Count == nil {
		cfg.Count = func(meter.Counter) {}
	}
	if cfg.Gauge == nil {
		cfg.Gauge = func(meter.Gauge, float64) {}
	}
	if cfg.WallClock == nil {
		cfg.WallClock = time.Now
	}
	if cfg.OnPeers == nil {
		cfg.OnPeers = func([]netip.AddrPort) {}
	}
	return &Supervisor{
		cfg: cfg, dirty: make(chan struct{}, 1), applied: make(chan struct{}, 1), listNow: make(chan struct{}, 1), changed: make(chan struct{}, 1),
		runs: map[runKey]*run{}, unknownStops: map[runKey]time.Time{}, workerlessSince: cfg.Now(),
	}
}

// Serve controls the worker until ctx ends and all calls have returned.
func (s *Supervisor) Serve(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { s.listLoop(ctx) })
	loops.Go(func() { s.ownerLoop(ctx) })
	loops.Go(func() { s.enforceLoop(ctx) })
	loops.Wait()
	s.calls.Wait()
}

// markDirty requests a snapshot to the owner. The caller need not hold mu.
func (s *Supervisor) markDirty() {
	select {
	case s.dirty <- struct{}{}:
	default:
	}
}

// requestList makes the next list request return without waiting for an end.
func (s *Supervisor) requestList() {
	select {
	case s.listNow <- struct{}{}:
	default:
	}
}

// workerNow returns a lower bound of the present time on the worker's clock.
func (s *Supervisor) workerNow() time.Time {
	return s.workerClock.Add(estimator.MinWorkerElapsed(s.cfg.Now().Sub(s.clockReadAt)))
}

// leasesExpired reports whether every lease sent to the worker has certainly
// expired.
func (s *Supervisor) leasesExpired() bool {
	if s.sentLease.IsZero() {
		return true
	}
	return s.workerNow().After(s.sentLease.Add(leaseExpiryMargin))
}

// snapshot returns the state that is reported to the owner.
func (s *Supervisor) snapshot() *messenger.WorkerSnapshot {
	snap := &messenger.WorkerSnapshot{
		Term: s.term, Seq: s.commandSeq, WorkerIncarnation: s.heartbeat.Incarnation(), CPU: s.heartbeat.CPU, Memory: s.heartbeat.Memory, GPU: s.heartbeat.GPU,
		Labels: s.heartbeat.Labels, Pool: s.heartbeat.Pool, Domain: s.heartbeat.Domain, Draining: s.heartbeat.Draining || s.draining,
		Unreachable: !s.unreachableSince.IsZero() && s.cfg.Now().Sub(s.unreachableSince) > time.Second, Reconciled: s.reconciled,
		WarmupMs: s.heartbeat.Warmup.Milliseconds(), MayStart: s.blockedReason() == "",
		Complete: s.complete && len(s.ends) <= maxSnapshotEnds, EndsUnlisted: s.endsUnlisted, Leaving: s.leaving, Current: true,
	}
	if s.cfg.Pacer != nil {
		snap.MeasurementUpdates = s.cfg.Pacer.MeasurementUpdates
	}
	if s.heartbeat.Incarnation() != "" {
		snap.SentAt = s.workerNow()
	}
	if !s.workerlessSince.IsZero() {
		snap.WorkerlessMs = max(s.cfg.Now().Sub(s.workerlessSince).Milliseconds(), 1)
	}
	if s.heartbeat.Draining && !s.heartbeat.EarliestExit.IsZero() {
		snap.DrainRemainingMs = max(s.heartbeat.EarliestExit.Sub(s.workerNow()).Milliseconds(), 0)
	}
	for _, r := range s.sortedRuns() {
		snap.Runs = append(snap.Runs, r.status())
		snap.Current = snap.Current && (r.phase == messenger.PhaseStarting || r.seenTerm == s.term)
	}
	for i := range s.ends[:min(len(s.ends), maxSnapshotEnds)] {
		e := &s.ends[i]
		if s.endHeld(e) {
			snap.Complete = false
			break
		}
		if !e.sent && !s.termLeasedSince.IsZero() && !e.workedAt.Before(s.termLeasedSince) {
			e.UntoldTerm = s.term
		}
		if e.lasting && !e.sent {
			s.leaveAfter = snap.SentAt
		}
		e.sent = true
		snap.RunEnds = append(snap.RunEnds, e.RunEnd)
	}
	return snap
}

// maxSnapshotEnds bounds the ends in one snapshot: 500 take about 30 KB.
const maxSnapshotEnds = 500

// blockedReason returns why no run may be started now, or an empty string.
func (s *Supervisor) blockedReason() string {
	switch {
	case s.heartbeat.Incarnation() == "":
		return "no worker"
	case s.leaving:
		return "agent is ending"
	case !s.reconciled:
		return "not surveyed"
	case s.heartbeat.Draining || s.draining:
		return "draining"
	case !s.unreachableSince.IsZero():
		return "worker does not answer"
	case s.leaseExpiresAt.Sub(s.workerNow()) < minStartLease:
		return "no lease"
	}
	return ""
}

// endRun moves a run from runs to ends. runEnd holds how the run ended, workerSeq
// is the worker's number of the end, or 0 if the worker has not listed it.
func (s *Supervisor) endRun(r *run, runEnd messenger.RunEnd, workerSeq uint64) {
	if r.ended {
		return
	}
	r.ended = true
	delete(s.runs, runKey{r.task, r.attempt})
	runEnd.Task, runEnd.Attempt = r.task, r.attempt
	runEnd.Crash, runEnd.Failures = r.crash, r.failures
	if runEnd.Checkpoint == "" {
		runEnd.Checkpoint = r.checkpoint
	}
	var workedAt time.Time
	if r.phase == messenger.PhaseRunning {
		workedAt = r.workedAt
	}
	s.addEnd(pendingEnd{RunEnd: runEnd, workerSeq: workerSeq, workedAt: workedAt, lasting: r.spec.LongRunning})
}

// addEnd numbers an end and adds it to those reported to the owner.
func (s *Supervisor) addEnd(e pendingEnd) {
	s.lastEnd++
	e.Seq, e.knownAt = s.lastEnd, s.cfg.Now()
	s.ends = append(s.ends, e)
	runEnd, workerSeq := e.RunEnd, e.workerSeq
	fields := []zap.Field{
		zap.String("task", runEnd.Task), zap.Uint64("attempt", runEnd.Attempt), zap.Stringer("how", runEnd.Status), zap.String("reason", runEnd.Reason),
		zap.Uint64("listed", workerSeq), zap.String("worker", s.heartbeat.Incarnation()),
	}
	if crash := runEnd.Crash; crash != nil {
		fields = append(fields, zap.String("crashed", crash.Worker), zap.Duration("worked_min", crash.MinWorked()), zap.Duration("worked_max", crash.MaxWorked()))
	}
	s.cfg.Log.Info("run ended", fields...)
	s.markDirty()
}

// dropAckedEnds drops the ends that the owner has stored durably.
func (s *Supervisor) dropAckedEnds(acked uint64) {
	n := 0
	for n < len(s.ends) && s.ends[n].Seq <= acked {
		s.ackedEnd = max(s.ackedEnd, s.ends[n].workerSeq)
		n++
	}
	if n > 0 {
		s.ends = slices.Delete(s.ends, 0, n)
		s.requestList()
	}
}

func (s *Supervisor) sortedRuns() []*run {
	list := slices.Collect(maps.Values(s.runs))
	slices.SortFunc(list, func(a, b *run) int { return strings.Compare(a.task, b.task) })
	return list
}
