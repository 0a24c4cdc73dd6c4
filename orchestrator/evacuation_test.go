package orchestrator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/endivefall/endivefall/evacuator"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/sequencer"
)

// newEvacuationHarness returns a harness with a bound of 5 s whose agents are in the domains "z0",
// "z1" and so on, and a function that changes what is evacuated.
func newEvacuationHarness(c *qt.C, agents int) (h *harness, evacuate func(domains ...string)) {
	h = newHarness(c, 0)
	h.domains = map[string]string{}
	view := evacuator.NewView(h.now)
	h.o.cfg.Evacuations = func() evacuator.View { return view.At(h.now) }
	h.o.cfg.EvacuationBound = 5 * time.Second
	for n := range agents {
		id := fmt.Sprint("a", n)
		h.domains[id] = fmt.Sprint("z", n)
		h.connectAgent(id)
	}
	return h, func(domains ...string) {
		view = evacuator.NewView(h.now, domains...)
		h.o.followEvacuations(h.now)
	}
}

// placeAfter runs a round of placement some time later.
func (h *harness) placeAfter(d time.Duration) {
	h.now = h.now.Add(d)
	for id := range h.o.agents {
		if h.o.agents[id].link != nil {
			h.o.agents[id].lastSnapshotAt = h.now
		}
	}
	h.o.place()
}

// TestNoStartInAnEvacuatedDomain guards against each kind of start in an evacuated domain.
func TestNoStartInAnEvacuatedDomain(t *testing.T) {
	for name, spec := range map[string]sequencer.Spec{
		"first start":  {Steps: []sequencer.Step{step(2, 1000)}},
		"gang":         {Steps: []sequencer.Step{{Count: 2, CPU: 1000, Memory: 10, Gang: true, Estimate: time.Second}}},
		"long-running": {Steps: []sequencer.Step{{Count: 2, CPU: 1000, Memory: 10, LongRunning: true}}},
		"best effort":  {Steps: []sequencer.Step{{Count: 2, CPU: 1000, Memory: 10, BestEffort: true, Estimate: time.Second}}},
		"speculative":  {Steps: []sequencer.Step{{Count: 2, CPU: 1000, Memory: 10, Speculative: true, Estimate: time.Second}}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h, evacuate := newEvacuationHarness(c, 2)
			evacuate("z0")
			j := h.submit(spec)
			h.placeAfter(time.Second)
			h.placeAfter(5 * time.Second)
			c.Check(h.commands("a0"), qt.HasLen, 0)
			c.Check(len(h.o.agents["a0"].runs), qt.Equals, 0)
			c.Check(len(j.liveRuns), qt.Equals, 2)
			evacuate("z0", "z1")
			h.submit(spec)
			evacuate()
			h.placeAfter(time.Second)
			c.Check(len(h.o.runs), qt.Equals, 4, qt.Commentf("starts go on after the withdrawal"))
		})
	}
}

// TestNoStartWhileEvacuationsAreNotKnown guards against an owner that starts tasks in a domain that
// was evacuated before it had read the requests, or while it can't read them.
func TestNoStartWhileEvacuationsAreNotKnown(t *testing.T) {
	for _, test := range []struct {
		name  string
		view  func(now time.Time) evacuator.View
		bound time.Duration
		want  int
	}{
		{"nothing read", func(time.Time) evacuator.View { return evacuator.View{} }, 5 * time.Second, 0},
		{"watch cut", func(now time.Time) evacuator.View { return evacuator.NewView(now.Add(-2100 * time.Millisecond)) }, 5 * time.Second, 0},
		{"current", func(now time.Time) evacuator.View { return evacuator.NewView(now.Add(-1900 * time.Millisecond)) }, 5 * time.Second, 1},
		{"nothing read, without a bound", func(time.Time) evacuator.View { return evacuator.View{} }, 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h, _ := newEvacuationHarness(c, 1)
			h.o.cfg.Evacuations, h.o.cfg.EvacuationBound = func() evacuator.View { return test.view(h.now) }, test.bound
			h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 1000)}})
			h.placeAfter(time.Second)
			c.Check(h.commands("a0"), qt.HasLen, test.want)
		})
	}
}

// TestQueuedStartsAreDroppedAtAnEvacuation guards against starts that wait in the outbox of an
// agent and are sent after its domain was evacuated.
func TestQueuedStartsAreDroppedAtAnEvacuation(t *testing.T) {
	c := qt.New(t)
	h, evacuate := newEvacuationHarness(c, 1)
	a := h.o.agents["a0"]
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(2, 1000)}})
	a.seq = a.confirmedSeq + maxUnconfirmedCommands // earlier commands are on their way
	for _, j := range h.o.openJobs {
		for _, task := range j.Tasks(0, 0) {
			h.o.startTask(task, j, a)
		}
	}
	c.Assert(a.outbox, qt.HasLen, 2)
	evacuate("z0")
	h.reportRunning("a0", 0) // confirms the earlier commands
	c.Check(h.commands("a0"), qt.HasLen, 0)
	c.Check(h.o.runs, qt.HasLen, 0)
	c.Check(h.counts[meter.RefusedStarts], qt.Equals, 2)
}

// TestAQueuedStartIsNotSentWithAnOldView guards against starts that wait in the outbox while the
// requests of evacuations can't be read.
func TestAQueuedStartIsNotSentWithAnOldView(t *testing.T) {
	c := qt.New(t)
	h, _ := newEvacuationHarness(c, 1)
	a := h.o.agents["a0"]
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 1000)}})
	a.seq = a.confirmedSeq + maxUnconfirmedCommands
	h.o.startTask(j.Tasks(0, 0)[0], j, a)
	readAt := h.now
	h.o.cfg.Evacuations = func() evacuator.View { return evacuator.NewView(readAt) }
	h.now = h.now.Add(evacuator.MaxLag + time.Millisecond)
	h.reportRunning("a0", 0)
	c.Check(h.commands("a0"), qt.HasLen, 0)
	c.Check(j.liveRuns, qt.HasLen, 0)
}

// TestGrantsAreDroppedAtAnEvacuation guards against a long-running task that starts in an evacuated
// domain once its grant has been written.
func TestGrantsAreDroppedAtAnEvacuation(t *testing.T) {
	c := qt.New(t)
	h, evacuate := newEvacuationHarness(c, 1)
	h.o.cfg.RulesSince = 1
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{{Count: 1, CPU: 1000, Memory: 10, LongRunning: true}}})
	h.placeAfter(time.Second)
	c.Assert(h.o.granting, qt.HasLen, 1)
	evacuate("z0")
	c.Check(h.o.granting, qt.HasLen, 0)
	j.durableRevision = j.revision
	h.o.startGranted(j)
	c.Check(h.commands("a0"), qt.HasLen, 0)
}

// TestRunsThatHaveNotBegunAreStoppedAtAnEvacuation guards against a start that its worker carries
// out after the evacuation was requested, and against the loss of what has begun.
func TestRunsThatHaveNotBegunAreStoppedAtAnEvacuation(t *testing.T) {
	c := qt.New(t)
	h, evacuate := newEvacuationHarness(c, 1)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(2, 1000)}})
	h.placeAfter(time.Second)
	statuses := h.runStatuses("a0", messenger.PhaseStarting, 0)
	statuses[0].Phase = messenger.PhaseRunning
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{Runs: statuses})
	evacuate("z0")
	stops := 0
	for _, command := range h.commands("a0") {
		if strings.HasPrefix(command, "stop") {
			stops++
			c.Check(command, qt.Equals, "stop "+statuses[1].Task)
		}
	}
	c.Check(stops, qt.Equals, 1)
	c.Check(j.liveRuns, qt.HasLen, 2)
}

// TestClaimsOfRoomEndAtAnEvacuation guards against a task that waits for room where it can't start.
func TestClaimsOfRoomEndAtAnEvacuation(t *testing.T) {
	c := qt.New(t)
	h, evacuate := newEvacuationHarness(c, 2)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{{Count: 2, CPU: 1000, Memory: 10, LongRunning: true}}})
	tasks := j.Tasks(0, 0)
	for n, id := range []string{"a0", "a1"} {
		h.o.claims[tasks[n]] = &claim{task: tasks[n], job: j, agent: h.o.agents[id], endBy: h.now.Add(time.Minute)}
	}
	evacuate("z0")
	c.Check(h.o.claims[tasks[0]], qt.IsNil)
	c.Check(h.o.claims[tasks[1]], qt.IsNotNil)
}

// TestStartsHaveADeadline guards against a start that an agent gets, or sends to its worker, later
// than the bound after a request that the owner had not read.
func TestStartsHaveADeadline(t *testing.T) {
	for name, test := range map[string]struct {
		bound time.Duration
		want  func(sentAt time.Time) int64
	}{
		"with a bound": {5 * time.Second, func(sentAt time.Time) int64 {
			return sentAt.Add(4200 * time.Millisecond * 979 / 1000).UnixMilli()
		}},
		"without one": {0, func(time.Time) int64 { return 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h, _ := newEvacuationHarness(c, 1)
			h.o.cfg.EvacuationBound = test.bound
			sentAt := time.Unix(77, 0) // on the worker's clock
			h.sendSnapshot("a0", &messenger.WorkerSnapshot{SentAt: sentAt})
			h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 1000)}})
			h.o.place()
			sent := h.sent["a0"]
			c.Check(sent[len(sent)-1].Command.Start.StartByMs, qt.Equals, test.want(sentAt))
		})
	}
}

// TestEvacuationsAreReported guards against gauges that stay after a withdrawal.
func TestEvacuationsAreReported(t *testing.T) {
	c := qt.New(t)
	h, evacuate := newEvacuationHarness(c, 2)
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 8000), step(1, 8000)}})
	h.placeAfter(time.Second)
	h.reportRunning("a0", 50)
	h.reportRunning("a1", 50)
	evacuate("z1", "elsewhere")
	c.Check([]float64{h.gauges[meter.EvacuatedDomains], h.gauges[meter.EvacuatingRuns]}, qt.DeepEquals, []float64{2, 1})
	evacuate()
	c.Check([]float64{h.gauges[meter.EvacuatedDomains], h.gauges[meter.EvacuatingRuns]}, qt.DeepEquals, []float64{0, 0})
}

// TestADomainWithoutAWorkerIsLoggedOnce guards against a mistaken name that nobody notices, and
// against a log line for each round.
func TestADomainWithoutAWorkerIsLoggedOnce(t *testing.T) {
	c := qt.New(t)
	core, logs := observer.New(zap.WarnLevel)
	h, evacuate := newEvacuationHarness(c, 2)
	h.o.cfg.Log = zap.New(core)
	evacuate("Z0", "z1") // z0 is meant
	c.Check(logs.Len(), qt.Equals, 0, qt.Commentf("agents may not have connected yet"))
	for range 3 {
		h.evacuationRound(unnamedDelay)
	}
	c.Check(logs.Len(), qt.Equals, 1)
	c.Check(logs.All()[0].ContextMap(), qt.DeepEquals, map[string]any{"domain": "Z0"})
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 1000)}})
	h.placeAfter(time.Second)
	c.Check(h.commands("a0"), qt.HasLen, 1, qt.Commentf("it has no other effect"))
}
