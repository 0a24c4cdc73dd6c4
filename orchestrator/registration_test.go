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

// newBusyHarness returns a harness with a job of three tasks that run on one agent.
func newBusyHarness(c *qt.C) (*harness, *job, *agent) {
	h := newHarness(c, 1)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(3, 10)}})
	h.o.place()
	h.reportRunning("a0", 10)
	return h, j, h.o.agents["a0"]
}

// disconnect closes the connection of an agent and advances the clock.
func (h *harness) disconnect(a *agent, elapsed time.Duration) {
	a.link, a.snapshot = nil, nil
	h.now = h.now.Add(elapsed)
	h.o.closeRegistration(a, h.now)
}

// commitBatch commits the pending changes and returns them.
func (h *harness) commitBatch(version uint64) *batch {
	b := h.o.nextBatch()
	h.o.handleCommit(b, version, nil)
	return b
}

func TestTheRegistrationOfALostAgentListsItsTasks(t *testing.T) {
	c := qt.New(t)
	h, j, a := newBusyHarness(c)
	h.disconnect(a, registrationCloseDelay/2)
	c.Assert(a.registration.Wanted(), qt.Not(qt.Equals), registrar.Close, qt.Commentf("it may reconnect"))
	h.disconnect(a, registrationCloseDelay)
	b := h.commitBatch(50)
	c.Assert(b.closedAgents, qt.HasLen, 1)
	c.Assert(a.registration.Open(), qt.IsFalse)
	reloaded := &agent{id: "a0"}
	h.o.loadRegistration(reloaded, storer.Item{Version: 50, Value: b.transaction.Writes[0].Value}, true)
	c.Assert(reloaded.registration.Open(), qt.IsFalse)
	c.Assert(reloaded.recordedTasks, qt.HasLen, 3)
	c.Assert(reloaded.recordedTasks, qt.Contains, j.Task(0, 0, 1).Name())
}

// A task whose end is not in the ledger may not be started again either.
func TestATaskWhoseEndIsNotDurableIsHeld(t *testing.T) {
	c := qt.New(t)
	h, j, a := newBusyHarness(c)
	h.reportEnd("a0", 1, j.Task(0, 0, 0).Name(), j.Task(0, 0, 0).Attempt, messenger.EndDone)
	c.Assert(a.heldTasks(), qt.Contains, j.Task(0, 0, 0).Name())
}

func TestTheRegistrationOfALostIdleAgentIsRemoved(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	a := h.o.agents["a0"]
	h.disconnect(a, 2*registrationCloseDelay)
	c.Assert(a.registration.Wanted(), qt.Equals, registrar.Remove)
}

// An agent must not receive tasks that its registration in the ledger doesn't
// cover.
func TestAnAgentGetsNoStartsUntilItsRegistrationIsOpenAgain(t *testing.T) {
	c := qt.New(t)
	h, _, a := newBusyHarness(c)
	h.disconnect(a, 2*registrationCloseDelay)
	h.commitBatch(50)
	other := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	reconnect := func() {
		a.link = &AgentLink{ID: "a0", Incarnation: "b", TrySend: func(f messenger.Frame) error {
			h.sent["a0"] = append(h.sent["a0"], f)
			return nil
		}}
		h.reportRunning("a0", 10)
	}
	reconnect()
	h.o.place()
	name := other.Task(0, 0, 0).Name()
	c.Assert(h.commands("a0"), qt.Not(qt.Contains), "start "+name)
	h.commitBatch(60)
	c.Assert(a.registration.Open(), qt.IsTrue)
	h.o.place()
	c.Assert(h.commands("a0"), qt.Contains, "start "+name)
}

// The registration is not closed for an agent that reconnects before the write.
func TestAnAgentThatReturnsInTimeKeepsItsRegistrationOpen(t *testing.T) {
	c := qt.New(t)
	h, _, a := newBusyHarness(c)
	link := a.link
	h.disconnect(a, 2*registrationCloseDelay)
	a.link = link
	h.reportRunning("a0", 10)
	c.Assert(a.registration.Open(), qt.IsTrue)
	c.Assert(h.commitBatch(50).closedAgents, qt.HasLen, 0)
}

// A lost agent may restart without its worker. Its registration then still states
// what the worker may run.
func TestAnAgentWithoutAWorkerKeepsItsRegistrationClosed(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	h.o.takeOver(nil, nil, []storer.Item{{Key: registrar.Key("lost"), Value: registrar.Registration{HeldTasks: []string{"x.0.0.0"}}.Encode(), Version: 30}})
	lost := h.o.agents["lost"]
	lost.link = &AgentLink{ID: "lost", Incarnation: "b2", TrySend: func(messenger.Frame) error { return nil }}
	h.o.handleSnapshot(lost, &messenger.WorkerSnapshot{Term: 1})
	c.Assert(lost.registration.Wanted(), qt.Not(qt.Equals), registrar.Open)
	all, tasks := h.o.blockedTasks()
	c.Assert(all, qt.IsFalse)
	c.Assert(tasks["x.0.0.0"], qt.IsTrue)
}

// After a takeover only the tasks that the lost agent may run wait for its lease.
func TestOnlyTasksOfTheLostAgentWait(t *testing.T) {
	for name, tt := range map[string]struct {
		value  []byte
		starts int
	}{
		"closed":        {registrar.Registration{HeldTasks: []string{"00000000000000aa.0.0.1"}}.Encode(), 2},
		"open":          {registrar.Registration{Open: true}.Encode(), 0},
		"undecodable":   {[]byte("a1"), 0},
		"no held tasks": {registrar.Registration{}.Encode(), 3},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 1)
			h.o.cfg.Epoch = 100
			spec := sequencer.Spec{ID: "00000000000000aa", Pool: "pool", Queue: "queue", AcceptedAt: h.now, Steps: []sequencer.Step{step(3, 10)}}
			raw, err := spec.Encode()
			c.Assert(err, qt.IsNil)
			h.o.takeOver([]storer.Item{{Key: JobKey(spec.ID), Value: raw, Version: 20}}, nil, []storer.Item{{Key: registrar.Key("lost"), Value: tt.value, Version: 30}})
			h.o.place()
			c.Assert(h.commands("a0"), qt.HasLen, tt.starts)
			lost := h.o.agents["lost"]
			h.now = lost.leaseExpiresAt.Add(time.Second)
			h.reportRunning("a0", 10)
			h.o.expireLease(lost, h.now)
			h.o.place()
			c.Assert(h.commands("a0"), qt.HasLen, 3, qt.Commentf("its lease has expired"))
		})
	}
}

// maxRestartDelay is how long after its last run a long-running task may be without
// one if a worker has room.
const maxRestartDelay = 9 * time.Second

// An agent left, then its owner was lost. The next owner can't reach the agent, but no
// earlier owner can have renewed its lease since.
func TestTasksOfAnAgentThatLeftAreNotHeldForConfirmationsOfItsOwner(t *testing.T) {
	for name, tt := range map[string]struct {
		leave func(h *harness, a *agent)
	}{
		"disconnected": {func(h *harness, a *agent) { h.disconnect(a, 2*registrationCloseDelay) }},
		"draining": {func(h *harness, a *agent) {
			h.sendSnapshot(a.id, &messenger.WorkerSnapshot{Draining: true, Runs: h.runStatuses(a.id, messenger.PhaseRunning, 10)})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			earlier, _, a := newBusyHarness(c)
			tt.leave(earlier, a)
			b := earlier.commitBatch(50)
			c.Assert(b.closedAgents, qt.HasLen, 1)

			h := newHarness(c, 1)
			h.o.cfg.Epoch, h.o.cfg.PreviousOwnerTTL = 100, h.o.cfg.ConfirmationTTL
			spec := sequencer.Spec{ID: "0000000000000001", Pool: "pool", Queue: "queue", AcceptedAt: h.now, Steps: []sequencer.Step{step(3, 10)}}
			raw, err := spec.Encode()
			c.Assert(err, qt.IsNil)
			h.o.takeOver([]storer.Item{{Key: JobKey(spec.ID), Value: raw, Version: 20}}, nil,
				[]storer.Item{{Key: registrar.Key("lost"), Value: b.transaction.Writes[0].Value, Version: 50}})
			h.o.place()
			c.Assert(h.commands("a0"), qt.HasLen, 0, qt.Commentf("its lease may not have expired"))
			h.now = h.now.Add(maxRestartDelay)
			h.reportRunning("a0", 10)
			h.o.expireLease(h.o.agents["lost"], h.now)
			h.o.place()
			c.Assert(h.commands("a0"), qt.HasLen, 3)
		})
	}
}

// A later owner counts on it that no lease under a closed registration is renewed on
// an old confirmation.
func TestALeaseUnderAClosedRegistrationNeedsARecentConfirmation(t *testing.T) {
	for name, tt := range map[string]struct {
		draining bool
		age      time.Duration
		renewed  bool
	}{
		"open, old":      {false, closedConfirmationTTL, true},
		"open, expired":  {false, 10 * time.Second, false},
		"closed, recent": {true, closedConfirmationTTL - time.Millisecond, true},
		"closed, old":    {true, closedConfirmationTTL, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h, _, a := newBusyHarness(c)
			confirmed := h.now
			h.o.cfg.OwnershipConfirmedAt = func() time.Time { return confirmed }
			snapshot := func() *messenger.WorkerSnapshot {
				return &messenger.WorkerSnapshot{Draining: tt.draining, SentAt: h.now, Runs: h.runStatuses("a0", messenger.PhaseRunning, 10)}
			}
			h.sendSnapshot("a0", snapshot())
			h.now = confirmed.Add(tt.age)
			before := a.leaseExpiresAt
			h.sendSnapshot("a0", snapshot())
			frames := h.sent["a0"]
			c.Assert(a.leaseExpiresAt.After(before), qt.Equals, tt.renewed)
			c.Assert(frames[len(frames)-1].SnapshotAck.EchoSentAt.IsZero(), qt.Equals, !tt.renewed)
		})
	}
}

// An earlier owner that took the registration for open may still renew the lease on an
// old confirmation.
func TestAClosedRegistrationIsNotBoundedWhileAnEarlierOwnerMayAct(t *testing.T) {
	for name, tt := range map[string]struct {
		elapsed time.Duration
		held    time.Duration
	}{
		"within its confirmation TTL": {5 * time.Second, 10 * time.Second},
		"after it":                    {10 * time.Second, closedConfirmationTTL},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h, _, a := newBusyHarness(c)
			h.o.cfg.PreviousOwnerTTL = 10 * time.Second
			h.now = h.now.Add(tt.elapsed)
			h.reportRunning("a0", 10)
			h.disconnect(a, 2*registrationCloseDelay)
			record := h.commitBatch(50).transaction.Writes[0].Value
			next := newHarness(c, 0)
			next.o.cfg.PreviousOwnerTTL = 10 * time.Second
			next.o.takeOver(nil, nil, []storer.Item{{Key: registrar.Key("lost"), Value: record, Version: 50}})
			c.Assert(next.o.agents["lost"].leaseExpiresAt, qt.Equals, next.o.cfg.ClaimedAt.Add(tt.held+next.o.maxLeaseElapsed()))
		})
	}
}

// One transaction would write and delete the same key.
func TestAnIdleAgentThatReturnsInTimeKeepsItsRegistration(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	a := h.o.agents["a0"]
	link := a.link
	h.disconnect(a, 2*registrationCloseDelay)
	c.Assert(a.registration.Wanted(), qt.Equals, registrar.Remove)
	a.link = link
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{})
	b := h.commitBatch(50)
	c.Assert(b.removedAgents, qt.HasLen, 0)
	c.Assert(b.transaction.Deletes, qt.HasLen, 0)
	c.Assert(a.registration.Open(), qt.IsTrue)
}

// In an outage of the store a registration can't be written, and its runs would lapse
// if it were closed in memory.
func TestAnAgentThatReturnsInAnOutageKeepsItsLease(t *testing.T) {
	c := qt.New(t)
	h, _, a := newBusyHarness(c)
	confirmed := h.now
	h.o.cfg.OwnershipConfirmedAt = func() time.Time { return confirmed }
	link := a.link
	h.now = h.now.Add(closedConfirmationTTL)
	h.disconnect(a, 2*registrationCloseDelay)
	b := h.o.nextBatch() // in flight during the outage
	c.Assert(b.keyCount(), qt.Equals, 0)
	a.link = link
	before := a.leaseExpiresAt
	h.reportRunning("a0", 10)
	c.Assert(a.leaseExpiresAt.After(before), qt.IsTrue)
}

// A registration was closed soon after a takeover, while the earlier owner might still
// act. The next owner, much later, waited for confirmations of that earlier owner.
func TestTheLongWaitForAClosedRegistrationEndsWithTheEarlierOwner(t *testing.T) {
	c := qt.New(t)
	h, _, a := newBusyHarness(c)
	h.o.cfg.PreviousOwnerTTL = h.o.cfg.ConfirmationTTL
	var record []byte
	for end := h.now.Add(2 * h.o.cfg.ConfirmationTTL); h.now.Before(end); h.now = h.now.Add(500 * time.Millisecond) {
		h.sendSnapshot("a0", &messenger.WorkerSnapshot{Draining: true, Runs: h.runStatuses("a0", messenger.PhaseRunning, 10)})
		h.o.tick(t.Context())
		if b := h.commitBatch(50); len(b.closedAgents) > 0 {
			record = b.transaction.Writes[0].Value
		}
	}
	c.Assert(a.registration.Version(), qt.Equals, uint64(50))
	next := newHarness(c, 0)
	next.o.cfg.PreviousOwnerTTL = next.o.cfg.ConfirmationTTL
	next.o.takeOver(nil, nil, []storer.Item{{Key: registrar.Key("lost"), Value: record, Version: 50}})
	c.Assert(next.o.agents["lost"].leaseExpiresAt.Sub(next.o.cfg.ClaimedAt) <= maxRestartDelay, qt.IsTrue)
}

// The store is away for nine seconds. The runs of a draining agent that is connected
// to the owner all the while lapsed.
func TestRunsOfADrainingAgentOutliveAStoreOutage(t *testing.T) {
	c := qt.New(t)
	h, j, a := newBusyHarness(c)
	confirmed := h.now
	h.o.cfg.OwnershipConfirmedAt = func() time.Time { return confirmed }
	for end := h.now.Add(9 * time.Second); h.now.Before(end); h.now = h.now.Add(500 * time.Millisecond) {
		h.sendSnapshot("a0", &messenger.WorkerSnapshot{Draining: true, SentAt: h.now, Runs: h.runStatuses("a0", messenger.PhaseRunning, 10)})
		h.commitBatch(50)
	}
	c.Assert(a.leaseExpiresAt.After(h.now), qt.IsTrue, qt.Commentf("lease ended %v before the end of the outage; live runs %d", h.now.Sub(a.leaseExpiresAt), j.Task(0, 0, 0).LiveRuns))
}

// The owner was lost just after an agent had left with an open registration: it could not close that
// any more, and the next owner waited 16 s for the agent with all older tasks.
func TestAnAgentLeavesOnceItsRegistrationIsClosed(t *testing.T) {
	c := qt.New(t)
	h, j, a := newBusyHarness(c)
	lastAck := func() *messenger.SnapshotAck { return h.sent["a0"][len(h.sent["a0"])-1].SnapshotAck }
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{Leaving: true, SentAt: h.now, Runs: h.runStatuses("a0", messenger.PhaseRunning, 10)})
	c.Assert(lastAck().AppliedSentAt.IsZero(), qt.IsTrue, qt.Commentf("its registration is open"))
	c.Assert(a.registration.Open(), qt.IsFalse, qt.Commentf("it accepts no more starts"))
	b := h.o.nextBatch()
	c.Assert(b.closedAgents, qt.HasLen, 1)
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{Leaving: true, SentAt: h.now, Runs: h.runStatuses("a0", messenger.PhaseRunning, 10)})
	c.Assert(lastAck().AppliedSentAt.IsZero(), qt.IsTrue, qt.Commentf("the outcome of the write is not known"))
	h.o.handleCommit(b, 50, nil)
	c.Assert(lastAck().AppliedSentAt.Equal(h.now), qt.IsTrue)
	c.Assert(j.liveRuns, qt.HasLen, 3)
	c.Assert(lastAck().EchoSentAt.Equal(h.now), qt.IsTrue, qt.Commentf("its runs keep their lease"))
}

// An agent with nothing at work leaves once its registration is removed.
func TestAnIdleAgentLeavesOnceItsRegistrationIsRemoved(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	lastAck := func() *messenger.SnapshotAck { return h.sent["a0"][len(h.sent["a0"])-1].SnapshotAck }
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{Leaving: true, SentAt: h.now})
	c.Assert(lastAck().AppliedSentAt.IsZero(), qt.IsTrue)
	c.Assert(h.commitBatch(50).removedAgents, qt.HasLen, 1)
	c.Assert(lastAck().AppliedSentAt.Equal(h.now), qt.IsTrue)
}
