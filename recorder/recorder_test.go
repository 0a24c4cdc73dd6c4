package recorder

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/storer"
)

// memoryStore is an in-memory store of one key that can delay or fail writes.
type memoryStore struct {
	mu      sync.Mutex // guards err
	value   []byte
	version uint64
	commits int
	delay   time.Duration
	err     error
}

func (m *memoryStore) store() Store {
	same := func(now time.Time) time.Time { return now }
	return Store{
		Get: func(context.Context, string) (storer.Item, error) {
			if m.version == 0 {
				return storer.Item{}, storer.ErrNotFound
			}
			return storer.Item{Value: m.value, Version: m.version}, nil
		},
		CompareAndSwapRetry: func(_ context.Context, _ string, value []byte, version uint64, _ string) (uint64, error) {
			if m.delay > 0 {
				advancer.Sleep(m.delay)
			}
			m.mu.Lock()
			err := m.err
			m.mu.Unlock()
			if err != nil {
				return 0, err
			}
			if version != m.version {
				return 0, storer.ErrConflict
			}
			m.commits++
			m.value, m.version = value, version+1
			return m.version, nil
		},
		Earliest: same, Latest: same,
	}
}

func acquire(m *memoryStore, owner string, alive bool) (*Recorder, error) {
	return Acquire(context.Background(), Config{
		Key: "ledger/0", Owner: owner, Incarnation: owner + "-1", OwnershipTTL: time.Minute, Now: time.Now,
		Alive: func(string, string) bool { return alive }, Store: m.store(),
	})
}

// withRecorder calls f with a running recorder in a synctest bubble.
func withRecorder(t *testing.T, f func(c *qt.C, m *memoryStore, r *Recorder)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := &memoryStore{}
		r, err := acquire(m, "e1", false)
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			_ = r.Serve(ctx, ctx)
			close(done)
		}()
		f(c, m, r)
		cancel()
		<-done
	})
}

func addRun(id string) func(*Tx) error {
	return func(tx *Tx) error {
		if tx.Run(id) != nil {
			return ErrUnchanged
		}
		tx.Add(&Run{ID: id, State: Running, Spec: parser.Job{Tasks: 3}})
		return nil
	}
}

// TestNoReplyBeforeBatchIsDurable guards against a reply before the commit to a
// change that found nothing to write. If an agent sends a report twice, the second
// one sees the change of the first in the same batch. With an early reply, the agent
// drops the outcome, and if the commit then fails, the task runs again (history with
// seed 10318).
func TestNoReplyBeforeBatchIsDurable(t *testing.T) {
	withRecorder(t, func(c *qt.C, m *memoryStore, r *Recorder) {
		m.delay = time.Second
		errs := make(chan error, 3)
		go func() { errs <- r.Update(context.Background(), addRun("other")) }()
		advancer.Sleep(100 * time.Millisecond) // its commit is in progress
		for range 2 {
			go func() { errs <- r.Update(context.Background(), addRun("run")) }()
		}
		advancer.Sleep(time.Second)
		c.Assert(<-errs, qt.IsNil)
		m.mu.Lock()
		m.err = errors.New("fenced")
		m.mu.Unlock()
		for range 2 {
			c.Assert(<-errs, qt.ErrorIs, ErrNotOwner)
		}
	})
}

func TestGroupCommit(t *testing.T) {
	withRecorder(t, func(c *qt.C, m *memoryStore, r *Recorder) {
		m.delay = 10 * time.Millisecond
		const n = 200
		errs := make(chan error, n)
		for i := range n {
			go func() { errs <- r.Update(context.Background(), addRun(string(rune('a'+i)))) }()
		}
		for range n {
			c.Assert(<-errs, qt.IsNil)
		}
		c.Assert(r.Runs(), qt.HasLen, n)
		c.Assert(m.commits <= 4, qt.IsTrue, qt.Commentf("%d writes for %d changes", m.commits, n))
	})
}

func TestAcquire(t *testing.T) {
	c := qt.New(t)
	m := &memoryStore{}
	first, err := acquire(m, "e1", false)
	c.Assert(err, qt.IsNil)
	c.Assert(first.Epoch(), qt.Equals, uint64(1))

	_, err = acquire(m, "e2", true)
	c.Assert(err, qt.ErrorIs, ErrOwned, qt.Commentf("a live owner keeps its shard"))

	second, err := acquire(m, "e2", false)
	c.Assert(err, qt.IsNil)
	c.Assert(second.Epoch(), qt.Equals, uint64(2))

	err = first.commit(context.Background(), func(*shard) {})
	c.Assert(err, qt.ErrorIs, storer.ErrConflict, qt.Commentf("the old owner's writes are fenced"))

	c.Assert(second.Release(context.Background(), time.Now().Add(time.Second)), qt.IsNil)
	third, err := acquire(m, "e1", true)
	c.Assert(err, qt.IsNil, qt.Commentf("a released shard can be acquired"))
	c.Assert(time.Until(third.PreviousOwnershipEnd()) <= time.Second, qt.IsTrue, qt.Commentf("the previous ownership ends with the last deadline"))
}
