package orchestrator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/registrar"
)

// report delivers a snapshot of an agent with all its runs, a second after the last one, and returns the
// time for which its acknowledgement renews the lease.
func (h *harness) report(id string, snapshot messenger.WorkerSnapshot) time.Time {
	h.now = h.now.Add(time.Second)
	snapshot.SentAt, snapshot.Runs = h.now, h.runStatuses(id, messenger.PhaseRunning, 10)
	h.sendSnapshot(id, &snapshot)
	return h.lastRenewal(id)
}

// lastRenewal returns the time for which the last acknowledgement to an agent renews its lease.
func (h *harness) lastRenewal(id string) time.Time {
	return h.sent[id][len(h.sent[id])-1].SnapshotAck.EchoSentAt
}

// written returns the registration that a batch writes.
func (h *harness) written(b *batch) registrar.Registration {
	h.c.Assert(b.transaction.Writes, qt.HasLen, 1)
	r, err := registrar.Decode(b.transaction.Writes[0].Value)
	h.c.Assert(err, qt.IsNil)
	return r
}

// The wait of a later owner counts from when the record was written, so that a renewal after that would
// let a task run twice.
func TestTheLeaseOfAnAgentThatLeftIsRenewedNoMore(t *testing.T) {
	c := qt.New(t)
	h, _, a := newBusyHarness(c)
	last := h.report("a0", messenger.WorkerSnapshot{Leaving: true})
	c.Assert(last.Equal(h.now), qt.IsTrue, qt.Commentf("the record has not been sent"))
	expiresAt := a.leaseExpiresAt
	b := h.o.nextBatch()
	record := h.written(b)
	c.Assert(record.RenewalsEndedInTerm, qt.Equals, h.o.cfg.Term)
	c.Assert(record.Epoch, qt.Equals, h.o.cfg.Epoch)
	c.Assert(record.HeldTasks, qt.HasLen, 3)
	c.Assert(h.report("a0", messenger.WorkerSnapshot{Leaving: true}).Equal(last), qt.IsTrue, qt.Commentf("sent, without an outcome"))
	h.o.handleCommit(b, 50, nil)
	c.Assert(h.lastRenewal("a0").Equal(last), qt.IsTrue, qt.Commentf("as it is let go"))
	c.Assert(h.report("a0", messenger.WorkerSnapshot{Leaving: true}).Equal(last), qt.IsTrue)
	c.Assert(a.leaseExpiresAt, qt.Equals, expiresAt)

	a.incarnation = "b2"
	c.Assert(h.report("a0", messenger.WorkerSnapshot{}).Equal(last), qt.IsTrue, qt.Commentf("of the next process, until it is registered"))
	c.Assert(h.written(h.commitBatch(51)), qt.DeepEquals, registrar.Registration{Open: true, Incarnation: "b2"})
	c.Assert(h.lastRenewal("a0").Equal(h.now), qt.IsTrue)
	c.Assert(h.report("a0", messenger.WorkerSnapshot{}).Equal(h.now), qt.IsTrue)
}

// A renewal is repeated to the worker for which it was given only: another one has another clock.
func TestARenewalIsNotRepeatedToAnotherWorker(t *testing.T) {
	c := qt.New(t)
	h, _, a := newBusyHarness(c)
	h.report("a0", messenger.WorkerSnapshot{Leaving: true})
	h.commitBatch(50)
	a.lastRenewal.worker = "an earlier one"
	c.Assert(h.report("a0", messenger.WorkerSnapshot{Leaving: true}).IsZero(), qt.IsTrue)
}

// A worker without a start time has the same incarnation after its instance has started anew, and its clock
// starts again: it would take the renewal for one of the future, and run beyond its lease.
func TestARenewalIsNotRepeatedToAWorkerWhoseClockStartedAgain(t *testing.T) {
	c := qt.New(t)
	h, _, a := newBusyHarness(c)
	last := h.report("a0", messenger.WorkerSnapshot{Leaving: true})
	h.commitBatch(50)
	a.incarnation, a.leaving = "b2", false
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{SentAt: last.Add(-time.Hour), Reconciled: true})
	c.Assert(h.lastRenewal("a0").IsZero(), qt.IsTrue)
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{SentAt: last, Reconciled: true})
	c.Assert(h.lastRenewal("a0").Equal(last), qt.IsTrue)
}

// A write that was refused, though each key has the version that it expects, may still take effect.
func TestALeaseIsNotRenewedAfterAConflictOfItsLastRecord(t *testing.T) {
	for name, incarnation := range map[string]string{"next process": "b2", "same process": "b"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h, _, a := newBusyHarness(c)
			last := h.report("a0", messenger.WorkerSnapshot{Leaving: true})
			h.conflict("a0", 1, registrar.Registration{Open: true, Incarnation: "b"})
			a.incarnation, a.leaving = incarnation, false
			c.Assert(h.report("a0", messenger.WorkerSnapshot{}).Equal(last), qt.IsTrue)
			h.commitBatch(50)
			c.Assert(h.report("a0", messenger.WorkerSnapshot{}).Equal(h.now), qt.IsTrue)
		})
	}
}

// A write that met a record which the agent had closed itself can never take effect. Its lease was not
// renewed before the next write, though the ledger does not say that it has ended.
func TestALeaseIsRenewedOnceAWriteThatEndsItCanTakeNoEffect(t *testing.T) {
	c := qt.New(t)
	h, _, a := newBusyHarness(c)
	h.report("a0", messenger.WorkerSnapshot{Leaving: true})
	h.conflict("a0", 7, registrar.Registration{HeldTasks: []string{"0000000000000001.0.0.0"}, Incarnation: "b"})
	a.incarnation, a.leaving = "b2", false
	c.Assert(h.report("a0", messenger.WorkerSnapshot{}).Equal(h.now), qt.IsTrue)
	h.o.place()
	c.Assert(h.commands("a0"), qt.HasLen, 3, qt.Commentf("the starts of before: it gets none until it is registered"))
	h.commitBatch(50)
	c.Assert(h.report("a0", messenger.WorkerSnapshot{}).Equal(h.now), qt.IsTrue)
}

// The runs of a worker that drains would lapse, as its registration isn't opened again.
func TestTheNextProcessOnADrainingWorkerIsRenewedOnceItIsRegistered(t *testing.T) {
	c := qt.New(t)
	h, _, a := newBusyHarness(c)
	h.report("a0", messenger.WorkerSnapshot{Leaving: true, Draining: true})
	h.commitBatch(50)
	a.incarnation = "b2"
	h.report("a0", messenger.WorkerSnapshot{Draining: true})
	record := h.written(h.commitBatch(51))
	c.Assert(record.RenewalsEndedInTerm, qt.Equals, uint64(0))
	c.Assert(record.HeldTasks, qt.HasLen, 3)
	c.Assert(h.report("a0", messenger.WorkerSnapshot{Draining: true}).Equal(h.now), qt.IsTrue)
}

// The registration of a worker that drains was closed before its agent left, and the next owner waited
// as for an agent that may return.
func TestTheRegistrationOfADrainingAgentThatLeavesIsWrittenAgain(t *testing.T) {
	c := qt.New(t)
	h, _, a := newBusyHarness(c)
	h.report("a0", messenger.WorkerSnapshot{Draining: true})
	c.Assert(h.written(h.commitBatch(50)).RenewalsEndedInTerm, qt.Equals, uint64(0))
	h.report("a0", messenger.WorkerSnapshot{Draining: true, Leaving: true})
	a.link, a.snapshot = nil, nil
	h.o.tick(t.Context())
	c.Assert(h.written(h.commitBatch(51)).RenewalsEndedInTerm, qt.Equals, h.o.cfg.Term)
	h.o.tick(t.Context())
	c.Assert(h.o.nextBatch().keyCount(), qt.Equals, 0)
}

// An earlier owner may have loaded the open registration, and renew the lease of the next process.
func TestTheRecordOfAnAgentThatLeftSaysForHowLongEarlierOwnersMayAct(t *testing.T) {
	c := qt.New(t)
	h, _, _ := newBusyHarness(c)
	h.o.cfg.PreviousOwnerTTL = 2 * time.Second
	h.report("a0", messenger.WorkerSnapshot{Leaving: true})
	record := h.written(h.commitBatch(50))
	c.Assert(record.Bounded, qt.IsFalse)
	left := time.Duration(record.EarlierMs) * time.Millisecond
	c.Assert(left > time.Second, qt.IsTrue, qt.Commentf("%v", left))
	c.Assert(left < 1100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", left))
}

// reconnect connects an agent again.
func (h *harness) reconnect(a *agent, incarnation string) {
	a.incarnation, a.lastSnapshotAt = incarnation, h.now
	a.link = &AgentLink{ID: a.id, Incarnation: incarnation, TrySend: func(f messenger.Frame) error {
		h.sent[a.id] = append(h.sent[a.id], f)
		return nil
	}}
}

// An agent was killed some seconds before its owner was lost, and the next owner waited for 2 s and the
// lease from its own claim.
func TestTheLeaseOfAnUnreachableAgentIsRenewedNoMore(t *testing.T) {
	for _, incarnation := range []string{"b", "b2"} {
		t.Run(incarnation, func(t *testing.T) {
			c := qt.New(t)
			h, _, a := newBusyHarness(c)
			last := h.report("a0", messenger.WorkerSnapshot{})
			h.disconnect(a, 2*registrationCloseDelay)
			b := h.o.nextBatch()
			c.Assert(h.written(b).RenewalsEndedInTerm, qt.Equals, h.o.cfg.Term)
			h.reconnect(a, incarnation)
			c.Assert(h.report("a0", messenger.WorkerSnapshot{}).Equal(last), qt.IsTrue, qt.Commentf("the write is on its way"))
			h.o.handleCommit(b, 50, nil)
			c.Assert(h.report("a0", messenger.WorkerSnapshot{}).Equal(last), qt.IsTrue)
			c.Assert(h.written(h.commitBatch(51)).Open, qt.IsTrue)
			c.Assert(h.lastRenewal("a0").Equal(h.now), qt.IsTrue)
		})
	}
}

// The registration of a worker that drains is closed while its agent is connected and needs the lease.
func TestTheRegistrationOfADrainingAgentThatIsLostIsWrittenAgain(t *testing.T) {
	for name, tt := range map[string]struct {
		confirmed time.Duration
		again     bool
	}{
		"":             {0, true},
		"in an outage": {closedConfirmationTTL, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h, _, a := newBusyHarness(c)
			h.report("a0", messenger.WorkerSnapshot{Draining: true})
			c.Assert(h.written(h.commitBatch(50)).RenewalsEndedInTerm, qt.Equals, uint64(0))
			a.link, a.snapshot, h.now = nil, nil, h.now.Add(2*registrationCloseDelay)
			h.o.cfg.OwnershipConfirmedAt = func() time.Time { return h.now.Add(-tt.confirmed) }
			h.o.tick(t.Context())
			b := h.commitBatch(51)
			c.Assert(b.keyCount() > 0, qt.Equals, tt.again)
			h.reconnect(a, "b")
			h.report("a0", messenger.WorkerSnapshot{Draining: true})
			b = h.commitBatch(52)
			c.Assert(b.keyCount() > 0, qt.Equals, tt.again)
			if tt.again {
				c.Assert(h.written(b).RenewalsEndedInTerm, qt.Equals, uint64(0))
				c.Assert(h.report("a0", messenger.WorkerSnapshot{Draining: true}).Equal(h.now), qt.IsTrue)
			}
		})
	}
}
