package orchestrator

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/sequencer"
)

// placeGang starts all members of a gang together, or none: they make progress only
// when all of them run, and all resume from the same checkpoint.
func (o *Orchestrator) placeGang(j *job, members []*sequencer.Task, candidates []*allocator.Candidate, agents map[string]*agent, now time.Time) {
	step, name := members[0].StepSpec(), members[0].StepName()
	if members[len(members)-1].Step != members[0].Step || members[len(members)-1].Occurrence != members[0].Occurrence {
		return // some member is not runnable
	}
	for _, t := range members {
		if now.Before(t.NotBefore) {
			return
		}
	}
	granted := o.grantedCandidates(j, name, candidates, agents, now)
	for _, candidateSet := range gangCandidateSets(step, granted) {
		if chosen := pickGang(members, name, candidateSet, now, o.predictor.UpperInterference); chosen != nil {
			if !o.gangWaits(j, members, chosen, granted, now) {
				o.startGang(j, members, chosen, agents)
			}
			return
		}
	}
	o.wantTickets(members[0], len(members), candidates, agents, now)
}

// gangCandidateSets returns the candidate sets to try in order. A tightly coupled
// gang is slower across racks: it tries each rack first, then all candidates.
func gangCandidateSets(step *sequencer.Step, candidates []*allocator.Candidate) [][]*allocator.Candidate {
	if !step.TightlyCoupled {
		return [][]*allocator.Candidate{candidates}
	}
	racks, byRack := groupByRack(candidates)
	if len(candidates) > 0 && candidates[0].RemoteFactor > 0 {
		slices.SortStableFunc(racks, func(a, b string) int {
			return cmp.Compare(rackOrder(step, byRack[a][0]), rackOrder(step, byRack[b][0]))
		})
	}
	sets := make([][]*allocator.Candidate, 0, len(racks)+1)
	for _, rack := range racks {
		sets = append(sets, byRack[rack])
	}
	return append(sets, candidates)
}

// rackOrder returns the place of a candidate's rack in the order of those that a tightly coupled gang tries: its
// own one first, and racks in demand last.
func rackOrder(step *sequencer.Step, c *allocator.Candidate) float64 {
	if step.PreferredRack != "" && slices.Contains(c.Labels, step.PreferredRack) {
		return -1
	}
	return c.RackDemand
}

// groupByRack returns the racks of candidates in order, and the candidates by rack.
func groupByRack(candidates []*allocator.Candidate) (racks []string, byRack map[string][]*allocator.Candidate) {
	byRack = map[string][]*allocator.Candidate{}
	for _, candidate := range candidates {
		rack := candidate.Rack()
		if byRack[rack] == nil {
			racks = append(racks, rack)
		}
		byRack[rack] = append(byRack[rack], candidate)
	}
	slices.Sort(racks)
	return racks, byRack
}

// pickGang selects a candidate for each member, or returns nil if they do not all
// fit.
func pickGang(members []*sequencer.Task, name string, candidates []*allocator.Candidate, now time.Time, interference func(bestEffortImage, servingImage string) float64) []*allocator.Candidate {
	trial := make([]*allocator.Candidate, len(candidates))
	original := make(map[*allocator.Candidate]*allocator.Candidate, len(candidates))
	for n, candidate := range candidates {
		trial[n] = candidate.Clone()
		original[trial[n]] = candidate
	}
	chosen := make([]*allocator.Candidate, len(members))
	for n, t := range members {
		candidate := allocator.Pick(t, name, trial, now, interference)
		if candidate == nil {
			return nil
		}
		candidate.Reserve(t.StepSpec(), name)
		chosen[n] = original[candidate]
	}
	return chosen
}

// startGang starts all members with the same attempt number and checkpoint.
func (o *Orchestrator) startGang(j *job, members []*sequencer.Task, chosen []*allocator.Candidate, agents map[string]*agent) {
	attempt := uint64(0)
	newest := members[0]
	for _, t := range members {
		attempt = max(attempt, o.nextAttempt(t))
		if t.Checkpoint != "" && (newest.Checkpoint == "" || t.CheckpointAt.After(newest.CheckpointAt)) {
			newest = t
		}
	}
	if !o.mayStart(members[0], len(members)) {
		return
	}
	checkpoint := newest.Checkpoint
	for n, t := range members {
		t.Checkpoint = checkpoint
		a := agents[chosen[n].ID]
		if !o.startRun(t, j, a, attempt) {
			return // stopIncompleteGangs stops the others
		}
		chosen[n].Reserve(t.StepSpec(), t.StepName())
		o.startedForRack(t, chosen[n], o.cfg.Now())
		o.setBusy(chosen[n], a)
	}
	o.startedGang(members[0], chosen)
}

// stopIncompleteGangs stops the members of gangs that are incomplete, as they would
// wait for the others forever.
func (o *Orchestrator) stopIncompleteGangs() {
	blocked := o.startBlocked()
	type gang struct {
		j                *job
		occurrence, step int
	}
	live := map[gang][]*run{}
	for _, r := range o.runs {
		if r.task.StepSpec().Gang && !r.task.Done {
			g := gang{r.job, r.task.Occurrence, r.task.Step}
			live[g] = append(live[g], r)
		}
	}
	for g, runs := range live {
		if slices.ContainsFunc(g.j.Tasks(g.occurrence, g.step), blocked) {
			continue // a member may run on an agent that is not reconciled yet
		}
		if len(runs) == g.j.Spec.Steps[g.step].Count && !slices.ContainsFunc(runs, func(r *run) bool { return r.key.attempt != runs[0].key.attempt || r.evict }) {
			continue
		}
		for _, r := range runs {
			o.stopRun(r, "gang is incomplete")
		}
	}
}
