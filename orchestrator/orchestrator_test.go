package orchestrator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// A job that an earlier owner may have started waits until every agent that may
// hold it was heard, or its lease has surely ended; a newer job does not.
func TestOldJobsWaitForAgentsThatWereNotHeard(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 1)
	gone := d.o.agent("gone")
	gone.keyVersion, gone.mayRunAny, gone.hasUnknownRuns, gone.leaseExpiresAt = 1, true, true, d.now.Add(16*time.Second)
	old := d.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	old.Version = 5 // before the epoch
	newer := d.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	d.o.place()
	c.Assert(old.Task(0, 0, 0).LiveRuns, qt.Equals, 0)
	c.Assert(newer.Task(0, 0, 0).LiveRuns, qt.Equals, 1)
	d.now = d.now.Add(17 * time.Second)
	d.run("a0", 1)
	d.o.expireLease(gone, d.now)
	d.o.place()
	c.Assert(old.Task(0, 0, 0).LiveRuns, qt.Equals, 1)
}

func TestAnOwnerThatHearsFewAgentsGivesUp(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 4)
	d.o.tick(context.Background())
	c.Assert(d.o.stopReason, qt.IsNil)
	d.now = d.now.Add(isolationTimeout)
	d.run("a0", 1)
	d.o.tick(context.Background())
	c.Assert(d.o.stopReason, qt.IsNil, qt.Commentf("a cut may be short"))
	d.now = d.now.Add(isolationTimeout + time.Millisecond)
	d.run("a0", 1)
	d.o.tick(context.Background())
	c.Assert(d.o.stopReason, qt.ErrorIs, ErrAgentsUnreachable)
}

func TestATableOfALaterTermDeposes(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 1)
	d.o.handleSnapshot(d.o.agents["a0"], &messenger.WorkerSnapshot{Term: 2})
	c.Assert(d.o.stopReason, qt.ErrorIs, ErrOwnershipLost)
}

// An agent that is there but whose worker does not answer can't be surveyed;
// what an earlier owner left at that worker ends with its lease all the same.
func TestAnAgentWithoutAWorkerIsNotWaitedForWithoutEnd(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 2)
	a := d.o.agents["a0"]
	a.reconciled, a.hasUnknownRuns, a.leaseExpiresAt = false, true, d.now.Add(6*time.Second)
	old := d.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	old.Version = 5
	for range 14 {
		d.now = d.now.Add(500 * time.Millisecond)
		d.run("a1", 1)
		d.o.handleSnapshot(a, &messenger.WorkerSnapshot{Term: 1, WorkerIncarnation: "dark", SentAt: time.UnixMilli(5)})
		d.o.tick(context.Background())
	}
	d.o.place()
	c.Assert(old.Task(0, 0, 0).LiveRuns, qt.Equals, 1)
}

// A claim of another entry may stand in the store as soon as the proof is as old
// as Proof; its owner counts on leases that end by then.
func TestAnOwnerWithoutProofExtendsNoLeaseAndStartsNothing(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 1)
	proven := d.now
	d.o.cfg.OwnershipConfirmedAt = func() time.Time { return proven }
	vouched := func() time.Time {
		d.sent["a0"] = nil
		d.table("a0", &messenger.WorkerSnapshot{SentAt: time.UnixMilli(5_000_000)})
		c.Assert(d.sent["a0"], qt.HasLen, 1)
		return d.sent["a0"][0].SnapshotAck.EchoSentAt
	}
	d.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	d.now = proven.Add(d.o.cfg.ConfirmationTTL - time.Millisecond)
	c.Assert(vouched().IsZero(), qt.IsFalse)
	d.now = proven.Add(d.o.cfg.ConfirmationTTL)
	before := d.o.agents["a0"].leaseExpiresAt
	c.Assert(vouched().IsZero(), qt.IsTrue)
	c.Assert(d.o.agents["a0"].leaseExpiresAt, qt.Equals, before)
	d.o.place()
	c.Assert(d.orders("a0"), qt.HasLen, 0)
	proven = d.now
	d.o.place()
	c.Assert(d.orders("a0"), qt.HasLen, 1)
}

// What works for an owner that ends must not wait for its queue: links fill it
// while the last write is on its way.
func TestAnOwnerEndsWhileItsQueueIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDesk(c, 1)
		d.o.cfg.Now, d.o.cfg.OwnershipConfirmedAt = time.Now, time.Now
		written := make(chan struct{})
		d.o.cfg.Store.Commit = func(context.Context, storer.Transaction) (uint64, error) {
			<-written
			return 0, storer.ErrUnavailable
		}
		d.o.markDirty(d.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 1)}}))
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- d.o.Serve(ctx) }()
		advancer.Sleep(100 * time.Millisecond)
		cancel()
		synctest.Wait()
		for range 2 * queueCapacity {
			go d.o.enqueue(func() {})
		}
		synctest.Wait()
		close(written)
		select {
		case err := <-ended:
			c.Assert(err, qt.IsNil)
		case <-time.After(time.Minute):
			c.Fatal("the owner does not end")
		}
	})
}

// An agent that has been heard obeys no earlier owner any more. Once lost, its
// runs were waited for as long as those of one that an earlier owner may still
// extend: 16 s (replaced-owner-beside-scale-in, LOST).
func TestAnAgentThatWasHeardIsWaitedForItsLeaseOnly(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 1)
	a := d.o.agents["a0"]
	a.leaseExpiresAt = d.now.Add(16 * time.Second) // as the ledger's agents are at first
	j := d.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	d.o.place()
	d.run("a0", 1)
	d.o.Disconnect(a.link)
	(<-d.o.actions)()
	d.now = d.now.Add(d.o.maxLeaseElapsed() - time.Millisecond)
	d.o.expireLease(a, d.now)
	c.Assert(j.liveRuns, qt.HasLen, 1)
	d.now = d.now.Add(time.Millisecond)
	d.o.expireLease(a, d.now)
	c.Assert(j.liveRuns, qt.HasLen, 0)
}
