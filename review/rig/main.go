// Command rig runs the project's pool-entry and pool-agent as processes beside stand-ins of the store, the
// workers, the advice service and the clients, plays a scenario, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

// Exit codes.
const (
	held        = 0
	ruleBroken  = 1
	couldNotRun = 2
)

// scenarios are the plays by name.
var scenarios = map[string]func(f *fleet, trouble bool, seed uint64){
	"soak":    soak,
	"crasher": crasher,
	"leaker":  leaker,
	"rack":    rack,
	"large":   large,
	"cut":     cutOff,
	"policy":  policy,
}

func main() {
	if len(os.Args) < 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO PROGRAM RECORD [SEED]")
		os.Exit(couldNotRun)
	}
	seed := uint64(1)
	if len(os.Args) > 4 {
		n, err := strconv.ParseUint(os.Args[4], 10, 64)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(couldNotRun)
		}
		seed = n
	}
	f, err := newFleet(seed, os.Args[3], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	scenarios[os.Args[1]](f, trouble, seed)
	f.close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.note("counts %v", f.audit.count)
	fmt.Printf("%s trouble=%v: %v in %s\n", os.Args[1], trouble, f.audit.count, time.Since(f.began).Round(time.Second))
	for _, b := range f.audit.breaks[:min(len(f.audit.breaks), 12)] {
		fmt.Println("BROKEN", b)
	}
	if len(f.audit.breaks) > 0 {
		os.Exit(ruleBroken)
	}
	os.Exit(held)
}
