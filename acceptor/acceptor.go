// Package acceptor takes jobs, questions and cancels of callers. A job is
// accepted once the store has it; whichever entry a caller reaches can do that.
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

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
	"github.com/endivefall/endivefall/waiter"
)

// Errors of a call.
var (
	// ErrNotAccepted says that nothing was stored and nothing will run.
	ErrNotAccepted = errors.New("not accepted, nothing was stored")
	// ErrUnknownOutcome says that the job may have been accepted.
	ErrUnknownOutcome = errors.New("it is not known whether the job was accepted")
	// ErrNotFound says that there is no such job in the queue.
	ErrNotFound = errors.New("no such job")
	// ErrStateUnavailable says that the state can't be read now.
	ErrStateUnavailable = errors.New("state can't be read now")
)

// Bounds of the work.
const (
	// waiting bounds the submissions that wait for the store, beyond which
	// more are turned away: two seconds of the store's whole write rate.
	waiting = 800
	// writers is how many transactions are on their way at once.
	writers = 3
	// batchJobs bounds the jobs in one transaction; each takes a check and a
	// write.
	batchJobs = storer.MaxTransactionOps/2 - 1
	// patience is how long a store that does nothing is asked again before the
	// job is turned away: a caller's next try may reach an entry that is served.
	patience = 350 * time.Millisecond
	// breakAfter is how long the store may answer no write before new jobs are
	// turned away at once.
	breakAfter = 600 * time.Millisecond
	// probeEvery is how often such a store is asked whether it is back, with a
	// key that is never written.
	probeEvery = 300 * time.Millisecond
	probeKey   = "ef/probe"
	// doubtPatience is how long a write without an answer is tried again before
	// the caller is told that its fate is not known: it can ask another entry.
	doubtPatience = 1300 * time.Millisecond
	// doubtFor is how long a write without an answer may still take effect: the
	// platform states seconds, and callers try again for less.
	doubtFor = 30 * time.Second
	// retryPause is the wait after a failed call to the store.
	retryPause = 40 * time.Millisecond
	// countTimeout bounds the wait for an owner that counts a queue: ownership
	// moves within half a second.
	countTimeout = time.Second
	// askTimeout bounds a question to the owner before the store is read.
	askTimeout = 400 * time.Millisecond
	// defaultWait is how long a caller waits that names no deadline.
	defaultWait = 3 * time.Second
	// replyMargin is left of a caller's time for the answer to reach it.
	replyMargin = 150 * time.Millisecond
)

// Config is what an Acceptor needs.
type Config struct {
	Store *storer.Store
	// AskOwner asks the owner.
	AskOwner func(ctx context.Context, ask messenger.StateQuery) (messenger.StateReply, error)
	// BroadcastInDoubt tells the other entries of jobs in doubt; Heard says whether they
	// could have told this one of theirs.
	BroadcastInDoubt func(jobs []string)
	PeersConnected   func() bool
	Now              func() time.Time
	WallClock        func() time.Time
	Log              *zap.Logger
	Count            func(name string)
	ObserveDuration  func(name string, d time.Duration)
}

// Acceptor takes calls of callers. It is safe for concurrent use.
type Acceptor struct {
	cfg    Config
	queues atomic.Pointer[Queues]
	in     chan *submission
	// down is since when the store has answered nothing, in Unix ns; 0 while it
	// answers.
	down atomic.Int64

	mu sync.Mutex
	// doubts has jobs whose write got no answer here, and until when it may
	// still take effect; mu guards it.
	doubts map[string]time.Time
}

// New returns an Acceptor; Serve runs it.
func New(cfg Config) *Acceptor {
	return &Acceptor{cfg: cfg, in: make(chan *submission, waiting), doubts: map[string]time.Time{}}
}

// Configure sets the queues, unless newer ones are known.
func (a *Acceptor) Configure(q *Queues) {
	for {
		old := a.queues.Load()
		if old != nil && old.Version >= q.Version {
			return
		}
		if a.queues.CompareAndSwap(old, q) {
			a.cfg.Log.Info("configuration in force", zap.Uint64("version", q.Version), zap.Int("hosts", len(q.byHost)))
			return
		}
	}
}

// Queues returns the queues in force; nil before the first are known.
func (a *Acceptor) Queues() *Queues { return a.queues.Load() }

// Serve writes submissions until ctx ends.
func (a *Acceptor) Serve(ctx context.Context) {
	var duties sync.WaitGroup
	for range writers {
		duties.Go(func() { a.writeLoop(ctx) })
	}
	duties.Go(func() { a.probeLoop(ctx) })
	duties.Wait()
}

// probeLoop asks a store that answers no writes whether it is back, so that no
// caller has to wait for that.
func (a *Acceptor) probeLoop(ctx context.Context) {
	waiter.Every(ctx, probeEvery, func() {
		since, ok := a.StoreWritable()
		if ok || a.cfg.Now().Sub(since) <= breakAfter {
			return
		}
		_, err := a.cfg.Store.Get(ctx, probeKey)
		if err == nil || errors.Is(err, storer.ErrNotFound) {
			a.down.Store(0)
			a.cfg.Log.Info("jobs are taken again", zap.Duration("after", a.cfg.Now().Sub(since)))
		}
	})
}

// refuse turns a job away, unless an earlier try here or at another entry may
// have stored it.
func (a *Acceptor) refuse(id, why string) error {
	a.mu.Lock()
	until, doubted := a.doubts[id]
	a.mu.Unlock()
	switch {
	case doubted && a.cfg.Now().Before(until):
		return fmt.Errorf("%w: an earlier try got no answer, and %s", ErrUnknownOutcome, why)
	case !a.cfg.PeersConnected():
		return fmt.Errorf("%w: other entries can't tell of earlier tries, and %s", ErrUnknownOutcome, why)
	}
	return fmt.Errorf("%w: %s", ErrNotAccepted, why)
}

// MarkInDoubt notes jobs that may have been stored, here or at another entry.
func (a *Acceptor) MarkInDoubt(jobs []string) {
	now := a.cfg.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for other, until := range a.doubts {
		if now.After(until) {
			delete(a.doubts, other)
		}
	}
	for _, id := range jobs {
		a.doubts[id] = now.Add(doubtFor)
	}
}

// InDoubt returns the jobs that may have been stored.
func (a *Acceptor) InDoubt() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Sorted(maps.Keys(a.doubts))
}

// Submit stores a job, while ctx lasts. A job of the same ID that is stored is
// the same job.
func (a *Acceptor) Submit(ctx context.Context, spec *sequencer.Spec) error {
	spec.AcceptedAt = a.cfg.WallClock()
	if err := spec.Check(); err != nil {
		return err
	}
	value, err := spec.Encode()
	if err != nil {
		return err
	}
	s := &submission{spec: spec, value: value, begun: a.cfg.Now(), done: make(chan error, 1)}
	s.until = s.begun.Add(defaultWait)
	if deadline, ok := ctx.Deadline(); ok {
		s.until = s.begun.Add(time.Until(deadline)) // the time of day may jump meanwhile
	}
	if since, ok := a.StoreWritable(); !ok && a.cfg.Now().Sub(since) > breakAfter {
		return a.refuse(spec.ID, fmt.Sprintf("the store has not answered for %s", a.cfg.Now().Sub(since).Round(time.Millisecond)))
	}
	select {
	case a.in <- s:
	default:
		return a.refuse(spec.ID, fmt.Sprintf("%d jobs wait for the store", waiting))
	}
	select {
	case err = <-s.done:
	case <-ctx.Done():
		err = ErrUnknownOutcome // the caller has left; the writer goes on
		a.MarkInDoubt([]string{spec.ID})
	}
	a.cfg.ObserveDuration("submit", a.cfg.Now().Sub(s.begun))
	return err
}

// StoreWritable says since when the store has answered no write; ok is true while it
// answers or nothing was asked.
func (a *Acceptor) StoreWritable() (since time.Time, ok bool) {
	at := a.down.Load()
	return time.Unix(0, at), at == 0
}
