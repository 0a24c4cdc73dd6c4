package orchestrator

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

func TestNoMoreIsStartedThanThereIsRoomFor(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 2)
	d.submit(sequencer.Spec{Steps: []sequencer.Step{step(20, 3000)}})
	d.o.place()
	c.Assert(len(d.orders("a0"))+len(d.orders("a1")), qt.Equals, 4)
}

// An owner under a burst sent thousands of orders to connections that had
// ended, one for each waiting task in each round, and had no processor left to
// hear the agents (cmdvt-conectores, trouble-1).
func TestAConnectionThatHasEndedIsNotOfferedMore(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 1)
	d.fails["a0"] = errors.New("closed")
	j := d.submit(sequencer.Spec{Steps: []sequencer.Step{step(50, 10)}})
	for range 10 {
		d.o.place()
	}
	c.Assert(d.o.agents["a0"].seq, qt.Equals, uint64(1))
	c.Assert(j.Task(0, 0, 0).Attempt, qt.Equals, uint64(0), qt.Commentf("nothing was started"))
}

// Looking for victims walks all runs of all agents; it must not be done for
// each task that waits.
func TestVictimsAreLookedForOnceInAWhile(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 1)
	low := step(8, 1000)
	low.Checkpoints = true
	d.submit(sequencer.Spec{Steps: []sequencer.Step{low}, Priority: 2})
	d.o.place()
	d.run("a0", 50)
	d.submit(sequencer.Spec{Steps: []sequencer.Step{step(4, 1000)}})
	d.o.place()
	d.now = d.now.Add(preemptDelay)
	for range 5 {
		d.o.place()
	}
	stops := 0
	for _, order := range d.orders("a0") {
		if order[:4] == "stop" {
			stops++
		}
	}
	c.Assert(stops, qt.Equals, 1)
}

func TestAGangStartsWholeOrNotAtAll(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 2)
	gang := step(5, 3000)
	gang.Gang = true
	j := d.submit(sequencer.Spec{Steps: []sequencer.Step{gang}})
	d.o.place()
	c.Assert(j.liveRuns, qt.HasLen, 0, qt.Commentf("four members have room"))
	d.join("a2")
	d.o.place()
	c.Assert(j.liveRuns, qt.HasLen, 5)
	for _, r := range j.liveRuns {
		c.Assert(r.key.attempt, qt.Equals, uint64(1))
	}
	// One member does not begin: the others would wait in vain.
	for _, r := range j.liveRuns {
		d.end(r.agent.id, 1, r.key.task, 1, messenger.EndNotStarted)
		break
	}
	d.o.stopIncompleteGangs()
	stops := 0
	for _, id := range []string{"a0", "a1", "a2"} {
		for _, order := range d.orders(id) {
			if order[:4] == "stop" {
				stops++
			}
		}
	}
	c.Assert(stops, qt.Equals, len(j.liveRuns))
}

func TestTasksMoveOffAWorkerThatDrains(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 1)
	lasting, saving, short := step(1, 10), step(1, 10), step(1, 10)
	lasting.LongRunning, saving.Checkpoints = true, true
	jobs := []*job{
		d.submit(sequencer.Spec{Steps: []sequencer.Step{lasting}}),
		d.submit(sequencer.Spec{Steps: []sequencer.Step{saving}}),
		d.submit(sequencer.Spec{Steps: []sequencer.Step{short}}),
	}
	d.o.place()
	d.join("a1")
	t0 := &messenger.WorkerSnapshot{Draining: true}
	for _, r := range d.o.runsOf(d.o.agents["a0"]) {
		t0.Runs = append(t0.Runs, messenger.RunStatus{Task: r.key.task, Attempt: r.key.attempt, Phase: messenger.PhaseRunning, ProgressPercent: 100, PacePercent: 100})
	}
	d.table("a0", t0)
	d.o.evacuate()
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
	d := newDesk(c, 3)
	asked := 0
	d.o.cfg.QueryPolicy = func(_ context.Context, _ string, workers []string) ([]PolicyGrant, time.Duration, error) {
		asked++
		want := []string{"life-a0", "life-a1", "life-a2"}
		if asked == 3 {
			want = []string{"life-a1"} // a policy does not change; its ticket ran out
		}
		c.Check(workers, qt.DeepEquals, want)
		return []PolicyGrant{{Incarnation: "life-a1", Ticket: "t1"}, {Incarnation: "never-asked", Ticket: "x"}}, 3 * time.Second, nil
	}
	j := d.submit(sequencer.Spec{Steps: []sequencer.Step{step(4, 10)}, PolicyRestricted: true})
	d.o.place()
	d.o.place()
	c.Assert(j.liveRuns, qt.HasLen, 0)
	(<-d.o.actions)()
	d.o.place()
	c.Assert(asked, qt.Equals, 1)
	c.Assert(j.liveRuns, qt.HasLen, 4)
	for _, r := range j.liveRuns {
		c.Assert(r.agent.id, qt.Equals, "a1")
	}
	for _, f := range d.sent["a1"] {
		if f.Kind == messenger.KindCommand {
			c.Assert(f.Command.Start.Ticket, qt.Equals, "t1")
		}
	}
	// A ticket near its end is not used; it is asked for again.
	more := d.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}, PolicyRestricted: true})
	d.o.place()
	(<-d.o.actions)()
	d.now = d.now.Add(3 * time.Second)
	for _, id := range []string{"a0", "a1", "a2"} {
		d.table(id, &messenger.WorkerSnapshot{})
	}
	d.o.place()
	c.Assert(more.liveRuns, qt.HasLen, 0)
	(<-d.o.actions)()
	d.o.place()
	c.Assert(more.liveRuns, qt.HasLen, 1)
	c.Assert(asked, qt.Equals, 3)
}

// The connection of an agent may end while a round goes on that asks for
// advice.
func TestAdviceIsNotAskedForWorkersOutOfReach(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 1)
	d.o.cfg.QueryPolicy = func(context.Context, string, []string) ([]PolicyGrant, time.Duration, error) { return nil, 0, nil }
	d.fails["a0"] = errors.New("closed")
	d.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	d.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}, PolicyRestricted: true})
	d.o.place() // panicked: the first job's order takes the agent out of reach
	c.Assert(d.o.policyQueries, qt.Equals, 0)
}
