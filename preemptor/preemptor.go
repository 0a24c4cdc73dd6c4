// Package preemptor decides which runs are stopped to make room. It does no I/O.
//
// Load: workers are full of best-effort runs of two seconds that save their progress each second, and
// tasks that may not wait need room on some of them all the time. A run that is stopped starts again
// elsewhere from its last checkpoint, and reads it for half a second first.
package preemptor

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// endingSoon is the time left below which stopping a run frees its room no sooner than its end
	// does: the stop and the start from the checkpoint take that long.
	endingSoon = 500 * time.Millisecond
	// restoreTime is how long a task takes to read its checkpoint before it goes on.
	restoreTime = 600 * time.Millisecond
)

// Run is a run that may be stopped.
type Run struct {
	// Name identifies the run. Priority is that of its job; 0 is the highest.
	Name     string
	Priority int
	// CPU is what it takes, in thousandths of a core.
	CPU int64
	// Unsaved is the time at full pace since its start or its last checkpoint, and Left that until its
	// end.
	Unsaved, Left time.Duration
	// Saved is set if its task has a checkpoint.
	Saved bool
	// Unprogressed is set if its task was stopped before and has saved nothing since.
	Unprogressed bool
}

// Stoppable reports whether a run may be stopped for a task that can also wait: it does not end soon, and
// it does not start again and again without progress.
func (r Run) Stoppable() bool { return !r.Unprogressed && r.Left >= endingSoon }

// Loss returns the work that is thrown away if the run is stopped, in core-seconds.
func (r Run) Loss() float64 {
	lost := r.Unsaved
	if r.Saved {
		lost += restoreTime
	}
	return lost.Seconds() * float64(r.CPU) / 1000
}

// Order returns the indices of runs in the order in which they are stopped: first those that are
// Stoppable, of these the ones with the lowest priority, and then those that lose least.
func Order(runs []Run) []int {
	order := make([]int, len(runs))
	for n := range order {
		order[n] = n
	}
	slices.SortFunc(order, func(x, y int) int {
		a, b := runs[x], runs[y]
		if a.Stoppable() != b.Stoppable() {
			if a.Stoppable() {
				return -1
			}
			return 1
		}
		return cmp.Or(b.Priority-a.Priority, cmp.Compare(a.Loss(), b.Loss()), strings.Compare(a.Name, b.Name))
	})
	return order
}
