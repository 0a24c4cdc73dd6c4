package orchestrator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/endivefall/endivefall/messenger"
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
	c.Check(h.gauges[lastingWaitsGauge], qt.Equals, 4.0)
	c.Check(h.gauges[blockedWaitsGauge], qt.Equals, 3.0)
	c.Check(h.gauges[claimsGauge], qt.Equals, 1.0)
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
