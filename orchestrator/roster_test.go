package orchestrator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/storer"
)

// Each owner waited anew for an agent that none of the last ones had reached.
func TestTheWaitForAnAgentThatTheLastOwnerNeverReachedGoesOn(t *testing.T) {
	until := 500 * time.Millisecond // after the claim, for agents that were not reached
	for name, tt := range map[string]struct {
		value  []byte
		known  bool
		waited time.Duration
	}{
		"not reached":                    {roster{Term: 3, Agents: []string{"other"}}.encode(), true, until},
		"no roster of the last one":      {roster{Term: 2, Agents: []string{"lost"}}.encode(), true, until},
		"no roster":                      {nil, true, until},
		"reached":                        {roster{Term: 3, Agents: []string{"other", "lost"}}.encode(), true, 2 * time.Second},
		"unreadable":                     {[]byte("\xff"), true, 2 * time.Second},
		"claim of the last one not seen": {roster{Term: 3}.encode(), false, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 0)
			h.o.cfg.Term, h.o.cfg.PreviousOwnerTTL = 4, 2*time.Second
			if tt.known {
				h.o.cfg.UnrosteredUntil = h.now.Add(until)
			}
			h.o.takeOver(nil, nil, []storer.Item{{Key: registrar.Key("lost"), Value: registrar.Registration{Open: true}.Encode(), Version: 30}})
			version := uint64(0)
			if tt.value != nil {
				version = 31
			}
			h.o.loadRoster(storer.Item{Key: rosterKey, Value: tt.value, Version: version})
			c.Assert(h.o.agents["lost"].leaseExpiresAt.Sub(h.now), qt.Equals, tt.waited+h.o.maxLeaseElapsed())
		})
	}
}

// The next owner waits less for an agent that is not in the roster.
func TestALeaseIsRenewedOnlyForAgentsInTheRoster(t *testing.T) {
	c := qt.New(t)
	h, _, a := newBusyHarness(c)
	a.inRoster = false
	h.o.cfg.RosterFrom, h.o.cfg.ExtendedForAnyAgent = h.now.Add(2*time.Second), func() bool { return false }
	renewed := func() bool {
		before := a.leaseExpiresAt
		h.now = h.now.Add(time.Second)
		h.sendSnapshot("a0", &messenger.WorkerSnapshot{SentAt: h.now, Runs: h.runStatuses("a0", messenger.PhaseRunning, 10)})
		return a.leaseExpiresAt.After(before)
	}
	c.Assert(renewed(), qt.IsTrue, qt.Commentf("the claim is recent"))
	c.Assert(renewed(), qt.IsFalse)
	c.Assert(h.o.writeDue(), qt.IsTrue)
	before := a.leaseExpiresAt
	b := h.commitBatch(50)
	c.Assert(b.rosterAgents, qt.HasLen, 1)
	c.Assert(a.leaseExpiresAt.After(before), qt.IsTrue, qt.Commentf("it does not wait for the next snapshot"))
	c.Assert(renewed(), qt.IsTrue)
	c.Assert(h.o.writeDue(), qt.IsFalse)
}

// A roster whose reply was lost is written again.
func TestARosterInConflictIsWrittenAgain(t *testing.T) {
	c := qt.New(t)
	h, _, a := newBusyHarness(c)
	a.inRoster = false
	h.reportRunning("a0", 10)
	b := h.o.nextBatch()
	c.Assert(b.rosterAgents, qt.HasLen, 1)
	h.o.handleCommit(b, 0, &storer.ConflictError{Items: []storer.Item{{Key: h.o.cfg.OwnerKey, Version: h.o.cfg.Epoch}, {Key: rosterKey, Version: 44}}})
	c.Assert(a.inRoster, qt.IsFalse)
	h.now = h.now.Add(rosterInterval)
	c.Assert(h.o.writeDue(), qt.IsTrue)
	h.commitBatch(50)
	c.Assert(a.inRoster, qt.IsTrue)
}

// Each write after a batch without the roster was in conflict, with all else in its batch.
func TestABatchWithoutTheRosterLeavesItsVersion(t *testing.T) {
	c := qt.New(t)
	h, j, a := newBusyHarness(c)
	a.inRoster = false
	h.reportRunning("a0", 10)
	c.Assert(h.commitBatch(50).rosterAgents, qt.HasLen, 1)
	h.o.markDirty(j)
	c.Assert(h.commitBatch(51).jobs, qt.HasLen, 1)
	h.connectAgent("late").inRoster = false
	h.sendSnapshot("late", &messenger.WorkerSnapshot{})
	for _, check := range h.o.nextBatch().transaction.Checks {
		if check.Key == rosterKey {
			c.Assert(check.Version, qt.Equals, uint64(50))
			return
		}
	}
	c.Fatal("the roster is not written")
}
