package orchestrator

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

func TestAnEndIsAcknowledgedOnlyWhenItIsDurable(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	h.o.place()
	h.reportEnd("a0", 1, j.Task(0, 0, 0).Name(), 1, messenger.EndDone)
	c.Assert(h.o.agents["a0"].durableEnd, qt.Equals, uint64(0))
	c.Assert(visibleState(j.Job), qt.Equals, sequencer.Running, qt.Commentf("the end is not durable yet"))
	b := h.o.nextBatch()
	h.o.handleCommit(b, 40, nil)
	c.Assert(h.o.agents["a0"].durableEnd, qt.Equals, uint64(1))
	c.Assert(visibleState(j.Job), qt.Equals, sequencer.Complete)
}

func TestAJobFailsAfterItsAttemptsEachCountedOnce(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	name := j.Task(0, 0, 0).Name()
	h.o.place()
	h.reportEnd("a0", 1, name, 1, messenger.EndFailed)
	// A restarted agent lists the same end under another sequence number.
	h.o.agents["a0"].incarnation, h.o.agents["a0"].lastEnd = "c", 0
	h.reportEnd("a0", 1, name, 1, messenger.EndFailed)
	c.Assert(j.Failed, qt.IsFalse)
	h.o.place()
	h.reportEnd("a0", 2, name, 2, messenger.EndFailed)
	c.Assert(j.Failed, qt.IsTrue)
}

func TestATransactionNeverHoldsMoreThanTheStoreTakes(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 30)
	for n := range 30 {
		a := h.o.agents[fmt.Sprint("a", n)]
		a.registration.Want([]registrar.Intent{registrar.Remove, registrar.Open}[n%2])
		h.o.markDirty(h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 1)}}))
	}
	for range 20 {
		b := h.o.nextBatch()
		n := len(b.transaction.Checks) + len(b.transaction.Writes) + len(b.transaction.Deletes)
		c.Assert(n <= storer.MaxTransactionOps, qt.IsTrue, qt.Commentf("%d entries", n))
	}
	c.Assert(h.o.dirtyJobs, qt.HasLen, 0)
}

// Guards against registering an agent again on each snapshot that arrives while its
// registration is being written: the second transaction failed as a whole.
func TestAnAgentIsRegisteredOnce(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	a := h.o.agents["a0"]
	a.registration.Set(0, registrar.Registration{})
	h.reportRunning("a0", 1)
	b := h.o.nextBatch()
	c.Assert(b.openedAgents, qt.HasLen, 1)
	h.reportRunning("a0", 1)
	c.Assert(h.o.nextBatch().openedAgents, qt.HasLen, 0)
	h.o.handleCommit(b, 40, nil)
	c.Assert(a.registration.Version(), qt.Equals, uint64(40))
	h.reportRunning("a0", 1)
	c.Assert(h.o.nextBatch().openedAgents, qt.HasLen, 0)
}

// Every write is conditional on the epoch: a key that was never written has no
// version that could keep out an earlier owner.
func TestAnEarlierOwnerWritesNothing(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	h := newHarness(c, 1)
	claim := func() uint64 {
		version, err := h.store.Client().Commit(ctx, storer.Transaction{Writes: []storer.Write{{Key: "owner", Value: []byte("x")}}})
		c.Assert(err, qt.IsNil)
		return version
	}
	h.o.cfg.Epoch = claim()
	write := func() error {
		j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
		h.o.markDirty(j)
		b := h.o.nextBatch()
		version, err := h.o.commit(ctx, &b.transaction)
		h.o.handleCommit(b, version, err)
		_, err = h.store.Client().Get(ctx, ProgressKey(j.Spec.ID))
		return err
	}
	err := write()
	c.Assert(err, qt.IsNil)
	claim() // another owner
	err = write()
	c.Assert(err, qt.ErrorIs, storer.ErrNotFound)
	c.Assert(h.o.stopReason, qt.ErrorIs, ErrOwnershipLost)
}

// A cancel was stored while the write of a job's completion was in flight. The owner showed
// the job as canceled, the ledger and the next owner as complete.
func TestACancelBesideTheWriteOfTheEndIsSettledOnce(t *testing.T) {
	for name, tt := range map[string]struct {
		err   error // outcome of the write
		state sequencer.State
	}{
		"written":  {nil, sequencer.Complete},
		"conflict": {&storer.ConflictError{Items: []storer.Item{{Key: "owner", Version: 10}}}, sequencer.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 1)
			j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
			h.o.place()
			h.reportEnd("a0", 1, j.Task(0, 0, 0).Name(), j.Task(0, 0, 0).Attempt, messenger.EndDone)
			b := h.o.nextBatch()
			c.Assert(b.transaction.Writes, qt.HasLen, 1)
			h.cancel(j)
			h.o.handleCommit(b, 1001, tt.err)
			c.Assert(h.o.reply(messenger.StateQuery{Job: j.Spec.ID}).State, qt.Equals, string(tt.state))
			if tt.err == nil {
				stored, err := sequencer.DecodeProgress(b.transaction.Writes[0].Value)
				c.Assert(err, qt.IsNil)
				c.Assert(stored.State, qt.Equals, tt.state)
			}
		})
	}
}
