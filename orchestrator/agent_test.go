package orchestrator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/storer"
)

// tickFor advances the clock in ticks while the given agents send snapshots.
func (h *harness) tickFor(elapsed time.Duration, snapshots map[string]*messenger.WorkerSnapshot) {
	for end := h.now.Add(elapsed); h.now.Before(end); {
		h.now = h.now.Add(10 * tickInterval)
		for id, snapshot := range snapshots {
			h.o.handleSnapshot(h.o.agents[id], snapshot)
		}
		h.o.tick(context.Background())
		h.commitBatch(50)
	}
}

// An owner whose agents are replaced one after another released its ownership.
func TestDrainedAgentsThatLeftAreNotCountedAsUnreachable(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 6)
	for _, id := range []string{"a0", "a1", "a2", "a3"} {
		h.sendSnapshot(id, &messenger.WorkerSnapshot{Draining: true})
		h.commitBatch(50)
		h.o.Disconnect(h.o.agents[id].link)
		(<-h.o.actions)()
	}
	h.sendSnapshot("a4", &messenger.WorkerSnapshot{})
	h.tickFor(10*time.Second, map[string]*messenger.WorkerSnapshot{"a4": h.o.agents["a4"].snapshot, "a5": h.o.agents["a5"].snapshot})
	c.Assert(h.o.stopReason, qt.IsNil)
	c.Assert(h.o.agents, qt.HasLen, 2)
}

// The runs of an agent that was replaced by a process without a worker were never
// ended, as each of its snapshots counted as contact to the runs.
func TestRunsOfAnAgentThatReturnsWithoutItsWorkerEndWithTheLease(t *testing.T) {
	c := qt.New(t)
	h, j, a := newBusyHarness(c)
	h.o.Disconnect(a.link)
	(<-h.o.actions)()
	h.o.Connect(&AgentLink{ID: "a0", Incarnation: "b2", TrySend: func(messenger.Frame) error { return nil }})
	(<-h.o.actions)()
	withoutWorker := map[string]*messenger.WorkerSnapshot{"a0": {Term: 1}}
	h.tickFor(h.o.cfg.LeaseDuration-time.Second, withoutWorker)
	c.Assert(j.Task(0, 0, 0).LiveRuns, qt.Equals, 1, qt.Commentf("its worker may still run it"))
	h.tickFor(2*time.Second, withoutWorker)
	c.Assert(j.Task(0, 0, 0).LiveRuns, qt.Equals, 0)
}

// A later owner waits for each registered agent that is not reconciled, so an agent
// without a worker held up all older jobs for 16 s after each takeover.
func TestAnAgentWithoutAWorkerHasNoRegistration(t *testing.T) {
	for name, id := range map[string]string{"never had one": "new", "lost it": "a0"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 1)
			h.o.Connect(&AgentLink{ID: id, Incarnation: "b2", TrySend: func(messenger.Frame) error { return nil }})
			(<-h.o.actions)()
			h.tickFor(10*time.Second, map[string]*messenger.WorkerSnapshot{id: {Term: 1}})
			c.Assert(h.o.agents[id].registration.Version(), qt.Equals, uint64(0))
		})
	}
}

// The registration of a lost agent stayed open after a conflict, and the next owner
// waited for the agent with all older jobs.
func TestARegistrationIsClosedAfterAConflict(t *testing.T) {
	for name, tt := range map[string]struct {
		stored registrar.Registration
		closed int
	}{
		"open in the ledger":   {registrar.Registration{Open: true}, 1},
		"closed in the ledger": {registrar.Registration{HeldTasks: []string{"x"}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h, _, a := newBusyHarness(c)
			h.disconnect(a, 2*registrationCloseDelay)
			h.o.handleCommit(h.o.nextBatch(), 0, &storer.ConflictError{Items: []storer.Item{
				{Key: h.o.cfg.OwnerKey, Version: h.o.cfg.Epoch}, {Key: registrar.Key("a0"), Version: 7, Value: tt.stored.Encode()},
			}})
			h.o.closeRegistration(a, h.now)
			c.Assert(h.commitBatch(50).closedAgents, qt.HasLen, tt.closed)
			c.Assert(a.registration.Open(), qt.IsFalse)
		})
	}
}

// An agent that had drained waited in vain for a lease before it left.
func TestASnapshotOfAnUnregisteredAgentIsAcknowledgedAsApplied(t *testing.T) {
	for name, tt := range map[string]struct{ loaded, confirmed bool }{
		"ledger loaded":     {true, true},
		"ledger not loaded": {false, true},
		"may be replaced":   {true, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 1)
			h.o.loaded = tt.loaded
			h.o.agents["a0"].registration.Set(0, registrar.Registration{})
			confirmed := h.now
			h.o.cfg.OwnershipConfirmedAt = func() time.Time { return confirmed }
			if !tt.confirmed {
				h.now = h.now.Add(closedConfirmationTTL)
			}
			h.sendSnapshot("a0", &messenger.WorkerSnapshot{Draining: true, SentAt: h.now})
			frames := h.sent["a0"]
			ack := frames[len(frames)-1].SnapshotAck
			c.Assert(ack.EchoSentAt.IsZero(), qt.IsTrue)
			c.Assert(ack.AppliedSentAt.Equal(h.now), qt.Equals, tt.loaded && tt.confirmed)
		})
	}
}

// An owner that a later one has replaced took the lease of an agent for over that the later one
// had renewed, and started its tasks a second time.
func TestALeaseIsNotOverWhileALaterOwnerMayHaveRenewedIt(t *testing.T) {
	c := qt.New(t)
	h, j, a := newBusyHarness(c)
	h.disconnect(a, time.Second)
	h.now = a.leaseExpiresAt.Add(time.Second)
	confirmedAt := a.leaseExpiresAt.Add(-time.Millisecond)
	h.o.cfg.OwnershipConfirmedAt = func() time.Time { return confirmedAt }
	h.o.expireLease(a, h.now)
	c.Assert(j.liveRuns, qt.HasLen, 3)
	confirmedAt = a.leaseExpiresAt
	h.o.expireLease(a, h.now)
	c.Assert(j.liveRuns, qt.HasLen, 0)
}

// The lease of a lost agent is over for its owner once a confirmation that was sent after it shows that there is no
// later owner. It asks for one then.
func TestAnOwnerAsksForAConfirmationOnceALeaseIsOver(t *testing.T) {
	c := qt.New(t)
	h, j, a := newBusyHarness(c)
	var asked []time.Time
	h.o.cfg.ConfirmAfter = func(at time.Time) { asked = append(asked, at) }
	a.link, a.snapshot = nil, nil
	confirmedAt := a.leaseExpiresAt.Add(-time.Millisecond)
	h.o.cfg.OwnershipConfirmedAt = func() time.Time { return confirmedAt }
	h.now = a.leaseExpiresAt.Add(-time.Millisecond)
	h.o.expireLease(a, h.now)
	c.Check(asked, qt.HasLen, 0)
	h.now = a.leaseExpiresAt
	h.o.expireLease(a, h.now)
	c.Check(asked, qt.DeepEquals, []time.Time{a.leaseExpiresAt})
	c.Check(j.liveRuns, qt.HasLen, 3)
	confirmedAt = a.leaseExpiresAt
	h.o.expireLease(a, h.now)
	c.Check(asked, qt.HasLen, 1)
	c.Check(j.liveRuns, qt.HasLen, 0)
}
