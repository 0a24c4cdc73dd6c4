package recorder

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/parser"
)

var at = time.Unix(1000, 0)

// granted is a run of three tasks with a live grant over all of them.
func granted(c *qt.C) (*Run, uint64) {
	r := &Run{ID: "run", State: Running, Spec: parser.Job{Tasks: 3, Retries: 0}}
	seq, ok := r.AddGrant(Grant{Agent: "a", From: 0, To: 3})
	c.Assert(ok, qt.IsTrue)
	return r, seq
}

func ended(index int, verdict messenger.AttemptStatus) []messenger.Outcome {
	return []messenger.Outcome{{Index: index, Status: verdict}}
}

// The tasks of a grant that has lapsed may run elsewhere; what its agent tells
// afterwards does not count.
func TestAnOutcomeCountsOnlyWhileItsGrantLives(t *testing.T) {
	c := qt.New(t)
	r, seq := granted(c)
	c.Assert(r.ExpireGrant(seq, at), qt.IsTrue)
	c.Assert(r.ApplyOutcomes(seq, ended(1, messenger.AttemptFinished), true, at), qt.IsFalse)
	c.Assert(r.Done.Has(1), qt.IsFalse)
}

func TestAnOutcomeCountsOnce(t *testing.T) {
	c := qt.New(t)
	r, seq := granted(c)
	r.ApplyOutcomes(seq, ended(0, messenger.AttemptFinished), false, at)
	r.ApplyOutcomes(seq, ended(0, messenger.AttemptFailed), false, at)
	c.Assert(r.Done.Has(0), qt.IsTrue)
	c.Assert(r.Failed.Has(0), qt.IsFalse)
	c.Assert(r.FailedAttempts[0], qt.Equals, 0)
	r.ApplyOutcomes(seq, ended(1, messenger.AttemptFailed), false, at)
	r.ApplyOutcomes(seq, ended(1, messenger.AttemptFinished), false, at)
	c.Assert(r.Failed.Has(1), qt.IsTrue)
	c.Assert(r.Done.Has(1), qt.IsFalse)
}

func TestACancelIsFinal(t *testing.T) {
	c := qt.New(t)
	r, seq := granted(c)
	c.Assert(r.End(Cancelled, "by its team", at), qt.IsTrue)
	c.Assert(r.End(Failed, "deadline", at.Add(time.Second)), qt.IsFalse)
	r.ApplyOutcomes(seq, ended(0, messenger.AttemptFailed), false, at)
	r.ApplyOutcomes(seq, ended(1, messenger.AttemptFinished), true, at)
	c.Assert(r.State, qt.Equals, Cancelled)
	c.Assert(r.Reason, qt.Equals, "by its team")
	c.Assert(r.Ended, qt.Equals, at)
	_, ok := r.AddGrant(Grant{Agent: "a", From: 2, To: 3})
	c.Assert(ok, qt.IsFalse)
}
