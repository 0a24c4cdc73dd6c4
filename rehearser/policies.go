package rehearser

import (
	"maps"
	"slices"
	"time"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/sequencer"
)

// Policies are the policies that can be rehearsed, by name.
var Policies = map[string]Policy{
	"built":    {Name: "built", Pick: allocator.Pick, Rank: allocator.RankJob, Relocate: true},
	"due":      {Name: "due", Pick: allocator.Pick, Rank: rankByDue, Relocate: true},
	"guessing": {Name: "guessing", Pick: allocator.Pick, Rank: rankByGuess, Relocate: true},
	"unmoved":  {Name: "unmoved", Pick: allocator.Pick, Rank: allocator.RankJob},
	"knowing":  {Name: "knowing", Pick: allocator.Pick, Rank: allocator.RankJob, Relocate: true, KnowsPairs: true},
	"unaware":  {Name: "unaware", Pick: allocator.Pick, Rank: allocator.RankJob, Relocate: true, Locality: Unaware},
	"never":    {Name: "never", Pick: allocator.Pick, Rank: allocator.RankJob, Relocate: true, Locality: NeverWait},
	"always":   {Name: "always", Pick: allocator.Pick, Rank: allocator.RankJob, Relocate: true, Locality: AlwaysWait},
	"simplest": {Name: "simplest", Pick: pickEmptiest, Rank: rankByArrival},
}

// PolicyNames returns the names of the policies in order.
func PolicyNames() []string { return slices.Sorted(maps.Keys(Policies)) }

// pickEmptiest returns the candidate with the most free CPU on which a task fits.
func pickEmptiest(t *sequencer.Task, stepName string, candidates []*allocator.Candidate, _ time.Time, _ func(string, string) float64) *allocator.Candidate {
	var best *allocator.Candidate
	for _, c := range candidates {
		if allocator.Fits(t, stepName, c) && (best == nil || c.FreeCPU()-c.BestEffortCPU > best.FreeCPU()-best.BestEffortCPU) {
			best = c
		}
	}
	return best
}

func rankByArrival(j *sequencer.Job, _ *allocator.Corrections, _ time.Time) allocator.Rank {
	return allocator.Rank{Due: j.Spec.AcceptedAt}
}

// rankByDue ranks the jobs of a class by their dates alone.
func rankByDue(j *sequencer.Job, _ *allocator.Corrections, now time.Time) allocator.Rank {
	rank := allocator.RankJob(j, nil, now)
	rank.Waiting = 0
	return rank
}

// rankByGuess learns nothing from ended tasks.
func rankByGuess(j *sequencer.Job, _ *allocator.Corrections, now time.Time) allocator.Rank {
	return allocator.RankJob(j, nil, now)
}
