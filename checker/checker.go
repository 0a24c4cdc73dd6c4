// Package checker verifies the system's invariants from the events that workers,
// targets and callers recorded. It does not use the state of the system under test.
package checker

import (
	"fmt"
	"sort"
	"time"

	"github.com/endivefall/endivefall/faker"
)

// Rules define to which tasks and targets an invariant applies.
type Rules struct {
	// Exclusive reports whether a task must never run in two places at once, nor
	// resume from a checkpoint that it did not take.
	Exclusive func(task string) bool
	// FinishOnce reports whether a task must not finish twice. Each of its
	// checkpoints counts as used once it was resumed from.
	FinishOnce func(task string) bool
	// NoWorkAfter maps a target to the time after which it must get no new request.
	NoWorkAfter map[string]time.Time
}

// Violation is a violated invariant.
type Violation struct {
	Invariant string
	Detail    string
}

// String returns the invariant and how it was violated.
func (v Violation) String() string { return v.Invariant + ": " + v.Detail }

// Invariants, as Violation.Invariant holds them.
const (
	Overcommitted   = "no instance is committed beyond what it has"
	RanConcurrently = "a task never runs in two places at once"
	FinishedTwice   = "a task finishes at most once"
	WronglyResumed  = "evicted work resumes once, from where it was stopped"
	RanTwice        = "a non-idempotent request runs at most once"
	NotRunRan       = "a request told not run did not run"
	WrongAnswer     = "a caller gets the whole answer to its own request"
	WorkAfterDrain  = "a leaving target gets no new work"
)

// Check returns the violations in the events, which may be in any order.
func Check(events []faker.Event, rules Rules) []Violation {
	sorted := append([]faker.Event(nil), events...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].At.Before(sorted[j].At) })
	h := &history{rules: rules, tasks: map[string]*task{}, requestsByKey: map[string]map[string]bool{}, runCount: map[string]int{}, notRun: map[string]bool{}}
	for _, e := range sorted {
		h.add(e)
	}
	// Checked last, because a request may start after its caller received not-run.
	for id := range h.notRun {
		if h.runCount[id] > 0 {
			h.report(NotRunRan, "request %s ran", id)
		}
	}
	return h.violations
}

// history is the state derived from the events so far.
type history struct {
	rules      Rules
	violations []Violation
	tasks      map[string]*task
	// requestsByKey holds the requests that ran with an idempotency key.
	requestsByKey map[string]map[string]bool
	runCount      map[string]int
	// notRun holds the requests whose callers received not-run.
	notRun map[string]bool
}

// task is the state of a task derived from the events so far.
type task struct {
	running  map[string]string // attempt to instance
	finished int
	// checkpoints holds the checkpoints that were taken and not resumed from yet.
	checkpoints map[string]bool
}

func (h *history) report(invariant, format string, args ...any) {
	h.violations = append(h.violations, Violation{invariant, fmt.Sprintf(format, args...)})
}

func (h *history) add(e faker.Event) {
	if !e.Used.FitsIn(e.Total) {
		h.report(Overcommitted, "%s has %+v committed of %+v", e.Instance, e.Used, e.Total)
	}
	switch e.Kind {
	case faker.TaskStart, faker.TaskStop, faker.TaskFinish:
		h.addTask(e)
	case faker.CallStart:
		h.addCallStart(e)
	case faker.CallReplied:
		h.addReply(e)
	}
}

func (h *history) addTask(e faker.Event) {
	t := h.tasks[e.Task]
	if t == nil {
		t = &task{running: map[string]string{}, checkpoints: map[string]bool{}}
		h.tasks[e.Task] = t
	}
	switch e.Kind {
	case faker.TaskStart:
		if len(t.running) > 0 && h.rules.Exclusive(e.Task) {
			h.report(RanConcurrently, "%s starts as %s at %s while it runs as %v", e.Task, e.Attempt, e.Instance, t.running)
		}
		if t.finished > 0 && h.rules.FinishOnce(e.Task) {
			h.report(FinishedTwice, "%s starts again at %s after it finished", e.Task, e.Instance)
		}
		if e.Checkpoint != "" && h.rules.Exclusive(e.Task) && !t.checkpoints[e.Checkpoint] {
			h.report(WronglyResumed, "%s resumes from %s at %s, which was not taken or was resumed before", e.Task, e.Checkpoint, e.Instance)
		}
		if h.rules.FinishOnce(e.Task) {
			delete(t.checkpoints, e.Checkpoint)
		}
		t.running[e.Attempt] = e.Instance
	case faker.TaskStop:
		delete(t.running, e.Attempt)
		if e.Checkpoint != "" {
			t.checkpoints[e.Checkpoint] = true
		}
	case faker.TaskFinish:
		delete(t.running, e.Attempt)
		t.finished++
		if t.finished > 1 && h.rules.FinishOnce(e.Task) {
			h.report(FinishedTwice, "%s finished %d times", e.Task, t.finished)
		}
	}
}

func (h *history) addCallStart(e faker.Event) {
	h.runCount[e.Request]++
	if h.runCount[e.Request] > 1 && !e.Idempotent {
		h.report(RanTwice, "request %s ran %d times", e.Request, h.runCount[e.Request])
	}
	if e.Task != "" { // the idempotency key of the request
		if h.requestsByKey[e.Task] == nil {
			h.requestsByKey[e.Task] = map[string]bool{}
		}
		h.requestsByKey[e.Task][e.Request] = true
		if len(h.requestsByKey[e.Task]) > 1 {
			h.report(RanTwice, "key %s ran as %d requests", e.Task, len(h.requestsByKey[e.Task]))
		}
	}
	if since, ok := h.rules.NoWorkAfter[e.Instance]; ok && e.At.After(since) {
		h.report(WorkAfterDrain, "%s got request %s %s after it should get none", e.Instance, e.Request, e.At.Sub(since))
	}
}

// addReply handles the response to a request, as its caller recorded it.
func (h *history) addReply(e faker.Event) {
	switch {
	case e.Outcome == "not-run":
		h.notRun[e.Request] = true
	case e.Outcome == "done" && e.Mismatch != "":
		h.report(WrongAnswer, "request %s: %s", e.Request, e.Mismatch)
	}
}
