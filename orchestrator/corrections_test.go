package orchestrator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/sequencer"
)

// Estimates are off by a factor of 2.5. The time of an ended task corrects those of its job: at full
// pace, as a throttled run takes longer than the job's objective counts on.
func TestAnEndedTaskCorrectsTheEstimatesOfItsJob(t *testing.T) {
	for name, tc := range map[string]struct {
		pace  int
		rack  string
		moved bool
		// low and high bound the corrected estimate of a second for a task that has run for 4 s.
		low, high time.Duration
	}{
		"full pace":       {pace: 100, low: 3200 * time.Millisecond, high: 4 * time.Second},
		"half the pace":   {pace: 50, low: 1600 * time.Millisecond, high: 2200 * time.Millisecond},
		"away from data":  {pace: 100, rack: "elsewhere", low: time.Second, high: time.Second},
		"from checkpoint": {pace: 100, moved: true, low: time.Second, high: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 1)
			s := step(2, 1000)
			s.BestEffort, s.Checkpointable, s.PreferredRack = true, true, tc.rack
			j := h.submit(sequencer.Spec{Steps: []sequencer.Step{s}})
			if tc.moved {
				for _, task := range j.Tasks(0, 0) {
					task.Checkpoint = "saved"
				}
			}
			h.o.place()
			statuses := h.runStatuses("a0", messenger.PhaseRunning, 10)
			for n := range statuses {
				statuses[n].PacePercent = tc.pace
			}
			h.sendSnapshot("a0", &messenger.WorkerSnapshot{Runs: statuses})
			h.now = h.now.Add(4 * time.Second)
			h.reportEnd("a0", 1, statuses[0].Task, statuses[0].Attempt, messenger.EndDone)
			corrected := j.corrections.Correct(0, time.Second)
			c.Check(corrected >= tc.low && corrected <= tc.high, qt.IsTrue, qt.Commentf("%v", corrected))
		})
	}
}

// An operator must see that best-effort jobs wait, and which of them can still be in time.
func TestWaitingJobsAreReportedByClass(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	s := step(3, 1000)
	s.BestEffort, s.Memory, s.Estimate = true, 16000, 400*time.Millisecond
	h.submit(sequencer.Spec{Steps: []sequencer.Step{s}, StretchFactor: 2})
	h.o.place()
	c.Check(h.gauges[meter.WaitingJobs.Of("filling")], qt.Equals, 1.0)
	h.reportRunning("a0", 10)
	h.now = h.now.Add(3 * time.Second)
	h.reportRunning("a0", 20)
	h.o.place()
	c.Check(h.gauges[meter.WaitingJobs.Of("filling")], qt.Equals, 0.0)
	c.Check(h.gauges[meter.WaitingJobs.Of("worthless")], qt.Equals, 1.0)
}
