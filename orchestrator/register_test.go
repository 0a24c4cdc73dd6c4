package orchestrator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// busy is a desk with a job of three tasks that run at one agent.
func busy(c *qt.C) (*desk, *job, *agent) {
	d := newDesk(c, 1)
	j := d.submit(sequencer.Spec{Steps: []sequencer.Step{step(3, 10)}})
	d.o.place()
	d.run("a0", 10)
	return d, j, d.o.agents["a0"]
}

// lose has an agent's link end, and some time pass.
func (d *desk) lose(a *agent, passed time.Duration) {
	a.link, a.snapshot = nil, nil
	d.now = d.now.Add(passed)
	d.o.closeRegistration(a, d.now)
}

// flush writes what is to be written and returns what the ledger then says.
func (d *desk) flush(at uint64) *batch {
	b := d.o.nextBatch()
	d.o.handleCommit(b, at, d.now, nil)
	return b
}

func TestTheLedgerSaysWhatALostAgentHolds(t *testing.T) {
	c := qt.New(t)
	d, j, a := busy(c)
	d.lose(a, registrationCloseDelay/2)
	c.Assert(a.closePending, qt.IsFalse, qt.Commentf("it may return"))
	d.lose(a, registrationCloseDelay)
	b := d.flush(50)
	c.Assert(b.closedAgents, qt.HasLen, 1)
	c.Assert(a.mayRunAny, qt.IsFalse)
	later := &agent{id: "a0"}
	d.o.loadRegistration(later, 50, b.transaction.Writes[0].Value)
	c.Assert(later.mayRunAny, qt.IsFalse)
	c.Assert(later.recordedTasks, qt.HasLen, 3)
	c.Assert(later.recordedTasks, qt.Contains, j.Task(0, 0, 1).Name())
}

// The task of an end that the ledger lacks may not be started again either.
func TestAnEndOnItsWayIsHeldToo(t *testing.T) {
	c := qt.New(t)
	d, j, a := busy(c)
	d.end("a0", 1, j.Task(0, 0, 0).Name(), j.Task(0, 0, 0).Attempt, messenger.EndDone)
	c.Assert(a.heldTasks(), qt.Contains, j.Task(0, 0, 0).Name())
}

func TestALostAgentWithoutRunsIsStruck(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 1)
	a := d.o.agents["a0"]
	d.lose(a, 2*registrationCloseDelay)
	c.Assert(a.removalPending, qt.IsTrue)
}

// What an agent is given must not be more than what the ledger says that it holds.
func TestASealedAgentGetsNothingUntilTheLedgerSaysThatItMay(t *testing.T) {
	c := qt.New(t)
	d, _, a := busy(c)
	d.lose(a, 2*registrationCloseDelay)
	d.flush(50)
	other := d.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	link := func() {
		a.link = &AgentLink{ID: "a0", Incarnation: "b", Send: func(f messenger.Frame) error {
			d.sent["a0"] = append(d.sent["a0"], f)
			return nil
		}}
		d.run("a0", 10)
	}
	link()
	d.o.place()
	name := other.Task(0, 0, 0).Name()
	c.Assert(d.orders("a0"), qt.Not(qt.Contains), "start "+name)
	d.flush(60)
	c.Assert(a.mayRunAny, qt.IsTrue)
	d.o.place()
	c.Assert(d.orders("a0"), qt.Contains, "start "+name)
}

// One that returns before the ledger was told is as before.
func TestAnAgentThatReturnsInTimeStaysOpen(t *testing.T) {
	c := qt.New(t)
	d, _, a := busy(c)
	link := a.link
	d.lose(a, 2*registrationCloseDelay)
	a.link = link
	d.run("a0", 10)
	c.Assert(a.mayRunAny, qt.IsTrue)
	c.Assert(d.flush(50).closedAgents, qt.HasLen, 0)
}

// The process of a lost agent may be back without its worker: what the worker
// runs is still only what the ledger says.
func TestASealedAgentWithoutItsWorkerStaysSealed(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 1)
	d.o.takeOver(nil, nil, []storer.Item{{Key: agentPrefix + "lost", Value: registration{HeldTasks: []string{"x.0.0.0"}}.encode(), Version: 30}})
	lost := d.o.agents["lost"]
	lost.link = &AgentLink{ID: "lost", Incarnation: "b2", Send: func(messenger.Frame) error { return nil }}
	d.o.handleSnapshot(lost, &messenger.WorkerSnapshot{Term: 1})
	c.Assert(lost.openPending, qt.IsFalse)
	all, tasks := d.o.blockedTasks()
	c.Assert(all, qt.IsFalse)
	c.Assert(tasks["x.0.0.0"], qt.IsTrue)
}

// After a take-over only the tasks that the lost agent may run wait for its lease.
func TestOnlyTasksOfTheLostAgentWait(t *testing.T) {
	for name, one := range map[string]struct {
		value  []byte
		starts int
	}{
		"sealed":          {registration{HeldTasks: []string{"00000000000000aa.0.0.1"}}.encode(), 2},
		"open":            {registration{Open: true}.encode(), 0},
		"not understood":  {[]byte("a1"), 0},
		"held by nothing": {registration{}.encode(), 3},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := newDesk(c, 1)
			d.o.cfg.Epoch = 100
			spec := sequencer.Spec{ID: "00000000000000aa", Pool: "pool", Queue: "queue", AcceptedAt: d.now, Steps: []sequencer.Step{step(3, 10)}}
			raw, err := spec.Encode()
			c.Assert(err, qt.IsNil)
			d.o.takeOver([]storer.Item{{Key: JobKey(spec.ID), Value: raw, Version: 20}}, nil, []storer.Item{{Key: agentPrefix + "lost", Value: one.value, Version: 30}})
			d.o.place()
			c.Assert(d.orders("a0"), qt.HasLen, one.starts)
			lost := d.o.agents["lost"]
			d.now = lost.leaseExpiresAt.Add(time.Second)
			d.run("a0", 10)
			d.o.expireLease(lost, d.now)
			d.o.place()
			c.Assert(d.orders("a0"), qt.HasLen, 3, qt.Commentf("its lease has ended"))
		})
	}
}
