package orchestrator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// conflict refuses the pending changes, as the registration of an agent has another state; version
// is 0 if it is gone.
func (h *harness) conflict(id string, version uint64, stored registrar.Registration) {
	items := []storer.Item{{Key: h.o.cfg.OwnerKey, Version: h.o.cfg.Epoch}}
	if version != 0 {
		items = append(items, storer.Item{Key: registrar.Key(id), Version: version, Value: stored.Encode()})
	}
	h.o.handleCommit(h.o.nextBatch(), 0, &storer.ConflictError{Items: items})
}

// restartAgent connects another process of an agent, whose worker has no runs.
func (h *harness) restartAgent(id, incarnation string) {
	h.o.agents[id].incarnation = incarnation
	h.sendSnapshot(id, &messenger.WorkerSnapshot{})
}

// An agent had closed its registration as it ended. The owner, which had it open in memory, could
// start a task on the next process of the agent, which a later owner started elsewhere, too.
func TestANewProcessOfAnAgentGetsNoStartsUntilItIsRegistered(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	h.restartAgent("a0", "b2")
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	h.o.place()
	c.Assert(h.commands("a0"), qt.HasLen, 0)
	h.conflict("a0", 7, registrar.Registration{Incarnation: "b"})
	h.o.place()
	c.Assert(h.commands("a0"), qt.HasLen, 0)
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{})
	b := h.commitBatch(50)
	c.Assert(b.transaction.Checks, qt.Contains, storer.Check{Key: registrar.Key("a0"), Version: 7})
	written, err := registrar.Decode(b.transaction.Writes[0].Value)
	c.Assert(err, qt.IsNil)
	c.Assert(written, qt.DeepEquals, registrar.Registration{Open: true, Incarnation: "b2"})
	h.o.place()
	c.Assert(h.commands("a0"), qt.DeepEquals, []string{"start " + j.Task(0, 0, 0).Name()})
}

// The write of a registration names the process for which it was sent, and allows no starts by one
// that has connected since.
func TestARegistrationInFlightIsOfTheProcessThatItNames(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	h.restartAgent("a0", "b2")
	b := h.o.nextBatch()
	h.restartAgent("a0", "b3")
	h.o.handleCommit(b, 50, nil)
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	h.o.place()
	c.Assert(h.commands("a0"), qt.HasLen, 0)
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{})
	h.commitBatch(51)
	h.o.place()
	c.Assert(h.commands("a0"), qt.HasLen, 1)
}

// In an outage of the store, the runs of an agent whose process has changed would lapse if its
// lease waited for the registration.
func TestTheLeaseOfANewProcessIsRenewedBeforeItIsRegistered(t *testing.T) {
	c := qt.New(t)
	h, _, a := newBusyHarness(c)
	h.o.cfg.OwnershipConfirmedAt = func() time.Time { return h.now.Add(-4 * time.Second) }
	a.incarnation = "b2"
	h.reportRunning("a0", 20)
	ack := h.sent["a0"][len(h.sent["a0"])-1].SnapshotAck
	c.Assert(ack, qt.IsNotNil)
	c.Assert(ack.EchoSentAt, qt.Equals, a.snapshot.SentAt)
	c.Assert(h.o.mayRenew(a), qt.IsTrue)
}

// An owner whose write meets a registration that the agent has closed or removed goes on from it, and
// its tasks run again once the lease is over.
func TestTheTasksOfAnAgentThatClosedItsRegistrationAreNotLost(t *testing.T) {
	for name, tt := range map[string]struct {
		version uint64
		stored  registrar.Registration
	}{
		"closed":  {7, registrar.Registration{HeldTasks: []string{"0000000000000001.0.0.0"}, Incarnation: "b"}},
		"removed": {0, registrar.Registration{}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h, j, a := newBusyHarness(c)
			h.disconnect(a, 2*registrationCloseDelay)
			h.conflict("a0", tt.version, tt.stored)
			c.Assert(a.registration.Version(), qt.Equals, tt.version)
			c.Assert(a.registration.Open(), qt.IsFalse)
			c.Assert(j.liveRuns, qt.HasLen, 3, qt.Commentf("they may be at work until the lease ends"))
			h.now = a.leaseExpiresAt.Add(time.Millisecond)
			h.connectAgent("a1")
			h.o.expireLease(a, h.now)
			h.o.place()
			c.Assert(h.commands("a1"), qt.HasLen, 3)
		})
	}
}

// The registration of an agent that restarted, and closed before the write for its new process was sent, was
// written twice in one transaction, as open and as closed.
func TestTheRegistrationOfANewProcessThatClosesIsWrittenOnce(t *testing.T) {
	for name, closing := range map[string]messenger.WorkerSnapshot{
		"draining": {Draining: true},
		"leaving":  {Leaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h, _, a := newBusyHarness(c)
			a.incarnation = "b2"
			h.reportRunning("a0", 10)
			closing.Runs = h.runStatuses("a0", messenger.PhaseRunning, 10)
			h.sendSnapshot("a0", &closing)
			b := h.commitBatch(50)
			c.Assert(b.transaction.Writes, qt.HasLen, 1)
			c.Assert(b.transaction.Checks, qt.HasLen, 2, qt.Commentf("the owner's key and its own"))
			written, err := registrar.Decode(b.transaction.Writes[0].Value)
			c.Assert(err, qt.IsNil)
			c.Assert(written.Open, qt.IsFalse)
			c.Assert(written.HeldTasks, qt.HasLen, 3)
			c.Assert(a.registration.Record().Open, qt.IsFalse)
			c.Assert(a.registration.Open(), qt.IsFalse)
		})
	}
}
