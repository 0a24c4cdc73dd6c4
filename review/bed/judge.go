package main

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// runID is one run of a task.
type runID struct {
	who, task string
	attempt   uint64
}

// judgeTwice returns the breaks of TWICE: two runs of a task at the same time, or a start after
// a run has ended done whose end was taken note of, then or later, and whose worker's lease
// has not lapsed in between.
func judgeTwice(events []event) []string {
	type doneAt struct {
		at  time.Duration
		run runID
	}
	noted, endedAt, lapsedAt := map[runID]bool{}, map[runID]time.Duration{}, map[string]time.Duration{}
	for _, e := range events {
		id := runID{e.who, e.task, e.attempt}
		switch {
		case e.kind == "lapse":
			lapsedAt[e.who] = e.at
		case e.kind == "end":
			endedAt[id] = e.at
		case e.kind == "noted" && e.detail == "done" && lapsedAt[e.who] <= endedAt[id]:
			noted[id] = true
		}
	}
	running := map[string]map[runID]bool{}
	done := map[string][]doneAt{}
	var broken []string
	for _, e := range events {
		id := runID{e.who, e.task, e.attempt}
		switch e.kind {
		case "start":
			if running[e.task] == nil {
				running[e.task] = map[runID]bool{}
			}
			for other := range running[e.task] {
				broken = append(broken, fmt.Sprintf("TWICE: %s starts at %s at %.3f as run %d while run %d works at %s", e.task, e.who, e.at.Seconds(), e.attempt, other.attempt, other.who))
			}
			for _, d := range done[e.task] {
				if noted[d.run] {
					broken = append(broken, fmt.Sprintf("TWICE: %s starts at %s at %.3f as run %d after run %d ended done at %s at %.3f, which was taken note of",
						e.task, e.who, e.at.Seconds(), e.attempt, d.run.attempt, d.run.who, d.at.Seconds()))
				}
			}
			running[e.task][id] = true
		case "end", "lost":
			delete(running[e.task], id)
			if e.detail == "done" {
				done[e.task] = append(done[e.task], doneAt{e.at, id})
			}
		}
	}
	return broken
}

// summary returns the first lines and how many there are in all.
func summary(lines []string) []string {
	const most = 3
	if len(lines) <= most {
		return lines
	}
	sort.Strings(lines)
	return append(lines[:most:most], fmt.Sprintf("and %d more", len(lines)-most))
}

// starts returns how often tasks with a prefix were started.
func starts(events []event, prefix string) int {
	n := 0
	for _, e := range events {
		if e.kind == "start" && strings.HasPrefix(e.task, prefix) {
			n++
		}
	}
	return n
}
