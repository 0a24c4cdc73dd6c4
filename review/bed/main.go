// Command bed plays the cases of the review: it is the clients, the workers and the
// platform of a small deployment, whose processes run.sh starts.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is a case: it returns what was broken, or an error if it couldn't run.
type play func(dir string, rec *record) (broken []string, err error)

var plays = map[string]play{
	"ends":   playEnds,
	"fills":  playFills,
	"cancel": playCancel,
	"outage": playOutage,
	"stress": playStress,
	"doubt":  playDoubt,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 || plays[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed CASE TEMPORARY-FOLDER RECORD")
		return exitNotRun
	}
	rec, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := plays[args[0]](args[1], rec)
	defer func() { _ = os.WriteFile(filepath.Join(args[1], "over"), nil, 0o600) }()
	if err != nil {
		rec.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	for _, line := range broken {
		rec.note("BROKEN %s", line)
		fmt.Println("BROKEN", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// ready waits until a small job has run through, and all agents have their worker.
func (w *world) ready() error {
	if !await(15*time.Second, func() bool {
		status, _ := w.send(w.fronts[0], "GET", "", nil)
		return status == 200
	}) {
		return fmt.Errorf("the entries are not ready")
	}
	time.Sleep(3 * time.Second) // two heartbeats
	return nil
}
