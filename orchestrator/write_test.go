package orchestrator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// An agent was lost as the store went down; its lease expired before its registration
// could be closed, and one transaction wrote and deleted the same key.
func TestARegistrationThatExpiresBeforeItIsClosedIsOnlyRemoved(t *testing.T) {
	c := qt.New(t)
	h, _, a := newBusyHarness(c)
	h.disconnect(a, 2*registrationCloseDelay)
	h.now = a.leaseExpiresAt.Add(registrationRemovalDelay + tickInterval)
	h.o.expireLease(a, h.now)
	b := h.o.nextBatch()
	c.Assert(b.removedAgents, qt.HasLen, 1)
	c.Assert(b.transaction.Writes, qt.HasLen, 0)
}

// A write took effect, its reply was lost and another entry claimed. The owner repeated
// the write, found it in the store, and took that as a success of the owner.
func TestARepeatedWriteAfterAnotherClaimIsNoSuccess(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 0)
	client := h.store.Client()
	claim := func() uint64 {
		version, err := client.Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: h.o.cfg.OwnerKey, Value: []byte("owner")}}})
		c.Assert(err, qt.IsNil)
		return version
	}
	h.o.cfg.Epoch = claim()
	attempts := 0
	h.store.SetFault(func(string) faker.StoreFault {
		attempts++
		return faker.StoreFault{LoseReply: attempts == 1}
	})
	var claimedAt time.Time
	h.o.cfg.Now = func() time.Time {
		if attempts == 1 && claimedAt.IsZero() {
			claim()
			claimedAt = h.now.Add(time.Second)
		}
		if !claimedAt.IsZero() {
			return claimedAt.Add(time.Second)
		}
		return h.now
	}
	h.connectAgent("a0")
	a := h.o.agents["a0"]
	a.registration.Set(0, registrar.Registration{})
	a.registration.Want(registrar.Open)
	b := h.o.nextBatch()
	version, err := h.o.commit(context.Background(), &b.transaction)
	h.o.handleCommit(b, version, err)
	c.Assert(claimedAt.IsZero(), qt.IsFalse)
	c.Assert(a.registration.Open(), qt.IsFalse)
	c.Assert(h.o.stopReason, qt.ErrorIs, ErrOwnershipLost)
}

// An agent returned after its lease, before its registration was closed: tasks were
// started there, and then its registration was removed.
func TestAnAgentThatReturnsAfterItsLeaseKeepsItsRegistration(t *testing.T) {
	c := qt.New(t)
	h, j, a := newBusyHarness(c)
	link := a.link
	h.disconnect(a, 2*registrationCloseDelay)
	h.now = a.leaseExpiresAt.Add(registrationRemovalDelay + tickInterval)
	h.o.expireLease(a, h.now)
	a.link = link
	h.reportRunning("a0", 0)
	h.o.place()
	c.Assert(j.Task(0, 0, 0).LiveRuns, qt.Equals, 1)
	c.Assert(h.o.nextBatch().removedAgents, qt.HasLen, 0)
}

// Each end of a task wrote its job's progress again: a job of 160 tasks up to 160 times,
// which took a quarter of a thin link.
func TestProgressIsCollectedUntilAJobEnds(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(2, 100)}})
	h.o.place()
	h.reportEnd("a0", 1, j.Task(0, 0, 0).Name(), j.Task(0, 0, 0).Attempt, messenger.EndDone)
	c.Check(h.o.writeDue(), qt.IsFalse)
	h.now = h.now.Add(progressWriteDelay)
	c.Check(h.o.writeDue(), qt.IsTrue)
	h.commitBatch(50)
	c.Check(h.o.writeDue(), qt.IsFalse)
	h.reportEnd("a0", 2, j.Task(0, 0, 1).Name(), j.Task(0, 0, 1).Attempt, messenger.EndDone)
	c.Check(h.o.writeDue(), qt.IsTrue, qt.Commentf("the job has ended"))
}
