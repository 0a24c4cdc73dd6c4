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

// memory is a store of one key, with what it is asked to do wrong.
type memory struct {
	mu      sync.Mutex // guards fail
	value   []byte
	version uint64
	writes  int
	slow    time.Duration
	fail    error
}

func (m *memory) store() Store {
	same := func(now time.Time) time.Time { return now }
	return Store{
		Get: func(context.Context, string) (storer.Item, error) {
			if m.version == 0 {
				return storer.Item{}, storer.ErrNotFound
			}
			return storer.Item{Value: m.value, Version: m.version}, nil
		},
		CompareAndSwapRetry: func(_ context.Context, _ string, value []byte, version uint64, _ string) (uint64, error) {
			if m.slow > 0 {
				advancer.Sleep(m.slow)
			}
			m.mu.Lock()
			fail := m.fail
			m.mu.Unlock()
			if fail != nil {
				return 0, fail
			}
			if version != m.version {
				return 0, storer.ErrConflict
			}
			m.writes++
			m.value, m.version = value, version+1
			return m.version, nil
		},
		Earliest: same, Latest: same,
	}
}

func claim(m *memory, owner string, alive bool) (*Recorder, error) {
	return Acquire(context.Background(), Config{
		Key: "ledger/0", Owner: owner, Incarnation: owner + "-1", OwnershipTTL: time.Minute, Now: time.Now,
		Alive: func(string, string) bool { return alive }, Store: m.store(),
	})
}

// serve runs a recorder for a test in a bubble.
func serve(t *testing.T, f func(c *qt.C, m *memory, k *Recorder)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := &memory{}
		k, err := claim(m, "e1", false)
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			_ = k.Serve(ctx, ctx)
			close(ended)
		}()
		f(c, m, k)
		cancel()
		<-ended
	})
}

func add(id string) func(*Tx) error {
	return func(tx *Tx) error {
		if tx.Run(id) != nil {
			return ErrUnchanged
		}
		tx.Add(&Run{ID: id, State: Running, Spec: parser.Job{Tasks: 3}})
		return nil
	}
}

// TestNothingIsAnsweredBeforeItsBatchIsDurable: a report that an agent sent
// twice found the first one's change in the same batch, passed for settled at
// once, and the agent forgot the end of a task; then the commit failed and the
// task ran again (history with seed 10318).
func TestNothingIsAnsweredBeforeItsBatchIsDurable(t *testing.T) {
	serve(t, func(c *qt.C, m *memory, k *Recorder) {
		m.slow = time.Second
		errs := make(chan error, 3)
		go func() { errs <- k.Update(context.Background(), add("other")) }()
		advancer.Sleep(100 * time.Millisecond) // its commit is on its way
		for range 2 {
			go func() { errs <- k.Update(context.Background(), add("run")) }()
		}
		advancer.Sleep(time.Second)
		c.Assert(<-errs, qt.IsNil)
		m.mu.Lock()
		m.fail = errors.New("fenced")
		m.mu.Unlock()
		for range 2 {
			c.Assert(<-errs, qt.ErrorIs, ErrNotOwner)
		}
	})
}

func TestGroupCommit(t *testing.T) {
	serve(t, func(c *qt.C, m *memory, k *Recorder) {
		m.slow = 10 * time.Millisecond
		const n = 200
		errs := make(chan error, n)
		for i := range n {
			go func() { errs <- k.Update(context.Background(), add(string(rune('a'+i)))) }()
		}
		for range n {
			c.Assert(<-errs, qt.IsNil)
		}
		c.Assert(k.Runs(), qt.HasLen, n)
		c.Assert(m.writes <= 4, qt.IsTrue, qt.Commentf("%d writes for %d changes", m.writes, n))
	})
}

func TestClaim(t *testing.T) {
	c := qt.New(t)
	m := &memory{}
	first, err := claim(m, "e1", false)
	c.Assert(err, qt.IsNil)
	c.Assert(first.Epoch(), qt.Equals, uint64(1))

	_, err = claim(m, "e2", true)
	c.Assert(err, qt.ErrorIs, ErrOwned, qt.Commentf("a live owner keeps its shard"))

	second, err := claim(m, "e2", false)
	c.Assert(err, qt.IsNil)
	c.Assert(second.Epoch(), qt.Equals, uint64(2))

	err = first.commit(context.Background(), func(*record) {})
	c.Assert(err, qt.ErrorIs, storer.ErrConflict, qt.Commentf("the old owner's writes are fenced"))

	c.Assert(second.Release(context.Background(), time.Now().Add(time.Second)), qt.IsNil)
	third, err := claim(m, "e1", true)
	c.Assert(err, qt.IsNil, qt.Commentf("a shard that was handed over is free"))
	c.Assert(time.Until(third.PreviousOwnershipEnd()) <= time.Second, qt.IsTrue, qt.Commentf("and only the last deadline counts"))
}
