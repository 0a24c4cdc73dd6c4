package overseer

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/dreamer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/keeper"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

// desk is an owner with agents that are stand-ins, driven by hand.
type desk struct {
	c     *qt.C
	o     *Overseer
	now   time.Time
	sent  map[string][]messenger.Frame
	fails map[string]error
	store *faker.Store
	jobs  int
}

func newDesk(c *qt.C, agents int) *desk {
	d := &desk{c: c, now: time.Unix(5000, 0), sent: map[string][]messenger.Frame{}, fails: map[string]error{}, store: faker.NewStore()}
	d.o = New(Config{
		Term: 1, Epoch: 10, OwnerKey: "owner", Store: d.store.Keeper(),
		Now: func() time.Time { return d.now }, Wall: func() time.Time { return d.now },
		Lease: 5800 * time.Millisecond, Proof: 10 * time.Second, Keep: time.Hour,
		Proven: func() time.Time { return d.now }, Prove: func(time.Time) {}, Others: func() bool { return true },
		Log: zap.NewNop(), Count: func(string) {}, Time: func(string, time.Duration) {},
	})
	d.o.claimed = d.now
	d.o.begin(nil, nil, nil)
	for n := range agents {
		d.join(fmt.Sprint("a", n))
	}
	return d
}

// join links an agent that has an empty table.
func (d *desk) join(id string) *agent {
	a := d.o.agent(id)
	a.link = &Link{ID: id, Born: "b", Post: func(f messenger.Frame) error {
		if err := d.fails[id]; err != nil {
			return err
		}
		d.sent[id] = append(d.sent[id], f)
		return nil
	}}
	a.born, a.kept = "b", 1
	d.table(id, &messenger.Table{})
	return a
}

// table has an agent tell its table.
func (d *desk) table(id string, t *messenger.Table) {
	t.Term, t.Worker, t.CPU, t.Memory, t.Pool, t.Surveyed, t.Authority = 1, "life-"+id, 8000, 16000, "pool", true, true
	t.Seq = d.o.agents[id].seq
	d.o.hear(d.o.agents[id], t)
}

// submit has a job come in.
func (d *desk) submit(spec sequencer.Spec) *job {
	d.jobs++
	spec.ID = fmt.Sprintf("%016x", d.jobs)
	spec.Pool, spec.Queue, spec.Attempts, spec.Accepted = "pool", "queue", 2, d.now
	raw, err := spec.Encode()
	d.c.Assert(err, qt.IsNil)
	d.o.take([]keeper.Item{{Key: JobKey(spec.ID), Value: raw, Version: uint64(20 + d.jobs)}})
	return d.o.jobs[spec.ID]
}

// orders returns the tasks that an agent was told to start or stop, in order.
func (d *desk) orders(id string) []string {
	var list []string
	for _, f := range d.sent[id] {
		switch {
		case f.Kind != messenger.KindOrder:
		case f.Order.Stop != nil:
			list = append(list, "stop "+f.Order.Stop.Task)
		case !f.Order.Start.Known:
			list = append(list, "start "+f.Order.Start.Task)
		}
	}
	return list
}

func step(count int, cpu int64) sequencer.Step {
	return sequencer.Step{Count: count, CPU: cpu, Memory: 10, Estimate: time.Second}
}

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
	d.now = d.now.Add(preemptAfter)
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

// run has an agent list all its runs as running.
func (d *desk) run(id string, percent int) {
	t := &messenger.Table{}
	for _, r := range d.o.runsOf(d.o.agents[id]) {
		t.Runs = append(t.Runs, messenger.RunRow{Task: r.key.task, Attempt: r.key.attempt, Phase: messenger.PhaseRunning, Percent: percent, Pace: 100})
	}
	d.table(id, t)
}

// end has an agent list an end.
func (d *desk) end(id string, n uint64, task string, attempt uint64, how messenger.How) {
	d.table(id, &messenger.Table{Ends: []messenger.EndRow{{N: n, Task: task, Attempt: attempt, How: how}}})
}

func TestAnEndIsForgottenOnlyWhenTheLedgerHasIt(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 1)
	j := d.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	d.o.place()
	d.end("a0", 1, j.Task(0, 0, 0).Name(), 1, messenger.EndDone)
	c.Assert(d.o.agents["a0"].durable, qt.Equals, uint64(0))
	c.Assert(shown(j.Job), qt.Equals, sequencer.Running, qt.Commentf("complete is not durable yet"))
	b := d.o.gather()
	d.o.committed(b, 40, d.now, nil)
	c.Assert(d.o.agents["a0"].durable, qt.Equals, uint64(1))
	c.Assert(shown(j.Job), qt.Equals, sequencer.Complete)
}

func TestAJobFailsAfterItsAttemptsEachCountedOnce(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 1)
	j := d.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	name := j.Task(0, 0, 0).Name()
	d.o.place()
	d.end("a0", 1, name, 1, messenger.EndFailed)
	// Another process of the agent lists the same end under another number.
	d.o.agents["a0"].born, d.o.agents["a0"].taken = "c", 0
	d.end("a0", 1, name, 1, messenger.EndFailed)
	c.Assert(j.Failed, qt.IsFalse)
	d.o.place()
	d.end("a0", 2, name, 2, messenger.EndFailed)
	c.Assert(j.Failed, qt.IsTrue)
}

func TestATransactionNeverHoldsMoreThanTheStoreTakes(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 30)
	for n := range 30 {
		a := d.o.agents[fmt.Sprint("a", n)]
		a.striking = n%2 == 0
		a.enrolling = n%2 == 1
		d.o.changed(d.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 1)}}))
	}
	for range 20 {
		b := d.o.gather()
		n := len(b.change.Checks) + len(b.change.Writes) + len(b.change.Removes)
		c.Assert(n <= keeper.MaxEntries, qt.IsTrue, qt.Commentf("%d entries", n))
	}
	c.Assert(d.o.dirty, qt.HasLen, 0)
}

// A job that an earlier owner may have started waits until every agent that may
// hold it was heard, or its lease has surely ended; a newer job does not.
func TestOldJobsWaitForAgentsThatWereNotHeard(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 1)
	gone := d.o.agent("gone")
	gone.kept, gone.missing, gone.vouched = 1, true, d.now.Add(16*time.Second)
	old := d.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	old.Version = 5 // before the epoch
	newer := d.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	d.o.place()
	c.Assert(old.Task(0, 0, 0).Live, qt.Equals, 0)
	c.Assert(newer.Task(0, 0, 0).Live, qt.Equals, 1)
	d.now = d.now.Add(17 * time.Second)
	d.run("a0", 1)
	d.o.expire(gone, d.now)
	d.o.place()
	c.Assert(old.Task(0, 0, 0).Live, qt.Equals, 1)
}

func TestAGangStartsWholeOrNotAtAll(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 2)
	gang := step(5, 3000)
	gang.Gang = true
	j := d.submit(sequencer.Spec{Steps: []sequencer.Step{gang}})
	d.o.place()
	c.Assert(j.live, qt.HasLen, 0, qt.Commentf("four members have room"))
	d.join("a2")
	d.o.place()
	c.Assert(j.live, qt.HasLen, 5)
	for _, r := range j.live {
		c.Assert(r.key.attempt, qt.Equals, uint64(1))
	}
	// One member does not begin: the others would wait in vain.
	for _, r := range j.live {
		d.end(r.agent.id, 1, r.key.task, 1, messenger.EndNever)
		break
	}
	d.o.mendGangs()
	stops := 0
	for _, id := range []string{"a0", "a1", "a2"} {
		for _, order := range d.orders(id) {
			if order[:4] == "stop" {
				stops++
			}
		}
	}
	c.Assert(stops, qt.Equals, len(j.live))
}

func TestTasksMoveOffAWorkerThatDrains(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 1)
	lasting, saving, short := step(1, 10), step(1, 10), step(1, 10)
	lasting.Lasting, saving.Checkpoints = true, true
	jobs := []*job{
		d.submit(sequencer.Spec{Steps: []sequencer.Step{lasting}}),
		d.submit(sequencer.Spec{Steps: []sequencer.Step{saving}}),
		d.submit(sequencer.Spec{Steps: []sequencer.Step{short}}),
	}
	d.o.place()
	d.join("a1")
	t0 := &messenger.Table{Draining: true}
	for _, r := range d.o.runsOf(d.o.agents["a0"]) {
		t0.Runs = append(t0.Runs, messenger.RunRow{Task: r.key.task, Attempt: r.key.attempt, Phase: messenger.PhaseRunning, Percent: 100, Pace: 100})
	}
	d.table("a0", t0)
	d.o.evacuate()
	evicted := []bool{}
	for _, j := range jobs {
		for _, r := range j.live {
			evicted = append(evicted, r.evict)
		}
	}
	c.Assert(evicted, qt.DeepEquals, []bool{true, true, false})
}

func TestAnOwnerThatHearsFewAgentsGivesUp(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 4)
	d.o.tick(context.Background())
	c.Assert(d.o.ending, qt.IsNil)
	d.now = d.now.Add(isolated)
	d.run("a0", 1)
	d.o.tick(context.Background())
	c.Assert(d.o.ending, qt.IsNil, qt.Commentf("a cut may be short"))
	d.now = d.now.Add(isolated + time.Millisecond)
	d.run("a0", 1)
	d.o.tick(context.Background())
	c.Assert(d.o.ending, qt.ErrorIs, ErrIsolated)
}

func TestATableOfALaterTermDeposes(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 1)
	d.o.hear(d.o.agents["a0"], &messenger.Table{Term: 2})
	c.Assert(d.o.ending, qt.ErrorIs, ErrDeposed)
}

func TestStepsOfAQueueWithAPolicyRunOnlyWhereItIsGranted(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 3)
	asked := 0
	d.o.cfg.Advise = func(_ context.Context, _ string, workers []string) ([]Grant, time.Duration, error) {
		asked++
		want := []string{"life-a0", "life-a1", "life-a2"}
		if asked == 3 {
			want = []string{"life-a1"} // a policy does not change; its ticket ran out
		}
		c.Check(workers, qt.DeepEquals, want)
		return []Grant{{Worker: "life-a1", Ticket: "t1"}, {Worker: "never-asked", Ticket: "x"}}, 3 * time.Second, nil
	}
	j := d.submit(sequencer.Spec{Steps: []sequencer.Step{step(4, 10)}, Advised: true})
	d.o.place()
	d.o.place()
	c.Assert(j.live, qt.HasLen, 0)
	(<-d.o.do)()
	d.o.place()
	c.Assert(asked, qt.Equals, 1)
	c.Assert(j.live, qt.HasLen, 4)
	for _, r := range j.live {
		c.Assert(r.agent.id, qt.Equals, "a1")
	}
	for _, f := range d.sent["a1"] {
		if f.Kind == messenger.KindOrder {
			c.Assert(f.Order.Start.Ticket, qt.Equals, "t1")
		}
	}
	// A ticket near its end is not used; it is asked for again.
	more := d.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}, Advised: true})
	d.o.place()
	(<-d.o.do)()
	d.now = d.now.Add(3 * time.Second)
	for _, id := range []string{"a0", "a1", "a2"} {
		d.table(id, &messenger.Table{})
	}
	d.o.place()
	c.Assert(more.live, qt.HasLen, 0)
	(<-d.o.do)()
	d.o.place()
	c.Assert(more.live, qt.HasLen, 1)
	c.Assert(asked, qt.Equals, 3)
}

// An agent that is there but whose worker does not answer can't be surveyed;
// what an earlier owner left at that worker ends with its lease all the same.
func TestAnAgentWithoutAWorkerIsNotWaitedForWithoutEnd(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c, 2)
	a := d.o.agents["a0"]
	a.surveyed, a.missing, a.vouched = false, true, d.now.Add(6*time.Second)
	old := d.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	old.Version = 5
	for range 14 {
		d.now = d.now.Add(500 * time.Millisecond)
		d.run("a1", 1)
		d.o.hear(a, &messenger.Table{Term: 1, Worker: "dark", Asked: time.UnixMilli(5)})
		d.o.tick(context.Background())
	}
	d.o.place()
	c.Assert(old.Task(0, 0, 0).Live, qt.Equals, 1)
}

// What works for an owner that ends must not wait for its queue: links fill it
// while the last write is on its way.
func TestAnOwnerEndsWhileItsQueueIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDesk(c, 1)
		d.o.cfg.Now, d.o.cfg.Proven = time.Now, time.Now
		written := make(chan struct{})
		d.o.cfg.Store.Commit = func(context.Context, keeper.Change) (uint64, error) {
			<-written
			return 0, keeper.ErrDown
		}
		d.o.changed(d.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 1)}}))
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- d.o.Serve(ctx) }()
		dreamer.Sleep(100 * time.Millisecond)
		cancel()
		synctest.Wait()
		for range 2 * queue {
			go d.o.hand(func() {})
		}
		synctest.Wait()
		close(written)
		select {
		case err := <-ended:
			c.Assert(err, qt.IsNil)
		case <-time.After(time.Minute):
			c.Fatal("the owner does not end")
		}
	})
}
