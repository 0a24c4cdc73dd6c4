package apportioner

import (
	"slices"

	"github.com/endivefall/endivefall/sequencer"
)

// Unmet has the tasks for which no worker of a pool has room, while room only shrinks.
type Unmet struct {
	// anywhere has the steps of those for which any worker would do, steps has the others by
	// name.
	anywhere []*sequencer.Step
	steps    map[string]bool
}

// Known reports whether no worker is left for a task, which needs as much as one that was added.
func (u *Unmet) Known(t *sequencer.Task, stepName string) bool {
	if len(t.FailedWorkers) == 0 && u.steps[stepName] {
		return true
	}
	step := t.StepSpec()
	return slices.ContainsFunc(u.anywhere, func(s *sequencer.Step) bool {
		return (s.RequiredLabel == "" || s.RequiredLabel == step.RequiredLabel) && s.CPU <= step.CPU && s.Memory <= step.Memory && s.GPU <= step.GPU
	})
}

// Add adds a task. anyWorker is set if its job allows all workers of the pool.
func (u *Unmet) Add(t *sequencer.Task, stepName string, anyWorker bool) {
	step := t.StepSpec()
	switch {
	case len(t.FailedWorkers) > 0:
	case anyWorker && step.MaxPerWorker == 0:
		u.anywhere = append(u.anywhere, step)
	default:
		if u.steps == nil {
			u.steps = map[string]bool{}
		}
		u.steps[stepName] = true
	}
}
