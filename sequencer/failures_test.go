package sequencer

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func newTask(step Step) *Task {
	return NewJob(&Spec{ID: "x", Steps: []Step{step}}, 1, nil).Task(0, 0, 0)
}

func TestFailuresBeforeALocatedRunAreThoseThatItsStarterKnew(t *testing.T) {
	for name, tt := range map[string]struct {
		failed []uint64
		bound  Failures
		limit  int
		used   bool
	}{
		"first run":                      {nil, AtMost(0), 1, false},
		"it failed":                      {[]uint64{7}, AtMost(0), 1, true},
		"one unknown before":             {nil, AtMost(1), 2, false},
		"one unknown before, and failed": {[]uint64{7}, AtMost(1), 2, true},
		"one known before, and failed":   {[]uint64{3, 7}, AtMost(1), 3, false},
		"more known than its starter":    {[]uint64{3, 4}, AtMost(1), 2, true},
		"no bound":                       {nil, 0, 9, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			task := newTask(Step{Count: 1})
			task.FailedAttempts = tt.failed
			task.Locate(7, tt.bound)
			c.Assert(task.MaxFailures().Exceeds(tt.limit), qt.Equals, tt.used)
		})
	}
}

// The failures of all members of a gang count to the first of them.
func TestFailuresOfAGangCountForEachMember(t *testing.T) {
	c := qt.New(t)
	first := newTask(Step{Count: 2, Gang: true})
	first.FailedAttempts = []uint64{3}
	second := first.Job.Task(0, 0, 1)
	second.Locate(7, AtMost(0))
	c.Assert(second.KnownFailures(), qt.Equals, 1)
	c.Assert(second.MaxFailures().Exceeds(1), qt.IsTrue)
}

// A run whose starter is not known says less than a later one.
func TestALaterRunBoundsTheFailuresThatAnEarlierOneDoesNot(t *testing.T) {
	c := qt.New(t)
	task := newTask(Step{Count: 1})
	task.Locate(7, 0)
	task.Locate(8, AtMost(1))
	c.Assert(task.MaxFailures(), qt.Equals, AtMost(1))
	task.Locate(9, AtMost(5))
	c.Assert(task.MaxFailures(), qt.Equals, AtMost(1))
}
