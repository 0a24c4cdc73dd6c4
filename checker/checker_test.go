package checker

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/parser"
)

func always(string) bool { return true }

func unixTime(s int) time.Time { return time.Unix(int64(s), 0) }

func taskEvent(second int, kind, instance, attempt, checkpoint string) faker.Event {
	return faker.Event{At: unixTime(second), Kind: kind, Instance: instance, Task: "job.1", Attempt: attempt, Checkpoint: checkpoint}
}

// TestCheckFindsViolations checks that each violation is reported, and that allowed
// sequences of events are not.
func TestCheckFindsViolations(t *testing.T) {
	for _, tc := range []struct {
		name   string
		events []faker.Event
		rules  Rules
		want   string
	}{
		{name: "a task that is evicted and resumed", events: []faker.Event{
			taskEvent(1, faker.TaskStart, "a", "1", ""), taskEvent(2, faker.TaskStop, "a", "1", "1s"),
			taskEvent(3, faker.TaskStart, "b", "2", "1s"), taskEvent(4, faker.TaskFinish, "b", "2", "1s"),
		}},
		{name: "a task in two places at once", want: RanConcurrently, events: []faker.Event{
			taskEvent(1, faker.TaskStart, "a", "1", ""), taskEvent(2, faker.TaskStart, "b", "2", ""),
		}},
		{name: "a task started again after it finished", want: FinishedTwice, events: []faker.Event{
			taskEvent(1, faker.TaskStart, "a", "1", ""), taskEvent(2, faker.TaskFinish, "a", "1", ""), taskEvent(3, faker.TaskStart, "b", "2", ""),
		}},
		{name: "a checkpoint resumed twice", want: WronglyResumed, events: []faker.Event{
			taskEvent(1, faker.TaskStart, "a", "1", ""), taskEvent(2, faker.TaskStop, "a", "1", "1s"),
			taskEvent(3, faker.TaskStart, "b", "2", "1s"), taskEvent(4, faker.TaskStop, "b", "2", ""), taskEvent(5, faker.TaskStart, "c", "3", "1s"),
		}},
		{name: "overcommitted", want: Overcommitted, events: []faker.Event{
			{At: unixTime(1), Kind: faker.TaskStart, Used: parser.Resources{Memory: 9}, Total: parser.Resources{Memory: 8}},
		}},
		{name: "a request ran twice", want: RanTwice, events: []faker.Event{
			{At: unixTime(1), Kind: faker.CallStart, Request: "r"}, {At: unixTime(2), Kind: faker.CallStart, Request: "r"},
		}},
		{name: "an idempotent request ran twice", events: []faker.Event{
			{At: unixTime(1), Kind: faker.CallStart, Request: "r", Idempotent: true}, {At: unixTime(2), Kind: faker.CallStart, Request: "r", Idempotent: true},
		}},
		{name: "a key ran as two requests", want: RanTwice, events: []faker.Event{
			{At: unixTime(1), Kind: faker.CallStart, Request: "r", Task: "key"}, {At: unixTime(2), Kind: faker.CallStart, Request: "s", Task: "key"},
		}},
		{name: "a request reported as not run after it ran", want: NotRunRan, events: []faker.Event{
			{At: unixTime(1), Kind: faker.CallStart, Request: "r"}, {At: unixTime(2), Kind: faker.CallReplied, Request: "r", Outcome: "not-run"},
		}},
		{name: "a request reported as not run before it ran", want: NotRunRan, events: []faker.Event{
			{At: unixTime(1), Kind: faker.CallReplied, Request: "r", Outcome: "not-run"}, {At: unixTime(2), Kind: faker.CallStart, Request: "r"},
		}},
		{name: "the response to another request", want: WrongAnswer, events: []faker.Event{
			{At: unixTime(2), Kind: faker.CallReplied, Request: "r", Outcome: "done", Mismatch: "of s"},
		}},
		{name: "a request to a drained target", want: WorkAfterDrain, rules: Rules{NoWorkAfter: map[string]time.Time{"a": unixTime(1)}}, events: []faker.Event{
			{At: unixTime(2), Kind: faker.CallStart, Instance: "a", Request: "r"},
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			tc.rules.Exclusive, tc.rules.FinishOnce = always, always
			violations := Check(tc.events, tc.rules)
			if tc.want == "" {
				c.Assert(violations, qt.HasLen, 0)
				return
			}
			c.Assert(violations, qt.HasLen, 1)
			c.Assert(violations[0].Invariant, qt.Equals, tc.want)
		})
	}
}
