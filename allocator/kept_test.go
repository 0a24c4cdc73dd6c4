package allocator

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/sequencer"
)

// TestLongRunningTasksLeaveKeptCPU guards against long-running tasks that take the last CPU of a worker, so
// that short ones wait for seconds, and against such that never start as CPU is kept for others.
func TestLongRunningTasksLeaveKeptCPU(t *testing.T) {
	lasting := sequencer.Step{CPU: 10000, Memory: 10, LongRunning: true}
	for name, tt := range map[string]struct {
		step    sequencer.Step
		attempt uint64
		free    []int64 // CPU that is not reserved, by worker
		want    bool
	}{
		"room beyond what is kept":         {lasting, 0, []int64{14000}, true},
		"only what is kept":                {lasting, 0, []int64{13000}, false},
		"it has run before":                {lasting, 1, []int64{13000}, true},
		"room on two workers":              {lasting, 0, []int64{13000, 13000}, true},
		"no room on the second":            {lasting, 0, []int64{13000, 9000}, false},
		"a short task":                     {sequencer.Step{CPU: 10000, Memory: 10}, 0, []int64{10000}, true},
		"a best-effort one":                {sequencer.Step{CPU: 10000, Memory: 10, LongRunning: true, BestEffort: true}, 0, []int64{64000}, true},
		"it needs nearly the whole worker": {sequencer.Step{CPU: 62000, Memory: 10, LongRunning: true}, 0, []int64{64000}, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var candidates []*Candidate
			for _, free := range tt.free {
				w := emptyWorker("a")
				w.UsedCPU, w.KeptCPU = w.CPU-free, 4000
				candidates = append(candidates, w)
			}
			waiting := task(tt.step)
			waiting.Attempt = tt.attempt
			c.Check(Pick(waiting, "s", candidates, now, constantInterference(0)) != nil, qt.Equals, tt.want)
			c.Check(FitsClaim(waiting, "s", candidates[0]), qt.IsTrue, qt.Commentf("claimed room is the task's"))
		})
	}
}

// TestShortTasksUseUpKeptCPU guards against CPU that is kept twice in one round.
func TestShortTasksUseUpKeptCPU(t *testing.T) {
	c := qt.New(t)
	w := emptyWorker("a")
	w.KeptCPU = 3000
	short := sequencer.Step{CPU: 2000}
	w.Reserve(&short, "s")
	c.Check([]int64{w.KeptCPU, w.ShortCPU}, qt.DeepEquals, []int64{1000, 2000})
	w.Reserve(&short, "s")
	c.Check(w.KeptCPU, qt.Equals, int64(0))
	w.Release(&short, "s")
	c.Check(w.ShortCPU, qt.Equals, int64(2000))
}
