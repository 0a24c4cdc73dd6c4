package orchestrator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

// failRuns reports the runs of an agent as failed, except those that work; nil fails all.
func (h *harness) failRuns(id string, works func(r *run) bool) {
	snapshot := &messenger.WorkerSnapshot{}
	a := h.o.agents[id]
	for _, r := range h.o.runsOf(a) {
		if works != nil && works(r) {
			snapshot.Runs = append(snapshot.Runs, messenger.RunStatus{Task: r.key.task, Attempt: r.key.attempt, Phase: messenger.PhaseRunning, ProgressPercent: 100, PacePercent: 100})
			continue
		}
		seq := a.lastEnd + uint64(len(snapshot.RunEnds)) + 1
		snapshot.RunEnds = append(snapshot.RunEnds, messenger.RunEnd{Seq: seq, Task: r.key.task, Attempt: r.key.attempt, Status: messenger.EndFailed})
	}
	h.sendSnapshot(id, snapshot)
}

// A job whose tasks failed wherever they ran kept every worker of the pool from starting
// tasks of other jobs, for 5 s at a time.
func TestAJobThatFailsEverywhereExcludesNoWorkerForGood(t *testing.T) {
	for name, endless := range map[string]bool{"long-running": true, "with an end": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 3)
			failing := step(6, 10)
			failing.LongRunning = endless
			j := h.submit(sequencer.Spec{Steps: []sequencer.Step{failing}})
			if !endless {
				j.Spec.MaxAttempts = 1000
			}
			for range 100 {
				h.o.place()
				for id := range h.o.agents {
					h.failRuns(id, nil)
				}
				h.now = h.now.Add(400 * time.Millisecond)
				if h.now.Sub(h.o.cfg.ClaimedAt) < exclusionPeriod {
					continue
				}
				for id, a := range h.o.agents {
					c.Assert(h.now.Before(a.health.excludedUntil), qt.IsFalse, qt.Commentf("%s after %v", id, h.now.Sub(h.o.cfg.ClaimedAt)))
				}
			}
		})
	}
}

// A step that works elsewhere fails because of the worker.
func TestAWorkerOnWhichWorkingStepsFailIsExcluded(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 3)
	endless := step(9, 2000)
	endless.LongRunning = true
	h.submit(sequencer.Spec{Steps: []sequencer.Step{endless}})
	for range 3 {
		h.o.place()
		h.failRuns("a0", func(*run) bool { return true })
		h.failRuns("a1", nil)
		h.failRuns("a2", nil)
		h.now = h.now.Add(400 * time.Millisecond)
	}
	c.Assert(h.o.agents["a0"].health.excludedUntil.IsZero(), qt.IsTrue)
	c.Assert(h.now.Before(h.o.agents["a1"].health.excludedUntil), qt.IsTrue)
	c.Assert(h.now.Before(h.o.agents["a2"].health.excludedUntil), qt.IsTrue)
}

// The exclusion of the workers was the only bound on the starts of a task that fails at once.
func TestALongRunningTaskThatFailsEverywhereIsStartedSeldom(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 3)
	failing := step(1, 10)
	failing.LongRunning = true
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{failing}})
	began := h.now
	for h.now.Sub(began) < 30*time.Second {
		h.o.place()
		for id := range h.o.agents {
			h.failRuns(id, nil)
		}
		h.now = h.now.Add(10 * time.Millisecond)
	}
	attempts := int(j.Task(0, 0, 0).Attempt)
	c.Assert(attempts > 20 && attempts < 80, qt.IsTrue, qt.Commentf("%d attempts", attempts))
}
