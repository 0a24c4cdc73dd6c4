package acceptor

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/orchestrator"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// desk is an acceptor over a stand-in of the store, without an owner to ask.
type desk struct {
	c     *qt.C
	store *faker.Store
	a     *Acceptor
	// owner answers questions; nil where there is none.
	owner func(messenger.StateQuery) messenger.StateReply
	// deaf says that other entries could not have told of their doubts.
	deaf bool
}

// with runs a story in fake time.
func with(t *testing.T, story func(c *qt.C, d *desk)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := &desk{c: c, store: faker.NewStore()}
		d.a = New(Config{
			Store: d.store.Client(), Now: time.Now, WallClock: time.Now, Log: zap.NewNop(),
			Count: func(string) {}, ObserveDuration: func(string, time.Duration) {},
			BroadcastInDoubt: func([]string) {}, PeersConnected: func() bool { return !d.deaf },
			AskOwner: func(_ context.Context, ask messenger.StateQuery) (messenger.StateReply, error) {
				if d.owner == nil {
					return messenger.StateReply{}, errors.New("no owner")
				}
				return d.owner(ask), nil
			},
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			d.a.Serve(ctx)
		}()
		story(c, d)
		cancel()
		<-done
		advancer.Sleep(time.Minute)
	})
}

// trouble has a fault befall calls from now on; a read whose answer is lost was
// not made.
func (d *desk) trouble(f faker.StoreFault) {
	d.store.SetFault(func(call string) faker.StoreFault {
		if f.LoseReply && call != "commit" {
			return faker.StoreFault{Refuse: true, Delay: f.Delay}
		}
		return f
	})
}

func id(n int) string { return fmt.Sprintf("%016x", n) }

// submit hands a job in and returns its outcome and how long that took.
func (d *desk) submit(n int) (time.Duration, error) {
	began := time.Now()
	spec := &sequencer.Spec{ID: id(n), Queue: "q", Pool: "p", Steps: []sequencer.Step{{Count: 1}}}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	err := d.a.Submit(ctx, spec)
	return time.Since(began), err
}

func (d *desk) state(n int) (sequencer.State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return d.a.State(ctx, "q", id(n))
}

func TestAJobIsAcceptedOnceItIsStored(t *testing.T) {
	with(t, func(c *qt.C, d *desk) {
		_, err := d.state(1)
		c.Assert(err, qt.ErrorIs, ErrNotFound)
		_, err = d.submit(1)
		c.Assert(err, qt.IsNil)
		state, err := d.state(1)
		c.Assert(err, qt.IsNil)
		c.Assert(state, qt.Equals, sequencer.Queued)
		_, err = d.submit(1)
		c.Assert(err, qt.IsNil, qt.Commentf("it remains one job"))
		_, err = d.a.State(context.Background(), "other", id(1))
		c.Assert(err, qt.ErrorIs, ErrNotFound)
	})
}

func TestAStoreThatIsDownTurnsAwayAtOnceAndTruly(t *testing.T) {
	with(t, func(c *qt.C, d *desk) {
		d.trouble(faker.StoreFault{Refuse: true})
		took, err := d.submit(1)
		c.Assert(err, qt.ErrorIs, ErrNotAccepted)
		c.Assert(took < time.Second, qt.IsTrue)
		advancer.Sleep(time.Second)
		took, err = d.submit(2)
		c.Assert(err, qt.ErrorIs, ErrNotAccepted)
		c.Assert(took, qt.Equals, time.Duration(0))
		d.trouble(faker.StoreFault{})
		advancer.Sleep(2 * probeEvery)
		_, err = d.state(1)
		c.Assert(err, qt.ErrorIs, ErrNotFound, qt.Commentf("it was said that nothing was stored"))
		_, err = d.submit(2)
		c.Assert(err, qt.IsNil, qt.Commentf("the store is back"))
	})
}

// A job in doubt is never told as not accepted, also when it is handed in again
// while the store does not answer; the answer does not wait for the caller's
// deadline.
func TestAJobInDoubtIsNotToldAsTurnedAway(t *testing.T) {
	with(t, func(c *qt.C, d *desk) {
		d.trouble(faker.StoreFault{LoseReply: true, ApplyDelay: 4 * time.Second, Delay: 500 * time.Millisecond})
		took, err := d.submit(1)
		c.Assert(err, qt.ErrorIs, ErrUnknownOutcome)
		c.Assert(took < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
		_, err = d.submit(1)
		c.Assert(err, qt.ErrorIs, ErrUnknownOutcome)
		d.trouble(faker.StoreFault{})
		advancer.Sleep(6 * time.Second)
		_, err = d.state(1)
		c.Assert(err, qt.IsNil, qt.Commentf("it took effect late"))
	})
}

// An entry that other entries could not have told of their doubts can't say that
// a job never runs.
func TestADeafEntryTurnsNothingAway(t *testing.T) {
	with(t, func(c *qt.C, d *desk) {
		d.deaf = true
		d.trouble(faker.StoreFault{Refuse: true})
		_, err := d.submit(1)
		c.Assert(err, qt.ErrorIs, ErrUnknownOutcome)
		d.deaf = false
		_, err = d.submit(1)
		c.Assert(err, qt.ErrorIs, ErrNotAccepted)
		d.trouble(faker.StoreFault{})
		advancer.Sleep(2 * probeEvery)
		d.deaf = true
		_, err = d.submit(1)
		c.Assert(err, qt.IsNil, qt.Commentf("the store knows"))
	})
}

func TestAWriteWhoseAnswerIsLostIsFound(t *testing.T) {
	with(t, func(c *qt.C, d *desk) {
		var commits atomic.Int64
		d.store.SetFault(func(call string) faker.StoreFault {
			return faker.StoreFault{LoseReply: call == "commit" && commits.Add(1) == 1}
		})
		_, err := d.submit(1)
		c.Assert(err, qt.IsNil)
	})
}

func TestManyJobsShareTransactions(t *testing.T) {
	with(t, func(c *qt.C, d *desk) {
		var commits atomic.Int64
		d.store.SetFault(func(call string) faker.StoreFault {
			if call == "commit" {
				commits.Add(1)
			}
			return faker.StoreFault{Delay: 4 * time.Millisecond}
		})
		results := make(chan error, 100)
		for n := range 100 {
			go func() {
				_, err := d.submit(n)
				results <- err
			}()
		}
		for range 100 {
			c.Assert(<-results, qt.IsNil)
		}
		c.Assert(commits.Load() < 20, qt.IsTrue, qt.Commentf("%d transactions", commits.Load()))
	})
}

func TestCancel(t *testing.T) {
	with(t, func(c *qt.C, d *desk) {
		ctx := context.Background()
		c.Assert(d.a.Cancel(ctx, "q", id(1)), qt.ErrorIs, ErrNotFound)
		_, err := d.submit(1)
		c.Assert(err, qt.IsNil)
		c.Assert(d.a.Cancel(ctx, "other", id(1)), qt.ErrorIs, ErrNotFound)
		c.Assert(d.a.Cancel(ctx, "q", id(1)), qt.IsNil)
		c.Assert(d.a.Cancel(ctx, "q", id(1)), qt.IsNil)
		state, err := d.state(1)
		c.Assert(err, qt.IsNil)
		c.Assert(state, qt.Equals, sequencer.Canceled)
	})
}

func TestTheOwnersWordGoesFirst(t *testing.T) {
	with(t, func(c *qt.C, d *desk) {
		_, err := d.submit(1)
		c.Assert(err, qt.IsNil)
		d.owner = func(ask messenger.StateQuery) messenger.StateReply {
			if ask.Queue != "" {
				return messenger.StateReply{Found: true, Pending: 7}
			}
			return messenger.StateReply{Found: true, Queue: "q", State: string(sequencer.Running)}
		}
		state, err := d.state(1)
		c.Assert(err, qt.IsNil)
		c.Assert(state, qt.Equals, sequencer.Running)
		n, err := d.a.Pending(context.Background(), "q")
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, 7)
		d.owner = func(messenger.StateQuery) messenger.StateReply { return messenger.StateReply{} }
		state, err = d.state(1)
		c.Assert(err, qt.IsNil, qt.Commentf("the owner may not have read it yet"))
		c.Assert(state, qt.Equals, sequencer.Queued)
	})
}

func TestFinalStatesAreReadFromTheLedger(t *testing.T) {
	with(t, func(c *qt.C, d *desk) {
		_, err := d.submit(1)
		c.Assert(err, qt.IsNil)
		raw, err := (&sequencer.Progress{State: sequencer.Complete}).Encode()
		c.Assert(err, qt.IsNil)
		_, err = d.store.Client().Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: orchestrator.ProgressKey(id(1)), Value: raw}}})
		c.Assert(err, qt.IsNil)
		state, err := d.state(1)
		c.Assert(err, qt.IsNil)
		c.Assert(state, qt.Equals, sequencer.Complete)
	})
}

func TestQueuesAreFoundByHostAndLongestPrefix(t *testing.T) {
	c := qt.New(t)
	q := NewQueues(3, 0, []Queue{{Name: "short", Host: "h.example", Prefix: "/a/"}, {Name: "long", Host: "H.example", Prefix: "/a/b/"}})
	for _, one := range []struct {
		host, path, name, rest string
		ok                     bool
	}{
		{"h.example", "/a/b/x", "long", "x", true},
		{"h.example:80", "/a/bx", "short", "bx", true},
		{"H.EXAMPLE", "/a/", "short", "", true},
		{"h.example", "/b/x", "", "", false},
		{"other", "/a/x", "", "", false},
	} {
		queue, rest, ok := q.Match(one.host, one.path)
		c.Assert([]any{queue.Name, rest, ok}, qt.DeepEquals, []any{one.name, one.rest, one.ok}, qt.Commentf("%+v", one))
	}
}

func TestAnOlderConfigurationNeverComesBack(t *testing.T) {
	c := qt.New(t)
	a := New(Config{Log: zap.NewNop()})
	newest := uint64(0)
	for _, version := range []uint64{4, 9, 7, 9} {
		newest = max(newest, version)
		a.Configure(NewQueues(version, 0, nil))
		c.Assert(a.Queues().Version, qt.Equals, newest)
	}
}

// The write of a caller that has left goes on; its job is in doubt from then on.
func TestAJobOfACallerThatLeftIsInDoubt(t *testing.T) {
	with(t, func(c *qt.C, d *desk) {
		d.trouble(faker.StoreFault{Delay: 300 * time.Millisecond})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		spec := &sequencer.Spec{ID: id(1), Queue: "q", Pool: "pool", Steps: []sequencer.Step{{Count: 1}}}
		c.Assert(d.a.Submit(ctx, spec), qt.ErrorIs, ErrUnknownOutcome)
		d.trouble(faker.StoreFault{Refuse: true})
		_, err := d.submit(1)
		c.Assert(err, qt.ErrorIs, ErrUnknownOutcome)
	})
}
