package orchestrator

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

func TestAnEndIsForgottenOnlyWhenTheLedgerHasIt(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 1)
	j := d.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	d.o.place()
	d.end("a0", 1, j.Task(0, 0, 0).Name(), 1, messenger.EndDone)
	c.Assert(d.o.agents["a0"].durableEnd, qt.Equals, uint64(0))
	c.Assert(visibleState(j.Job), qt.Equals, sequencer.Running, qt.Commentf("complete is not durable yet"))
	b := d.o.nextBatch()
	d.o.handleCommit(b, 40, d.now, nil)
	c.Assert(d.o.agents["a0"].durableEnd, qt.Equals, uint64(1))
	c.Assert(visibleState(j.Job), qt.Equals, sequencer.Complete)
}

func TestAJobFailsAfterItsAttemptsEachCountedOnce(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 1)
	j := d.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	name := j.Task(0, 0, 0).Name()
	d.o.place()
	d.end("a0", 1, name, 1, messenger.EndFailed)
	// Another process of the agent lists the same end under another number.
	d.o.agents["a0"].incarnation, d.o.agents["a0"].lastEnd = "c", 0
	d.end("a0", 1, name, 1, messenger.EndFailed)
	c.Assert(j.Failed, qt.IsFalse)
	d.o.place()
	d.end("a0", 2, name, 2, messenger.EndFailed)
	c.Assert(j.Failed, qt.IsTrue)
}

func TestATransactionNeverHoldsMoreThanTheStoreTakes(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 30)
	for n := range 30 {
		a := d.o.agents[fmt.Sprint("a", n)]
		a.removalPending = n%2 == 0
		a.openPending = n%2 == 1
		d.o.markDirty(d.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 1)}}))
	}
	for range 20 {
		b := d.o.nextBatch()
		n := len(b.transaction.Checks) + len(b.transaction.Writes) + len(b.transaction.Deletes)
		c.Assert(n <= storer.MaxTransactionOps, qt.IsTrue, qt.Commentf("%d entries", n))
	}
	c.Assert(d.o.dirtyJobs, qt.HasLen, 0)
}

// An agent tells its table several times while its key is being written; it was
// enrolled again each time, and the second transaction failed with all in it.
func TestAnAgentIsEnrolledOnce(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 1)
	a := d.o.agents["a0"]
	a.keyVersion, a.mayRunAny = 0, false
	d.run("a0", 1)
	b := d.o.nextBatch()
	c.Assert(b.openedAgents, qt.HasLen, 1)
	d.run("a0", 1)
	c.Assert(d.o.nextBatch().openedAgents, qt.HasLen, 0)
	d.o.handleCommit(b, 40, d.now, nil)
	c.Assert(a.keyVersion, qt.Equals, uint64(40))
	d.run("a0", 1)
	c.Assert(d.o.nextBatch().openedAgents, qt.HasLen, 0)
}

// The epoch is a condition of every write: a key that no owner has written yet
// has no version of its own that would keep an earlier owner out.
func TestAnEarlierOwnerWritesNothing(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	d := newDesk(c, 1)
	claim := func() uint64 {
		at, err := d.store.Client().Commit(ctx, storer.Transaction{Writes: []storer.Write{{Key: "owner", Value: []byte("x")}}})
		c.Assert(err, qt.IsNil)
		return at
	}
	d.o.cfg.Epoch = claim()
	write := func() error {
		j := d.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
		d.o.markDirty(j)
		b := d.o.nextBatch()
		at, sent, err := d.o.commit(ctx, &b.transaction)
		d.o.handleCommit(b, at, sent, err)
		_, err = d.store.Client().Get(ctx, ProgressKey(j.Spec.ID))
		return err
	}
	err := write()
	c.Assert(err, qt.IsNil)
	claim() // another owner
	err = write()
	c.Assert(err, qt.ErrorIs, storer.ErrNotFound)
	c.Assert(d.o.stopReason, qt.ErrorIs, ErrOwnershipLost)
}
