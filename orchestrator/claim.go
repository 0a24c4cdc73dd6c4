package orchestrator

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/apportioner"
	"github.com/endivefall/endivefall/sequencer"
)

// claim keeps room on the worker of an agent for a task that starts there next.
type claim struct {
	task  *sequencer.Task
	job   *job
	agent *agent
	// runs is set while the task has the run that it had when it claimed room. endBy is when
	// the claim ends if that run has not ended, moving is set once it is stopped.
	runs   bool
	endBy  time.Time
	moving bool
}

// void reports whether the task of a claim needs no room any more, can't move in time, or turns
// out to be at work elsewhere.
func (cl *claim) void(now time.Time) bool {
	return cl.task.Done || cl.job.Ended() || cl.task.LiveRuns > 0 && (!cl.runs || !now.Before(cl.endBy))
}

// promised reports whether a run was stopped for the room, so that no other task gets it.
func (cl *claim) promised() bool { return cl.moving && cl.runs }

// reserveClaims reserves the claimed room on the candidates and drops the claims that have
// become void.
func (o *Orchestrator) reserveClaims(index map[string]*allocator.Candidate, now time.Time) {
	for t, cl := range o.claims {
		cl.runs = cl.runs && t.LiveRuns > 0
		if cl.void(now) {
			delete(o.claims, t)
		} else if candidate := index[cl.agent.id]; candidate != nil {
			candidate.Reserve(t.StepSpec(), t.StepName())
		}
	}
}

// placeStarving starts the waiting tasks that have claimed room, and other long-running ones that
// have waited for minClaimWait: first the ones that were stopped to move, and then the ones
// that have waited longest. They go before all others, which would take the room, and none takes
// what those before it have claimed. Those without a claim are bounded by the Share of their pool.
func (o *Orchestrator) placeStarving(blocked func(*sequencer.Task) bool, byPool map[string][]*allocator.Candidate, agents map[string]*agent, now, wall time.Time) {
	list := o.startingFirst(blocked, minClaimWait, now, wall)
	if len(list) == 0 {
		return
	}
	spent := map[string]bool{} // pools in which no more tasks without a claim may start
	o.releaseClaims(byPool)
	defer o.reserveMoves(byPool)
	unmet := map[string]*apportioner.Unmet{}
	for _, s := range list {
		t, name := s.task, s.task.StepName()
		candidates := byPool[s.job.Placement.Pool]
		claimed := o.claimedCandidate(t, o.allowedCandidates(s.job, name, candidates, agents))
		if claimed == nil || isSuspect(t) {
			delete(o.claims, t)
		}
		if isSuspect(t) {
			continue
		}
		held := blocked(t) || now.Before(t.NotBefore) || !o.mayStart(t, 1)
		candidate := claimed
		ticketless := claimed != nil && !o.mayStartAt(s.job, t, agents[claimed.ID], now)
		if !held && ticketless && allocator.FitsClaim(t, name, claimed) {
			o.wantTickets(t, 1, []*allocator.Candidate{claimed}, agents, now)
		}
		if !held && (claimed == nil || ticketless || !allocator.FitsClaim(t, name, claimed)) {
			candidate = o.pickUnlessUnmet(s, o.grantedCandidates(s.job, name, candidates, agents, now), unmet, now)
		}
		if candidate != nil && candidate != claimed && !s.moved {
			pool := s.job.Placement.Pool
			if spent[pool] = spent[pool] || !o.shareOf(pool).Allows(t.StepSpec(), now); spent[pool] {
				candidate = nil
			}
		}
		switch {
		case !held && candidate != nil:
			if o.startTask(t, s.job, agents[candidate.ID]) {
				o.reserve(candidate, t)
				if !s.moved {
					o.shareOf(s.job.Placement.Pool).AddFirst(t.StepSpec(), now)
				}
			} else {
				delete(o.claims, t)
			}
			o.setBusy(candidate, agents[candidate.ID])
		case claimed != nil && (held || ticketless || claimed.Busy || claims(t)):
			claimed.Reserve(t.StepSpec(), name)
		default:
			delete(o.claims, t)
		}
	}
}

// shareOf returns what was started in a pool lately.
func (o *Orchestrator) shareOf(pool string) *apportioner.Share {
	if o.shares[pool] == nil {
		o.shares[pool] = &apportioner.Share{}
	}
	return o.shares[pool]
}

// releaseClaims releases the claimed room on the candidates, but for what runs were stopped for.
func (o *Orchestrator) releaseClaims(byPool map[string][]*allocator.Candidate) {
	for t, cl := range o.claims {
		if candidate := o.claimedCandidate(t, byPool[cl.job.Placement.Pool]); candidate != nil && !cl.promised() {
			candidate.Release(t.StepSpec(), t.StepName())
		}
	}
}

// reserveMoves reserves the room that releaseClaims released of tasks that have a run.
func (o *Orchestrator) reserveMoves(byPool map[string][]*allocator.Candidate) {
	for t, cl := range o.claims {
		if candidate := o.claimedCandidate(t, byPool[cl.job.Placement.Pool]); candidate != nil && cl.runs && !cl.promised() {
			candidate.Reserve(t.StepSpec(), t.StepName())
		}
	}
}

// pickUnlessUnmet returns a candidate with room for a task, or nil if there is none, or was none for
// a smaller one in this round.
func (o *Orchestrator) pickUnlessUnmet(s starvingTask, granted []*allocator.Candidate, unmet map[string]*apportioner.Unmet, now time.Time) *allocator.Candidate {
	pool := s.job.Placement.Pool
	if unmet[pool] == nil {
		unmet[pool] = &apportioner.Unmet{}
	}
	name := s.task.StepName()
	if !claims(s.task) || unmet[pool].Known(s.task, name) {
		return nil
	}
	candidate := allocator.Pick(s.task, name, granted, now, o.predictor.UpperInterference)
	if candidate == nil && s.task.Attempt > 0 {
		unmet[pool].Add(s.task, name, !s.job.Placement.PolicyRestricted)
	}
	return candidate
}

// startingFirst returns the tasks without a run that have claimed room, and the other long-running
// ones that are free to start and have waited for some time, in the order in which they get room.
func (o *Orchestrator) startingFirst(blocked func(*sequencer.Task) bool, minWait time.Duration, now, wall time.Time) []starvingTask {
	var list []starvingTask
	for t, cl := range o.claims {
		if t.LiveRuns == 0 {
			list = append(list, starvingTask{task: t, job: cl.job, moved: cl.moving})
		}
	}
	for _, j := range o.openJobs {
		if !j.lasts() {
			continue
		}
		for _, t := range o.waitingTasks(j, blocked, now, wall) {
			if claims(t) && o.claims[t] == nil && now.Sub(t.WaitingSince) >= minWait && !blocked(t) {
				list = append(list, starvingTask{task: t, job: j})
			}
		}
	}
	slices.SortFunc(list, compareStarving)
	return list
}

// compareStarving orders tasks without a run: those that were stopped for the room that they have
// claimed go first, and then those that have waited longest.
func compareStarving(a, b starvingTask) int {
	if a.moved != b.moved {
		if a.moved {
			return -1
		}
		return 1
	}
	return compareWaits(a.task, b.task)
}

// claimedCandidate returns that one of the candidates on which a task has claimed room, or nil.
func (o *Orchestrator) claimedCandidate(t *sequencer.Task, candidates []*allocator.Candidate) *allocator.Candidate {
	cl := o.claims[t]
	if cl == nil {
		return nil
	}
	n, found := slices.BinarySearchFunc(candidates, cl.agent.id, func(c *allocator.Candidate, id string) int { return strings.Compare(c.ID, id) })
	if !found {
		return nil
	}
	return candidates[n]
}

// compareWaits orders tasks by how long they wait, the longest first.
func compareWaits(a, b *sequencer.Task) int {
	if c := a.WaitingSince.Compare(b.WaitingSince); c != 0 {
		return c
	}
	return cmp.Or(strings.Compare(a.Job.Spec.ID, b.Job.Spec.ID), a.Occurrence-b.Occurrence, a.Step-b.Step, a.Index-b.Index)
}
