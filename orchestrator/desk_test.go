package orchestrator

import (
	"fmt"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// desk is an owner with agents that are stand-ins, driven by hand.
type desk struct {
	c     *qt.C
	o     *Orchestrator
	now   time.Time
	sent  map[string][]messenger.Frame
	fails map[string]error
	store *faker.Store
	jobs  int
}

func newDesk(c *qt.C, agents int) *desk {
	d := &desk{c: c, now: time.Unix(5000, 0), sent: map[string][]messenger.Frame{}, fails: map[string]error{}, store: faker.NewStore()}
	d.o = New(Config{
		Term: 1, Epoch: 10, OwnerKey: "owner", Store: d.store.Client(),
		Now: func() time.Time { return d.now }, WallClock: func() time.Time { return d.now },
		LeaseDuration: 5800 * time.Millisecond, ConfirmationTTL: 10 * time.Second, JobRetention: time.Hour,
		OwnershipConfirmedAt: func() time.Time { return d.now }, ConfirmOwnership: func(time.Time) {}, HasOtherOwner: func() bool { return true },
		Log: zap.NewNop(), Count: func(string) {}, ObserveDuration: func(string, time.Duration) {},
	})
	d.o.claimedAt = d.now
	d.o.takeOver(nil, nil, nil)
	for n := range agents {
		d.join(fmt.Sprint("a", n))
	}
	return d
}

// join links an agent that has an empty table.
func (d *desk) join(id string) *agent {
	a := d.o.agent(id)
	a.link = &AgentLink{ID: id, Incarnation: "b", Send: func(f messenger.Frame) error {
		if err := d.fails[id]; err != nil {
			return err
		}
		d.sent[id] = append(d.sent[id], f)
		return nil
	}}
	a.incarnation, a.keyVersion, a.mayRunAny = "b", 1, true
	d.table(id, &messenger.WorkerSnapshot{})
	return a
}

// table has an agent tell its table.
func (d *desk) table(id string, t *messenger.WorkerSnapshot) {
	t.Term, t.WorkerIncarnation, t.CPU, t.Memory, t.Pool, t.Reconciled, t.MayStart = 1, "life-"+id, 8000, 16000, "pool", true, true
	t.Seq = d.o.agents[id].seq
	d.o.handleSnapshot(d.o.agents[id], t)
}

// submit has a job come in.
func (d *desk) submit(spec sequencer.Spec) *job {
	d.jobs++
	spec.ID = fmt.Sprintf("%016x", d.jobs)
	spec.Pool, spec.Queue, spec.MaxAttempts, spec.AcceptedAt = "pool", "queue", 2, d.now
	raw, err := spec.Encode()
	d.c.Assert(err, qt.IsNil)
	d.o.handleInputs([]storer.Item{{Key: JobKey(spec.ID), Value: raw, Version: uint64(20 + d.jobs)}})
	return d.o.jobs[spec.ID]
}

// orders returns the tasks that an agent was told to start or stop, in order.
func (d *desk) orders(id string) []string {
	var list []string
	for _, f := range d.sent[id] {
		switch {
		case f.Kind != messenger.KindCommand:
		case f.Command.Stop != nil:
			list = append(list, "stop "+f.Command.Stop.Task)
		case !f.Command.Start.AlreadyRunning:
			list = append(list, "start "+f.Command.Start.Task)
		}
	}
	return list
}

func step(count int, cpu int64) sequencer.Step {
	return sequencer.Step{Count: count, CPU: cpu, Memory: 10, Estimate: time.Second}
}

// run has an agent list all its runs as running.
func (d *desk) run(id string, percent int) {
	d.table(id, &messenger.WorkerSnapshot{Runs: d.rows(id, messenger.PhaseRunning, percent)})
}

// list has an agent list all its runs in a phase.
func (d *desk) list(id string, phase messenger.Phase) {
	d.table(id, &messenger.WorkerSnapshot{Runs: d.rows(id, phase, 0)})
}

func (d *desk) rows(id string, phase messenger.Phase, percent int) []messenger.RunStatus {
	var rows []messenger.RunStatus
	for _, r := range d.o.runsOf(d.o.agents[id]) {
		rows = append(rows, messenger.RunStatus{Task: r.key.task, Attempt: r.key.attempt, Phase: phase, ProgressPercent: percent, PacePercent: 100})
	}
	return rows
}

// end has an agent list an end.
func (d *desk) end(id string, n uint64, task string, attempt uint64, how messenger.EndStatus) {
	d.table(id, &messenger.WorkerSnapshot{RunEnds: []messenger.RunEnd{{Seq: n, Task: task, Attempt: attempt, Status: how}}})
}
