package orchestrator

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/authorizer"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

func TestNoMoreIsStartedThanThereIsRoomFor(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 2)
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(20, 3000)}})
	h.o.place()
	c.Assert(len(h.commands("a0"))+len(h.commands("a1")), qt.Equals, 4)
}

// Guards against sending commands to closed connections. During a burst, thousands
// of them, one for each waiting task in each round, left no CPU for the messages of
// the agents.
func TestAClosedConnectionGetsNoMoreCommands(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	h.sendErrors["a0"] = errors.New("closed")
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(50, 10)}})
	for range 10 {
		h.o.place()
	}
	c.Assert(h.o.agents["a0"].seq, qt.Equals, uint64(1))
	c.Assert(j.Task(0, 0, 0).Attempt, qt.Equals, uint64(0), qt.Commentf("nothing was started"))
}

// A search for victims iterates over all runs of all agents, so it must not be
// repeated for each waiting task.
func TestPreemptionIsRateLimited(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	low := step(8, 1000)
	low.Checkpointable = true
	h.submit(sequencer.Spec{Steps: []sequencer.Step{low}, Priority: 2})
	h.o.place()
	h.reportRunning("a0", 50)
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(4, 1000)}})
	h.o.place()
	h.now = h.now.Add(preemptDelay)
	for range 5 {
		h.o.place()
	}
	stops := 0
	for _, command := range h.commands("a0") {
		if command[:4] == "stop" {
			stops++
		}
	}
	c.Assert(stops, qt.Equals, 1)
}

func TestAGangStartsWholeOrNotAtAll(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 2)
	gang := step(5, 3000)
	gang.Gang = true
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{gang}})
	h.o.place()
	c.Assert(j.liveRuns, qt.HasLen, 0, qt.Commentf("only four members fit"))
	h.connectAgent("a2")
	h.o.place()
	c.Assert(j.liveRuns, qt.HasLen, 5)
	for _, r := range j.liveRuns {
		c.Assert(r.key.attempt, qt.Equals, uint64(1))
	}
	// The start of one member is refused; the others would wait forever.
	for _, r := range j.liveRuns {
		h.reportEnd(r.agent.id, 1, r.key.task, 1, messenger.EndNotStarted)
		break
	}
	h.o.stopIncompleteGangs()
	stops := 0
	for _, id := range []string{"a0", "a1", "a2"} {
		for _, command := range h.commands(id) {
			if command[:4] == "stop" {
				stops++
			}
		}
	}
	c.Assert(stops, qt.Equals, len(j.liveRuns))
}

func TestTasksMoveOffAWorkerThatDrains(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	service, checkpointed, short := step(1, 10), step(1, 10), step(1, 10)
	service.LongRunning, checkpointed.Checkpointable = true, true
	jobs := []*job{
		h.submit(sequencer.Spec{Steps: []sequencer.Step{service}}),
		h.submit(sequencer.Spec{Steps: []sequencer.Step{checkpointed}}),
		h.submit(sequencer.Spec{Steps: []sequencer.Step{short}}),
	}
	h.o.place()
	h.connectAgent("a1")
	snapshot := &messenger.WorkerSnapshot{Draining: true}
	for _, r := range h.o.runsOf(h.o.agents["a0"]) {
		snapshot.Runs = append(snapshot.Runs, messenger.RunStatus{Task: r.key.task, Attempt: r.key.attempt, Phase: messenger.PhaseRunning, ProgressPercent: 100, PacePercent: 100})
	}
	h.sendSnapshot("a0", snapshot)
	h.o.evacuate()
	evicted := []bool{}
	for _, j := range jobs {
		for _, r := range j.liveRuns {
			evicted = append(evicted, r.evict)
		}
	}
	c.Assert(evicted, qt.DeepEquals, []bool{true, true, false})
}

func TestStepsOfAQueueWithAPolicyRunOnlyWhereItIsGranted(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 3)
	queries := 0
	h.o.cfg.QueryPolicy = func(_ context.Context, _ string, workers []string) ([]authorizer.Grant, time.Duration, error) {
		queries++
		want := []string{"life-a0", "life-a1", "life-a2"}
		if queries == 3 {
			want = []string{"life-a1"} // the policy does not change, but its ticket has expired
		}
		c.Check(slices.Sorted(slices.Values(workers)), qt.DeepEquals, want)
		return []authorizer.Grant{{Incarnation: "life-a1", Ticket: "t1"}, {Incarnation: "never-asked", Ticket: "x"}}, 3 * time.Second, nil
	}
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(4, 10)}, PolicyRestricted: true})
	h.o.place()
	h.o.place()
	c.Assert(j.liveRuns, qt.HasLen, 0)
	(<-h.o.actions)()
	h.o.place()
	c.Assert(queries, qt.Equals, 1)
	c.Assert(j.liveRuns, qt.HasLen, 4)
	for _, r := range j.liveRuns {
		c.Assert(r.agent.id, qt.Equals, "a1")
	}
	for _, f := range h.sent["a1"] {
		if f.Kind == messenger.KindCommand {
			c.Assert(f.Command.Start.Ticket, qt.Equals, "t1")
		}
	}
	// A ticket close to its expiry is not used; the policy is queried again.
	more := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}, PolicyRestricted: true})
	h.o.place()
	(<-h.o.actions)()
	h.now = h.now.Add(3 * time.Second)
	for _, id := range []string{"a0", "a1", "a2"} {
		h.sendSnapshot(id, &messenger.WorkerSnapshot{})
	}
	h.o.place()
	c.Assert(more.liveRuns, qt.HasLen, 0)
	(<-h.o.actions)()
	h.o.place()
	c.Assert(more.liveRuns, qt.HasLen, 1)
	c.Assert(queries, qt.Equals, 3)
}

// A task of a queue with a policy waited as long as the tickets of full workers were valid,
// beside a worker about which the policy had not been asked.
func TestATaskDoesNotWaitForTicketsOfFullWorkersToExpire(t *testing.T) {
	for name, gang := range map[string]bool{"a task": false, "a gang": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 1)
			var asked [][]string
			h.o.cfg.QueryPolicy = func(_ context.Context, _ string, workers []string) ([]authorizer.Grant, time.Duration, error) {
				asked = append(asked, workers)
				var grants []authorizer.Grant
				for _, w := range workers {
					grants = append(grants, authorizer.Grant{Incarnation: w, Ticket: "t-" + w})
				}
				return grants, time.Minute, nil
			}
			wide := step(2, 5000)
			wide.Gang = gang
			j := h.submit(sequencer.Spec{Steps: []sequencer.Step{wide}, PolicyRestricted: true})
			h.o.place()
			(<-h.o.actions)()
			h.o.place()
			h.connectAgent("a1")
			h.o.place()
			c.Assert(h.o.authorizer.InFlight(), qt.Equals, 1)
			(<-h.o.actions)()
			h.o.place()
			c.Assert(asked, qt.DeepEquals, [][]string{{"life-a0"}, {"life-a1"}})
			c.Assert(j.liveRuns, qt.HasLen, 2)
			h.o.place()
			c.Assert(h.o.authorizer.InFlight(), qt.Equals, 0)
		})
	}
}

// The connection of an agent may end during a placement round that queries the
// policy.
func TestThePolicyIsNotQueriedForUnreachableWorkers(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	h.o.cfg.QueryPolicy = func(context.Context, string, []string) ([]authorizer.Grant, time.Duration, error) { return nil, 0, nil }
	h.sendErrors["a0"] = errors.New("closed")
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}, PolicyRestricted: true})
	h.o.place() // panicked when the start of the first job's task failed and closed the connection
	c.Assert(h.o.authorizer.InFlight(), qt.Equals, 0)
}

// A payload of 2 kB went with each of a job's 160 tasks, which filled the owner's link.
func TestAnAgentGetsThePayloadOfAJobOnce(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	h.o.agents["a0"].link.KeepsPayloads = true
	h.submit(sequencer.Spec{Payload: "payload", Steps: []sequencer.Step{step(3, 100)}})
	h.o.place()
	var payloads []string
	for _, f := range h.sent["a0"] {
		if f.Kind == messenger.KindCommand {
			payloads = append(payloads, f.Command.Start.Payload)
			c.Check(f.Command.Start.PayloadKept, qt.Equals, len(payloads) > 1)
		}
	}
	c.Assert(payloads, qt.DeepEquals, []string{"payload", "", ""})
}

// After power had returned, a new owner sent a thousand starts at once.
func TestStartsAreHeldBackUntilAgentsConfirmEarlierOnes(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	h.submit(sequencer.Spec{Payload: strings.Repeat("x", 16<<10), Steps: []sequencer.Step{step(10, 100)}})
	h.o.place()
	first := len(h.commands("a0"))
	c.Check(first > 0 && first < 10, qt.IsTrue, qt.Commentf("%d starts of 16 kB at once", first))
	h.o.place()
	c.Check(h.commands("a0"), qt.HasLen, first)
	h.o.planDue = false
	h.reportPhase("a0", messenger.PhaseStarting)
	c.Check(h.o.planDue, qt.IsTrue)
	h.o.place()
	c.Check(len(h.commands("a0")) > first, qt.IsTrue)
}

// A worker's capacity may shrink while it runs tasks.
func TestNothingStartsBeyondACapacityThatHasShrunk(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(6, 1000)}})
	h.o.place()
	c.Assert(h.commands("a0"), qt.HasLen, 6)
	h.o.agents["a0"].snapshot.CPU = 6500
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 1000)}})
	h.o.place()
	c.Assert(h.commands("a0"), qt.HasLen, 6)
	h.o.agents["a0"].snapshot.CPU = 7000
	h.o.place()
	c.Assert(h.commands("a0"), qt.HasLen, 7)
}
