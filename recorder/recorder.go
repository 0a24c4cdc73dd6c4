// Package recorder stores the ledger of accepted jobs and their grants. The
// ledger consists of shards in the platform's store. Each shard has one owner and
// an epoch that only increases, and is written in group commits.
package recorder

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/endivefall/endivefall/storer"
)

// Errors of a shard.
var (
	// ErrNotOwner means that this entry no longer owns the shard. The change may
	// or may not be in the ledger; only the new owner can tell.
	ErrNotOwner = errors.New("shard has another owner")
	// ErrOwned means that another live entry owns the shard.
	ErrOwned = errors.New("shard is owned")
	// ErrUnchanged is returned by a change that has nothing to write.
	ErrUnchanged = errors.New("nothing to write")
)

// Limits of a shard.
const (
	// fullShardBytes is below the store's size limit, so that the runs in a full
	// shard can still grow.
	fullShardBytes = 700 << 10
	// maxQueuedChanges bounds the changes queued for the next commit. Further
	// calls of Update block.
	maxQueuedChanges = 1024
	// maxEndedRuns bounds the ended runs without live grants that a shard retains.
	maxEndedRuns = 500
)

// Store is the part of the platform that a shard needs.
type Store struct {
	Get                 func(ctx context.Context, key string) (storer.Item, error)
	CompareAndSwapRetry func(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error)
	// Earliest and Latest bound the platform's clock at a local time.
	Earliest, Latest func(now time.Time) time.Time
}

// Config is what a Recorder needs.
type Config struct {
	Key         string // of the shard in the store
	Owner       string // name of this entry
	Incarnation string // id of this process
	// Alive reports whether a process of an entry is still announced.
	Alive        func(owner, incarnation string) bool
	OwnershipTTL time.Duration
	Now          func() time.Time
	Store        Store
}

// change is a queued change. done receives its result.
type change struct {
	apply func(*Tx) error
	done  chan error
}

// Recorder is a shard that this entry owns.
type Recorder struct {
	cfg     Config
	changes chan change
	// lost is closed when this entry no longer owns the shard.
	lost            chan struct{}
	closeLost       sync.Once
	lastCommitBytes atomic.Int64
	// committedChanges counts the changes in all commits.
	commits, committedChanges atomic.Int64

	mu sync.Mutex
	// shard is the last known content of the store. Its runs are never modified in
	// place, so a reader may use them without holding mu.
	shard   *shard
	version uint64
	// previousEnd is the ownership end that the previous owner wrote.
	previousEnd time.Time
}

// Acquire takes over a shard without a live owner by raising its epoch.
func Acquire(ctx context.Context, cfg Config) (*Recorder, error) {
	item, err := cfg.Store.Get(ctx, cfg.Key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return nil, err
	}
	stored, err := decodeShard(item.Value)
	if err != nil {
		return nil, err
	}
	if stored.Owner != "" && (stored.Owner != cfg.Owner || stored.Incarnation != cfg.Incarnation) && cfg.Alive(stored.Owner, stored.Incarnation) {
		return nil, fmt.Errorf("%s by %s: %w", cfg.Key, stored.Owner, ErrOwned)
	}
	r := &Recorder{
		cfg: cfg, changes: make(chan change, maxQueuedChanges), lost: make(chan struct{}),
		shard: stored, version: item.Version, previousEnd: stored.OwnershipEnd,
	}
	err = r.commit(ctx, func(s *shard) {
		s.Epoch++
		s.Owner, s.Incarnation = cfg.Owner, cfg.Incarnation
	})
	if errors.Is(err, storer.ErrConflict) {
		return nil, fmt.Errorf("%s: %w", cfg.Key, ErrOwned)
	}
	if err != nil {
		return nil, err
	}
	return r, nil
}

// Lost returns a channel that is closed when this entry no longer owns the shard.
func (r *Recorder) Lost() <-chan struct{} { return r.lost }

// Epoch returns the shard's epoch. It does not change while this entry owns the
// shard.
func (r *Recorder) Epoch() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shard.Epoch
}

// PreviousOwnershipEnd returns the time, on the platform's clock, until which an
// earlier owner may have extended grants.
func (r *Recorder) PreviousOwnershipEnd() time.Time { return r.previousEnd }

// OwnershipEnd returns the local time until which this entry may extend grants.
func (r *Recorder) OwnershipEnd(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Add(r.shard.OwnershipEnd.Sub(r.cfg.Store.Latest(now)))
}

// Runs returns the last known runs in the store. They must not be modified.
func (r *Recorder) Runs() map[string]*Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shard.Runs
}

// Verify reads from the store whether this entry still owns the shard, and returns ErrNotOwner
// if another one has claimed it.
func (r *Recorder) Verify(ctx context.Context) error {
	item, err := r.cfg.Store.Get(ctx, r.cfg.Key)
	if err != nil {
		return fmt.Errorf("verifying the owner of %s: %w", r.cfg.Key, err)
	}
	stored, err := decodeShard(item.Value)
	if err != nil {
		return err
	}
	if stored.Epoch != r.Epoch() {
		r.closeLost.Do(func() { close(r.lost) })
		return fmt.Errorf("%s: %w", r.cfg.Key, ErrNotOwner)
	}
	return nil
}

// Stats returns the number of commits, the number of changes in them and the size
// of the last commit in bytes.
func (r *Recorder) Stats() (commits, changes, bytes int64) {
	return r.commits.Load(), r.committedChanges.Load(), r.lastCommitBytes.Load()
}

// Full reports whether the shard is too large to accept new runs.
func (r *Recorder) Full() bool { return r.lastCommitBytes.Load() > fullShardBytes }

// Update applies a change and returns when it is durable. If apply returns an
// error, it must not have modified the Tx. If ctx ends while the change is queued or
// being committed, Update returns storer.ErrUnknownOutcome.
func (r *Recorder) Update(ctx context.Context, apply func(*Tx) error) error {
	c := change{apply: apply, done: make(chan error, 1)}
	select {
	case r.changes <- c:
	case <-r.lost:
		return ErrNotOwner
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-c.done:
		return err
	case <-r.lost:
		return ErrNotOwner
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", storer.ErrUnknownOutcome, ctx.Err())
	}
}

// Serve commits changes until ctx ends or the shard is lost. Changes that arrive
// during a commit go into the next one. Serve waits for a commit in progress
// before it returns, unless commitCtx ends too. It also commits without changes
// at each renewal interval, to extend the ownership.
func (r *Recorder) Serve(ctx, commitCtx context.Context) error {
	renew := time.NewTicker(r.cfg.OwnershipTTL / 4)
	defer renew.Stop()
	for {
		var batch []change
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-renew.C:
		case c := <-r.changes:
			batch = append(batch, c)
		}
		batch = r.collectBatch(batch)
		if err := r.commitBatch(commitCtx, batch); err != nil {
			return err
		}
	}
}

func (r *Recorder) collectBatch(batch []change) []change {
	for len(batch) < maxQueuedChanges {
		select {
		case c := <-r.changes:
			batch = append(batch, c)
		default:
			return batch
		}
	}
	return batch
}

// commitBatch commits a batch and replies to its changes. A commit that fails loses
// the shard; its error is returned.
func (r *Recorder) commitBatch(ctx context.Context, batch []change) error {
	now := r.cfg.Store.Earliest(r.cfg.Now())
	r.mu.Lock()
	tx := &Tx{base: r.shard.Runs, changed: map[string]*Run{}, Now: now, Epoch: r.shard.Epoch}
	r.mu.Unlock()
	results := make([]error, len(batch))
	accepted := 0
	for i, c := range batch {
		switch err := c.apply(tx); {
		case err == nil:
			accepted++
		case !errors.Is(err, ErrUnchanged):
			results[i] = err
		}
	}
	if accepted == 0 && len(batch) > 0 {
		reply(batch, results)
		return nil
	}
	err := r.commit(ctx, func(s *shard) {
		for id, run := range tx.changed {
			s.Runs[id] = run
		}
		pruneEndedRuns(s.Runs)
	})
	r.committedChanges.Add(int64(accepted))
	if err != nil {
		r.closeLost.Do(func() { close(r.lost) })
		for i := range results {
			results[i] = fmt.Errorf("%w: %w", ErrNotOwner, err)
		}
	}
	reply(batch, results)
	return err
}

// reply sends the results to the changes of a batch. It must not be called before the
// commit of the batch has ended, not even for a change that had nothing to write: such
// a change may have seen the effect of an earlier one in the same batch.
func reply(batch []change, results []error) {
	for i, c := range batch {
		c.done <- results[i]
	}
}

// commit applies edit to a copy of the shard and writes it. It returns only when it
// is known whether the write took effect, or when ctx ends.
func (r *Recorder) commit(ctx context.Context, edit func(*shard)) error {
	r.mu.Lock()
	next := *r.shard
	version := r.version
	r.mu.Unlock()
	runs := make(map[string]*Run, len(next.Runs))
	for id, run := range next.Runs {
		runs[id] = run
	}
	next.Runs = runs
	next.Nonce = uuid.NewString()
	next.OwnershipEnd = r.cfg.Store.Earliest(r.cfg.Now()).Add(r.cfg.OwnershipTTL)
	edit(&next)
	raw, err := encMode.Marshal(next)
	if err != nil {
		return err
	}
	version, err = r.cfg.Store.CompareAndSwapRetry(ctx, r.cfg.Key, raw, version, "")
	if err != nil {
		return err
	}
	r.lastCommitBytes.Store(int64(len(raw)))
	r.commits.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shard, r.version = &next, version
	return nil
}

// Release gives up the ownership and leaves the shard without an owner. Serve must
// have returned, and no grant may be extended any more; lastDeadline is the latest
// local deadline of any grant. Release may be retried after an error.
func (r *Recorder) Release(ctx context.Context, lastDeadline time.Time) error {
	now := r.cfg.Now()
	ownershipEnd := r.cfg.Store.Latest(now).Add(lastDeadline.Sub(now))
	err := r.commit(ctx, func(s *shard) { s.Owner, s.Incarnation, s.OwnershipEnd = "", "", ownershipEnd })
	if errors.Is(err, storer.ErrConflict) {
		err = fmt.Errorf("%w: %w", ErrNotOwner, err)
	}
	if err == nil || errors.Is(err, ErrNotOwner) {
		r.closeLost.Do(func() { close(r.lost) })
	}
	return err
}
