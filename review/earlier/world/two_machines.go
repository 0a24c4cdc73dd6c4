package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/endivefall/endivefall/elector"
)

// lastingTasks is how many tasks submission.json has.
const lastingTasks = 8

// owner returns the entry that last wrote to the store under a condition as the owner, and
// its number.
func (w *world) owner() (*program, int) {
	item, err := w.store.Client().Get(w.ctx, elector.OwnerKey)
	if err != nil {
		return nil, 0
	}
	var r elector.OwnerRecord
	if err := cbor.Unmarshal(item.Value, &r); err != nil {
		return nil, 0
	}
	for n, p := range w.entries {
		if p.name == r.Owner.ID {
			return p, n
		}
	}
	return nil, 0
}

// loseTwoMachines removes two machines at the same moment for good: the one whose entry owns
// the pools, and the one with the worker on which tasks that last are at work.
func loseTwoMachines(dir string) ([]string, error) {
	body, err := os.ReadFile(filepath.Join(dir, "submission.json"))
	if err != nil {
		return nil, err
	}
	w, err := newWorld(dir, options{
		entries: 4, workers: 6, cpu: 64000, memory: 256000, config: plainConfig, startup: 300 * time.Millisecond,
		duration: func(string, uint64) time.Duration { return 0 },
	})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second) // traffic starts after the machines
	if err := w.submit("/q/5c0e7a21d94b36f8", string(body)); err != nil {
		return nil, err
	}
	if !await(20*time.Second, func() bool {
		runs, _ := w.running()
		return runs == lastingTasks
	}) {
		return nil, fmt.Errorf("%w: the tasks are not at work all at once", errCannotRun)
	}
	time.Sleep(5 * time.Second)
	owner, number := w.owner()
	if owner == nil {
		return nil, fmt.Errorf("%w: no owner is known", errCannotRun)
	}
	busiest := w.busiest()
	if w.trouble {
		w.workers[busiest].lose()
		w.signal(syscall.SIGKILL, owner, w.agents[busiest])
	}
	lostAt := time.Since(w.record.began)
	other := (number + 1) % len(w.entries)
	for range 25 {
		time.Sleep(time.Second)
		runs, _ := w.running()
		w.record.note("%d of %d tasks are at work", runs, lastingTasks)
		w.send(other, "GET", "/q/5c0e7a21d94b36f8", "")
	}
	return w.verdict(w.record.lastingAway(lostAt))
}
