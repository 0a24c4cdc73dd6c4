// Package relocator decides which throttled best-effort runs move to another worker. It
// does no I/O.
//
// Load pattern: every worker has serving tasks, whose loads swing, so that best-effort
// runs beside them are throttled in one place while others have headroom.
package relocator

import (
	"slices"
	"strings"
	"time"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/sequencer"
)

// Limits of the relocation of throttled runs.
const (
	// SlowedPacePercent is the pace below which a run is worth relocating.
	SlowedPacePercent = 50
	// minRelocationAge is how long a run stays where it was started.
	minRelocationAge = 600 * time.Millisecond
	// nearEndPercent is the progress from which a run is left to finish.
	nearEndPercent = 95
	// minMovesPerRound and workersPerMove limit the relocations of one round: to a
	// number, or to one for each workersPerMove workers if that is more. The effect
	// on the freed workers is then visible before the next round.
	minMovesPerRound, workersPerMove = 4, 3
	// minTargetPace is the share of full pace that a run must be expected to reach
	// on its new worker.
	minTargetPace = 0.9
)

// Run is a best-effort run that may be stopped to move.
type Run struct {
	Task *sequencer.Task
	// Worker is the ID of its worker, Pool the pool whose workers may run it.
	Worker, Pool                 string
	PacePercent, ProgressPercent int
	StartedAt                    time.Time
	// MayRunOn reports whether the policy of its queue allows a worker; nil if it allows all.
	MayRunOn func(worker string) bool
	// index is the position in the argument of Choose.
	index int
}

// Move is a run, by its index in the argument of Choose, and the worker to move it to.
type Move struct {
	Run int
	To  string
}

// Choose returns the runs to move at a time, the most throttled first, and reserves their
// room on the candidates, which are given by pool. workers is the number of all workers.
// interference returns the interference coefficient of a best-effort image and a serving
// image.
func Choose(now time.Time, runs []Run, candidates map[string][]*allocator.Candidate, workers int, interference func(bestEffortImage, servingImage string) float64) []Move {
	var slowed []Run
	for n, r := range runs {
		if r.PacePercent < SlowedPacePercent && r.ProgressPercent < nearEndPercent && now.Sub(r.StartedAt) > minRelocationAge {
			r.index = n
			slowed = append(slowed, r)
		}
	}
	slices.SortFunc(slowed, func(a, b Run) int {
		if c := a.PacePercent - b.PacePercent; c != 0 {
			return c
		}
		return strings.Compare(a.Task.Name(), b.Task.Name())
	})
	var moves []Move
	for _, r := range slowed {
		if len(moves) >= max(minMovesPerRound, workers/workersPerMove) {
			break
		}
		if c := target(r, candidates[r.Pool], interference); c != nil {
			step := r.Task.StepSpec()
			c.Reserve(step, r.Task.StepName())
			c.AddInterference(step.Image, step.CPU, interference)
			moves = append(moves, Move{Run: r.index, To: c.ID})
		}
	}
	return moves
}

// target returns the worker on which a run would not be throttled and takes the smallest
// part of the serving tasks' headroom, or nil.
func target(r Run, candidates []*allocator.Candidate, interference func(bestEffortImage, servingImage string) float64) *allocator.Candidate {
	step, name := r.Task.StepSpec(), r.Task.StepName()
	var best *allocator.Candidate
	lowest := 0.0
	for _, c := range candidates {
		if c.ID == r.Worker || r.MayRunOn != nil && !r.MayRunOn(c.ID) || !allocator.Fits(r.Task, name, c) || c.BestEffortCPU+step.CPU > c.ReclaimableCPU() {
			continue
		}
		pressure := allocator.ExpectedPressure(step, c, interference)
		if pressure.Pace >= minTargetPace && (best == nil || pressure.HeadroomShare < lowest) {
			best, lowest = c, pressure.HeadroomShare
		}
	}
	return best
}
