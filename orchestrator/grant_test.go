package orchestrator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
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
	h.o.handleCommit(b, 50, h.now, nil)
	c.Check(h.commands(agent), qt.HasLen, 1)
	c.Check(h.starts(), qt.Equals, 1)
}

// A counter and a duration had one name, so that each owner ended with its first grant.
func TestAGrantIsCountedAndTimedUnderDifferentNames(t *testing.T) {
	c := qt.New(t)
	h, _ := newGrantHarness(c, 1)
	var timed []string
	h.o.cfg.ObserveDuration = func(name string, _ time.Duration) { timed = append(timed, name) }
	h.o.place()
	h.commitBatch(50)
	c.Check(h.counts["grant"], qt.Equals, 1)
	c.Assert(timed, qt.Not(qt.HasLen), 0)
	for _, name := range timed {
		c.Check(h.counts[name], qt.Equals, 0, qt.Commentf(name))
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
			h.o.handleCommit(h.o.nextBatch(), 0, h.now, err)
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
		"registration is closing": func(_ *harness, _ *job, a *agent) { a.mayRunAny = false },
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
			h.o.handleCommit(b, 50, h.now, nil)
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
	h.o.handleCommit(b, 50, h.now, nil)
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

// grantedTakeOver returns a new owner of term 5 that has read a long-running job of earlier ones and an agent
// "gone", whose runs it does not know, beside agent a0.
func grantedTakeOver(c *qt.C, p *sequencer.Progress, since uint64) (*harness, *job) {
	h := newHarness(c, 1)
	h.o.cfg.Term, h.o.cfg.RulesSince = 5, since
	h.o.agents["a0"].snapshot.Term = 5
	gone := h.o.agent("gone")
	gone.keyVersion, gone.mayRunAny, gone.hasUnknownRuns, gone.leaseExpiresAt = 1, true, true, h.now.Add(16*time.Second)
	spec := lastingSpec(1000)
	spec.ID, spec.Pool, spec.Queue, spec.AcceptedAt = "00000000000000aa", "pool", "queue", h.now
	raw, err := spec.Encode()
	c.Assert(err, qt.IsNil)
	var progress []storer.Item
	if p != nil {
		raw, err := p.Encode()
		c.Assert(err, qt.IsNil)
		progress = []storer.Item{{Key: ProgressKey(spec.ID), Value: raw, Version: 4}}
	}
	h.o.takeOver([]storer.Item{{Key: JobKey(spec.ID), Value: raw, Version: 3}}, progress, nil)
	return h, h.o.jobs[spec.ID]
}

// One agent that was lost with its owner held up all older tasks. An owner of an earlier version
// names no agents, so that those in the ledger say nothing of its runs.
func TestALongRunningTaskWaitsForTheAgentInTheLedgerAlone(t *testing.T) {
	granted := func(term uint64, agent string) *sequencer.Progress {
		return &sequencer.Progress{State: sequencer.Running, GrantTerm: term, Tasks: []sequencer.TaskRecord{{Agent: agent}}}
	}
	closed := func(tasks ...string) func(gone *agent) {
		return func(gone *agent) { gone.mayRunAny, gone.recordedTasks = false, tasks }
	}
	for name, tt := range map[string]struct {
		progress *sequencer.Progress
		since    uint64
		change   func(gone *agent)
		blocked  bool
	}{
		"granted elsewhere":                    {granted(4, "a0"), 2, nil, false},
		"granted to an unregistered agent":     {granted(4, "other"), 2, nil, false},
		"granted there":                        {granted(4, "gone"), 2, nil, true},
		"granted there, by the first owner":    {granted(2, "gone"), 2, nil, true},
		"granted there, lease is over":         {granted(4, "gone"), 2, func(gone *agent) { gone.hasUnknownRuns = false }, false},
		"granted there, closed with it":        {granted(4, "gone"), 2, closed("00000000000000aa.0.0.0"), true},
		"granted there, closed without it":     {granted(4, "gone"), 2, closed("00000000000000aa.0.0.1"), false},
		"never granted":                        {&sequencer.Progress{State: sequencer.Queued, GrantTerm: 4}, 2, nil, false},
		"before an owner of the old version":   {granted(1, "a0"), 2, nil, true},
		"by a term that is yet to come":        {granted(6, "a0"), 2, nil, true},
		"without a mark":                       {granted(0, "a0"), 2, nil, true},
		"without progress":                     {nil, 2, nil, true},
		"this owner grants nothing":            {granted(4, "a0"), 0, nil, true},
		"without a mark, closed without it":    {granted(0, "gone"), 2, closed(), false},
		"without progress, closed with it":     {nil, 2, closed("00000000000000aa.0.0.0"), true},
		"this owner grants nothing, all known": {granted(4, "gone"), 0, func(gone *agent) { gone.hasUnknownRuns = false }, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h, j := grantedTakeOver(c, tt.progress, tt.since)
			if tt.change != nil {
				tt.change(h.o.agents["gone"])
			}
			c.Check(h.o.startBlocked()(j.Task(0, 0, 0)), qt.Equals, tt.blocked)
		})
	}
}

// A granted task that claims room waits for the lease of its own agent, not for that of another one.
func TestAGrantedTaskClaimsRoomBeforeTheLeaseOfItsOwnAgentIsOver(t *testing.T) {
	for name, tt := range map[string]struct {
		own, other time.Duration // until the leases are over
		claims     int
	}{
		"its own is about to be over":     {claimLead, time.Minute, 1},
		"another one is about to be over": {time.Minute, claimLead, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h, _ := grantedTakeOver(c, &sequencer.Progress{State: sequencer.Running, GrantTerm: 4, Tasks: []sequencer.TaskRecord{{Agent: "gone"}}}, 2)
			h.o.place()
			h.now = h.now.Add(minClaimWait)
			h.reportAllRunning()
			other := h.o.agent("other")
			other.keyVersion, other.mayRunAny, other.hasUnknownRuns = 1, true, true
			h.o.agents["gone"].leaseExpiresAt, other.leaseExpiresAt = h.now.Add(tt.own), h.now.Add(tt.other)
			h.o.place()
			c.Check(h.o.claims, qt.HasLen, tt.claims)
		})
	}
}

// The jobs of earlier owners had no grants, and would have waited for all agents after each
// further claim.
func TestRunsOfEarlierOwnersAreGrantedOnceAllAgentsAreKnown(t *testing.T) {
	c := qt.New(t)
	h, j := grantedTakeOver(c, nil, 5)
	status := messenger.RunStatus{Task: j.Task(0, 0, 0).Name(), Attempt: 1, Phase: messenger.PhaseRunning, PacePercent: 100}
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{Runs: []messenger.RunStatus{status}})
	h.o.tick(context.Background())
	c.Check(j.GrantTerm, qt.Equals, uint64(0), qt.Commentf("an agent may hold another task"))
	h.o.agents["gone"].hasUnknownRuns = false
	h.o.tick(context.Background())
	h.now = h.now.Add(progressWriteDelay)
	c.Check(h.o.writeDue(), qt.IsTrue)
	c.Check(h.commitBatch(50).recordedAgent(c, j), qt.Equals, "a0")
}

// One of two runs is being stopped, and a next owner that finds one agent in the ledger starts the
// task again while the other is at work.
func TestAJobWithTwoRunsOfATaskIsNotGranted(t *testing.T) {
	c := qt.New(t)
	h, j := grantedTakeOver(c, nil, 5)
	h.connectAgent("a1")
	for n, id := range []string{"a0", "a1"} {
		status := messenger.RunStatus{Task: j.Task(0, 0, 0).Name(), Attempt: uint64(n + 1), Phase: messenger.PhaseRunning, PacePercent: 100}
		h.sendSnapshot(id, &messenger.WorkerSnapshot{Runs: []messenger.RunStatus{status}})
	}
	h.o.agents["gone"].hasUnknownRuns = false
	h.o.tick(context.Background())
	c.Check(j.GrantTerm, qt.Equals, uint64(0))
}

// A next owner takes the ledger's word that no other agent has a run of the task.
func TestTheLedgerFollowsARunThatAnotherAgentShows(t *testing.T) {
	c := qt.New(t)
	h, j := newGrantHarness(c, 2)
	h.o.place()
	first := j.Task(0, 0, 0).Agent
	other := map[string]string{"a0": "a1", "a1": "a0"}[first]
	b := h.o.nextBatch()
	h.sendSnapshot(other, &messenger.WorkerSnapshot{Runs: []messenger.RunStatus{{Task: j.Task(0, 0, 0).Name(), Attempt: 77, Phase: messenger.PhaseRunning, PacePercent: 100}}})
	h.o.handleCommit(b, 50, h.now, nil)
	c.Check(h.starts(), qt.Equals, 0)
	c.Check(h.commitBatch(51).recordedAgent(c, j), qt.Equals, other)
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
	c.Check(h.counts["end_lease_expired"], qt.Equals, 0)
}
