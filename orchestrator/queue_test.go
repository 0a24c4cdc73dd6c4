package orchestrator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/authorizer"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// configure puts a version of the configuration in force that sends the queue of all jobs to the workers of
// a pool, or has no queue for them if that is empty.
func (h *harness) configure(version uint64, pool string) {
	h.o.cfg.ConfigVersion = func() uint64 { return version }
	h.o.cfg.Placement = func(*sequencer.Spec) (sequencer.Placement, bool) {
		return sequencer.Placement{Pool: pool, Version: version}, pool != ""
	}
	h.o.tick(h.c.TB.Context())
	h.o.place()
}

// newMovingHarness returns a harness whose agents a0 and b0 are of the pools "pool" and "next".
func newMovingHarness(c *qt.C) *harness {
	h := newHarness(c, 1)
	h.pools = map[string]string{"b0": "next"}
	h.connectAgent("b0")
	return h
}

// A job kept the service that its route named as it was accepted, and waited for good once the workers of
// that service had been taken away.
func TestTheTasksOfAJobFollowItsQueueToAnotherPool(t *testing.T) {
	c := qt.New(t)
	h := newMovingHarness(c)
	h.configure(1, "pool")
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 8000), {Count: 1, CPU: 8000, DependsOn: []int{0}}}})
	h.o.place()
	first := j.Task(0, 0, 0)
	c.Assert(h.commands("a0"), qt.DeepEquals, []string{"start " + first.Name()})
	h.reportRunning("a0", 10)
	h.configure(2, "next")
	c.Assert(h.commands("a0"), qt.HasLen, 1, qt.Commentf("what runs goes on"))
	c.Assert(h.commands("b0"), qt.HasLen, 0)
	h.reportEnd("a0", 1, first.Name(), first.Attempt, messenger.EndDone)
	h.o.place()
	c.Assert(h.commands("b0"), qt.DeepEquals, []string{"start " + j.Task(0, 1, 0).Name()})
}

func TestAJobFollowsItsQueueThereAndBack(t *testing.T) {
	c := qt.New(t)
	h := newMovingHarness(c)
	h.configure(2, "next")
	h.configure(3, "pool")
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 8000)}})
	h.o.place()
	c.Assert(h.commands("a0"), qt.HasLen, 1)
	c.Assert(h.commands("b0"), qt.HasLen, 0)
	c.Assert(j.Progress().Placement, qt.DeepEquals, &sequencer.Placement{Pool: "pool", Version: 3})
}

// The next owner may read a job after its route is gone, or with an older configuration.
func TestTheNextOwnerKeepsWhereAQueueWasSentLast(t *testing.T) {
	for name, configure := range map[string]func(h *harness){
		"route removed":       func(h *harness) { h.configure(3, "") },
		"older configuration": func(h *harness) { h.configure(1, "pool") },
		"no configuration":    func(*harness) {},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newMovingHarness(c)
			j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}, PoolVersion: 1})
			h.o.agents["b0"].snapshot.MayStart = false
			h.configure(2, "next")
			progress := h.commitBatch(50).transaction.Writes[0]
			spec, err := j.Spec.Encode()
			c.Assert(err, qt.IsNil)
			next := newMovingHarness(c)
			configure(next)
			next.o.takeOver([]storer.Item{{Key: JobKey(j.Spec.ID), Value: spec, Version: 21}}, []storer.Item{{Key: progress.Key, Value: progress.Value, Version: 50}}, nil)
			next.o.place()
			c.Assert(next.commands("a0"), qt.HasLen, 0)
			c.Assert(next.commands("b0"), qt.HasLen, 1)
		})
	}
}

// A grant that was on its way to the ledger as the queue moved starts nothing at a worker of the earlier pool.
func TestAGrantInFlightEndsAsItsQueueMoves(t *testing.T) {
	c := qt.New(t)
	h := newMovingHarness(c)
	h.o.cfg.RulesSince = 1
	j := h.submit(lastingSpec(1000))
	h.o.place()
	b := h.o.nextBatch()
	h.configure(2, "next")
	h.o.handleCommit(b, 50, nil)
	c.Assert(h.starts(), qt.Equals, 0)
	h.o.place()
	h.commitBatch(51)
	c.Assert(h.commands("a0"), qt.HasLen, 0)
	c.Assert(h.commands("b0"), qt.DeepEquals, []string{"start " + j.Task(0, 0, 0).Name()})
}

// Room that a long-running task has claimed at a worker of the earlier pool is free for others.
func TestClaimsOfRoomEndAsTheQueueMoves(t *testing.T) {
	c := qt.New(t)
	h := newMovingHarness(c)
	j := h.submit(lastingSpec(1000))
	task := j.Task(0, 0, 0)
	h.o.claims[task] = &claim{task: task, job: j, agent: h.o.agents["a0"], endBy: h.now.Add(maxMoveTime)}
	h.configure(2, "next")
	c.Assert(h.o.claims[task], qt.IsNil)
	c.Assert(h.commands("b0"), qt.HasLen, 1)
}

// A policy that a queue has got since a job was accepted: starts without a ticket would be rejected for good.
func TestTheTasksOfAJobFollowThePolicyOfTheirQueue(t *testing.T) {
	c := qt.New(t)
	h := newMovingHarness(c)
	h.o.cfg.ConfigVersion = func() uint64 { return 2 }
	h.o.cfg.Placement = func(*sequencer.Spec) (sequencer.Placement, bool) {
		return sequencer.Placement{Pool: "pool", PolicyRestricted: true, Version: 2}, true
	}
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	name := j.Task(0, 0, 0).StepName()
	h.o.cfg.QueryPolicy = func(context.Context, string, []string) ([]authorizer.Grant, time.Duration, error) {
		return []authorizer.Grant{{Incarnation: "life-a0", Ticket: "t"}}, time.Second, nil
	}
	h.o.place()
	c.Assert(h.commands("a0"), qt.HasLen, 0)
	(<-h.o.actions)()
	c.Assert(h.o.authorizer.HasTickets(name, h.now), qt.IsTrue)
	h.o.place()
	c.Assert(h.commands("a0"), qt.HasLen, 1)
}
