package allocator

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/sequencer"
)

func TestShortageAgreesWithFits(t *testing.T) {
	step := sequencer.Step{Count: 1, CPU: 500, Memory: 100, GPU: 1, RequiredLabel: "a", MaxPerWorker: 1}
	for name, tt := range map[string]struct {
		change func(*Candidate)
		want   Shortage
	}{
		"nothing":  {func(*Candidate) {}, Shortage{}},
		"CPU":      {func(c *Candidate) { c.UsedCPU = 501 }, Shortage{CPU: true}},
		"memory":   {func(c *Candidate) { c.UsedMemory = 901 }, Shortage{Memory: true}},
		"GPU":      {func(c *Candidate) { c.UsedGPU = 1 }, Shortage{GPU: true}},
		"label":    {func(c *Candidate) { c.Labels = []string{"b"} }, Shortage{Label: true}},
		"limit":    {func(c *Candidate) { c.TasksByStep = map[string]int{"0.0": 1} }, Shortage{Limit: true}},
		"on trial": {func(c *Candidate) { c.OnTrial = true }, Shortage{Held: true}},
		"busy":     {func(c *Candidate) { c.Busy = true }, Shortage{Held: true}},
		"two":      {func(c *Candidate) { c.UsedCPU, c.UsedMemory = 1000, 1000 }, Shortage{CPU: true, Memory: true}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			job := sequencer.NewJob(&sequencer.Spec{ID: "0", Steps: []sequencer.Step{step}}, 1, nil)
			candidate := &Candidate{CPU: 1000, Memory: 1000, GPU: 1, Labels: []string{"a"}}
			tt.change(candidate)
			c.Check(ShortageOf(job.Task(0, 0, 0), "0.0", candidate), qt.Equals, tt.want)
			c.Check(Fits(job.Task(0, 0, 0), "0.0", candidate), qt.Equals, tt.want == Shortage{})
		})
	}
}
