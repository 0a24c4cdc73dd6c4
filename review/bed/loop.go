package main

import (
	"fmt"
	"strings"
	"time"
)

// Figures of the case: one of 20 submissions that last can never be done (poison, 0.05).
const (
	goodLasting = 19
	chainSteps  = 14
)

// playLoop hands in a submission whose lasting tasks always fail, and then one with a chain
// of steps.
func playLoop(dir string, rec *record) ([]string, error) {
	const hopeless, chain = "badbadbadbadbad0", "c4a1a21d94b36f80"
	rec.quiet["noted"] = true
	trouble := false
	w, err := newWorld(dir, rec, size{entries: 2, workers: 3, cpu: 64000, memory: 256000, plan: func(task string) time.Duration {
		switch {
		case strings.HasPrefix(task, hopeless) && trouble:
			return 400 * time.Millisecond
		case strings.HasPrefix(task, chain), strings.HasPrefix(task, "0e"):
			return 640 * time.Millisecond
		}
		return 0
	}})
	if err != nil {
		return nil, err
	}
	trouble = w.trouble
	for _, wk := range w.workers {
		wk.fails = func(task string) bool { return trouble && strings.HasPrefix(task, hopeless) }
	}
	if err := w.ready(); err != nil {
		return nil, err
	}
	if err := w.others(3); err != nil {
		return nil, err
	}
	watcher := map[string]any{"spec": "w", "phases": []any{map[string]any{"count": 6, "cpu": 200, "memMb": 100, "estimateMs": 400, words["lasts"]: true}}}
	for n := range goodLasting {
		if !w.submit(fmt.Sprintf("f00d%012x", n), watcher, 5*time.Second) {
			return nil, fmt.Errorf("a submission was not accepted")
		}
	}
	if !w.submit(hopeless, watcher, 5*time.Second) {
		return nil, fmt.Errorf("a submission was not accepted")
	}
	if !await(10*time.Second, func() bool { return w.running("f00d") == goodLasting*6 }) {
		return nil, fmt.Errorf("%d tasks that last run", w.running("f00d"))
	}
	time.Sleep(5 * time.Second)
	var steps []any
	for n := range chainSteps {
		step := map[string]any{"count": 2, "cpu": 960, "memMb": 100, "estimateMs": 640}
		if n > 0 {
			step["after"] = []int{n - 1}
		}
		steps = append(steps, step)
	}
	if !w.submit(chain, map[string]any{"spec": "c", "phases": steps}, 5*time.Second) {
		return nil, fmt.Errorf("the chain was not accepted")
	}
	handedIn := rec.now()
	await(60*time.Second, func() bool { time.Sleep(500 * time.Millisecond); return w.state(chain) == "complete" })
	rec.note("the chain is %q %s after it was handed in", w.state(chain), (rec.now() - handedIn).Round(time.Millisecond))
	late, longest := idleSpans(rec.all(), chain, handedIn, handedIn+finishBound)
	rec.note("longest time with nothing of it running: %s", longest.Round(time.Millisecond))
	if late > 0 {
		return []string{fmt.Sprintf("LOST: %d times, later than %s after the last submission, it had nothing running for %s while a task's turn had come and the workers were nearly empty; longest %s",
			late, finishBound, calmBound, longest.Round(time.Millisecond))}, nil
	}
	return nil, nil
}

// idleSpans returns how often a job had nothing running for calmBound after a time, between
// the end of a step and the start of the next, and the longest such time of all.
func idleSpans(events []event, id string, since, after time.Duration) (late int, longest time.Duration) {
	running := 0
	for _, e := range events {
		if !strings.HasPrefix(e.task, id+".") {
			continue
		}
		switch e.kind {
		case "start":
			if running == 0 {
				if e.at-max(since, after) >= calmBound {
					late++
				}
				longest = max(longest, e.at-since)
			}
			running++
		case "end":
			if running--; running == 0 {
				since = e.at
			}
		}
	}
	return late, longest
}
