package orchestrator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// grantedTakeOver returns a new owner of term 5 that has read a long-running job of earlier ones and an agent
// "gone", whose runs it does not know, beside agent a0.
func grantedTakeOver(c *qt.C, p *sequencer.Progress, since uint64) (*harness, *job) {
	h := newHarness(c, 1)
	h.o.cfg.Term, h.o.cfg.RulesSince = 5, since
	h.o.agents["a0"].snapshot.Term = 5
	gone := h.o.agent("gone")
	gone.hasUnknownRuns, gone.leaseExpiresAt = true, h.now.Add(16*time.Second)
	gone.registration.Set(1, registrar.Registration{Open: true})
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
		return func(gone *agent) {
			gone.registration.Set(1, registrar.Registration{HeldTasks: tasks})
			gone.recordedTasks = tasks
		}
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
			other.hasUnknownRuns = true
			other.registration.Set(1, registrar.Registration{Open: true})
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
	h.o.handleCommit(b, 50, nil)
	c.Check(h.starts(), qt.Equals, 0)
	c.Check(h.commitBatch(51).recordedAgent(c, j), qt.Equals, other)
}

// A mark was void, and the agent that it names counted as granted once the job was marked again. A start
// went out before the ledger had the new mark.
func TestAVoidGrantSendsNoStartBeforeTheNextMarkIsDurable(t *testing.T) {
	c := qt.New(t)
	h, j := grantedTakeOver(c, &sequencer.Progress{State: sequencer.Queued, GrantTerm: 1, Tasks: []sequencer.TaskRecord{{Agent: "a0"}}}, 2)
	h.o.agents["gone"].hasUnknownRuns = false
	h.o.adoptGrants()
	c.Assert(j.GrantTerm, qt.Equals, uint64(5))
	h.o.place()
	c.Check(h.starts(), qt.Equals, 0)
}
