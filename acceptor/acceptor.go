// Package acceptor handles callers' job submissions, state queries and cancels.
// A job is accepted once it is in the store, so that any entry can accept it.
package acceptor

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/retrier"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
	"github.com/endivefall/endivefall/waiter"
)

// Errors of a call.
var (
	// ErrNotAccepted means that the job was not stored and will not run.
	ErrNotAccepted = errors.New("not accepted, nothing was stored")
	// ErrUnknownOutcome means that the call may have taken effect or may still do so.
	ErrUnknownOutcome = errors.New("it is not known whether the job was accepted")
	// ErrNotFound means that the queue has no such job. After a cancel, no earlier
	// submission of it runs either.
	ErrNotFound = errors.New("no such job")
	// ErrStateUnavailable means that the state can't be read at present.
	ErrStateUnavailable = errors.New("state is unavailable")
)

// Limits and timeouts.
const (
	// maxQueued bounds the submissions that wait for the store; any more are
	// rejected. It is two seconds of the store's full write rate, which is queueDrainTime.
	maxQueued      = 800
	queueDrainTime = 2 * time.Second
	// writerCount is the number of concurrent transactions.
	writerCount = 3
	// maxBatchJobs bounds the jobs in one transaction; each needs a check and a
	// write.
	maxBatchJobs = storer.MaxTransactionOps/2 - 1
	// unavailableRetryLimit is how long writes to an unavailable store are retried
	// before the job is rejected: the caller's next attempt may reach an entry
	// that the store serves.
	unavailableRetryLimit = 350 * time.Millisecond
	// failFastAfter is how long the store may answer no write before new jobs are
	// rejected at once.
	failFastAfter = 600 * time.Millisecond
	// probeInterval is the time between reads of probeKey, a key that is never
	// written, that detect when such a store answers again.
	probeInterval = 300 * time.Millisecond
	probeKey      = "ef/probe"
	// inDoubtRetryLimit is how long a write with an unknown outcome is retried
	// before the caller gets ErrUnknownOutcome and can query another entry.
	inDoubtRetryLimit = 1300 * time.Millisecond
	// inDoubtTTL is how long a write with an unknown outcome may still take effect.
	// The platform specifies seconds, and callers retry for less than this.
	inDoubtTTL = 30 * time.Second
	// tombstoneRate and maxTombstones bound the cancels of unknown jobs that are stored, a
	// second and at once. The owner keeps each as long as an ended job.
	tombstoneRate = 10
	maxTombstones = 100
	// tombstoneRoom is the period over which callers whose cancels exceed that are spread.
	tombstoneRoom = time.Second
	// retryDelay is the delay after a failed call to the store or the owner.
	retryDelay = 40 * time.Millisecond
	// pendingTimeout bounds the wait for an owner that knows a queue's pending
	// jobs: a takeover lasts up to half a second.
	pendingTimeout = time.Second
	// stateQueryTimeout bounds a state query to the owner before the store is read.
	stateQueryTimeout = 400 * time.Millisecond
	// defaultSubmitTimeout applies to callers that set no deadline.
	defaultSubmitTimeout = 3 * time.Second
	// replyMargin is the part of a caller's timeout reserved for the reply.
	replyMargin = 150 * time.Millisecond
)

// Config configures an Acceptor.
type Config struct {
	Store *storer.Store
	// AskOwner sends a query to the owner.
	AskOwner func(ctx context.Context, query messenger.StateQuery) (messenger.StateReply, error)
	// BroadcastInDoubt sends the IDs of jobs in doubt to the other entries.
	BroadcastInDoubt func(jobs []string)
	// PeersConnected reports whether broadcasts of the other entries could have
	// reached this one.
	PeersConnected  func() bool
	Now             func() time.Time
	WallClock       func() time.Time
	Log             *zap.Logger
	Count           func(c meter.Counter)
	ObserveDuration func(h meter.Histogram, d time.Duration)
}

// Acceptor handles the calls of callers. It is safe for concurrent use.
type Acceptor struct {
	cfg         Config
	queues      atomic.Pointer[Queues]
	submissions chan *submission
	// downSince is when the first write failed since the store last answered, in
	// Unix ns; 0 while it answers.
	downSince atomic.Int64

	// tombstones limits the tombstones that are written.
	tombstones *rate.Limiter

	mu sync.Mutex
	// inDoubtUntil holds the jobs whose write had an unknown outcome, here or at
	// another entry, with the time until which it may take effect; mu guards it.
	inDoubtUntil map[string]time.Time
	// ownInDoubtUntil holds those of them that were written here. What others report does
	// not prolong it, so that entries don't keep a doubt alive between them.
	ownInDoubtUntil map[string]time.Time
}

// New returns an Acceptor, which stores no jobs until Serve runs.
func New(cfg Config) *Acceptor {
	return &Acceptor{cfg: cfg, submissions: make(chan *submission, maxQueued), inDoubtUntil: map[string]time.Time{}, ownInDoubtUntil: map[string]time.Time{}, tombstones: rate.NewLimiter(tombstoneRate, maxTombstones)}
}

// Configure sets the queues unless the current version is the same or newer.
func (a *Acceptor) Configure(q *Queues) {
	for {
		old := a.queues.Load()
		if old != nil && old.Version >= q.Version {
			return
		}
		if a.queues.CompareAndSwap(old, q) {
			a.cfg.Log.Info("configuration applied", zap.Uint64("version", q.Version), zap.Int("hosts", len(q.byHost)))
			return
		}
	}
}

// Queues returns the current queues, or nil before the first Configure.
func (a *Acceptor) Queues() *Queues { return a.queues.Load() }

// Serve writes submissions to the store until ctx ends.
func (a *Acceptor) Serve(ctx context.Context) {
	var loops sync.WaitGroup
	for range writerCount {
		loops.Go(func() { a.writeLoop(ctx) })
	}
	loops.Go(func() { a.probeLoop(ctx) })
	loops.Wait()
}

// probeLoop probes a store that answers no writes, so that no caller has to wait
// to find out whether it answers again.
func (a *Acceptor) probeLoop(ctx context.Context) {
	waiter.Every(ctx, probeInterval, func() {
		since, ok := a.StoreWritable()
		if ok || a.cfg.Now().Sub(since) <= failFastAfter {
			return
		}
		_, err := a.cfg.Store.Get(ctx, probeKey)
		if err == nil || errors.Is(err, storer.ErrNotFound) {
			a.downSince.Store(0)
			a.cfg.Log.Info("store answers again; accepting jobs", zap.Duration("after", a.cfg.Now().Sub(since)))
		}
	})
}

// CheckWritable returns the error with which Submit rejects a job at once, while
// the store answers no writes; otherwise nil.
func (a *Acceptor) CheckWritable(id string) error {
	since, ok := a.StoreWritable()
	if down := a.cfg.Now().Sub(since); !ok && down > failFastAfter {
		return a.rejectionError(id, retrier.StoreUnavailable, 0, fmt.Sprintf("the store has answered no write for %s", down.Round(time.Millisecond)))
	}
	return nil
}

// mayBeStored reports whether a write of the job is known to have an unknown outcome.
func (a *Acceptor) mayBeStored(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	until, inDoubt := a.inDoubtUntil[id]
	return inDoubt && a.cfg.Now().Before(until)
}

// MarkInDoubt records jobs that may have been stored, here or at another entry.
func (a *Acceptor) MarkInDoubt(jobs []string) {
	now := a.cfg.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, until := range a.inDoubtUntil {
		if now.After(until) {
			delete(a.inDoubtUntil, id)
		}
	}
	for _, id := range jobs {
		a.inDoubtUntil[id] = now.Add(inDoubtTTL)
	}
}

// markOwnInDoubt records jobs whose write here had an unknown outcome.
func (a *Acceptor) markOwnInDoubt(jobs []string) {
	a.MarkInDoubt(jobs)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range jobs {
		a.ownInDoubtUntil[id] = a.inDoubtUntil[id]
	}
}

// OwnInDoubt returns the jobs that may have been stored by writes of this entry.
func (a *Acceptor) OwnInDoubt() []string {
	now := a.cfg.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.ownInDoubtUntil, func(_ string, until time.Time) bool { return now.After(until) })
	return slices.Sorted(maps.Keys(a.ownInDoubtUntil))
}

// InDoubt returns the jobs that may have been stored. Jobs whose time has passed
// are included until the next MarkInDoubt.
func (a *Acceptor) InDoubt() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Sorted(maps.Keys(a.inDoubtUntil))
}

// Submit stores a job within the deadline of ctx. A stored job with the same ID is
// the same job.
func (a *Acceptor) Submit(ctx context.Context, spec *sequencer.Spec) error {
	return a.SubmitHeld(ctx, spec, nil)
}

// SubmitHeld is Submit for a job whose memory the caller accounts for. It calls release, unless
// that is nil, once nothing holds the job any more. That may be after it has returned: if ctx
// ends, the write continues.
func (a *Acceptor) SubmitHeld(ctx context.Context, spec *sequencer.Spec, release func()) error {
	sub, err := a.enqueue(ctx, spec)
	if err != nil {
		if release != nil {
			release()
		}
		return err
	}
	select {
	case err = <-sub.done:
		if release != nil {
			release()
		}
	case <-ctx.Done():
		err = ErrUnknownOutcome // the caller has gone; the write continues
		a.markOwnInDoubt([]string{spec.ID})
		if release != nil {
			go func() {
				<-sub.done
				release()
			}()
		}
	}
	a.cfg.ObserveDuration(meter.Submissions, a.cfg.Now().Sub(sub.receivedAt))
	return err
}

// enqueue queues a job for the next write.
func (a *Acceptor) enqueue(ctx context.Context, spec *sequencer.Spec) (*submission, error) {
	spec.AcceptedAt = a.cfg.WallClock()
	if err := spec.Check(); err != nil {
		return nil, err
	}
	value, err := spec.Encode()
	if err != nil {
		return nil, err
	}
	sub := &submission{spec: spec, value: value, receivedAt: a.cfg.Now(), done: make(chan error, 1)}
	sub.deadline = sub.receivedAt.Add(defaultSubmitTimeout)
	if deadline, ok := ctx.Deadline(); ok {
		sub.deadline = sub.receivedAt.Add(time.Until(deadline)) // the wall clock may jump meanwhile
	}
	if err := a.CheckWritable(spec.ID); err != nil {
		return nil, err
	}
	select {
	case a.submissions <- sub:
		return sub, nil
	default:
		return nil, a.rejectionError(spec.ID, retrier.QueueFull, queueDrainTime, fmt.Sprintf("%d jobs are waiting for the store", maxQueued))
	}
}

// StoreWritable returns ok while the store answers writes or none was sent, and
// otherwise since when it has answered none.
func (a *Acceptor) StoreWritable() (since time.Time, ok bool) {
	downSince := a.downSince.Load()
	return time.Unix(0, downSince), downSince == 0
}
