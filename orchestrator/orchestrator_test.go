package orchestrator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/authorizer"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// A job that an earlier owner may have started waits until every agent that may
// hold it is reconciled or its lease has certainly expired. A newer job does not
// wait.
func TestOldJobsWaitForAgentsWithUnknownRuns(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	lost := h.o.agent("gone")
	lost.hasUnknownRuns, lost.leaseExpiresAt = true, h.now.Add(16*time.Second)
	lost.registration.Set(1, registrar.Registration{Open: true})
	old := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	old.Version = 5 // before the epoch
	newer := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	h.o.place()
	c.Assert(old.Task(0, 0, 0).LiveRuns, qt.Equals, 0)
	c.Assert(newer.Task(0, 0, 0).LiveRuns, qt.Equals, 1)
	h.now = h.now.Add(17 * time.Second)
	h.reportRunning("a0", 1)
	h.o.expireLease(lost, h.now)
	h.o.place()
	c.Assert(old.Task(0, 0, 0).LiveRuns, qt.Equals, 1)
}

func TestOwnershipEndsWhenMostAgentsAreUnreachable(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 4)
	h.o.tick(context.Background())
	c.Assert(h.o.stopReason, qt.IsNil)
	h.now = h.now.Add(isolationTimeout)
	h.reportRunning("a0", 1)
	h.o.tick(context.Background())
	c.Assert(h.o.stopReason, qt.IsNil, qt.Commentf("a partition may be brief"))
	h.now = h.now.Add(isolationTimeout + time.Millisecond)
	h.reportRunning("a0", 1)
	h.o.tick(context.Background())
	c.Assert(h.o.stopReason, qt.ErrorIs, ErrAgentsUnreachable)
}

func TestASnapshotOfALaterTermEndsOwnership(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	h.o.handleSnapshot(h.o.agents["a0"], &messenger.WorkerSnapshot{Term: 2})
	c.Assert(h.o.stopReason, qt.ErrorIs, ErrOwnershipLost)
}

// An agent whose worker does not respond cannot be reconciled. Runs of an earlier
// owner on that worker end with their lease all the same.
func TestOldJobsWaitNoLongerThanTheLeaseOfAnAgentWithoutAWorker(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 2)
	a := h.o.agents["a0"]
	a.reconciled, a.hasUnknownRuns, a.leaseExpiresAt = false, true, h.now.Add(6*time.Second)
	old := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	old.Version = 5
	for range 14 {
		h.now = h.now.Add(500 * time.Millisecond)
		h.reportRunning("a1", 1)
		h.o.handleSnapshot(a, &messenger.WorkerSnapshot{Term: 1, WorkerIncarnation: "dark", SentAt: time.UnixMilli(5)})
		h.o.tick(context.Background())
	}
	h.o.place()
	c.Assert(old.Task(0, 0, 0).LiveRuns, qt.Equals, 1)
}

// Once the confirmation is as old as ConfirmationTTL, another entry may have
// claimed ownership. It relies on the leases of this owner to have expired by then.
func TestAnUnconfirmedOwnerRenewsNoLeaseAndStartsNothing(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	confirmedAt := h.now
	h.o.cfg.OwnershipConfirmedAt = func() time.Time { return confirmedAt }
	renewedFrom := func() time.Time {
		h.sent["a0"] = nil
		h.sendSnapshot("a0", &messenger.WorkerSnapshot{SentAt: time.UnixMilli(5_000_000)})
		c.Assert(h.sent["a0"], qt.HasLen, 1)
		return h.sent["a0"][0].SnapshotAck.EchoSentAt
	}
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	h.now = confirmedAt.Add(h.o.cfg.ConfirmationTTL - time.Millisecond)
	c.Assert(renewedFrom().IsZero(), qt.IsFalse)
	h.now = confirmedAt.Add(h.o.cfg.ConfirmationTTL)
	before := h.o.agents["a0"].leaseExpiresAt
	c.Assert(renewedFrom().IsZero(), qt.IsTrue)
	c.Assert(h.o.agents["a0"].leaseExpiresAt, qt.Equals, before)
	h.o.place()
	c.Assert(h.commands("a0"), qt.HasLen, 0)
	confirmedAt = h.now
	h.o.place()
	c.Assert(h.commands("a0"), qt.HasLen, 1)
}

// The background goroutines of a stopping owner must not block on its full queue,
// which connections fill while the last write is in flight.
func TestAnOwnerEndsWhileItsQueueIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c, 1)
		h.o.cfg.Now, h.o.cfg.OwnershipConfirmedAt = time.Now, time.Now
		written := make(chan struct{})
		h.o.cfg.Store.Commit = func(context.Context, storer.Transaction) (uint64, error) {
			<-written
			return 0, storer.ErrUnavailable
		}
		h.o.markDirty(h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 1)}}))
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- h.o.Serve(ctx) }()
		advancer.Sleep(100 * time.Millisecond)
		cancel()
		synctest.Wait()
		for range 2 * queueCapacity {
			go h.o.enqueue(func() {})
		}
		synctest.Wait()
		close(written)
		select {
		case err := <-ended:
			c.Assert(err, qt.IsNil)
		case <-time.After(time.Minute):
			c.Fatal("the owner does not stop")
		}
	})
}

// A reconciled agent takes no commands of an earlier owner any more. Guards against
// waiting for its runs, once it is lost, as long as for those of an agent whose
// lease an earlier owner may still renew, which is 16 s.
func TestALostAgentIsWaitedForNoLongerThanItsLease(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	a := h.o.agents["a0"]
	a.leaseExpiresAt = h.now.Add(16 * time.Second) // as after the ledger was loaded
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	h.o.place()
	h.reportRunning("a0", 1)
	h.o.Disconnect(a.link)
	(<-h.o.actions)()
	h.now = h.now.Add(h.o.maxLeaseElapsed() - time.Millisecond)
	h.o.expireLease(a, h.now)
	c.Assert(j.liveRuns, qt.HasLen, 1)
	h.now = h.now.Add(time.Millisecond)
	h.o.expireLease(a, h.now)
	c.Assert(j.liveRuns, qt.HasLen, 0)
}

// Ownership is released once the owner has stopped, and no other entry schedules
// before that.
func TestAnOwnerEndsWhileAPolicyQueryIsUnanswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(c, 1)
		h.o.cfg.Now, h.o.cfg.OwnershipConfirmedAt = time.Now, time.Now
		h.now = time.Now()
		h.sendSnapshot("a0", &messenger.WorkerSnapshot{})
		asked := make(chan struct{})
		h.o.cfg.QueryPolicy = func(ctx context.Context, _ string, _ []string) ([]authorizer.Grant, time.Duration, error) {
			close(asked)
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 1)}, PolicyRestricted: true})
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = h.o.Serve(ctx) }()
		<-asked
		cancel()
		advancer.Sleep(time.Second)
		select {
		case <-h.o.Done():
		default:
			c.Error("the owner waits for the policy service")
		}
		<-h.o.Done()
	})
}
