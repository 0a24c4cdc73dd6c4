package sequencer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func twoStepJob() *Job {
	return NewJob(&Spec{ID: "00000000000000aa", Steps: []Step{{Count: 2}, {Count: 1, DependsOn: []int{0}}}, MaxAttempts: 2}, 5, nil)
}

func taskNames(tasks []*Task) []string {
	var names []string
	for _, t := range tasks {
		names = append(names, t.Name())
	}
	return names
}

func TestStepWaitsForItsDependencies(t *testing.T) {
	c := qt.New(t)
	j := twoStepJob()
	c.Assert(taskNames(j.Runnable(time.Now())), qt.DeepEquals, []string{"00000000000000aa.0.0.0", "00000000000000aa.0.0.1"})
	j.MarkDone(j.Task(0, 0, 0))
	c.Assert(taskNames(j.Runnable(time.Now())), qt.DeepEquals, []string{"00000000000000aa.0.0.1"})
	j.MarkDone(j.Task(0, 0, 1))
	j.MarkDone(j.Task(0, 0, 1)) // reported twice
	c.Assert(taskNames(j.Runnable(time.Now())), qt.DeepEquals, []string{"00000000000000aa.0.1.0"})
	j.Task(0, 1, 0).LiveRuns = 1
	c.Assert(j.Runnable(time.Now()), qt.HasLen, 0)
	j.MarkDone(j.Task(0, 1, 0))
	c.Assert(j.Done(), qt.IsTrue)
	c.Assert(j.State(), qt.Equals, Complete)
}

func TestOccurrencesStartAtTheirDueTime(t *testing.T) {
	c := qt.New(t)
	first := time.Unix(1000, 0)
	j := NewJob(&Spec{ID: "j", Steps: []Step{{Count: 1}}, Repeat: 3, FirstDue: first, Interval: 3 * time.Second}, 1, nil)
	c.Assert(j.Runnable(first.Add(-time.Millisecond)), qt.HasLen, 0)
	c.Assert(taskNames(j.Runnable(first)), qt.DeepEquals, []string{"j.0.0.0"})
	c.Assert(taskNames(j.Runnable(first.Add(3*time.Second))), qt.DeepEquals, []string{"j.0.0.0", "j.1.0.0"})
	j.MarkDone(j.Task(0, 0, 0))
	c.Assert(j.CurrentOccurrence(), qt.Equals, 1)
	c.Assert(j.Done(), qt.IsFalse)
}

func TestNothingIsRunnableInFinalState(t *testing.T) {
	for name, set := range map[string]func(*Job){
		"canceled": func(j *Job) { j.Canceled = true },
		"failed":   func(j *Job) { j.Failed = true },
		"durable":  func(j *Job) { j.DurableState = Complete },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			j := twoStepJob()
			set(j)
			c.Assert(j.State().Final(), qt.IsTrue)
			c.Assert(j.Runnable(time.Now()), qt.HasLen, 0)
		})
	}
}

func TestFailedAttemptCountsOnce(t *testing.T) {
	c := qt.New(t)
	task := twoStepJob().Task(0, 0, 0)
	c.Assert(task.AddFailure(3), qt.IsTrue)
	c.Assert(task.AddFailure(3), qt.IsFalse)
	c.Assert(task.AddFailure(4), qt.IsTrue)
	c.Assert(task.FailedAttempts, qt.DeepEquals, []uint64{3, 4})
}

func TestParseTaskName(t *testing.T) {
	c := qt.New(t)
	for _, bad := range []string{"", "j", "j.0.0", "j.0.0.0.0", "j.a.0.0", "j.0.-1.0"} {
		_, _, _, _, err := ParseTaskName(bad)
		c.Assert(err, qt.ErrorIs, ErrInvalid, qt.Commentf("%q", bad))
	}
	job, occurrence, step, index, err := ParseTaskName("5c0e7a21d94b36f8.2.1.17")
	c.Assert(err, qt.IsNil)
	c.Assert([]any{job, occurrence, step, index}, qt.DeepEquals, []any{"5c0e7a21d94b36f8", 2, 1, 17})
}

func TestCheckRejectsInvalidJobs(t *testing.T) {
	for name, spec := range map[string]Spec{
		"no steps":                {},
		"no tasks":                {Steps: []Step{{}}},
		"depends on itself":       {Steps: []Step{{Count: 1, DependsOn: []int{0}}}},
		"depends on a later step": {Steps: []Step{{Count: 1, DependsOn: []int{1}}, {Count: 1}}},
		"negative request":        {Steps: []Step{{Count: 1, CPU: -1}}},
		"too many tasks":          {Steps: []Step{{Count: maxTasks}}, Repeat: 2},
	} {
		t.Run(name, func(t *testing.T) { qt.New(t).Assert(spec.Check(), qt.ErrorIs, ErrInvalid) })
	}
}

// A new owner reads from the ledger the tasks done, failed attempts and checkpoints
// that the previous owner knew.
func TestProgressRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := &Spec{ID: "j", Steps: []Step{{Count: 3}, {Count: 2, DependsOn: []int{0}}}, MaxAttempts: 9}
		j := NewJob(spec, 1, nil)
		for range rapid.IntRange(0, 12).Draw(t, "changes") {
			task := j.Task(0, rapid.IntRange(0, 1).Draw(t, "step"), rapid.IntRange(0, 1).Draw(t, "index"))
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				j.MarkDone(task)
			case 1:
				task.AddFailure(rapid.Uint64Range(1, 5).Draw(t, "attempt"))
			case 2:
				task.Checkpoint = rapid.StringMatching("[0-9a-f]{0,16}").Draw(t, "checkpoint")
			}
		}
		raw, err := j.Progress().Encode()
		if err != nil {
			t.Fatal(err)
		}
		p, err := DecodeProgress(raw)
		if err != nil {
			t.Fatal(err)
		}
		restored := NewJob(spec, 1, p)
		if restored.State() != j.State() && !(restored.State() == Running && j.State() == Queued) {
			t.Fatalf("state %s, was %s", restored.State(), j.State())
		}
		if j.State().Final() {
			return
		}
		for step := range spec.Steps {
			for n, task := range j.Tasks(0, step) {
				other := restored.Task(0, step, n)
				if task.Done != other.Done || len(task.FailedAttempts) != len(other.FailedAttempts) || !task.Done && task.Checkpoint != other.Checkpoint {
					t.Fatalf("%+v, was %+v", other, task)
				}
			}
		}
	})
}

func FuzzDecodeSpec(f *testing.F) {
	raw, err := twoStepJob().Spec.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		if s, err := DecodeSpec(raw); err == nil {
			_ = NewJob(s, 1, nil).Runnable(time.Now())
		}
		if p, err := DecodeProgress(raw); err == nil {
			_ = NewJob(twoStepJob().Spec, 1, p).State()
		}
	})
}

// A task that was granted has not run yet, and no agent is named for one that may run at several.
func TestProgressNamesTheAgentsOfLongRunningTasks(t *testing.T) {
	c := qt.New(t)
	spec := &Spec{ID: "00000000000000aa", Steps: []Step{{Count: 2, LongRunning: true}, {Count: 1}, {Count: 1, LongRunning: true, Gang: true}, {Count: 1, LongRunning: true, Speculative: true}}}
	j := NewJob(spec, 1, nil)
	for n := range spec.Steps {
		j.Task(0, n, 0).Agent = "agent"
	}
	c.Check(j.Progress().Tasks, qt.HasLen, 0, qt.Commentf("no mark says that the others run nowhere"))
	j.GrantTerm = 7
	raw, err := j.Progress().Encode()
	c.Assert(err, qt.IsNil)
	p, err := DecodeProgress(raw)
	c.Assert(err, qt.IsNil)
	c.Check(p.Tasks, qt.DeepEquals, []TaskRecord{{Agent: "agent"}})
	next := NewJob(spec, 1, p)
	c.Check(next.GrantTerm, qt.Equals, uint64(7))
	c.Check(next.State(), qt.Equals, Queued)
	c.Check(next.Task(0, 0, 0).Agent, qt.Equals, "agent")
	c.Check(next.Task(0, 0, 1).Agent, qt.Equals, "")
}
