package checker

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/parser"
)

func always(string) bool { return true }

func at(s int) time.Time { return time.Unix(int64(s), 0) }

func step(second int, what, instance, attempt, point string) faker.Event {
	return faker.Event{At: at(second), Kind: what, Instance: instance, Task: "job.1", Attempt: attempt, Checkpoint: point}
}

// TestPlantedViolations: each broken promise is found, and what is allowed is
// not.
func TestPlantedViolations(t *testing.T) {
	for _, one := range []struct {
		name    string
		records []faker.Event
		rules   Rules
		want    string
	}{
		{name: "a task that is evicted and resumed", records: []faker.Event{
			step(1, faker.TaskStart, "a", "1", ""), step(2, faker.TaskStop, "a", "1", "1s"),
			step(3, faker.TaskStart, "b", "2", "1s"), step(4, faker.TaskFinish, "b", "2", "1s"),
		}},
		{name: "two places", want: RanConcurrently, records: []faker.Event{
			step(1, faker.TaskStart, "a", "1", ""), step(2, faker.TaskStart, "b", "2", ""),
		}},
		{name: "finished twice", want: FinishedTwice, records: []faker.Event{
			step(1, faker.TaskStart, "a", "1", ""), step(2, faker.TaskFinish, "a", "1", ""), step(3, faker.TaskStart, "b", "2", ""),
		}},
		{name: "resumed twice", want: ResumedWrong, records: []faker.Event{
			step(1, faker.TaskStart, "a", "1", ""), step(2, faker.TaskStop, "a", "1", "1s"),
			step(3, faker.TaskStart, "b", "2", "1s"), step(4, faker.TaskStop, "b", "2", ""), step(5, faker.TaskStart, "c", "3", "1s"),
		}},
		{name: "overcommitted", want: Overcommitted, records: []faker.Event{
			{At: at(1), Kind: faker.TaskStart, Used: parser.Resources{Memory: 9}, Total: parser.Resources{Memory: 8}},
		}},
		{name: "a request ran twice", want: RanTwice, records: []faker.Event{
			{At: at(1), Kind: faker.CallStart, Request: "r"}, {At: at(2), Kind: faker.CallStart, Request: "r"},
		}},
		{name: "an idempotent request ran twice", records: []faker.Event{
			{At: at(1), Kind: faker.CallStart, Request: "r", Idempotent: true}, {At: at(2), Kind: faker.CallStart, Request: "r", Idempotent: true},
		}},
		{name: "a key ran as two requests", want: RanTwice, records: []faker.Event{
			{At: at(1), Kind: faker.CallStart, Request: "r", Task: "key"}, {At: at(2), Kind: faker.CallStart, Request: "s", Task: "key"},
		}},
		{name: "not run, but it had", want: NotRunRan, records: []faker.Event{
			{At: at(1), Kind: faker.CallStart, Request: "r"}, {At: at(2), Kind: faker.CallReplied, Request: "r", Outcome: "not-run"},
		}},
		{name: "not run, and it ran later", want: NotRunRan, records: []faker.Event{
			{At: at(1), Kind: faker.CallReplied, Request: "r", Outcome: "not-run"}, {At: at(2), Kind: faker.CallStart, Request: "r"},
		}},
		{name: "another's answer", want: WrongAnswer, records: []faker.Event{
			{At: at(2), Kind: faker.CallReplied, Request: "r", Outcome: "done", Mismatch: "of s"},
		}},
		{name: "after leaving", want: WorkAfterDrain, rules: Rules{NoWorkAfter: map[string]time.Time{"a": at(1)}}, records: []faker.Event{
			{At: at(2), Kind: faker.CallStart, Instance: "a", Request: "r"},
		}},
	} {
		t.Run(one.name, func(t *testing.T) {
			c := qt.New(t)
			one.rules.Exclusive, one.rules.FinishOnce = always, always
			found := Check(one.records, one.rules)
			if one.want == "" {
				c.Assert(found, qt.HasLen, 0)
				return
			}
			c.Assert(found, qt.HasLen, 1)
			c.Assert(found[0].Invariant, qt.Equals, one.want)
		})
	}
}
