package orchestrator

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// newSilentHarness returns a harness with two agents, each with a run, that have been silent for so long that
// the owner writes that their leases are renewed no more.
func newSilentHarness(c *qt.C) *harness {
	h := newHarness(c, 2)
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(2, 8000)}})
	h.o.place()
	h.reportRunning("a0", 10)
	h.reportRunning("a1", 10)
	h.now = h.now.Add(isolationTimeout/2 + tickInterval)
	h.o.tick(c.TB.Context())
	return h
}

// assertRenewed asserts that the next snapshot of an agent renews its lease, and that it may be given tasks.
func (h *harness) assertRenewed(id string) {
	h.c.Helper()
	h.c.Assert(h.report(id, messenger.WorkerSnapshot{}).Equal(h.now), qt.IsTrue)
	h.c.Assert(h.o.unavailability(h.o.agents[id], h.now), qt.Equals, available)
}

// An owner that had been suspended closed all registrations at once. The write was refused, as one agent had
// closed its own, and the leases of all others were never renewed again.
func TestLeasesAreRenewedAfterAnAgentThatEndsHasRefusedTheWriteOfAllRegistrations(t *testing.T) {
	c := qt.New(t)
	h := newSilentHarness(c)
	b := h.o.nextBatch()
	c.Assert(b.closedAgents, qt.HasLen, 2)
	h.report("a1", messenger.WorkerSnapshot{})
	c.Assert(h.lastRenewal("a1").Equal(h.now), qt.IsFalse, qt.Commentf("the write may take effect"))
	open := registrar.Registration{Open: true, Incarnation: "b"}
	h.o.handleCommit(b, 0, &storer.ConflictError{Items: []storer.Item{
		{Key: h.o.cfg.OwnerKey, Version: h.o.cfg.Epoch},
		{Key: registrar.Key("a0"), Version: 7, Value: registrar.Registration{HeldTasks: []string{"0000000000000001.0.0.0"}, Incarnation: "b"}.Encode()},
		{Key: registrar.Key("a1"), Version: 1, Value: open.Encode()},
	}})
	h.assertRenewed("a1")
}

// A rejected write made the owner take the keys of the whole batch for absent, and hold back the leases that
// it was to end.
func TestLeasesAreRenewedAfterARejectedWrite(t *testing.T) {
	c := qt.New(t)
	h := newSilentHarness(c)
	b := h.o.nextBatch()
	h.o.handleCommit(b, 0, errors.New("rejected"))
	for _, id := range []string{"a0", "a1"} {
		c.Assert(h.o.agents[id].registration.Version(), qt.Equals, uint64(1))
		h.report(id, messenger.WorkerSnapshot{})
	}
	b = h.commitBatch(50)
	c.Assert(b.openedAgents, qt.HasLen, 2)
	c.Assert(b.transaction.Checks, qt.Contains, storer.Check{Key: registrar.Key("a0"), Version: 1})
	h.assertRenewed("a0")
	h.assertRenewed("a1")
}

// The end of a job was durable, without a reply, when an agent closed its registration. The conflict of the next
// attempt let a cancellation that came meanwhile replace the end, which callers may have been shown.
func TestAnEndThatAnEarlierAttemptHasWrittenOutlivesAConflict(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 2)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	h.o.place()
	runner := "a0"
	if len(h.o.agents["a1"].runs) > 0 {
		runner = "a1"
	}
	h.reportRunning(runner, 10)
	task := j.Task(0, 0, 0)
	h.reportEnd(runner, 1, task.Name(), task.Attempt, messenger.EndDone)
	h.disconnect(h.o.agents["a0"], 2*registrationCloseDelay)
	b := h.o.nextBatch()
	h.cancel(j)
	items := []storer.Item{{Key: h.o.cfg.OwnerKey, Version: h.o.cfg.Epoch}}
	for _, w := range b.transaction.Writes {
		item := storer.Item{Key: w.Key, Value: w.Value, Version: 40}
		if w.Key == registrar.Key("a0") {
			item.Value, item.Version = registrar.Registration{Incarnation: "b"}.Encode(), 41
		}
		items = append(items, item)
	}
	h.o.handleCommit(b, 0, &storer.ConflictError{Items: items})
	c.Assert(j.State(), qt.Equals, sequencer.Complete)
	c.Assert(j.DurableState, qt.Equals, sequencer.Complete)
	c.Assert(j.ProgressVersion, qt.Equals, uint64(40))
	h.now = h.now.Add(time.Second)
	c.Assert(h.o.dirtyJobs, qt.HasLen, 0)
}

// The start of a task that had been granted waited for other progress to be collected once the write of the
// grant had been refused.
func TestARefusedGrantIsWrittenAgainAtOnce(t *testing.T) {
	c := qt.New(t)
	h, j := newGrantHarness(c, 1)
	h.o.place()
	h.conflict("a0", 1, registrar.Registration{Open: true, Incarnation: "b"})
	c.Assert(h.o.writeDue(), qt.IsTrue)
	c.Assert(j.grantDue, qt.IsTrue)
}
