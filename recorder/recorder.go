// Package recorder keeps the ledger of accepted jobs and their grants: shards
// in the platform's store, each with one owner, an epoch that only grows, and
// group commits.
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
	// ErrNotOwner says that this entry no longer owns the shard. What was asked
	// may or may not be in the ledger; ask the new owner.
	ErrNotOwner = errors.New("shard has another owner")
	// ErrOwned says that another live entry owns the shard.
	ErrOwned = errors.New("shard is owned")
	// ErrUnchanged is what a change returns when there is nothing to write.
	ErrUnchanged = errors.New("nothing to write")
)

// Sizes of a shard, in bytes and counts.
const (
	// fullShard leaves room under the store's bound for what running work adds.
	fullShard = 700 << 10
	// queue bounds the changes that wait for the next commit; more of them
	// wait at the caller.
	queue = 1024
	// kept is how many ended runs a shard remembers.
	kept = 500
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
	Owner       string // this entry
	Incarnation string // this process
	// Alive says whether an entry's process is still announced.
	Alive        func(owner, born string) bool
	OwnershipTTL time.Duration
	Now          func() time.Time
	Store        Store
}

// change is one queued write.
type change struct {
	do   func(*Tx) error
	done chan error
}

// Recorder is one shard that this entry owns.
type Recorder struct {
	cfg     Config
	changes chan change
	// lost is closed when the shard has another owner.
	lost chan struct{}
	once sync.Once
	size atomic.Int64
	// writes counts commits, changed those that they carried.
	writes, changed atomic.Int64

	mu sync.Mutex
	// rec is what the store is known to hold. Its runs are never changed in
	// place, so a reader may keep one without mu.
	rec     *record
	version uint64
	// before is the hold that the last owner left.
	before time.Time
}

// Acquire takes a shard over, if its owner is gone, by raising its epoch.
func Acquire(ctx context.Context, cfg Config) (*Recorder, error) {
	item, err := cfg.Store.Get(ctx, cfg.Key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return nil, err
	}
	rec, err := decode(item.Value)
	if err != nil {
		return nil, err
	}
	if rec.Owner != "" && (rec.Owner != cfg.Owner || rec.Born != cfg.Incarnation) && cfg.Alive(rec.Owner, rec.Born) {
		return nil, fmt.Errorf("%s by %s: %w", cfg.Key, rec.Owner, ErrOwned)
	}
	k := &Recorder{
		cfg: cfg, changes: make(chan change, queue), lost: make(chan struct{}),
		rec: rec, version: item.Version, before: rec.Hold,
	}
	err = k.commit(ctx, func(r *record) {
		r.Epoch++
		r.Owner, r.Born = cfg.Owner, cfg.Incarnation
	})
	if errors.Is(err, storer.ErrConflict) {
		return nil, fmt.Errorf("%s: %w", cfg.Key, ErrOwned)
	}
	if err != nil {
		return nil, err
	}
	return k, nil
}

// Lost is closed when the shard has another owner.
func (k *Recorder) Lost() <-chan struct{} { return k.lost }

// Epoch returns the shard's epoch; it stays while this entry owns the shard.
func (k *Recorder) Epoch() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rec.Epoch
}

// PreviousOwnershipEnd returns until when, on the platform's clock, an earlier owner may
// have extended grants.
func (k *Recorder) PreviousOwnershipEnd() time.Time { return k.before }

// OwnershipEnd returns the local time up to which the owner may extend grants.
func (k *Recorder) OwnershipEnd(now time.Time) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Add(k.rec.Hold.Sub(k.cfg.Store.Latest(now)))
}

// Runs returns the runs as they are known to stand in the store. They must not
// be changed.
func (k *Recorder) Runs() map[string]*Run {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rec.Runs
}

// Stats tells how many commits there were, how many changes they carried, and
// the size of the last one in bytes.
func (k *Recorder) Stats() (writes, changes, size int64) {
	return k.writes.Load(), k.changed.Load(), k.size.Load()
}

// Full says whether the shard should take no new runs.
func (k *Recorder) Full() bool { return k.size.Load() > fullShard }

// Update applies a change and returns when it is durable. A change that returns an
// error must have left the Tx as it was.
func (k *Recorder) Update(ctx context.Context, do func(*Tx) error) error {
	c := change{do: do, done: make(chan error, 1)}
	select {
	case k.changes <- c:
	case <-k.lost:
		return ErrNotOwner
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-c.done:
		return err
	case <-k.lost:
		return ErrNotOwner
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", storer.ErrUnknownOutcome, ctx.Err())
	}
}

// Serve commits changes until ctx ends or the shard is lost. All that comes
// while one commit is on its way goes into the next. A commit on its way is
// settled before Serve returns, unless hard ends too.
func (k *Recorder) Serve(ctx, hard context.Context) error {
	renew := time.NewTicker(k.cfg.OwnershipTTL / 4)
	defer renew.Stop()
	for {
		var batch []change
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-renew.C:
		case c := <-k.changes:
			batch = append(batch, c)
		}
		batch = k.gather(batch)
		if err := k.group(hard, batch); err != nil {
			return err
		}
	}
}

func (k *Recorder) gather(batch []change) []change {
	for len(batch) < queue {
		select {
		case c := <-k.changes:
			batch = append(batch, c)
		default:
			return batch
		}
	}
	return batch
}

// group commits a batch and answers its changes. The error is ErrLost or that
// of ctx.
func (k *Recorder) group(ctx context.Context, batch []change) error {
	now := k.cfg.Store.Earliest(k.cfg.Now())
	k.mu.Lock()
	tx := &Tx{base: k.rec.Runs, fresh: map[string]*Run{}, Now: now, Epoch: k.rec.Epoch}
	k.mu.Unlock()
	results := make([]error, len(batch))
	written := 0
	for i, c := range batch {
		switch err := c.do(tx); {
		case err == nil:
			written++
		case !errors.Is(err, ErrUnchanged):
			results[i] = err
		}
	}
	if written == 0 && len(batch) > 0 {
		answer(batch, results)
		return nil
	}
	err := k.commit(ctx, func(r *record) {
		for id, run := range tx.fresh {
			r.Runs[id] = run
		}
		forget(r.Runs)
	})
	k.changed.Add(int64(written))
	if err != nil {
		k.once.Do(func() { close(k.lost) })
		for i := range results {
			results[i] = fmt.Errorf("%w: %w", ErrNotOwner, err)
		}
	}
	answer(batch, results)
	return err
}

// answer tells the changes of a batch how they ended. None is told before the
// whole batch is durable, not even one that found nothing to write: what it
// found may have been an earlier change of the same batch.
func answer(batch []change, results []error) {
	for i, c := range batch {
		c.done <- results[i]
	}
}

// commit writes the shard with an edit and does not return before it is known
// whether the write took effect.
func (k *Recorder) commit(ctx context.Context, edit func(*record)) error {
	k.mu.Lock()
	next := *k.rec
	version := k.version
	k.mu.Unlock()
	runs := make(map[string]*Run, len(next.Runs))
	for id, r := range next.Runs {
		runs[id] = r
	}
	next.Runs = runs
	next.Nonce = uuid.NewString()
	next.Hold = k.cfg.Store.Earliest(k.cfg.Now()).Add(k.cfg.OwnershipTTL)
	edit(&next)
	raw, err := encoding.Marshal(next)
	if err != nil {
		return err
	}
	version, err = k.cfg.Store.CompareAndSwapRetry(ctx, k.cfg.Key, raw, version, "")
	if err != nil {
		return err
	}
	k.size.Store(int64(len(raw)))
	k.writes.Add(1)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rec, k.version = &next, version
	return nil
}

// Release hands the shard over: no owner stands in it afterwards. Serve must
// have returned, and no grant may be extended any more; until is the latest
// local deadline that was given. It may be called again after it failed.
func (k *Recorder) Release(ctx context.Context, until time.Time) error {
	now := k.cfg.Now()
	hold := k.cfg.Store.Latest(now).Add(until.Sub(now))
	err := k.commit(ctx, func(r *record) { r.Owner, r.Born, r.Hold = "", "", hold })
	if errors.Is(err, storer.ErrConflict) {
		err = fmt.Errorf("%w: %w", ErrNotOwner, err)
	}
	if err == nil || errors.Is(err, ErrNotOwner) {
		k.once.Do(func() { close(k.lost) })
	}
	return err
}
