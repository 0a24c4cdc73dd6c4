package coordinator_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/sequencer"
)

// takeoverTimeout is how long after the loss of the owner another entry schedules,
// if the store and the agents answer.
const takeoverTimeout = 3 * time.Second

// setFrozen starts or ends a freeze of an entry, which then neither sends nor
// receives.
func (f *fleet) setFrozen(e *entryNode, frozen bool) {
	f.setFaults(func() { f.rejected[e.name], f.frozen[e.name] = frozen, frozen })
	f.network.SetFrozen(e.name, frozen)
}

// errNoReply is the outcome of a call to a frozen entry.
var errNoReply = errors.New("the entry does not reply")

// isFrozen reports whether an entry is frozen, so that no caller gets its reply.
func (f *fleet) isFrozen(e *entryNode) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.frozen[e.name]
}

// owners returns the entries that schedule, without those in except.
func (f *fleet) owners(except ...*entryNode) []*entryNode {
	var list []*entryNode
	for n := range len(f.entries) {
		e := f.entry(n)
		excluded := false
		for _, other := range except {
			excluded = excluded || other == e
		}
		if !excluded && e.isOwner() {
			list = append(list, e)
		}
	}
	return list
}

// A frozen owner accepts connections and answers nothing. Neither its successor nor
// an agent may wait for it.
func TestATakeoverDoesNotWaitForAFrozenOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, t, 1, 3, 4)
		advancer.Sleep(3 * time.Second)
		owners := f.owners()
		c.Assert(owners, qt.HasLen, 1)
		frozen := owners[0]
		f.setFrozen(frozen, true)
		advancer.Sleep(takeoverTimeout)
		owners = f.owners(frozen)
		c.Check(owners, qt.HasLen, 1, qt.Commentf("no other entry schedules"))
		if len(owners) > 0 {
			spec := &sequencer.Spec{
				ID: "00000000000000aa", Queue: "queue", Pool: "pool", MaxAttempts: 4, StretchFactor: 2, LatencyAllowance: time.Second,
				Steps: []sequencer.Step{{Count: 2, CPU: 500, Memory: 100, LongRunning: true}},
			}
			f.auditor.AddJob(spec)
			c.Check(f.submitAt(owners[0], spec), qt.IsNil)
			advancer.Sleep(time.Second)
			c.Check(f.auditor.StartCount(), qt.Equals, 2, qt.Commentf("the agents have not changed to the new owner"))
		}
		f.setFrozen(frozen, false)
		advancer.Sleep(10 * time.Second)
		cancel()
		f.close()
		c.Check(f.auditor.Violations(), qt.HasLen, 0)
		advancer.Sleep(time.Minute)
	})
}

// An owner and an agent whose registration is closed are cut off from the rest. The
// owner renewed the lease for longer than the next one waited, and tasks ran twice.
func TestATaskUnderAClosedRegistrationRunsTwiceAcrossACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, t, 1, 3, 4)
		advancer.Sleep(3 * time.Second)
		owners := f.owners()
		c.Assert(owners, qt.HasLen, 1)
		earlier := owners[0]
		spec := &sequencer.Spec{
			ID: "00000000000000aa", Queue: "queue", Pool: "pool", MaxAttempts: 4, StretchFactor: 2, LatencyAllowance: time.Second,
			Steps: []sequencer.Step{{Count: 2, CPU: 500, Memory: 100, LongRunning: true}},
		}
		f.auditor.AddJob(spec)
		c.Assert(f.submitAt(earlier, spec), qt.IsNil)
		advancer.Sleep(2 * time.Second)
		starts := f.auditor.StartCount()
		c.Assert(starts, qt.Equals, 2)
		var cut *agentNode
		for _, a := range f.agents {
			if len(a.worker.Running()) > 0 {
				cut = a
			}
		}
		f.network.SetPartition(cut.name, earlier.name, true, false)
		advancer.Sleep(400 * time.Millisecond) // the owner closes the registration
		setCut := func(isCut bool) {
			f.setFaults(func() { f.rejected[earlier.name] = isCut })
			for name := range f.entries {
				if name != earlier.name {
					f.network.SetPartition(earlier.name, name, isCut, true)
					f.network.SetPartition(cut.name, name, isCut, true)
				}
			}
			for name := range f.agents {
				if name != cut.name {
					f.network.SetPartition(earlier.name, name, isCut, true)
				}
			}
		}
		setCut(true)
		f.network.SetPartition(cut.name, earlier.name, false, false)
		advancer.Sleep(14 * time.Second)
		c.Check(f.owners(earlier), qt.HasLen, 1)
		c.Check(f.auditor.StartCount() > starts, qt.IsTrue, qt.Commentf("the next owner has started nothing again"))
		setCut(false)
		advancer.Sleep(10 * time.Second)
		cancel()
		f.close()
		c.Check(f.auditor.Violations(), qt.HasLen, 0)
		advancer.Sleep(time.Minute)
	})
}

// Of a fleet that is replaced agent by agent, one had just left as the owner froze. All older tasks
// waited for 16 s, though nothing but its own runs could be at work there.
func TestOlderTasksDoNotWaitForAnAgentThatLeftBeforeTheOwnerFroze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, t, 1, 3, 5)
		advancer.Sleep(3 * time.Second)
		spec := &sequencer.Spec{ID: "00000000000000aa", Queue: "queue", Pool: "pool", Steps: []sequencer.Step{{Count: 10, CPU: 1000, Memory: 100, LongRunning: true}}}
		f.auditor.AddJob(spec)
		c.Assert(f.submitAt(f.entry(0), spec), qt.IsNil)
		advancer.Sleep(2 * time.Second)
		lost := f.agents["agent-0"]
		for _, a := range f.agents { // another worker than that of the agent that leaves, with runs
			if len(a.worker.Running()) > 0 {
				lost = a
			}
		}
		leaving := f.agents["agent-0"]
		if leaving == lost {
			leaving = f.agents["agent-1"]
		}
		leaveCtx, leave := context.WithTimeout(ctx, 3*time.Second)
		leaving.supervisor.AwaitOwner(leaveCtx)
		leave()
		f.stopAgent(leaving)
		f.setFrozen(f.owners()[0], true)
		f.restartWorker(lost) // its tasks are to be started again
		advancer.Sleep(12 * time.Second)
		running := 0
		for _, a := range f.agents {
			if a != leaving {
				running += len(a.worker.Running())
			}
		}
		c.Check(running, qt.Equals, 10)
		f.clearFaults()
		cancel()
		f.close()
		advancer.Sleep(time.Minute)
	})
}
