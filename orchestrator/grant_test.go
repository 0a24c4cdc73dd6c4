package orchestrator

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// newGrantHarness returns a harness whose owner grants the task of a long-running job before it
// starts it.
func newGrantHarness(c *qt.C, agents int) (*harness, *job) {
	h := newHarness(c, agents)
	h.o.cfg.RulesSince = 1
	return h, h.submit(lastingSpec(1000))
}

// starts returns the number of starts that were sent to all agents.
func (h *harness) starts() int {
	n := 0
	for id := range h.o.agents {
		n += len(h.commands(id))
	}
	return n
}

// recordedAgent returns the agent of the first task of a job in a batch.
func (b *batch) recordedAgent(c *qt.C, j *job) string {
	for _, write := range b.transaction.Writes {
		if write.Key != ProgressKey(j.Spec.ID) {
			continue
		}
		p, err := sequencer.DecodeProgress(write.Value)
		c.Assert(err, qt.IsNil)
		if len(p.Tasks) > 0 && p.GrantTerm > 0 {
			return p.Tasks[0].Agent
		}
	}
	return ""
}

// A next owner that finds no agent in the ledger starts the task at once.
func TestAStartIsSentOnlyOnceTheLedgerNamesItsAgent(t *testing.T) {
	c := qt.New(t)
	h, j := newGrantHarness(c, 2)
	h.o.place()
	h.o.place()
	c.Check(h.starts(), qt.Equals, 0)
	c.Check(j.Task(0, 0, 0).LiveRuns, qt.Equals, 1, qt.Commentf("it takes room"))
	c.Check(h.o.writeDue(), qt.IsTrue)
	b := h.o.nextBatch()
	agent := b.recordedAgent(c, j)
	c.Assert(agent, qt.Not(qt.Equals), "")
	c.Check(h.starts(), qt.Equals, 0)
	h.o.handleCommit(b, 50, nil)
	c.Check(h.commands(agent), qt.HasLen, 1)
	c.Check(h.starts(), qt.Equals, 1)
}

// A counter and a duration had one name, so that each owner ended with its first grant.
func TestAGrantIsCountedAndTimedUnderDifferentNames(t *testing.T) {
	c := qt.New(t)
	h, _ := newGrantHarness(c, 1)
	h.o.place()
	h.commitBatch(50)
	c.Check(h.counts[meter.Grants], qt.Equals, 1)
	c.Check(h.durations[meter.GrantWait], qt.Equals, 1)
	for timed := range h.durations {
		for counted := range h.counts {
			c.Check(counted.Name(), qt.Not(qt.Equals), timed.Name())
		}
	}
}

// The reply to an earlier write was lost, or the write was refused.
func TestAGrantThatDidNotTakeEffectSendsNoStart(t *testing.T) {
	for name, err := range map[string]error{
		"conflict": &storer.ConflictError{Items: []storer.Item{{Key: "owner", Version: 10}}},
		"refused":  storer.ErrUnavailable,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h, _ := newGrantHarness(c, 2)
			h.o.place()
			h.o.handleCommit(h.o.nextBatch(), 0, err)
			h.o.place()
			c.Check(h.starts(), qt.Equals, 0)
			h.now = h.now.Add(progressWriteDelay)
			c.Check(h.o.writeDue(), qt.IsTrue)
			h.commitBatch(50)
			c.Check(h.starts(), qt.Equals, 1)
		})
	}
}

// Between a grant and its start an agent drained, left or was lost, or the job was cancelled.
func TestAGrantedTaskIsNotStartedWhereItMayNotRunAnyMore(t *testing.T) {
	for name, change := range map[string]func(h *harness, j *job, a *agent){
		"cancel":                  func(h *harness, j *job, _ *agent) { h.cancel(j) },
		"disconnected":            func(h *harness, _ *job, a *agent) { h.o.dropOutbox(a) },
		"other connection":        func(_ *harness, _ *job, a *agent) { a.link = &AgentLink{ID: a.id, TrySend: a.link.TrySend} },
		"registration is closing": func(_ *harness, _ *job, a *agent) { a.registration.Want(registrar.Close) },
		"silent":                  func(_ *harness, _ *job, a *agent) { a.lastSnapshotAt = time.Time{} },
		"drains":                  func(_ *harness, _ *job, a *agent) { a.snapshot.Draining = true },
		"ownership not confirmed": func(h *harness, _ *job, _ *agent) {
			h.o.cfg.OwnershipConfirmedAt = func() time.Time { return time.Time{} }
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h, j := newGrantHarness(c, 1)
			h.o.place()
			b := h.o.nextBatch()
			change(h, j, h.o.agents["a0"])
			h.o.handleCommit(b, 50, nil)
			c.Check(h.starts(), qt.Equals, 0)
			c.Check(j.Task(0, 0, 0).LiveRuns, qt.Equals, 0)
			c.Check(h.o.granting, qt.HasLen, 0)
			c.Check(h.o.runs, qt.HasLen, 0)
		})
	}
}

// A grant of one agent was on its way when the task was granted to another one.
func TestAnEarlierGrantDoesNotSendTheStartOfALaterOne(t *testing.T) {
	c := qt.New(t)
	h, j := newGrantHarness(c, 2)
	h.o.place()
	b := h.o.nextBatch()
	first := b.recordedAgent(c, j)
	h.o.dropOutbox(h.o.agents[first])
	h.o.agents[first].link = nil
	h.o.place()
	second := j.Task(0, 0, 0).Agent
	c.Assert(second, qt.Not(qt.Equals), first)
	h.o.handleCommit(b, 50, nil)
	c.Check(h.starts(), qt.Equals, 0)
	c.Check(h.commitBatch(51).recordedAgent(c, j), qt.Equals, second)
	c.Check(h.commands(second), qt.HasLen, 1)
}

// A worker may crash in an outage of the store, and start again.
func TestATaskStartsWithoutAWriteWhereTheLedgerHasItAlready(t *testing.T) {
	c := qt.New(t)
	h, j := newGrantHarness(c, 1)
	h.o.place()
	h.commitBatch(50)
	task := j.Task(0, 0, 0)
	h.reportEnd("a0", 1, task.Name(), task.Attempt, messenger.EndStopped)
	h.now = h.now.Add(time.Second)
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{})
	h.o.place()
	c.Check(h.starts(), qt.Equals, 2)
}

// Grants wait for the store in an outage, and starts of all other tasks would wait behind them.
func TestShortTasksStartWhileGrantsWaitForTheLedger(t *testing.T) {
	c := qt.New(t)
	h, _ := newGrantHarness(c, 30)
	for range 200 {
		h.submit(lastingSpec(100))
	}
	h.o.place()
	c.Check(len(h.o.granting) < 200, qt.IsTrue, qt.Commentf("they would all be sent at once"))
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 100)}})
	h.o.place()
	c.Check(h.starts(), qt.Equals, 1)
}

// Fifty jobs with ends to write delayed the starts by four transactions.
func TestGrantsAreWrittenBeforeOtherProgress(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	h.o.cfg.RulesSince = 1
	for range 50 {
		h.o.markDirty(h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 9000)}}))
	}
	h.submit(lastingSpec(1000))
	h.o.place()
	h.commitBatch(50)
	c.Check(h.starts(), qt.Equals, 1)
}

// A run that is stopped to move can't start elsewhere while the store is away.
func TestRunsDoNotMoveWhileTheLedgerCanNotNameTheirNextAgent(t *testing.T) {
	for name, tt := range map[string]struct {
		age   time.Duration
		stops int
	}{"store answers": {maxGrantDelay / 2, 1}, "store is away": {maxGrantDelay, 0}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h, j := newGrantHarness(c, 2)
			h.o.place()
			h.commitBatch(50)
			id := j.Task(0, 0, 0).Agent
			h.reportRunning(id, 100)
			h.o.agents[id].snapshot.Draining = true
			h.o.cfg.OwnershipConfirmedAt = func() time.Time { return h.now.Add(-tt.age) }
			h.o.evacuate()
			c.Check(h.stopCount(id), qt.Equals, tt.stops)
		})
	}
}

// An agent fell silent while its grant was on the way. The task, which never ran there, lost its place
// among those that wait.
func TestAGrantAtAnAgentWhoseLeaseEndsKeepsTheWaitOfItsTask(t *testing.T) {
	c := qt.New(t)
	h, j := newGrantHarness(c, 1)
	h.o.place()
	task, a := j.Task(0, 0, 0), h.o.agents["a0"]
	since := task.WaitingSince
	c.Assert(h.o.granting, qt.HasLen, 1)
	h.o.nextBatch()
	h.now = h.now.Add(20 * time.Second)
	h.o.expireLease(a, h.now)
	c.Check(h.o.granting, qt.HasLen, 0)
	c.Check(task.WaitingSince, qt.Equals, since)
	for counted := range h.counts {
		c.Check(strings.HasPrefix(counted.Name(), "end_"), qt.IsFalse, qt.Commentf(counted.Name()))
	}
}
