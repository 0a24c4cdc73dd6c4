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

// batchDocument has short and long jobs, each with retries and without.
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

// runView is the part of a run's status that tests check.
type runView struct {
	State string
	Done  [][2]int
	Dead  [][2]int
	Spec  struct{ Tasks int }
}

func (w *world) getRun(entry int, name string) runView {
	var r runView
	w.get("http://"+w.entryHTTP[entry]+"/v1/jobs/association/"+name, &r)
	return r
}

// waitRunState waits until a run is in a state.
func (w *world) waitRunState(entry int, name, state string) {
	w.c.Helper()
	w.eventually(name+" ends in the expected state", func() bool { return w.getRun(entry, name).State == state })
}

// startCount returns how many attempts at a run's tasks have started.
func (w *world) startCount(run string) int {
	n := 0
	for _, r := range w.records() {
		if r.Kind == faker.TaskStart && strings.Contains(r.Task, run) {
			n++
		}
	}
	return n
}

// busiestInstance returns the instance on which most tasks of the run have started.
// Tests can't pick one beforehand: tasks are packed, so it may have none.
func (w *world) busiestInstance(run string) *instance {
	started := map[string]int{}
	for _, r := range w.records() {
		if r.Kind == faker.TaskStart && strings.Contains(r.Task, run) {
			started[r.Instance]++
		}
	}
	return slices.MaxFunc(w.instances, func(a, b *instance) int { return started[a.name] - started[b.name] })
}

// owner returns the entry that owns the team's shard. It is the one that places
// the tasks of the run.
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

// batchRules returns the rules for batchDocument: no task runs in two places, and
// the tasks of the job once, which has no retries, finish at most once.
func batchRules() checker.Rules {
	return checker.Rules{
		Exclusive:  func(string) bool { return true },
		FinishOnce: func(task string) bool { return strings.Contains(task, ":once:") },
	}
}

// TestOwnerKilled kills the entry that owns a job while its tasks run. The other
// entry must take over, and every task must be done without running in two places
// at once.
func TestOwnerKilled(t *testing.T) {
	w := newWorld(t, 2, 3)
	w.apply(w.file("batch.yaml", batchDocument))
	w.submit(0, "exclusive", "r1")
	w.submit(1, "once", "r1")
	killed := w.owner("exclusive/r1")
	w.entries[killed].signal(syscall.SIGKILL)
	w.waitExit(w.entries[killed])
	survivor := 1 - killed
	w.waitRunState(survivor, "exclusive/r1", "done")
	w.waitRunState(survivor, "once/r1", "done")
	w.verify(nil, batchRules())
}

// TestOwnerFrozenPastItsLease freezes the owner until the other entry has taken
// over, and then resumes it. It must not act on its outdated ownership.
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
	w.waitRunState(other, "exclusive/r1", "done")
	w.waitRunState(other, "once/r2", "done")
	w.verify(nil, batchRules())
}

// TestAgentFrozenPastItsGrants freezes an agent until its grants have expired and
// their tasks run elsewhere, and then resumes it.
func TestAgentFrozenPastItsGrants(t *testing.T) {
	w := newWorld(t, 2, 3)
	w.apply(w.file("batch.yaml", batchDocument))
	w.submit(0, "long", "r1")
	w.submit(0, "slow", "r1")
	w.eventually("the tasks of both jobs run", func() bool { return w.startCount(":slow:") == 9 && w.startCount(":long:") == 6 })
	// The grants of slow expire. The owner waits much longer for tasks without
	// retries.
	frozen := w.busiestInstance(":slow:")
	frozen.agent.signal(syscall.SIGSTOP)
	w.eventually("its grants expire", func() bool {
		return strings.Contains(w.entries[0].logs()+w.entries[1].logs(), `msg="grant lapsed"`)
	})
	frozen.agent.signal(syscall.SIGCONT)
	w.waitRunState(0, "slow/r1", "done")
	w.eventually("long/r1 ends", func() bool { return w.getRun(0, "long/r1").State != "running" })

	// Each task of the job without retries runs at most once: one that the frozen
	// agent could not checkpoint ends as unknown, and no other task does.
	instanceOf := map[int]string{}
	for _, r := range w.records() {
		if r.Kind == faker.TaskStart && strings.Contains(r.Task, ":long:") {
			n, err := strconv.Atoi(r.Task[strings.LastIndex(r.Task, ".")+1:])
			w.c.Assert(err, qt.IsNil)
			instanceOf[n] = r.Instance
		}
	}
	for _, dead := range w.getRun(0, "long/r1").Dead {
		for n := dead[0]; n < dead[1]; n++ {
			w.c.Assert(instanceOf[n], qt.Equals, frozen.name, qt.Commentf("task %d", n))
		}
	}
	rules := batchRules()
	rules.FinishOnce = func(task string) bool { return strings.Contains(task, ":once:") || strings.Contains(task, ":long:") }
	w.verify(nil, rules)
}

// TestAgentKilledAndRestarted kills an agent and restarts it within its lease. It
// must adopt the running tasks, and no task may run again.
func TestAgentKilledAndRestarted(t *testing.T) {
	w := newWorldWith(t, 2, 3, "10s", "60s")
	w.apply(w.file("batch.yaml", batchDocument))
	w.submit(0, "long", "r1")
	w.eventually("all tasks run", func() bool { return w.startCount(":long:") == 6 })
	in := w.busiestInstance(":long:")
	// A task that has just started has a lease of 2 s at its worker, and would
	// rightly be evicted, so the test waits for the next renewal of the leases.
	w.eventually("the worker's leases are renewed", func() bool {
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
	w.waitExit(in.agent)
	in.agent = w.start(in.name+" again", "agent", in.conf)
	w.waitRunState(0, "long/r1", "done")
	w.c.Assert(w.startCount(":long:"), qt.Equals, 6, qt.Commentf("a task ran again"))
	w.verify(nil, batchRules())
}

// TestStoreOutage stops the store for longer than the agents' lease. Running tasks
// must continue, requests must be served and no job may be lost; nothing may be
// accepted that is not durable.
func TestStoreOutage(t *testing.T) {
	c := qt.New(t)
	w := newWorldWith(t, 2, 3, "10s", "60s")
	w.apply(w.file("batch.yaml", batchDocument))
	w.submit(0, "long", "r1")
	w.eventually("all tasks run", func() bool { return w.startCount(":long:") == 6 })
	load := w.load(4)
	w.setFaults(faker.PlatformFaults{Down: true})
	load.waitDone(100)
	out, code := w.run("submit", "-entry", w.entryHTTP[0], "-run", "r2", "association/once")
	c.Assert(code, qt.Not(qt.Equals), 0, qt.Commentf("%s", out))
	out, code = w.run("apply", "-entry", w.entryHTTP[0], "../examples/association.yaml")
	c.Assert(code, qt.Not(qt.Equals), 0, qt.Commentf("%s", out))
	w.eventually("all tasks finish during the outage", func() bool {
		n := 0
		for _, r := range w.records() {
			if r.Kind == faker.TaskFinish && strings.Contains(r.Task, ":long:") {
				n++
			}
		}
		return n == 6
	})
	w.setFaults(faker.PlatformFaults{})
	w.waitRunState(0, "long/r1", "done")
	load.end()
	c.Assert(w.startCount(":long:"), qt.Equals, 6)
	w.verify(load.replies.All(), batchRules())
}

// TestStoreOutageLongerThanHold checks that exclusive tasks are checkpointed and
// stopped when the store is down for longer than the hold, and that each resumes
// once.
func TestStoreOutageLongerThanHold(t *testing.T) {
	c := qt.New(t)
	w := newWorldWith(t, 2, 3, "3s", "9s")
	w.apply(w.file("batch.yaml", batchDocument))
	w.submit(0, "long", "r1")
	w.eventually("all tasks run", func() bool { return w.startCount(":long:") == 6 })
	w.setFaults(faker.PlatformFaults{Down: true})
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
	w.setFaults(faker.PlatformFaults{})
	w.waitRunState(0, "long/r1", "done")
	c.Assert(w.startCount(":long:"), qt.Equals, 12, qt.Commentf("each resumes once"))
	w.verify(nil, checker.Rules{})
}

// TestAllEntriesKilledAtOnce checks that accepted jobs survive the loss of every
// entry.
func TestAllEntriesKilledAtOnce(t *testing.T) {
	w := newWorld(t, 2, 3)
	w.apply(w.file("batch.yaml", batchDocument))
	w.submit(0, "exclusive", "r1")
	w.eventually("tasks run", func() bool { return w.startCount(":exclusive:") > 3 })
	for _, e := range w.entries {
		e.signal(syscall.SIGKILL)
	}
	for i, e := range w.entries {
		w.waitExit(e)
		w.entries[i] = w.start(fmt.Sprintf("entry-%d again", i), "entry", w.confs[i])
	}
	w.waitRunState(0, "exclusive/r1", "done")
	w.verify(nil, batchRules())
}
