package orchestrator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

// evacuationRound runs the owner's rounds some time later, as tick and place do.
func (h *harness) evacuationRound(d time.Duration) {
	h.now = h.now.Add(d)
	for _, a := range h.o.agents {
		if a.link != nil {
			a.lastSnapshotAt = h.now
		}
	}
	h.o.followEvacuations(h.now)
	h.o.evacuateDomains(h.now)
	h.o.stopIncompleteGangs()
	h.o.place()
}

// stopAll delivers the ends of all runs of an agent that are to be stopped.
func (h *harness) stopAll(id string) int {
	var ends []messenger.RunEnd
	var left []messenger.RunStatus
	for _, r := range h.o.runsOf(h.o.agents[id]) {
		if r.evict {
			h.endSeq++
			ends = append(ends, messenger.RunEnd{Seq: h.endSeq, Task: r.key.task, Attempt: r.key.attempt, Status: messenger.EndStopped})
		} else {
			left = append(left, messenger.RunStatus{Task: r.key.task, Attempt: r.key.attempt, Phase: r.phase, ProgressPercent: r.progressPercent, PacePercent: 100})
		}
	}
	h.sendSnapshot(id, &messenger.WorkerSnapshot{RunEnds: ends, Runs: left})
	return len(ends)
}

// TestServicesLeaveAnEvacuatedDomain guards against long-running tasks that stay in the domain
// though there is room elsewhere, and against more of a step away than its submitter allows.
func TestServicesLeaveAnEvacuatedDomain(t *testing.T) {
	for name, test := range map[string]struct{ limit, want int }{"no limit given": {0, 1}, "two": {2, 2}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h, evacuate := newEvacuationHarness(c, 1)
			j := h.submit(sequencer.Spec{Steps: []sequencer.Step{{Count: 4, CPU: 1000, Memory: 10, LongRunning: true, MaxUnavailable: test.limit}}})
			h.placeAfter(time.Second)
			h.reportRunning("a0", 100)
			h.domains["a1"] = "z1"
			h.connectAgent("a1")
			evacuate("z0")
			for moved := 0; moved < 4; moved += test.want {
				h.evacuationRound(time.Second)
				h.evacuationRound(time.Second)
				c.Assert(h.stopAll("a0"), qt.Equals, test.want)
				h.evacuationRound(time.Second)
				c.Assert(h.stopAll("a0"), qt.Equals, 0, qt.Commentf("the others are not at work yet"))
				c.Assert(h.o.agents["a1"].runs, qt.HasLen, moved+test.want)
				h.reportRunning("a1", 60)
				h.evacuationRound(time.Second)
				c.Assert(h.stopAll("a0"), qt.Equals, 0, qt.Commentf("the others are warming up"))
				h.reportRunning("a1", 100)
			}
			c.Check(h.o.agents["a0"].runs, qt.HasLen, 0)
			c.Check(j.liveRuns, qt.HasLen, 4)
		})
	}
}

// TestServicesTakeNoRoomThatOthersWaitFor guards against services that move, or claim room, before
// the work that waits in the domains that are left.
func TestServicesTakeNoRoomThatOthersWaitFor(t *testing.T) {
	c := qt.New(t)
	h, evacuate := newEvacuationHarness(c, 1)
	h.submit(sequencer.Spec{Steps: []sequencer.Step{{Count: 1, CPU: 4000, Memory: 10, LongRunning: true}}})
	h.placeAfter(time.Second)
	h.reportRunning("a0", 100)
	h.domains["a1"] = "z1"
	h.connectAgent("a1")
	h.submit(sequencer.Spec{Steps: []sequencer.Step{{Count: 1, CPU: 9000, Memory: 10}}})
	h.placeAfter(contentionDelay)
	h.o.agents["a0"].lastSnapshotAt, h.o.agents["a1"].lastSnapshotAt = h.now, h.now
	evacuate("z0")
	h.evacuationRound(300 * time.Millisecond)
	c.Check(h.stopAll("a0"), qt.Equals, 0, qt.Commentf("it could move, but another task waits"))
	c.Check(h.o.claims, qt.HasLen, 0)
}

// TestNoServiceIsStoppedWithoutRoomElsewhere guards against a task that is stopped and waits for
// room, and against a move that is given up though its room comes free.
func TestNoServiceIsStoppedWithoutRoomElsewhere(t *testing.T) {
	c := qt.New(t)
	h, evacuate := newEvacuationHarness(c, 1)
	h.submit(sequencer.Spec{Steps: []sequencer.Step{{Count: 1, CPU: 1000, Memory: 8000, LongRunning: true}}})
	h.placeAfter(time.Second)
	h.reportRunning("a0", 100)
	h.domains["a1"] = "z1"
	h.connectAgent("a1")
	evacuate("z0")
	h.submit(sequencer.Spec{Steps: []sequencer.Step{{Count: 4, CPU: 500, Memory: 4000, Estimate: time.Second}}})
	h.o.place()
	h.reportRunning("a1", 10)
	c.Assert(h.o.agents["a1"].runs, qt.HasLen, 4)
	h.evacuationRound(300 * time.Millisecond)
	c.Check(h.stopAll("a0"), qt.Equals, 0)
	c.Check(h.o.claims, qt.HasLen, 1)
	statuses := h.runStatuses("a1", messenger.PhaseRunning, 20)
	for n := range 2 {
		h.endSeq++
		end := messenger.RunEnd{Seq: h.endSeq, Task: statuses[n].Task, Attempt: statuses[n].Attempt, Status: messenger.EndDone}
		h.sendSnapshot("a1", &messenger.WorkerSnapshot{RunEnds: []messenger.RunEnd{end}, Runs: statuses[n+1:]})
		h.evacuationRound(300 * time.Millisecond)
	}
	c.Check(h.stopAll("a0"), qt.Equals, 1, qt.Commentf("the claimed room is free now"))
}

// TestWhatStaysInAnEvacuatedDomain guards against work that is thrown away though it would soon
// end, or can't be resumed.
func TestWhatStaysInAnEvacuatedDomain(t *testing.T) {
	long := sequencer.Step{Count: 1, CPU: 1000, Memory: 10, Estimate: time.Minute, Checkpointable: true}
	for _, test := range []struct {
		name   string
		change func(s *sequencer.Step)
		saved  string
		stops  int
	}{
		{"a long task that has saved its state", func(*sequencer.Step) {}, "state", 1},
		{"a long task that has not", func(*sequencer.Step) {}, "", 0},
		{"a short task", func(s *sequencer.Step) { s.Estimate = 2 * time.Second }, "state", 0},
		{"a task that can't resume", func(s *sequencer.Step) { s.Checkpointable = false }, "", 0},
		{"a gang", func(s *sequencer.Step) { s.Gang, s.Count = true, 2 }, "state", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h, evacuate := newEvacuationHarness(c, 1)
			spec := long
			test.change(&spec)
			h.submit(sequencer.Spec{Steps: []sequencer.Step{spec}})
			h.placeAfter(time.Second)
			h.domains["a1"] = "z1"
			h.connectAgent("a1")
			statuses := h.runStatuses("a0", messenger.PhaseRunning, 5)
			for n := range statuses {
				statuses[n].Checkpoint = test.saved
			}
			h.sendSnapshot("a0", &messenger.WorkerSnapshot{Runs: statuses})
			evacuate("z0")
			h.evacuationRound(300 * time.Millisecond)
			c.Check(h.stopAll("a0"), qt.Equals, test.stops)
		})
	}
}

// TestNoServiceLeavesBesideOneThatMayBeLost guards against a task that is stopped while another of
// its step is on a worker that doesn't answer.
func TestNoServiceLeavesBesideOneThatMayBeLost(t *testing.T) {
	c := qt.New(t)
	h, evacuate := newEvacuationHarness(c, 2)
	h.submit(sequencer.Spec{Steps: []sequencer.Step{{Count: 2, CPU: 1000, Memory: 10, LongRunning: true, MaxPerWorker: 1}}})
	h.placeAfter(time.Second)
	h.reportRunning("a0", 100)
	h.reportRunning("a1", 100)
	h.domains["a2"] = "z2"
	h.connectAgent("a2")
	evacuate("z0")
	h.o.agents["a1"].snapshot.Unreachable = true
	h.evacuationRound(time.Second)
	c.Check(h.stopAll("a0"), qt.Equals, 0)
	h.reportRunning("a1", 100)
	h.evacuationRound(time.Second)
	c.Check(h.stopAll("a0"), qt.Equals, 1)
}
