package orchestrator

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

// queueFrames is the number of control frames that a connection queues.
const queueFrames = 256

// boundedLink queues the frames to an agent until the agent reads them, and ends once
// too many are queued, as a connection does.
type boundedLink struct {
	h      *harness
	id     string
	queued int
	ended  bool
	// lastSeq is the number of the last command, stops has the runs to stop, starts those
	// to start, specs those whose spec was conveyed, with how often.
	lastSeq              uint64
	stops, starts, specs map[string]int
	acks                 int
}

// limitQueue replaces the connection of an agent by one with a bounded queue.
func (h *harness) limitQueue(id string) *boundedLink {
	l := &boundedLink{h: h, id: id, stops: map[string]int{}, starts: map[string]int{}, specs: map[string]int{}}
	h.o.agents[id].link.TrySend = l.trySend
	return l
}

func (l *boundedLink) trySend(f messenger.Frame) error {
	if l.ended || l.queued == queueFrames {
		l.ended = true
		return errors.New("peer reads too slowly")
	}
	l.queued++
	switch {
	case f.Kind == messenger.KindSnapshotAck:
		l.acks++
	case f.Command.Stop != nil:
		l.lastSeq = f.Command.Seq
		l.stops[f.Command.Stop.Task]++
	case f.Command.Start.AlreadyRunning:
		l.lastSeq = f.Command.Seq
		l.specs[f.Command.Start.Task]++
	default:
		l.lastSeq = f.Command.Seq
		l.starts[f.Command.Start.Task]++
	}
	return nil
}

// exchange reads what is queued and sends a snapshot that confirms it.
func (l *boundedLink) exchange(runs []messenger.RunStatus) {
	l.queued = 0
	l.h.sendSnapshot(l.id, &messenger.WorkerSnapshot{Runs: runs})
}

// largeJob submits a job whose tasks all run on one agent.
func (h *harness) largeJob(tasks int) (*job, []messenger.RunStatus) {
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{{Count: tasks, CPU: 1, Memory: 1}}})
	for range tasks {
		h.o.place()
		h.reportRunning("a0", 10)
		if len(j.liveRuns) == tasks {
			break
		}
	}
	h.c.Assert(j.liveRuns, qt.HasLen, tasks)
	return j, h.runStatuses("a0", messenger.PhaseRunning, 10)
}

// The cancel of a job of 2,400 tasks stopped next to nothing: its stops overflowed the queue of
// the connection, and again on each new one, so that no lease was renewed there either.
func TestTheCancelOfALargeJobKeepsTheConnection(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	const tasks = 2400
	j, runs := h.largeJob(tasks)
	l := h.limitQueue("a0")
	h.cancel(j)
	rounds := 0
	for ; len(l.stops) < tasks && rounds < tasks && !l.ended; rounds++ {
		l.exchange(runs)
	}
	c.Assert(l.ended, qt.IsFalse, qt.Commentf("the connection ended after %d stops", len(l.stops)))
	c.Assert(l.stops, qt.HasLen, tasks)
	c.Assert(l.acks, qt.Equals, rounds, qt.Commentf("each snapshot is acknowledged"))
	c.Assert(rounds <= tasks/maxUnconfirmedCommands+1, qt.IsTrue, qt.Commentf("%d rounds", rounds))
	for task, n := range l.stops {
		c.Assert(n, qt.Equals, 1, qt.Commentf(task))
	}
}

// An agent that restarted beside 400 runs was sent the specs of all of them with each
// snapshot, which ended each connection; their leases lapsed.
func TestTheSpecsOfAdoptedRunsKeepTheConnection(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	const tasks = 400
	_, runs := h.largeJob(tasks)
	for n := range runs {
		runs[n].SpecUnknown = true
	}
	l := h.limitQueue("a0")
	for range tasks/maxUnconfirmedCommands + 2 {
		l.exchange(runs)
		for n := range runs {
			runs[n].SpecUnknown = l.specs[runs[n].Task] == 0
		}
	}
	c.Assert(l.ended, qt.IsFalse)
	c.Assert(l.specs, qt.HasLen, tasks)
	for task, n := range l.specs {
		c.Assert(n, qt.Equals, 1, qt.Commentf(task))
	}
}

// Runs of jobs that are not known are stopped like others, and as many.
func TestTheStopsOfStraysKeepTheConnection(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	const strays = 700
	var runs []messenger.RunStatus
	for n := range strays {
		runs = append(runs, messenger.RunStatus{Task: fmt.Sprint("00000000000000ff.0.0.", n), Attempt: 1, Phase: messenger.PhaseRunning})
	}
	l := h.limitQueue("a0")
	for range strays/maxUnconfirmedCommands + 2 {
		l.exchange(runs)
	}
	c.Assert(l.ended, qt.IsFalse)
	c.Assert(l.stops, qt.HasLen, strays)
}

// The members of a gang are started together. More of them on one agent than its connection
// queues ended the connection.
func TestALargeGangOnOneAgentKeepsTheConnection(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	const members = 300
	l := h.limitQueue("a0")
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{{Count: members, CPU: 1, Memory: 1, Gang: true}}})
	h.o.starts.Confirmed("a0", 0, h.now)
	for range 2 * members / maxUnconfirmedCommands {
		h.o.place()
		h.o.stopIncompleteGangs()
		l.exchange(h.runStatuses("a0", messenger.PhaseRunning, 1))
	}
	c.Assert(l.ended, qt.IsFalse)
	c.Assert(l.starts, qt.HasLen, members)
	c.Assert(l.stops, qt.HasLen, 0)
	c.Assert(j.liveRuns, qt.HasLen, members)
}

// A start in the outbox has reached nobody: its task need not wait for the agent's lease.
func TestAStartThatWasNeverSentEndsWithItsConnection(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	j, _ := h.largeJob(3 * maxUnconfirmedCommands)
	h.limitQueue("a0")
	h.cancel(j)
	next := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	a := h.o.agents["a0"]
	h.o.startTask(next.Task(0, 0, 0), next, a)
	c.Assert(next.liveRuns, qt.HasLen, 1)
	h.o.Disconnect(a.link)
	(<-h.o.actions)()
	c.Assert(next.liveRuns, qt.HasLen, 0)
	c.Assert(a.outbox, qt.HasLen, 0)
}

// The stop of a run that has ended meanwhile is not sent, nor a start that was given up.
func TestCommandsOfEndedRunsAreNotSent(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	j, _ := h.largeJob(2 * maxUnconfirmedCommands)
	l := h.limitQueue("a0")
	h.cancel(j)
	l.exchange(nil)
	c.Assert(j.liveRuns, qt.HasLen, 0)
	l.exchange(nil)
	c.Assert(len(l.stops), qt.Equals, maxUnconfirmedCommands)
}

// While one agent confirms nothing, tasks go to the others, even if its worker is the better one.
func TestTasksGoElsewhereWhileAnAgentConfirmsNothing(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 2)
	links := map[string]*boundedLink{"a0": h.limitQueue("a0"), "a1": h.limitQueue("a1")}
	h.submit(sequencer.Spec{Steps: []sequencer.Step{{Count: 5 * maxUnconfirmedCommands, CPU: 1, Memory: 1}}})
	for range 10 {
		h.o.place()
		links["a1"].exchange(h.runStatuses("a1", messenger.PhaseRunning, 1))
	}
	c.Assert(len(links["a0"].starts) <= maxUnconfirmedCommands, qt.IsTrue)
	c.Assert(len(links["a0"].starts)+len(links["a1"].starts), qt.Equals, 5*maxUnconfirmedCommands)
}
