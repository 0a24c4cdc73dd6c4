package allocator

import (
	"slices"
	"time"

	"github.com/endivefall/endivefall/sequencer"
)

// Costs of racks, where the factor is known.
const (
	// remoteRunCost is the cost of a run outside its rack that takes twice as long. At a factor of 1.5 the cost
	// is then as high as all terms together that only decide which empty room is left: the free CPU of
	// an empty worker and emptyWorkerCost.
	remoteRunCost = 4.0
	// maxRemoteCost keeps it below failedWorkerCost.
	maxRemoteCost = 8.0
	// startTime is the part of a task's time that does not depend on where it runs: its start and the
	// report of its end.
	startTime = 100 * time.Millisecond
	// displacementCost is the cost of sending a task away that would take twice as long there, maxDisplacementCost
	// its upper bound: a rack in demand is still better than a worker that slows a best-effort task.
	displacementCost    = 2.0
	maxDisplacementCost = 2.0
)

// rackCost returns the cost of placing a task in the rack of a candidate: of a longer run if its data is
// elsewhere, and of the room that is wanted by tasks with their data there.
func rackCost(step *sequencer.Step, c *Candidate) float64 {
	if step.PreferredRack != "" && slices.Contains(c.Labels, step.PreferredRack) {
		return 0
	}
	cost := min(displacementCost*max(c.RemoteFactor-1, 0), maxDisplacementCost) * c.RackDemand
	switch {
	case step.PreferredRack == "":
	case c.RemoteFactor == 0 || step.LongRunning:
		cost += remoteDataCost
	default:
		work := 1.0
		if step.Estimate > 0 {
			work = float64(step.Estimate) / float64(step.Estimate+startTime)
		}
		cost += min(remoteRunCost*max(c.RemoteFactor-1, 0)*work, maxRemoteCost)
	}
	return cost
}
