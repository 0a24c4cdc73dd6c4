package allocator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/sequencer"
)

func TestATaskFitsOnceEnoughRunsHaveEnded(t *testing.T) {
	now := time.Unix(5000, 0)
	step := sequencer.Step{Count: 1, CPU: 600, Memory: 100, MaxPerWorker: 1, LongRunning: true}
	short := &sequencer.Step{Count: 1, CPU: 250, Memory: 100}
	for name, tt := range map[string]struct {
		change func(*Candidate)
		after  time.Duration
		fits   bool
	}{
		"room now":            {func(c *Candidate) { c.UsedCPU = 400 }, 0, true},
		"after the first":     {func(c *Candidate) { c.UsedCPU = 650 }, time.Second, true},
		"after the second":    {func(*Candidate) {}, 2 * time.Second, true},
		"never CPU":           {func(c *Candidate) { c.CPU = 500 }, 0, false},
		"never memory":        {func(c *Candidate) { c.Memory = 600 }, 0, false},
		"at the step's limit": {func(c *Candidate) { c.TasksByStep["0.0"] = 1 }, 0, false},
		"busy":                {func(c *Candidate) { c.UsedCPU, c.Busy = 400, true }, 0, true},
		"on trial":            {func(c *Candidate) { c.UsedCPU, c.OnTrial = 400, true }, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			job := sequencer.NewJob(&sequencer.Spec{ID: "0", Steps: []sequencer.Step{step}}, 1, nil)
			candidate := &Candidate{CPU: 1000, Memory: 1000, UsedCPU: 800, UsedMemory: 800, TasksByStep: map[string]int{"1.0": 2}}
			tt.change(candidate)
			endings := []Ending{{short, "1.0", now.Add(2 * time.Second)}, {short, "1.0", now.Add(time.Second)}}
			at, fits := NewForecast(candidate, endings).FitsAt(job.Task(0, 0, 0), "0.0", now)
			c.Assert(fits, qt.Equals, tt.fits)
			if fits {
				c.Check(at, qt.Equals, now.Add(tt.after))
			}
			c.Check(candidate.TasksByStep["1.0"], qt.Equals, 2, qt.Commentf("the candidate is not changed"))
		})
	}
}

func TestARunThatOutlivesItsEstimateIsExpectedToGoOn(t *testing.T) {
	now := time.Unix(5000, 0)
	for name, tt := range map[string]struct{ worked, remaining time.Duration }{
		"just started": {0, 4 * time.Second},
		"half way":     {2 * time.Second, 2 * time.Second},
		"overdue":      {7 * time.Second, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, ExpectedEnd(&sequencer.Step{Estimate: 4 * time.Second}, now.Add(-tt.worked), now), qt.Equals, now.Add(tt.remaining))
		})
	}
}
