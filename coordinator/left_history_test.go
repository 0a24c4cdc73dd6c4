package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
)

// maxLeaveLead is how long before the loss of their owner agents leave at most.
const maxLeaveLead = 5 * time.Second

// TestLastingTasksRunAgainAfterAgentsLeftBeforeTheirOwnerWasLost lets agents leave in good order up to
// maxLeaveLead before their owner is frozen, killed, or cut off, alone or with the next process of an agent, and
// the next owner may be lost, too. Long-running tasks have to run again within maxIdleTime.
func TestLastingTasksRunAgainAfterAgentsLeftBeforeTheirOwnerWasLost(t *testing.T) {
	for n := range *histories {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runLeaverHistory(t, seed, false) })
		})
	}
}

// TestLastingTasksRunAgainAfterAgentsWereLostBeforeTheirOwner kills some of the agents instead.
func TestLastingTasksRunAgainAfterAgentsWereLostBeforeTheirOwner(t *testing.T) {
	for n := range *histories {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runLeaverHistory(t, seed, true) })
		})
	}
}

// leaverHistory is the state of a history in which agents leave.
type leaverHistory struct {
	f *fleet
	r *rand.Rand
	// calmAt is when the last disturbance ends, lost the entries that are lost for good.
	calmAt time.Time
	lost   []*entryNode
}

func runLeaverHistory(t *testing.T, seed uint64, killed bool) {
	withLastingFleet(t, 4, func(c *qt.C, f *fleet) {
		h := &leaverHistory{f: f, r: rand.New(rand.NewPCG(seed, 2)), calmAt: time.Now()}
		lossIn := maxLeaveLead
		if h.r.IntN(3) == 0 { // an earlier owner still acts as the agents leave
			h.loseOwner(nil)
			lossIn += time.Second
		}
		leaving := h.leavingAgents()
		for n, a := range leaving {
			end := f.leave
			if killed && h.r.IntN(2) == 0 {
				end = f.stopAgent
			}
			returns, absence := n == maxLostAgents || h.r.IntN(2) == 0, h.randomTime(time.Second)
			h.after(lossIn-h.randomTime(maxLeaveLead), func() {
				end(a)
				if returns {
					advancer.Sleep(absence)
					f.startAgent(a)
				}
			})
		}
		if h.r.IntN(3) == 0 {
			ends := lossIn + h.randomTime(time.Second)
			h.after(ends-1900*time.Millisecond, func() { f.setFaults(func() { f.storeDown = true }) })
			h.after(ends, func() { f.setFaults(func() { f.storeDown = false }) })
		}
		advancer.Sleep(lossIn)
		h.loseOwner(leaving[0])
		if h.r.IntN(3) == 0 {
			advancer.Sleep(time.Second + h.randomTime(4*time.Second))
			h.loseOwner(leaving[len(leaving)-1])
		}
		c.Check(f.idleTasks(h.calmAt), qt.HasLen, 0)
		c.Check(f.runningTasks(), qt.HasLen, lastingTasks)
	})
}

// leavingAgents returns some agents; the others have room for all tasks.
func (h *leaverHistory) leavingAgents() []*agentNode {
	var leaving []*agentNode
	for _, n := range h.r.Perm(len(h.f.agents))[:1+h.r.IntN(maxLostAgents+1)] {
		leaving = append(leaving, h.f.agents[fmt.Sprintf("agent-%d", n)])
	}
	return leaving
}

func (h *leaverHistory) after(delay time.Duration, do func()) {
	h.calmAt = later(h.calmAt, time.Now().Add(delay))
	time.AfterFunc(delay, do)
}

func (h *leaverHistory) randomTime(most time.Duration) time.Duration {
	return time.Duration(h.r.Int64N(int64(most)))
}

// loseOwner loses the owner for good, or for some seconds, if there is one. It may be cut off with an
// agent, which they then reach each other.
func (h *leaverHistory) loseOwner(a *agentNode) {
	owners := h.f.owners(h.lost...)
	if len(owners) == 0 || len(h.lost) == 2 {
		return
	}
	owner, ends := owners[0], time.Second+h.randomTime(7*time.Second)
	switch kind := h.r.IntN(5); {
	case kind == 0:
		h.lost = append(h.lost, owner)
		h.f.kill(owner)
		h.after(0, func() {})
	case kind == 1 && a != nil:
		h.f.cutOffTogether(owner, a, true, h.r.IntN(2) == 0)
		h.after(ends, func() { h.f.cutOffTogether(owner, a, false, false) })
	case kind == 2: // agents that start now connect to it
		h.f.setApart(owner, true)
		h.after(ends, func() { h.f.setApart(owner, false) })
	case kind == 3:
		h.f.setFrozen(owner, true)
		h.after(ends, func() { h.f.setFrozen(owner, false) })
	default:
		h.lost = append(h.lost, owner)
		h.f.setFrozen(owner, true)
		h.after(0, func() {})
	}
}

// setApart cuts an entry off from the store and the other entries, or ends that. Agents reach it.
func (f *fleet) setApart(e *entryNode, apart bool) {
	f.setFaults(func() { f.rejected[e.name] = apart })
	for n := range len(f.entries) {
		if other := f.entry(n); other != e {
			f.network.SetPartition(e.name, other.name, apart, true)
		}
	}
}
