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
)

// Long-running tasks waited for 20 s beside 400 starts a second, and nothing said why.
func TestALongWaitIsLoggedWithItsCause(t *testing.T) {
	long := sequencer.Step{Count: 1, CPU: 5000, Memory: 10, LongRunning: true}
	for name, tt := range map[string]struct {
		change func(h *harness, step *sequencer.Step)
		want   map[string]int64
	}{
		"no CPU":     {func(*harness, *sequencer.Step) {}, map[string]int64{"lack_cpu": 2, "fit": 0, "free_cpu": 6000, "its_free_cpu": 3000}},
		"no memory":  {func(_ *harness, s *sequencer.Step) { s.CPU, s.Memory = 10, 15995 }, map[string]int64{"lack_memory": 2, "lack_cpu": 0}},
		"no GPU":     {func(_ *harness, s *sequencer.Step) { s.GPU = 1 }, map[string]int64{"lack_gpu": 2}},
		"no label":   {func(_ *harness, s *sequencer.Step) { s.RequiredLabel = "x" }, map[string]int64{"lack_label": 2, "free_cpu": 0}},
		"draining":   {func(h *harness, _ *sequencer.Step) { h.o.agents["a0"].snapshot.Draining = true }, map[string]int64{"draining": 1, "lack_cpu": 1}},
		"no lease":   {func(h *harness, _ *sequencer.Step) { h.o.agents["a0"].snapshot.MayStart = false }, map[string]int64{"leaseless": 1}},
		"no agent":   {func(h *harness, _ *sequencer.Step) { h.o.agents["a0"].link = nil }, map[string]int64{"disconnected": 1}},
		"no workers": {func(h *harness, _ *sequencer.Step) { h.o.agents["a0"].link, h.o.agents["a1"].link = nil, nil }, map[string]int64{"disconnected": 2, "lack_cpu": 0}},
		"closed":     {func(h *harness, _ *sequencer.Step) { h.o.agents["a0"].registration.Want(registrar.Close) }, map[string]int64{"unregistered": 1}},
		"excluded":   {func(h *harness, _ *sequencer.Step) { h.o.agents["a0"].health.excludedUntil = h.now.Add(time.Hour) }, map[string]int64{"excluded": 1}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 2)
			core, logs := observer.New(zap.InfoLevel)
			h.o.cfg.Log = zap.New(core)
			h.submit(sequencer.Spec{Steps: []sequencer.Step{step(2, 5000)}})
			h.o.place()
			step := long
			tt.change(h, &step)
			j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step}})
			h.o.place()
			c.Assert(logs.FilterMessage("task waits").Len(), qt.Equals, 0)
			h.now = h.now.Add(minLoggedWait)
			for _, a := range h.o.agents {
				a.lastSnapshotAt = h.now
			}
			j.Task(0, 0, 0).WaitingSince = h.now.Add(-minLoggedWait)
			h.o.place()
			h.o.place()
			lines := logs.FilterMessage("task waits").All()
			c.Assert(lines, qt.HasLen, 1)
			fields := lines[0].ContextMap()
			c.Check(fields["task"], qt.Equals, j.Task(0, 0, 0).Name())
			c.Check(fields["workers"], qt.Equals, int64(2))
			for field, want := range tt.want {
				c.Check(fields[field], qt.Equals, want, qt.Commentf(field))
			}
		})
	}
}

func TestTheLongestWaitOfALongRunningTaskIsLoggedFirst(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	core, logs := observer.New(zap.InfoLevel)
	h.o.cfg.Log = zap.New(core)
	h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 8000)}})
	h.o.place()
	var jobs []*job
	for _, lasting := range []bool{false, true, true} {
		jobs = append(jobs, h.submit(sequencer.Spec{Steps: []sequencer.Step{{Count: 1, CPU: 10, Memory: 10, LongRunning: lasting, Estimate: time.Hour}}}))
		h.o.place()
		h.now = h.now.Add(100 * time.Millisecond)
	}
	h.now = h.now.Add(minLoggedWait)
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{Runs: h.runStatuses("a0", messenger.PhaseRunning, 10)})
	h.o.place()
	lines := logs.FilterMessage("task waits").All()
	c.Assert(lines, qt.HasLen, 1)
	c.Check(lines[0].ContextMap()["task"], qt.Equals, jobs[1].Task(0, 0, 0).Name())
	c.Check(lines[0].ContextMap()["tasks"], qt.Equals, int64(3))
}
