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
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/orchestrator"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// harness connects an Acceptor to a fake store and, if set, a fake owner.
type harness struct {
	c     *qt.C
	store *faker.Store
	a     *Acceptor
	// owner answers state queries; nil if there is no owner.
	owner func(messenger.StateQuery) messenger.StateReply
	// disconnected is set while broadcasts of other entries can't arrive.
	disconnected bool
}

// runWithHarness runs a test in fake time.
func runWithHarness(t *testing.T, test func(c *qt.C, h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := &harness{c: c, store: faker.NewStore()}
		h.a = New(Config{
			Store: h.store.Client(), Now: time.Now, WallClock: time.Now, Log: zap.NewNop(),
			Count: func(meter.Counter) {}, ObserveDuration: func(meter.Histogram, time.Duration) {},
			BroadcastInDoubt: func([]string) {}, PeersConnected: func() bool { return !h.disconnected },
			AskOwner: func(_ context.Context, query messenger.StateQuery) (messenger.StateReply, error) {
				if h.owner == nil {
					return messenger.StateReply{}, errors.New("no owner")
				}
				return h.owner(query), nil
			},
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			h.a.Serve(ctx)
		}()
		test(c, h)
		cancel()
		<-done
		advancer.Sleep(time.Minute)
	})
}

// setFault injects a fault into all later calls to the store. A read with a lost
// reply is refused instead, since reads have no effect.
func (h *harness) setFault(f faker.StoreFault) {
	h.store.SetFault(func(call string) faker.StoreFault {
		if f.LoseReply && call != "commit" {
			return faker.StoreFault{Refuse: true, Delay: f.Delay}
		}
		return f
	})
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// submit submits a job and returns the call's duration and error.
func (h *harness) submit(n int) (time.Duration, error) {
	start := time.Now()
	spec := &sequencer.Spec{ID: jobID(n), Queue: "q", Pool: "p", Steps: []sequencer.Step{{Count: 1}}}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	err := h.a.Submit(ctx, spec)
	return time.Since(start), err
}

func (h *harness) state(n int) (sequencer.State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return h.a.State(ctx, "q", jobID(n))
}

func TestAJobIsAcceptedOnceItIsStored(t *testing.T) {
	runWithHarness(t, func(c *qt.C, h *harness) {
		_, err := h.state(1)
		c.Assert(err, qt.ErrorIs, ErrNotFound)
		_, err = h.submit(1)
		c.Assert(err, qt.IsNil)
		state, err := h.state(1)
		c.Assert(err, qt.IsNil)
		c.Assert(state, qt.Equals, sequencer.Queued)
		_, err = h.submit(1)
		c.Assert(err, qt.IsNil, qt.Commentf("a repeated submission is the same job"))
		_, err = h.a.State(context.Background(), "other", jobID(1))
		c.Assert(err, qt.ErrorIs, ErrNotFound)
	})
}

func TestAnUnavailableStoreRejectsJobsAtOnceAndStoresNone(t *testing.T) {
	runWithHarness(t, func(c *qt.C, h *harness) {
		h.setFault(faker.StoreFault{Refuse: true})
		took, err := h.submit(1)
		c.Assert(err, qt.ErrorIs, ErrNotAccepted)
		c.Assert(took < time.Second, qt.IsTrue)
		advancer.Sleep(time.Second)
		took, err = h.submit(2)
		c.Assert(err, qt.ErrorIs, ErrNotAccepted)
		c.Assert(took, qt.Equals, time.Duration(0))
		h.setFault(faker.StoreFault{})
		advancer.Sleep(2 * probeInterval)
		_, err = h.state(1)
		c.Assert(err, qt.ErrorIs, ErrNotFound, qt.Commentf("the job was reported as not accepted"))
		_, err = h.submit(2)
		c.Assert(err, qt.IsNil, qt.Commentf("the store answers again"))
	})
}

// A job in doubt is never reported as not accepted, not even if it is submitted
// again while the store does not answer. The reply does not wait for the caller's
// deadline.
func TestAJobInDoubtIsNeverReportedAsNotAccepted(t *testing.T) {
	runWithHarness(t, func(c *qt.C, h *harness) {
		h.setFault(faker.StoreFault{LoseReply: true, ApplyDelay: 4 * time.Second, Delay: 500 * time.Millisecond})
		took, err := h.submit(1)
		c.Assert(err, qt.ErrorIs, ErrUnknownOutcome)
		c.Assert(took < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
		_, err = h.submit(1)
		c.Assert(err, qt.ErrorIs, ErrUnknownOutcome)
		h.setFault(faker.StoreFault{})
		advancer.Sleep(6 * time.Second)
		_, err = h.state(1)
		c.Assert(err, qt.IsNil, qt.Commentf("the write took effect late"))
	})
}

// An entry that could not receive other entries' broadcasts of jobs in doubt can't
// say that a job will not run.
func TestADisconnectedEntryNeverReportsNotAccepted(t *testing.T) {
	runWithHarness(t, func(c *qt.C, h *harness) {
		h.disconnected = true
		h.setFault(faker.StoreFault{Refuse: true})
		_, err := h.submit(1)
		c.Assert(err, qt.ErrorIs, ErrUnknownOutcome)
		h.disconnected = false
		_, err = h.submit(1)
		c.Assert(err, qt.ErrorIs, ErrNotAccepted)
		h.setFault(faker.StoreFault{})
		advancer.Sleep(2 * probeInterval)
		h.disconnected = true
		_, err = h.submit(1)
		c.Assert(err, qt.IsNil, qt.Commentf("the store has confirmed the write"))
	})
}

func TestAJobIsAcceptedWhenTheReplyToItsWriteIsLost(t *testing.T) {
	runWithHarness(t, func(c *qt.C, h *harness) {
		var commits atomic.Int64
		h.store.SetFault(func(call string) faker.StoreFault {
			return faker.StoreFault{LoseReply: call == "commit" && commits.Add(1) == 1}
		})
		_, err := h.submit(1)
		c.Assert(err, qt.IsNil)
	})
}

func TestManyJobsShareTransactions(t *testing.T) {
	runWithHarness(t, func(c *qt.C, h *harness) {
		var commits atomic.Int64
		h.store.SetFault(func(call string) faker.StoreFault {
			if call == "commit" {
				commits.Add(1)
			}
			return faker.StoreFault{Delay: 4 * time.Millisecond}
		})
		results := make(chan error, 100)
		for n := range 100 {
			go func() {
				_, err := h.submit(n)
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
	runWithHarness(t, func(c *qt.C, h *harness) {
		ctx := context.Background()
		c.Assert(h.a.Cancel(ctx, "q", jobID(1)), qt.ErrorIs, ErrNotFound)
		_, err := h.submit(1)
		c.Assert(err, qt.IsNil)
		c.Assert(h.a.Cancel(ctx, "other", jobID(1)), qt.ErrorIs, ErrNotFound)
		c.Assert(h.a.Cancel(ctx, "q", jobID(1)), qt.IsNil)
		c.Assert(h.a.Cancel(ctx, "q", jobID(1)), qt.IsNil)
		state, err := h.state(1)
		c.Assert(err, qt.IsNil)
		c.Assert(state, qt.Equals, sequencer.Canceled)
	})
}

// A caller was told that a job which is stored, but can't be decoded, is not there.
func TestAJobThatCannotBeDecodedIsNotReportedAsMissing(t *testing.T) {
	runWithHarness(t, func(c *qt.C, h *harness) {
		key := orchestrator.JobKey("00000000000000aa")
		_, err := h.store.Client().Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: key, Value: []byte("\xff")}}})
		c.Assert(err, qt.IsNil)
		_, err = h.a.State(context.Background(), "queue", "00000000000000aa")
		c.Assert(err, qt.ErrorIs, ErrStateUnavailable)
		err = h.a.Cancel(context.Background(), "queue", "00000000000000aa")
		c.Assert(err, qt.ErrorIs, ErrStateUnavailable)
	})
}

func TestTheOwnersStateTakesPrecedence(t *testing.T) {
	runWithHarness(t, func(c *qt.C, h *harness) {
		_, err := h.submit(1)
		c.Assert(err, qt.IsNil)
		h.owner = func(query messenger.StateQuery) messenger.StateReply {
			if query.Queue != "" {
				return messenger.StateReply{Found: true, Pending: 7}
			}
			return messenger.StateReply{Found: true, Queue: "q", State: string(sequencer.Running)}
		}
		state, err := h.state(1)
		c.Assert(err, qt.IsNil)
		c.Assert(state, qt.Equals, sequencer.Running)
		n, err := h.a.Pending(context.Background(), "q")
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, 7)
		h.owner = func(messenger.StateQuery) messenger.StateReply { return messenger.StateReply{} }
		state, err = h.state(1)
		c.Assert(err, qt.IsNil, qt.Commentf("the owner may not have read the job yet"))
		c.Assert(state, qt.Equals, sequencer.Queued)
	})
}

func TestFinalStatesAreReadFromTheStore(t *testing.T) {
	runWithHarness(t, func(c *qt.C, h *harness) {
		_, err := h.submit(1)
		c.Assert(err, qt.IsNil)
		raw, err := (&sequencer.Progress{State: sequencer.Complete}).Encode()
		c.Assert(err, qt.IsNil)
		_, err = h.store.Client().Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: orchestrator.ProgressKey(jobID(1)), Value: raw}}})
		c.Assert(err, qt.IsNil)
		state, err := h.state(1)
		c.Assert(err, qt.IsNil)
		c.Assert(state, qt.Equals, sequencer.Complete)
	})
}

// The ledger names the agent of a task before it runs.
func TestAJobWithProgressThatHasNotRunIsQueued(t *testing.T) {
	for _, want := range []sequencer.State{sequencer.Queued, sequencer.Running} {
		t.Run(string(want), func(t *testing.T) {
			runWithHarness(t, func(c *qt.C, h *harness) {
				_, err := h.submit(1)
				c.Assert(err, qt.IsNil)
				raw, err := (&sequencer.Progress{State: want, GrantTerm: 1}).Encode()
				c.Assert(err, qt.IsNil)
				_, err = h.store.Client().Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: orchestrator.ProgressKey(jobID(1)), Value: raw}}})
				c.Assert(err, qt.IsNil)
				state, err := h.state(1)
				c.Assert(err, qt.IsNil)
				c.Check(state, qt.Equals, want)
			})
		})
	}
}

func TestQueuesAreFoundByHostAndLongestPrefix(t *testing.T) {
	c := qt.New(t)
	q := NewQueues(3, 0, []Queue{{Name: "short", Host: "h.example", Prefix: "/a/"}, {Name: "long", Host: "H.example", Prefix: "/a/b/"}})
	for _, tc := range []struct {
		host, path, name, rest string
		ok                     bool
	}{
		{"h.example", "/a/b/x", "long", "x", true},
		{"h.example:80", "/a/bx", "short", "bx", true},
		{"H.EXAMPLE", "/a/", "short", "", true},
		{"h.example", "/b/x", "", "", false},
		{"other", "/a/x", "", "", false},
	} {
		queue, rest, ok := q.Match(tc.host, tc.path)
		c.Assert([]any{queue.Name, rest, ok}, qt.DeepEquals, []any{tc.name, tc.rest, tc.ok}, qt.Commentf("%+v", tc))
	}
}

func TestAnOlderConfigurationIsNeverRestored(t *testing.T) {
	c := qt.New(t)
	a := New(Config{Log: zap.NewNop()})
	newest := uint64(0)
	for _, version := range []uint64{4, 9, 7, 9} {
		newest = max(newest, version)
		a.Configure(NewQueues(version, 0, nil))
		c.Assert(a.Queues().Version, qt.Equals, newest)
	}
}

// The write continues after its caller has disconnected; the job is in doubt from
// then on.
func TestAJobOfADisconnectedCallerIsInDoubt(t *testing.T) {
	runWithHarness(t, func(c *qt.C, h *harness) {
		h.setFault(faker.StoreFault{Delay: 300 * time.Millisecond})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		spec := &sequencer.Spec{ID: jobID(1), Queue: "q", Pool: "pool", Steps: []sequencer.Step{{Count: 1}}}
		c.Assert(h.a.Submit(ctx, spec), qt.ErrorIs, ErrUnknownOutcome)
		h.setFault(faker.StoreFault{Refuse: true})
		_, err := h.submit(1)
		c.Assert(err, qt.ErrorIs, ErrUnknownOutcome)
	})
}
