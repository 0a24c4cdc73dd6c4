package recorder

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/parser"
)

var testTime = time.Unix(1000, 0)

// newGrantedRun returns a run of three tasks with a live grant for all of them.
func newGrantedRun(c *qt.C) (*Run, uint64) {
	r := &Run{ID: "run", State: Running, Spec: parser.Job{Tasks: 3, Retries: 0}}
	seq, ok := r.AddGrant(Grant{Agent: "a", From: 0, To: 3})
	c.Assert(ok, qt.IsTrue)
	return r, seq
}

func outcomes(index int, status messenger.AttemptStatus) []messenger.Outcome {
	return []messenger.Outcome{{Index: index, Status: status}}
}

// The tasks of an expired grant may run at another agent, so outcomes that the
// first agent reports afterwards must be ignored.
func TestOutcomeOfExpiredGrantIsIgnored(t *testing.T) {
	c := qt.New(t)
	r, seq := newGrantedRun(c)
	c.Assert(r.ExpireGrant(seq, testTime), qt.IsTrue)
	c.Assert(r.ApplyOutcomes(seq, outcomes(1, messenger.AttemptFinished), true, testTime), qt.IsFalse)
	c.Assert(r.Done.Has(1), qt.IsFalse)
}

func TestFirstOutcomeOfTaskWins(t *testing.T) {
	c := qt.New(t)
	r, seq := newGrantedRun(c)
	r.ApplyOutcomes(seq, outcomes(0, messenger.AttemptFinished), false, testTime)
	r.ApplyOutcomes(seq, outcomes(0, messenger.AttemptFailed), false, testTime)
	c.Assert(r.Done.Has(0), qt.IsTrue)
	c.Assert(r.Failed.Has(0), qt.IsFalse)
	c.Assert(r.FailedAttempts[0], qt.Equals, 0)
	r.ApplyOutcomes(seq, outcomes(1, messenger.AttemptFailed), false, testTime)
	r.ApplyOutcomes(seq, outcomes(1, messenger.AttemptFinished), false, testTime)
	c.Assert(r.Failed.Has(1), qt.IsTrue)
	c.Assert(r.Done.Has(1), qt.IsFalse)
}

func TestCancelIsFinal(t *testing.T) {
	c := qt.New(t)
	r, seq := newGrantedRun(c)
	c.Assert(r.End(Cancelled, "by its team", testTime), qt.IsTrue)
	c.Assert(r.End(Failed, "deadline", testTime.Add(time.Second)), qt.IsFalse)
	r.ApplyOutcomes(seq, outcomes(0, messenger.AttemptFailed), false, testTime)
	r.ApplyOutcomes(seq, outcomes(1, messenger.AttemptFinished), true, testTime)
	c.Assert(r.State, qt.Equals, Cancelled)
	c.Assert(r.Reason, qt.Equals, "by its team")
	c.Assert(r.Ended, qt.Equals, testTime)
	_, ok := r.AddGrant(Grant{Agent: "a", From: 2, To: 3})
	c.Assert(ok, qt.IsFalse)
}

// loseAttempts grants a run's first task and reports its attempt as lost, so often.
func loseAttempts(c *qt.C, r *Run, n int, crashed bool) {
	for range n {
		seq, ok := r.AddGrant(Grant{Agent: "a", From: 0, To: 1})
		c.Assert(ok, qt.IsTrue)
		r.ApplyOutcomes(seq, []messenger.Outcome{{Index: 0, Status: messenger.AttemptLost, Crashed: crashed}}, true, testTime)
	}
}

// TestAnIdempotentTaskThatCrashesItsWorkersIsGivenUp: it used up no retry and ran for ever.
func TestAnIdempotentTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	c := qt.New(t)
	r := &Run{ID: "run", State: Running, Spec: parser.Job{Tasks: 3, Retries: 1, Idempotent: true}}
	loseAttempts(c, r, maxCrashes+1, true)
	c.Assert(r.Failed.Has(0), qt.IsFalse, qt.Commentf("it has a retry left"))
	loseAttempts(c, r, 1, true)
	c.Assert(r.Failed.Has(0), qt.IsTrue)
	c.Assert(r.Reason, qt.Equals, "its worker crashed 5 times in a row")
}

func TestALossWithoutACrashUsesUpNoRetryOfAnIdempotentTask(t *testing.T) {
	c := qt.New(t)
	r := &Run{ID: "run", State: Running, Spec: parser.Job{Tasks: 3, Idempotent: true}}
	loseAttempts(c, r, 4*maxCrashes, false)
	c.Assert(r.Failed.Has(0), qt.IsFalse)
}

func TestProgressBetweenCrashesUsesUpNoRetry(t *testing.T) {
	c := qt.New(t)
	r := &Run{ID: "run", State: Running, Spec: parser.Job{Tasks: 3, Idempotent: true}}
	for _, checkpoint := range []string{"a", "b", "c", "d"} {
		loseAttempts(c, r, maxCrashes, true)
		seq, _ := r.AddGrant(Grant{Agent: "a", From: 0, To: 1})
		r.ApplyOutcomes(seq, []messenger.Outcome{{Index: 0, Status: messenger.AttemptEvicted, Checkpoint: checkpoint}}, true, testTime)
	}
	c.Assert(r.Failed.Has(0), qt.IsFalse)
}

// The crashes of a task were counted in the stored run while readers had it, before the
// change was durable.
func TestAChangeOfARunLeavesTheStoredOneAsItIs(t *testing.T) {
	c := qt.New(t)
	stored := &Run{
		FailedAttempts: map[int]int{}, Checkpoints: map[int]string{}, Grants: map[uint64]*Grant{},
		FailuresByAgent: map[string]int{}, Crashes: map[int]int{},
	}
	before, after := reflect.ValueOf(stored).Elem(), reflect.ValueOf(stored.clone()).Elem()
	for i := range before.NumField() {
		if before.Field(i).Kind() != reflect.Map {
			continue
		}
		name := before.Type().Field(i).Name
		c.Check(before.Field(i).IsNil(), qt.IsFalse, qt.Commentf("%s has no map to compare", name))
		c.Check(before.Field(i).Pointer() != after.Field(i).Pointer(), qt.IsTrue, qt.Commentf("%s is shared", name))
	}
}
