package orchestrator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// takeOverTasks makes the owner take over a job with long-running tasks, which wait for an agent
// that an earlier owner has lost.
func (h *harness) takeOverTasks(step sequencer.Step) *job {
	h.o.cfg.Epoch = 100
	spec := sequencer.Spec{ID: "00000000000000aa", Pool: "pool", Queue: "queue", AcceptedAt: h.now, Steps: []sequencer.Step{step}}
	raw, err := spec.Encode()
	h.c.Assert(err, qt.IsNil)
	h.o.takeOver([]storer.Item{{Key: JobKey(spec.ID), Value: raw, Version: 20}}, nil,
		[]storer.Item{{Key: registrar.Key("lost"), Value: registrar.Registration{Open: true}.Encode(), Version: 30}})
	return h.o.jobs[spec.ID]
}

// A start said that its task had waited for 3.4 s, of the 10.4 s since its last run, as the owner
// counted from when no agent was waited for any more.
func TestAStartSaysHowLongItsTaskWaitedForAgentsAndForRoom(t *testing.T) {
	for name, tt := range map[string]struct {
		agents       int // with room for a task each
		waited, free time.Duration
	}{
		"for an agent alone":        {3, 5 * time.Second, 0},
		"for an agent and for room": {0, 6 * time.Second, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, tt.agents)
			core, logs := observer.New(zap.InfoLevel)
			h.o.cfg.Log = zap.New(core)
			h.takeOverTasks(sequencer.Step{Count: 2, CPU: 8000, Memory: 10, LongRunning: true})
			h.o.place()
			h.now = h.now.Add(5 * time.Second)
			h.o.agents["lost"].hasUnknownRuns = false
			h.reportAllRunning()
			h.o.place()
			h.now = h.now.Add(time.Second)
			h.connectAgent("b0")
			h.o.place()
			first := logs.FilterMessage("starting run").All()[0].ContextMap()
			c.Check(first["waited"], qt.Equals, tt.waited)
			c.Check(first["free"], qt.Equals, tt.free)
		})
	}
}

func TestWaitsAndClaimsAreCounted(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	core, logs := observer.New(zap.InfoLevel)
	h.o.cfg.Log = zap.New(core)
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 5000)}})
	h.o.place()
	h.takeOverTasks(sequencer.Step{Count: 3, CPU: 4000, Memory: 10, LongRunning: true})
	free := h.submit(lastingSpec(4000))
	h.o.jobs[free.Spec.ID].Version = h.o.cfg.Epoch + 1
	h.o.place()
	h.now = h.now.Add(minClaimWait)
	h.reportAllRunning()
	h.o.place()
	h.now = h.now.Add(waitLogInterval)
	h.reportAllRunning()
	h.o.place()
	lines := logs.FilterMessage("task waits").All()
	fields := lines[len(lines)-1].ContextMap()
	for field, want := range map[string]int64{"lasting": 4, "lasting_blocked": 3, "claims": 1, "moves": 0} {
		c.Check(fields[field], qt.Equals, want, qt.Commentf(field))
	}
	c.Check(h.gauges[meter.LastingWaits], qt.Equals, 4.0)
	c.Check(h.gauges[meter.BlockedWaits], qt.Equals, 3.0)
	c.Check(h.gauges[meter.RoomClaims], qt.Equals, 1.0)
}

// Tasks that had waited for 7 s for an agent claimed room only 3 s after that, and not in the order
// in which their runs had ended.
func TestAWaitForAnAgentCountsAsOneForRoom(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 5000)}})
	h.o.place()
	j := h.takeOverTasks(sequencer.Step{Count: 3, CPU: 4000, Memory: 10, LongRunning: true})
	h.o.place()
	h.now = h.now.Add(time.Second)
	last, first := j.Task(0, 0, 0), j.Task(0, 0, 2)
	last.WaitingSince = h.now
	first.WaitingSince = h.now.Add(-10 * time.Second)
	h.now = h.now.Add(minClaimWait)
	h.o.agents["lost"].hasUnknownRuns = false
	h.reportAllRunning()
	h.o.place()
	c.Assert(h.o.claims[first], qt.Not(qt.IsNil), qt.Commentf("of %d claims", len(h.o.claims)))
}

// A worker refused a start, and its task waited again from then on.
func TestARefusedStartDoesNotBeginAWaitAnew(t *testing.T) {
	for status, want := range map[messenger.EndStatus]time.Duration{
		messenger.EndNotStarted: 2 * time.Second,
		messenger.EndStopped:    0,
	} {
		t.Run(status.String(), func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 0)
			j := h.submit(lastingSpec(10))
			h.o.place()
			h.now = h.now.Add(time.Second)
			h.connectAgent("a0")
			h.o.place()
			h.now = h.now.Add(time.Second)
			task := j.Task(0, 0, 0)
			h.reportEnd("a0", 1, task.Name(), task.Attempt, status)
			c.Assert(h.now.Sub(task.WaitingSince), qt.Equals, want)
		})
	}
}

// newBlockedHarness returns a harness with a full worker, and a blocked long-running task that may
// start in claimLead.
func newBlockedHarness(c *qt.C) (*harness, *job) {
	h := newHarness(c, 1)
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 5000)}})
	h.o.place()
	j := h.takeOverTasks(sequencer.Step{Count: 1, CPU: 4000, Memory: 10, LongRunning: true})
	h.o.place()
	h.now = h.o.agents["lost"].leaseExpiresAt.Add(-claimLead - time.Millisecond)
	h.reportAllRunning()
	h.o.place()
	c.Assert(h.o.claims, qt.HasLen, 0)
	h.now = h.now.Add(claimInterval)
	h.reportAllRunning()
	h.o.place()
	c.Assert(h.claimedAgents(), qt.DeepEquals, []string{"a0"})
	return h, j
}

// Nothing kept room for tasks that were blocked until a known time.
func TestABlockedTaskClaimsRoomBeforeItMayStart(t *testing.T) {
	c := qt.New(t)
	h, j := newBlockedHarness(c)
	h.endRun("a0", 1, h.oldestShortRun("a0"))
	short := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(8, 1000)}, StretchFactor: 100, LatencyAllowance: time.Hour})
	short.Version = h.o.cfg.Epoch + 1
	h.o.place()
	c.Check(len(short.liveRuns), qt.Equals, 4)
	c.Check(j.liveRuns, qt.HasLen, 0)
	h.o.agents["lost"].hasUnknownRuns = false
	h.o.place()
	c.Check(j.liveRuns, qt.HasLen, 1)
}

func TestABlockedTaskKeepsNoRoomThatItCanNotUse(t *testing.T) {
	for name, change := range map[string]func(h *harness, j *job){
		"shown at work": func(h *harness, j *job) {
			lost := h.connectAgent("lost")
			lost.registration.Want(registrar.Close) // its registration is open, but it takes no starts
			h.sendSnapshot("lost", &messenger.WorkerSnapshot{Current: true, Runs: []messenger.RunStatus{{Task: j.Task(0, 0, 0).Name(), Attempt: 1, Phase: messenger.PhaseRunning, PacePercent: 100}}})
		},
		"blocked for longer": func(h *harness, _ *job) {
			h.now = h.now.Add(claimLead + maxOverdue)
			h.reportAllRunning()
		},
		"canceled": func(_ *harness, j *job) { j.Canceled = true },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h, j := newBlockedHarness(c)
			change(h, j)
			h.o.place()
			c.Check(h.o.claims, qt.HasLen, 0)
		})
	}
}

// The blocking agent came back without knowing all of its runs, and its lease went on.
func TestABlockedTaskKeepsNoRoomWhileTheLeaseOfItsAgentGoesOn(t *testing.T) {
	c := qt.New(t)
	h, _ := newBlockedHarness(c)
	h.endRun("a0", 1, h.oldestShortRun("a0"))
	link := h.connectAgent("other").link
	delete(h.o.agents, "other")
	a := h.o.agents["lost"]
	a.link, a.incarnation, a.inRoster = link, "b", true
	for range 60 {
		h.now = h.now.Add(claimInterval)
		h.reportRunning("a0", 10)
		h.sendIncomplete("lost", &messenger.WorkerSnapshot{SentAt: h.now})
		h.o.tick(t.Context())
		h.o.place()
	}
	c.Assert(a.hasUnknownRuns, qt.IsTrue)
	c.Assert(h.o.claims, qt.HasLen, 0)
}

// A run that had worked was missing in the list of a restarted agent, and its task counted as waiting
// since before its first start.
func TestARunThatWorkedAndIsUnknownBeginsAWait(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	j := h.submit(lastingSpec(10))
	h.o.place()
	h.reportRunning("a0", 50)
	h.now = h.now.Add(time.Minute)
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{})
	c.Assert(j.liveRuns, qt.HasLen, 0)
	c.Assert(h.now.Sub(j.Task(0, 0, 0).WaitingSince), qt.Equals, time.Duration(0))
}

// The wait of a task that had moved was logged as 292 years.
func TestAMovedTaskIsLoggedWithItsWait(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	core, logs := observer.New(zap.InfoLevel)
	h.o.cfg.Log = zap.New(core)
	moved := step(1, 1000)
	moved.Checkpointable, moved.Estimate = true, time.Minute
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{moved}})
	h.o.place()
	h.reportRunning("a0", 10)
	h.connectAgent("a1")
	h.drain("a0")
	h.o.evacuate()
	h.reportEnd("a0", 1, j.Task(0, 0, 0).Name(), 1, messenger.EndStopped)
	h.reportRunning("a1", 10)
	h.o.place()
	lines := logs.FilterMessage("starting run").All()
	c.Assert(lines, qt.HasLen, 2)
	c.Assert(lines[1].ContextMap()["free"], qt.Equals, time.Duration(0))
}
