package orchestrator

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/quarantiner"
	"github.com/endivefall/endivefall/sequencer"
)

// trials returns the trials of suspected tasks, by pool.
func (o *Orchestrator) trials() map[string]*quarantiner.Trials {
	byPool := map[string]*quarantiner.Trials{}
	for _, a := range o.agents {
		if a.snapshot == nil {
			continue
		}
		if byPool[a.snapshot.Pool] == nil {
			byPool[a.snapshot.Pool] = quarantiner.NewTrials(0)
		}
		byPool[a.snapshot.Pool].Workers++
	}
	for _, r := range o.runs {
		if odds := r.oddsNow(); odds >= quarantiner.Suspect && byPool[r.job.Placement.Pool] != nil {
			byPool[r.job.Placement.Pool].Add(r.job.Spec.ID, r.agent.id, odds)
		}
	}
	return byPool
}

// placeSuspects starts the waiting tasks that are suspected of crashing workers, the least
// likely ones first: most of them do not. They go before all others, as they have waited.
func (o *Orchestrator) placeSuspects(blocked func(*sequencer.Task) bool, byPool map[string][]*allocator.Candidate, agents map[string]*agent, now, wall time.Time) {
	var suspects []*sequencer.Task
	for _, j := range o.openJobs {
		if !j.suspected {
			continue
		}
		for _, t := range o.waitingTasks(j, blocked, now, wall) {
			if isSuspect(t) && !now.Before(t.NotBefore) && !blocked(t) {
				suspects = append(suspects, t)
			}
		}
	}
	if len(suspects) == 0 {
		return
	}
	slices.SortFunc(suspects, func(a, b *sequencer.Task) int {
		return cmp.Or(cmp.Compare(a.CrashOdds, b.CrashOdds), strings.Compare(a.Name(), b.Name()))
	})
	trials := o.trials()
	for _, t := range suspects {
		if pool := trials[t.Job.Placement.Pool]; pool != nil && o.mayStart(t, 1) {
			o.tryTask(t, pool, byPool[t.Job.Placement.Pool], agents, now)
		}
	}
}

// isSuspect reports whether a task is placed by placeSuspects. Gangs are not, as their
// members start together.
func isSuspect(t *sequencer.Task) bool {
	return quarantiner.Odds(t.CrashOdds) >= quarantiner.Suspect && !t.StepSpec().Gang
}

// tryTask starts a suspected task if there is a worker for it.
func (o *Orchestrator) tryTask(t *sequencer.Task, trials *quarantiner.Trials, candidates []*allocator.Candidate, agents map[string]*agent, now time.Time) {
	j, name, odds := o.jobs[t.Job.Spec.ID], t.StepName(), quarantiner.Odds(t.CrashOdds)
	allowed := trials.Allowed(j.Spec.ID, odds, o.grantedCandidates(j, name, candidates, agents, now))
	var candidate *allocator.Candidate
	if odds >= quarantiner.Likely {
		candidate = quarantiner.LeastHarm(t, name, allowed)
	} else {
		candidate = allocator.Pick(t, name, allowed, now, o.predictor.UpperInterference)
	}
	if candidate == nil {
		o.wantTickets(t, 1, trials.Allowed(j.Spec.ID, odds, candidates), agents, now)
		return
	}
	a := agents[candidate.ID]
	if !a.hasRoom() || !o.startTask(t, j, a) {
		return
	}
	trials.Add(j.Spec.ID, a.id, odds)
	o.reserve(candidate, t)
	o.setBusy(candidate, a)
	candidate.OnTrial = odds >= quarantiner.Likely
	o.cfg.Log.Info("trying a suspected task", zap.String("task", t.Name()), zap.Uint64("attempt", t.Attempt), zap.String("agent", a.id), zap.Float64("odds", t.CrashOdds),
		zap.Int("crashes", len(t.Crashes)), zap.Float64("at_risk", candidate.AtRisk))
}

// workAtRisk returns the harm of a crash to a run: it has to wait for another worker, and
// what it has not saved is lost, in core-seconds.
func (r *run) workAtRisk(now time.Time) float64 {
	step := r.task.StepSpec()
	if step.LongRunning {
		return 1
	}
	return 1 + float64(step.CPU)/1000*now.Sub(later(r.startedAt, r.task.CheckpointAt)).Seconds()
}
