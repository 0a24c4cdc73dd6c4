package allocator

import (
	"slices"
	"time"

	"github.com/endivefall/endivefall/sequencer"
)

// Forecast says when tasks will fit on a worker as runs there end, if nothing else starts.
type Forecast struct {
	*Candidate
	endings []Ending // in the order of their times
	// final is the worker once they have ended.
	final *Candidate
}

// Ending is a run that is expected to end.
type Ending struct {
	Step     *sequencer.Step
	StepName string
	At       time.Time
}

// ExpectedEnd returns when a run of a step is expected to end. One that has outlived its
// estimate is expected to go on for as long again as it has done so.
func ExpectedEnd(step *sequencer.Step, startedAt, now time.Time) time.Time {
	remaining := step.Estimate - now.Sub(startedAt)
	return now.Add(max(remaining, -remaining))
}

// NewForecast returns the forecast for a candidate, given the runs there that will end.
func NewForecast(c *Candidate, endings []Ending) *Forecast {
	f := &Forecast{Candidate: c, endings: endings, final: c.Clone()}
	slices.SortFunc(f.endings, func(a, b Ending) int { return a.At.Compare(b.At) })
	for _, ending := range f.endings {
		f.final.Release(ending.Step, ending.StepName)
	}
	return f
}

// Reserve adds a task of a step to the worker.
func (f *Forecast) Reserve(step *sequencer.Step, stepName string) {
	f.Candidate.Reserve(step, stepName)
	f.final.Reserve(step, stepName)
}

// Release takes a task of a step off the worker.
func (f *Forecast) Release(step *sequencer.Step, stepName string) {
	f.Candidate.Release(step, stepName)
	f.final.Release(step, stepName)
}

// FitsAt returns when a task will fit, and whether it ever will. Starts that are not
// confirmed yet don't count, as agents confirm them within moments.
func (f *Forecast) FitsAt(t *sequencer.Task, stepName string, now time.Time) (time.Time, bool) {
	fits := func(c *Candidate) bool {
		lacks := ShortageOf(t, stepName, c)
		lacks.Held = c.OnTrial
		return lacks == Shortage{}
	}
	if !fits(f.final) {
		return time.Time{}, false
	}
	if fits(f.Candidate) {
		return now, true
	}
	step := t.StepSpec()
	cpu, memory, gpu, tasks := f.UsedCPU, f.UsedMemory, f.UsedGPU, f.TasksByStep[stepName]
	for _, ending := range f.endings {
		if !ending.Step.BestEffort {
			cpu -= ending.Step.CPU
		}
		memory, gpu = memory-ending.Step.Memory, gpu-ending.Step.GPU
		if ending.StepName == stepName {
			tasks--
		}
		if (step.BestEffort || cpu+step.CPU+f.keptFrom(t) <= f.CPU) && memory+step.Memory <= f.Memory && gpu+step.GPU <= f.GPU && (step.MaxPerWorker == 0 || tasks < step.MaxPerWorker) {
			return ending.At, true
		}
	}
	return time.Time{}, false
}

// FreeCPUAt returns the CPU that will not be reserved at a time, in thousandths of a core.
func (f *Forecast) FreeCPUAt(at time.Time) int64 {
	free := f.FreeCPU()
	for _, ending := range f.endings {
		if !ending.Step.BestEffort && !ending.At.After(at) {
			free += ending.Step.CPU
		}
	}
	return free
}
