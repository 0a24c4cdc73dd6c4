package orchestrator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/apportioner"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// maxIdle is how long a long-running task may be without a run where there is room for it twice over,
// maxIdleLater how long one that has been so already.
const (
	maxIdle      = 6 * time.Second
	maxIdleLater = 3 * time.Second
)

// fleet is a harness whose workers run short and best-effort tasks beside long-running ones, with
// more of both kinds waiting all the time.
type fleet struct {
	*harness
	rand *rand.Rand
	// endsAt has when the runs of short and best-effort tasks end, ends the last end by agent.
	endsAt map[runKey]time.Time
	ends   map[string]uint64
	// backlog has the jobs with waiting tasks, short and best-effort ones.
	backlog [2][]*job
	// freed is the CPU of short runs that have ended, others that of those started, since reset.
	freed, others int64
}

func newFleet(c *qt.C, agents int) *fleet {
	f := &fleet{harness: newHarness(c, agents), rand: rand.New(rand.NewPCG(1, 2)), endsAt: map[runKey]time.Time{}, ends: map[string]uint64{}}
	f.o.cfg.Epoch, f.o.cfg.PreviousOwnerTTL = 100, 2*time.Second
	return f
}

// submitLater adds a job that is younger than the claim.
func (f *fleet) submitLater(spec sequencer.Spec) *job {
	j := f.submit(spec)
	j.Version = f.o.cfg.Epoch + 1
	return j
}

// takeOver gives the owner a job of an earlier one.
func (f *fleet) takeOver(step sequencer.Step, registrations ...storer.Item) *job {
	spec := sequencer.Spec{ID: "00000000000000aa", Pool: "pool", Queue: "queue", AcceptedAt: f.now, Steps: []sequencer.Step{step}}
	raw, err := spec.Encode()
	f.c.Assert(err, qt.IsNil)
	f.o.takeOver([]storer.Item{{Key: JobKey(spec.ID), Value: raw, Version: 20}}, nil, registrations)
	return f.o.jobs[spec.ID]
}

// step advances the clock: short runs end, their jobs are followed by others, and waiting tasks
// are placed.
func (f *fleet) step() {
	const interval = 50 * time.Millisecond
	f.now = f.now.Add(interval)
	const backlog = 5 // waiting jobs of each kind
	for n, step := range []sequencer.Step{step(40, 1000), {Count: 20, CPU: 2000, Memory: 1000, Estimate: 2 * time.Second, BestEffort: true, Checkpointable: true}} {
		f.backlog[n] = slices.DeleteFunc(f.backlog[n], func(j *job) bool { return len(j.Runnable(f.now)) == 0 })
		for len(f.backlog[n]) < backlog {
			f.backlog[n] = append(f.backlog[n], f.submitLater(sequencer.Spec{Steps: []sequencer.Step{step}, StretchFactor: 100, LatencyAllowance: time.Hour}))
		}
	}
	for id, a := range f.o.agents {
		if a.link != nil {
			f.report(id, a)
		}
	}
	f.o.tick(f.c.Context())
	f.o.place()
	f.o.place()
	for key, r := range f.o.runs {
		step := r.task.StepSpec()
		if step.LongRunning || !f.endsAt[key].IsZero() {
			continue
		}
		f.endsAt[key] = f.now.Add(time.Duration((0.5 + f.rand.Float64()) * float64(step.Estimate)))
		if !step.BestEffort {
			f.others += step.CPU
		}
	}
}

// report delivers a snapshot of an agent, with the ends of the runs whose time has come and of
// those that were to be stopped.
func (f *fleet) report(id string, a *agent) {
	snapshot := &messenger.WorkerSnapshot{}
	for _, r := range f.o.runsOf(a) {
		step := r.task.StepSpec()
		percent := 50
		if step.LongRunning {
			percent = 100 // one that stays below it is stopped as stuck
		}
		over := !step.LongRunning && !f.now.Before(f.endsAt[r.key])
		if !over && !r.evict {
			snapshot.Runs = append(snapshot.Runs, messenger.RunStatus{Task: r.key.task, Attempt: r.key.attempt, Phase: messenger.PhaseRunning, ProgressPercent: percent, PacePercent: 100})
			continue
		}
		status := messenger.EndStopped
		if over {
			status = messenger.EndDone
		}
		if !step.BestEffort {
			f.freed += step.CPU
		}
		f.ends[id]++
		snapshot.RunEnds = append(snapshot.RunEnds, messenger.RunEnd{Seq: f.ends[id], Task: r.key.task, Attempt: r.key.attempt, Status: status, Checkpoint: "c"})
	}
	f.sendSnapshot(id, snapshot)
}

// 150 long-running tasks were freed in one moment into a fleet that had filled with short and
// best-effort work, which went on to take what came free. They waited for up to 11 s more.
func TestLongRunningTasksThatAreFreedTogetherStartInTime(t *testing.T) {
	const agents, tasks, cpu = 100, 150, 1500
	lasting := sequencer.Step{Count: tasks, CPU: cpu, Memory: 1500, LongRunning: true}
	open := storer.Item{Key: registrar.Key("lost"), Value: registrar.Registration{Open: true}.Encode(), Version: 30}
	for name, tt := range map[string]struct {
		within  time.Duration
		prepare func(f *fleet) (j *job, free func() bool)
	}{
		"blocked until a lease is over": {maxIdleLater, func(f *fleet) (*job, func() bool) {
			j := f.takeOver(lasting, open)
			return j, func() bool { return !f.o.startBlocked()(j.Task(0, 0, 0)) }
		}},
		"blocked each by a closed registration": {maxIdleLater, func(f *fleet) (*job, func() bool) {
			closed := registrar.Registration{}
			for n := range tasks {
				closed.HeldTasks = append(closed.HeldTasks, fmt.Sprint("00000000000000aa.0.0.", n))
			}
			j := f.takeOver(lasting, storer.Item{Key: registrar.Key("lost"), Value: closed.Encode(), Version: 30})
			return j, func() bool { return !f.o.startBlocked()(j.Task(0, 0, 0)) }
		}},
		"lost under this owner": {maxIdle, func(f *fleet) (*job, func() bool) {
			j := f.submitLater(sequencer.Spec{Steps: []sequencer.Step{lasting}})
			for _, task := range j.Tasks(0, 0) {
				task.NotBefore = f.now.Add(4 * time.Second)
				task.WaitingSince = task.NotBefore
			}
			return j, func() bool { return !f.now.Before(j.Task(0, 0, 0).NotBefore) }
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c, agents)
			f.submitLater(sequencer.Spec{Steps: []sequencer.Step{{Count: agents, CPU: 2500, Memory: 2000, MaxPerWorker: 1, LongRunning: true}}})
			f.o.place()
			j, free := tt.prepare(f)
			var freeAt time.Time
			waiting, claimed := tasks, false
			for waiting > 0 && (freeAt.IsZero() || f.now.Sub(freeAt) < tt.within) {
				if !claimed {
					f.freed, f.others = 0, 0
				}
				f.step()
				claimed = claimed || len(f.o.claims) > 0
				if freeAt.IsZero() && free() {
					freeAt = f.now
				}
				waiting = tasks - len(j.liveRuns)
			}
			c.Assert(waiting, qt.Equals, 0, qt.Commentf("%v after they were free", f.now.Sub(freeAt)))
			c.Check(f.others*2 >= f.freed, qt.IsTrue, qt.Commentf("of %d that came free since the first claim others got %d", f.freed, f.others))
		})
	}
}

// Long-running tasks that had waited took all room that came free while there were any. They stay, and
// those after them take the room where their claims fit next, so that short tasks get less than half.
func TestShortTasksGetRoomWhileLongRunningOnesAskForMoreThanThereIs(t *testing.T) {
	const agents = 20
	c := qt.New(t)
	f := newFleet(c, agents)
	f.submitLater(sequencer.Spec{Steps: []sequencer.Step{{Count: agents, CPU: 2500, Memory: 2000, MaxPerWorker: 1, LongRunning: true}}})
	f.o.place()
	for range 20 {
		f.step() // short tasks fill the rest
	}
	f.submitLater(sequencer.Spec{Steps: []sequencer.Step{{Count: 15 * agents, CPU: 1000, Memory: 100, LongRunning: true}}})
	for len(f.o.claims) == 0 {
		f.freed, f.others = 0, 0
		f.step()
	}
	for end := f.now.Add(apportioner.MaxDelay); f.now.Before(end); {
		f.step()
	}
	c.Check(f.others*4 >= f.freed, qt.IsTrue, qt.Commentf("of %d that came free within MaxDelay others got %d", f.freed, f.others))
}
