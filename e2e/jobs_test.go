package e2e

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/checker"
	"github.com/endivefall/endivefall/executor"
	"github.com/endivefall/endivefall/faker"
)

// batchDocument has one job of each sort.
const batchDocument = `
team: association
services:
  - name: booking
    need: {processors: 2, memory: 1GiB}
jobs:
  - {name: exclusive, tasks: 24, retries: 50, deadline: 1h, checkpoint: true, run: 2500ms, need: {processors: 1, memory: 1GiB}}
  - {name: once, tasks: 16, deadline: 1h, checkpoint: true, run: 2500ms, need: {processors: 1, memory: 1GiB}}
  - {name: slow, tasks: 9, retries: 50, deadline: 1h, checkpoint: true, run: 15s, need: {processors: 1, memory: 1GiB}}
  - {name: long, tasks: 6, deadline: 1h, checkpoint: true, run: 15s, need: {processors: 1, memory: 1GiB}}
`

func (w *world) submit(entry int, job, run string) {
	w.c.Helper()
	w.eventually(job+" is accepted", func() bool {
		_, code := w.run("submit", "-entry", w.entryHTTP[entry], "-run", run, "association/"+job)
		return code == 0
	})
}

// run is the part of a run that tests look at.
type run struct {
	State string
	Done  [][2]int
	Dead  [][2]int
	Spec  struct{ Tasks int }
}

func (w *world) look(entry int, name string) run {
	var r run
	w.get("http://"+w.entryHTTP[entry]+"/v1/jobs/association/"+name, &r)
	return r
}

func (w *world) ends(entry int, name, state string) {
	w.c.Helper()
	w.eventually(name+" ends", func() bool { return w.look(entry, name).State == state })
}

// started counts the attempts of a run's tasks.
func (w *world) started(run string) int {
	n := 0
	for _, r := range w.records() {
		if r.Kind == faker.TaskStart && strings.Contains(r.Task, run) {
			n++
		}
	}
	return n
}

// holder returns the instance on which most tasks of the run have started: tasks
// are packed, and one chosen beforehand may hold none.
func (w *world) holder(run string) *instance {
	started := map[string]int{}
	for _, r := range w.records() {
		if r.Kind == faker.TaskStart && strings.Contains(r.Task, run) {
			started[r.Instance]++
		}
	}
	return slices.MaxFunc(w.instances, func(a, b *instance) int { return started[a.name] - started[b.name] })
}

// owner returns the entry that serves the team's shard: the one that places its
// tasks.
func (w *world) owner(run string) int {
	found := -1
	w.eventually("a task of "+run+" is placed", func() bool {
		found = slices.IndexFunc(w.entries, func(p *process) bool {
			return strings.Contains(p.logs(), `msg="task placed" run=association/`+run)
		})
		return found >= 0
	})
	return found
}

// rules of the batch document: no task in two places, and those of the job
// without retries finish at most once.
func batchRules() checker.Rules {
	return checker.Rules{
		Exclusive:  func(string) bool { return true },
		FinishOnce: func(task string) bool { return strings.Contains(task, ":once:") },
	}
}

// TestOwnerKilled: the entry that owns a job is killed while its tasks run; the
// other takes over, and every task is done, never in two places at once.
func TestOwnerKilled(t *testing.T) {
	w := newWorld(t, 2, 3)
	w.apply(w.file("batch.yaml", batchDocument))
	w.submit(0, "exclusive", "r1")
	w.submit(1, "once", "r1")
	dies := w.owner("exclusive/r1")
	w.entries[dies].signal(syscall.SIGKILL)
	w.ended(w.entries[dies])
	lives := 1 - dies
	w.ends(lives, "exclusive/r1", "done")
	w.ends(lives, "once/r1", "done")
	w.verify(nil, batchRules())
}

// TestOwnerFrozenPastItsLease: the owner is frozen until the other has taken
// over, and woken; it must not act on what it believed.
func TestOwnerFrozenPastItsLease(t *testing.T) {
	w := newWorld(t, 2, 3)
	w.apply(w.file("batch.yaml", batchDocument))
	w.submit(0, "exclusive", "r1")
	frozen := w.owner("exclusive/r1")
	other := 1 - frozen
	w.entries[frozen].signal(syscall.SIGSTOP)
	w.eventually("the other entry owns every shard", func() bool { return len(w.status(w.entryHTTP[other]).Shards) == 4 })
	w.submit(other, "once", "r2")
	w.entries[frozen].signal(syscall.SIGCONT)
	w.ends(other, "exclusive/r1", "done")
	w.ends(other, "once/r2", "done")
	w.verify(nil, batchRules())
}

// TestAgentFrozenPastItsGrants: an agent is frozen until its grants have lapsed
// and their tasks run elsewhere, and woken.
func TestAgentFrozenPastItsGrants(t *testing.T) {
	w := newWorld(t, 2, 3)
	w.apply(w.file("batch.yaml", batchDocument))
	w.submit(0, "long", "r1")
	w.submit(0, "slow", "r1")
	w.eventually("tasks of both run", func() bool { return w.started(":slow:") == 9 && w.started(":long:") == 6 })
	// Tasks without retries are waited for much longer; those of slow lapse.
	frozen := w.holder(":slow:")
	frozen.agent.signal(syscall.SIGSTOP)
	w.eventually("its grants lapse", func() bool {
		return strings.Contains(w.entries[0].logs()+w.entries[1].logs(), `msg="grant lapsed"`)
	})
	frozen.agent.signal(syscall.SIGCONT)
	w.ends(0, "slow/r1", "done")
	w.eventually("long/r1 ends", func() bool { return w.look(0, "long/r1").State != "running" })

	// The job without retries is at most once in full: a task that the frozen
	// agent could not checkpoint ends as unknown, and no other does.
	at := map[int]string{}
	for _, r := range w.records() {
		if r.Kind == faker.TaskStart && strings.Contains(r.Task, ":long:") {
			n, err := strconv.Atoi(r.Task[strings.LastIndex(r.Task, ".")+1:])
			w.c.Assert(err, qt.IsNil)
			at[n] = r.Instance
		}
	}
	for _, dead := range w.look(0, "long/r1").Dead {
		for n := dead[0]; n < dead[1]; n++ {
			w.c.Assert(at[n], qt.Equals, frozen.name, qt.Commentf("task %d", n))
		}
	}
	rules := batchRules()
	rules.FinishOnce = func(task string) bool { return strings.Contains(task, ":once:") || strings.Contains(task, ":long:") }
	w.verify(nil, rules)
}

// TestAgentKilledAndRestarted: an agent dies and comes back within its lease;
// it takes over what runs, and nothing runs again.
func TestAgentKilledAndRestarted(t *testing.T) {
	w := newWorldWith(t, 2, 3, "10s", "60s")
	w.apply(w.file("batch.yaml", batchDocument))
	w.submit(0, "long", "r1")
	w.eventually("all tasks run", func() bool { return w.started(":long:") == 6 })
	in := w.holder(":long:")
	// A task that has just started has a lease of 2 s at its worker, and would
	// rightly be evicted; the next moves of the leases are awaited.
	w.eventually("the worker's leases are moved", func() bool {
		var rep executor.Report
		if !w.get("http://"+in.worker+"/v1/worker?wait=1", &rep) {
			return false
		}
		for _, task := range rep.Tasks {
			if task.LeaseExpiresAt.Sub(rep.Now) < 6*time.Second {
				return false
			}
		}
		return true
	})
	in.agent.signal(syscall.SIGKILL)
	w.ended(in.agent)
	in.agent = w.start(in.name+" again", "agent", in.conf)
	w.ends(0, "long/r1", "done")
	w.c.Assert(w.started(":long:"), qt.Equals, 6, qt.Commentf("a task ran again"))
	w.verify(nil, batchRules())
}

// TestStoreOutage: the store is down for longer than the agents' lease. Running
// tasks go on, requests are served, no job is lost; nothing is accepted that is
// not durable.
func TestStoreOutage(t *testing.T) {
	c := qt.New(t)
	w := newWorldWith(t, 2, 3, "10s", "60s")
	w.apply(w.file("batch.yaml", batchDocument))
	w.submit(0, "long", "r1")
	w.eventually("all tasks run", func() bool { return w.started(":long:") == 6 })
	load := w.load(4)
	w.fault(faker.PlatformFaults{Down: true})
	load.served(100)
	out, code := w.run("submit", "-entry", w.entryHTTP[0], "-run", "r2", "association/once")
	c.Assert(code, qt.Not(qt.Equals), 0, qt.Commentf("%s", out))
	out, code = w.run("apply", "-entry", w.entryHTTP[0], "../examples/association.yaml")
	c.Assert(code, qt.Not(qt.Equals), 0, qt.Commentf("%s", out))
	w.eventually("all tasks end during the outage", func() bool {
		n := 0
		for _, r := range w.records() {
			if r.Kind == faker.TaskFinish && strings.Contains(r.Task, ":long:") {
				n++
			}
		}
		return n == 6
	})
	w.fault(faker.PlatformFaults{})
	w.ends(0, "long/r1", "done")
	load.end()
	c.Assert(w.started(":long:"), qt.Equals, 6)
	w.verify(load.told.All(), batchRules())
}

// TestOutageBeyondTheHold: with the store down for longer than the hold,
// exclusive tasks are checkpointed and pause, and each resumes once.
func TestOutageBeyondTheHold(t *testing.T) {
	c := qt.New(t)
	w := newWorldWith(t, 2, 3, "3s", "9s")
	w.apply(w.file("batch.yaml", batchDocument))
	w.submit(0, "long", "r1")
	w.eventually("all tasks run", func() bool { return w.started(":long:") == 6 })
	w.fault(faker.PlatformFaults{Down: true})
	stopped := func() int {
		n := 0
		for _, r := range w.records() {
			if r.Kind == faker.TaskStop && r.Checkpoint != "" {
				n++
			}
		}
		return n
	}
	w.eventually("all tasks are checkpointed", func() bool { return stopped() == 6 })
	w.fault(faker.PlatformFaults{})
	w.ends(0, "long/r1", "done")
	c.Assert(w.started(":long:"), qt.Equals, 12, qt.Commentf("each resumes once"))
	w.verify(nil, checker.Rules{})
}

// TestAllEntriesKilledAtOnce: accepted jobs survive the loss of every entry.
func TestAllEntriesKilledAtOnce(t *testing.T) {
	w := newWorld(t, 2, 3)
	w.apply(w.file("batch.yaml", batchDocument))
	w.submit(0, "exclusive", "r1")
	w.eventually("tasks run", func() bool { return w.started(":exclusive:") > 3 })
	for _, e := range w.entries {
		e.signal(syscall.SIGKILL)
	}
	for i, e := range w.entries {
		w.ended(e)
		w.entries[i] = w.start(fmt.Sprintf("entry-%d again", i), "entry", w.confs[i])
	}
	w.ends(0, "exclusive/r1", "done")
	w.verify(nil, batchRules())
}
