package quarantiner

import (
	"slices"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/sequencer"
)

// Limits of trials.
const (
	// workersPerTrial is the number of workers of a pool for each that may try a likely
	// suspect at once; there may always be one.
	workersPerTrial = 4
	// maxOddsTogether bounds the sum of the odds of unlikely suspects on one worker.
	maxOddsTogether Odds = 0.2
	// revisitCost is the cost of a worker on which the task was lost in a crash before: only
	// a crash elsewhere tells a faulty task from a faulty instance.
	revisitCost = 1e6
	// unprovenCost is the cost of each run that has just been started, as it could be taken
	// for the suspect or the suspect for it.
	unprovenCost = 20
)

// Trials are the trials of suspected tasks in one pool.
//
// A likely suspect is tried alone: nothing else is started on its worker until it has
// worked for a while, and few workers do so at once. Unlikely ones are placed like other
// tasks, but spread.
type Trials struct {
	// Workers is the number of workers of the pool.
	Workers int
	// odds has the sum of the odds of the suspects by worker; likely has the workers with a
	// likely one, and jobs the jobs of these.
	odds         map[string]Odds
	likely, jobs map[string]bool
}

// NewTrials returns the trials of a pool with so many workers.
func NewTrials(workers int) *Trials {
	return &Trials{Workers: workers, odds: map[string]Odds{}, likely: map[string]bool{}, jobs: map[string]bool{}}
}

// Add records a suspect that was started on a worker.
func (t *Trials) Add(job, worker string, odds Odds) {
	t.odds[worker] += odds
	if odds >= Likely {
		t.likely[worker], t.jobs[job] = true, true
	}
}

// Allowed returns the candidates on which a suspect of a job may start now. A job has one
// likely suspect on trial at a time.
func (t *Trials) Allowed(job string, odds Odds, candidates []*allocator.Candidate) []*allocator.Candidate {
	if odds >= Likely && (t.jobs[job] || len(t.likely) >= max(t.Workers/workersPerTrial, 1)) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(c *allocator.Candidate) bool { return !t.allows(c.ID, odds) })
}

// allows reports whether a worker may try a suspect besides those that it tries already.
func (t *Trials) allows(worker string, odds Odds) bool {
	others := t.odds[worker]
	return others == 0 || !t.likely[worker] && odds < Likely && others+odds <= maxOddsTogether
}

// LeastHarm returns the candidate on which a likely suspect is tried, the one with the
// least to lose in a crash, or nil if it fits none.
func LeastHarm(task *sequencer.Task, stepName string, candidates []*allocator.Candidate) *allocator.Candidate {
	var best *allocator.Candidate
	lowest := 0.0
	for _, c := range candidates {
		if !allocator.Fits(task, stepName, c) {
			continue
		}
		cost := c.AtRisk + unprovenCost*float64(c.Unproven)
		for _, crash := range task.Crashes {
			if crash.Instance == c.ID {
				cost += revisitCost
			}
		}
		if best == nil || cost < lowest {
			best, lowest = c, cost
		}
	}
	return best
}
