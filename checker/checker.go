// Package checker reads what the platform's workers and targets and the
// callers recorded, and finds broken promises. It knows nothing of what the
// system believes.
package checker

import (
	"fmt"
	"sort"
	"time"

	"github.com/endivefall/endivefall/faker"
)

// Rules tell what was promised of the recorded work.
type Rules struct {
	// Exclusive says whether a task must never run in two places at once.
	Exclusive func(task string) bool
	// FinishOnce says whether a task must not finish twice.
	FinishOnce func(task string) bool
	// NoWorkAfter has the time after which a target must get no new work.
	NoWorkAfter map[string]time.Time
}

// Violation is one broken promise.
type Violation struct {
	Invariant string
	Detail    string
}

// String names the promise and what broke it.
func (v Violation) String() string { return v.Invariant + ": " + v.Detail }

// Promises, as they stand in violations.
const (
	Overcommitted   = "no instance is committed beyond what it has"
	RanConcurrently = "a task never runs in two places at once"
	FinishedTwice   = "a task finishes at most once"
	ResumedWrong    = "evicted work resumes once, from where it was stopped"
	RanTwice        = "a non-idempotent request runs at most once"
	NotRunRan       = "a request told not run did not run"
	WrongAnswer     = "a caller gets the whole answer to its own request"
	WorkAfterDrain  = "a leaving target gets no new work"
)

// Check returns the violations in the records, which may be in any order.
func Check(records []faker.Event, rules Rules) []Violation {
	sorted := append([]faker.Event(nil), records...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].At.Before(sorted[j].At) })
	c := &check{rules: rules, tasks: map[string]*task{}, keys: map[string]map[string]bool{}, ran: map[string]int{}, notRun: map[string]bool{}}
	for _, r := range sorted {
		c.take(r)
	}
	// A request may also start after its caller was told that it did not run.
	for id := range c.notRun {
		if c.ran[id] > 0 {
			c.fault(NotRunRan, "request %s ran", id)
		}
	}
	return c.found
}

// check is the state of one reading.
type check struct {
	rules Rules
	found []Violation
	tasks map[string]*task
	// keys has the requests that ran with an idempotency key.
	keys map[string]map[string]bool
	ran  map[string]int
	// notRun has the requests whose callers were told that they did not run.
	notRun map[string]bool
}

// task is what the records tell of one task so far.
type task struct {
	running  map[string]string // attempt to instance
	finished int
	// points has the checkpoints that were taken and not resumed from yet.
	points map[string]bool
}

func (c *check) fault(promise, format string, args ...any) {
	c.found = append(c.found, Violation{promise, fmt.Sprintf(format, args...)})
}

func (c *check) take(r faker.Event) {
	if !r.Used.FitsIn(r.Total) {
		c.fault(Overcommitted, "%s has %+v committed of %+v", r.Instance, r.Used, r.Total)
	}
	switch r.Kind {
	case faker.TaskStart, faker.TaskStop, faker.TaskFinish:
		c.task(r)
	case faker.CallStart:
		c.start(r)
	case faker.CallReplied:
		c.told(r)
	}
}

func (c *check) task(r faker.Event) {
	t := c.tasks[r.Task]
	if t == nil {
		t = &task{running: map[string]string{}, points: map[string]bool{}}
		c.tasks[r.Task] = t
	}
	switch r.Kind {
	case faker.TaskStart:
		if len(t.running) > 0 && c.rules.Exclusive(r.Task) {
			c.fault(RanConcurrently, "%s starts as %s at %s while it runs as %v", r.Task, r.Attempt, r.Instance, t.running)
		}
		if t.finished > 0 && c.rules.FinishOnce(r.Task) {
			c.fault(FinishedTwice, "%s starts again at %s after it finished", r.Task, r.Instance)
		}
		if r.Checkpoint != "" && c.rules.Exclusive(r.Task) && !t.points[r.Checkpoint] {
			c.fault(ResumedWrong, "%s resumes from %s at %s, which was not taken or was resumed before", r.Task, r.Checkpoint, r.Instance)
		}
		if c.rules.FinishOnce(r.Task) {
			delete(t.points, r.Checkpoint)
		}
		t.running[r.Attempt] = r.Instance
	case faker.TaskStop:
		delete(t.running, r.Attempt)
		if r.Checkpoint != "" {
			t.points[r.Checkpoint] = true
		}
	case faker.TaskFinish:
		delete(t.running, r.Attempt)
		t.finished++
		if t.finished > 1 && c.rules.FinishOnce(r.Task) {
			c.fault(FinishedTwice, "%s finished %d times", r.Task, t.finished)
		}
	}
}

func (c *check) start(r faker.Event) {
	c.ran[r.Request]++
	if c.ran[r.Request] > 1 && !r.Idempotent {
		c.fault(RanTwice, "request %s ran %d times", r.Request, c.ran[r.Request])
	}
	if r.Task != "" {
		if c.keys[r.Task] == nil {
			c.keys[r.Task] = map[string]bool{}
		}
		c.keys[r.Task][r.Request] = true
		if len(c.keys[r.Task]) > 1 {
			c.fault(RanTwice, "key %s ran as %d requests", r.Task, len(c.keys[r.Task]))
		}
	}
	if left, ok := c.rules.NoWorkAfter[r.Instance]; ok && r.At.After(left) {
		c.fault(WorkAfterDrain, "%s got request %s %s after it should get none", r.Instance, r.Request, r.At.Sub(left))
	}
}

// told takes what a caller recorded: the answer to its request.
func (c *check) told(r faker.Event) {
	switch {
	case r.Outcome == "not-run":
		c.notRun[r.Request] = true
	case r.Outcome == "done" && r.Mismatch != "":
		c.fault(WrongAnswer, "request %s: %s", r.Request, r.Mismatch)
	}
}
