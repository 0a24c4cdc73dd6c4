package orchestrator

import (
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/sequencer"
)

// filling returns a step of tasks of low priority that take half of the worker of a harness each.
func filling(count int) sequencer.Step {
	s := step(count, 4000)
	s.Checkpointable, s.Estimate = true, 4*time.Second
	return s
}

// stops returns the tasks that an agent was asked to stop.
func (h *harness) stops(id string) []string {
	var list []string
	for _, command := range h.commands(id) {
		if task, ok := strings.CutPrefix(command, "stop "); ok {
			list = append(list, task)
		}
	}
	return list
}

// reportEach delivers a snapshot of the runs of an agent, each with its progress and checkpoint.
func (h *harness) reportEach(id string, change func(n int, s *messenger.RunStatus)) {
	statuses := h.runStatuses(id, messenger.PhaseRunning, 0)
	slices.SortFunc(statuses, func(a, b messenger.RunStatus) int { return strings.Compare(a.Task, b.Task) })
	for n := range statuses {
		change(n, &statuses[n])
	}
	h.sendSnapshot(id, &messenger.WorkerSnapshot{Runs: statuses})
}

// The run with the least progress was stopped, though another one had just saved its checkpoint, and also
// one that was about to end where that was the only one.
func TestWhatIsPreempted(t *testing.T) {
	for name, tc := range map[string]struct {
		percents [2]int // of the two runs after a second
		// savesAt is the run that then saves a checkpoint; -1 for none.
		saves int
		want  string // index of the task; empty if none may be stopped
	}{
		"one has just saved":       {[2]int{20, 40}, 1, "1"},
		"one is about to end":      {[2]int{30, 90}, 1, "0"},
		"both are about to end":    {[2]int{90, 95}, -1, ""},
		"none has saved anything":  {[2]int{30, 30}, -1, "0"},
		"the other has just saved": {[2]int{40, 20}, 0, "0"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 1)
			low := h.submit(sequencer.Spec{Steps: []sequencer.Step{filling(2)}, Priority: 2})
			h.o.place()
			h.reportEach("a0", func(int, *messenger.RunStatus) {})
			h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 1000)}})
			h.o.place()
			h.now = h.now.Add(time.Second)
			h.reportEach("a0", func(n int, s *messenger.RunStatus) {
				s.ProgressPercent = tc.percents[n]
				if n == tc.saves {
					s.Checkpoint = "saved"
				}
			})
			h.o.place()
			var want []string
			if tc.want != "" {
				want = []string{low.Task(0, 0, 0).StepName() + "." + tc.want}
			}
			c.Check(h.stops("a0"), qt.DeepEquals, want)
			c.Check(h.counts[meter.StopCauses.Of("task")], qt.Equals, len(want))
		})
	}
}

// A task that was stopped as soon as it had started again, each time, never ended.
func TestATaskIsNotPreemptedTwiceWithoutProgress(t *testing.T) {
	for name, saves := range map[string]bool{"nothing saved": false, "saved in between": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 1)
			whole := filling(1)
			whole.CPU = 8000
			low := h.submit(sequencer.Spec{Steps: []sequencer.Step{whole}, Priority: 2})
			preempt := func() {
				urgent := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 1000)}})
				h.o.place()
				h.now = h.now.Add(preemptInterval)
				h.reportEach("a0", func(_ int, s *messenger.RunStatus) { s.ProgressPercent = 10 })
				h.o.place()
				urgent.Canceled = true
			}
			h.o.place()
			h.reportEach("a0", func(int, *messenger.RunStatus) {})
			preempt()
			c.Assert(h.stops("a0"), qt.HasLen, 1)
			r := h.o.runsOf(h.o.agents["a0"])[0]
			h.reportEnd("a0", 1, r.key.task, r.key.attempt, messenger.EndStopped)
			c.Assert(low.Task(0, 0, 0).LiveRuns, qt.Equals, 0)
			h.o.place()
			c.Assert(low.Task(0, 0, 0).LiveRuns, qt.Equals, 1)
			h.reportEach("a0", func(_ int, s *messenger.RunStatus) {
				if saves {
					s.Checkpoint = "saved"
				}
			})
			preempt()
			want := 1
			if saves {
				want = 2
			}
			c.Check(h.stops("a0"), qt.HasLen, want)
			c.Check(h.counts[meter.StoppedAgain], qt.Equals, 0)
		})
	}
}

// A slowed run was moved from worker to worker before it had saved anything. One that is paused for good
// moves after all.
func TestATaskIsNotMovedTwiceWithoutProgress(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{filling(1)}, Priority: 2})
	h.o.place()
	h.reportRunning("a0", 10)
	r := h.o.runsOf(h.o.agents["a0"])[0]
	c.Check(r.movesAgain(h.now), qt.IsTrue)
	j.Task(0, 0, 0).Unprogressed = true
	c.Check(r.movesAgain(h.now), qt.IsFalse)
	c.Check(r.movesAgain(h.now.Add(maxUnprogressedStay+1)), qt.IsTrue)
	h.reportEach("a0", func(_ int, s *messenger.RunStatus) { s.Checkpoint = "saved" })
	c.Check(r.movesAgain(h.now), qt.IsTrue)
}

// Where a long-running task must have room, the run with the least progress was stopped, though another one
// had just saved. Also runs that had better go on are stopped if no other room would do.
func TestRoomForALongRunningTaskThrowsAwayLittle(t *testing.T) {
	for name, tt := range map[string]struct {
		memory int64 // of the long-running task
		want   []string
	}{
		"the one that has just saved":       {4000, []string{"2"}},
		"and the one with less to lose":     {8000, []string{"2", "3"}},
		"and one stopped before, if needed": {16000, []string{"0", "1", "2", "3"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 1)
			fillers := h.submit(sequencer.Spec{Steps: []sequencer.Step{{Count: 4, CPU: 2000, Memory: 4000, Estimate: 60 * time.Second, BestEffort: true, Checkpointable: true}}, StretchFactor: 100})
			h.o.place()
			h.reportEach("a0", func(int, *messenger.RunStatus) {})
			c.Assert(len(fillers.liveRuns), qt.Equals, 4)
			h.submit(sequencer.Spec{Steps: []sequencer.Step{{Count: 1, CPU: 6000, Memory: tt.memory, LongRunning: true}}})
			h.o.place()
			fillers.Task(0, 0, 0).Unprogressed = true
			h.now = h.now.Add(minClaimWait / 2)
			h.reportEach("a0", func(n int, s *messenger.RunStatus) {
				if n == 3 {
					s.Checkpoint = "saved"
				}
			})
			h.now = h.now.Add(minClaimWait / 2)
			h.reportEach("a0", func(n int, s *messenger.RunStatus) {
				s.ProgressPercent = []int{4, 4, 5, 3}[n]
				s.Checkpoint = []string{"", "", "saved", "saved"}[n]
			})
			h.o.place()
			var stopped []string
			for _, task := range h.stops("a0") {
				stopped = append(stopped, task[len(task)-1:])
			}
			slices.Sort(stopped)
			c.Check(stopped, qt.DeepEquals, tt.want)
			c.Check(h.counts[meter.StopCauses.Of("claim")], qt.Equals, len(tt.want))
		})
	}
}
