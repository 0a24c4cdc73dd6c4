package orchestrator

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/quarantiner"
	"github.com/endivefall/endivefall/sequencer"
)

// Limits of the crashes of workers under a task.
const (
	// minConfirmedCrashes is the number of crashes of workers that had confirmed the run
	// below which no task is given up, and minCrashes that of all crashes for a task that
	// crashes its workers before they do.
	minConfirmedCrashes, minCrashes = 2, 4
	// minCrashedInstances is the number of instances on which they must have happened, if
	// the pool has as many: on a single one the instance may be the cause. Where no other
	// one takes the task, maxInstanceCrashes on one are enough.
	minCrashedInstances, maxInstanceCrashes = 2, 3
	// maxCrashes is the number of crashes in a row, without progress and without another
	// task to explain them, after which a task is given up whatever its odds.
	maxCrashes = 5
	// togetherWindow is how far apart the owner hears of workers that crash at once: their
	// snapshots are collected for 5 ms and may wait behind others.
	togetherWindow = 50 * time.Millisecond
	// maxLoggedSuspects bounds how many of the runs that a crash ended are named in its
	// log line: those that were started last.
	maxLoggedSuspects = 8
)

// judgeCrashes updates what is known of the tasks that were lost in crashes, and gives up
// those that are certain to be the cause.
func (o *Orchestrator) judgeCrashes(a *agent, ends []messenger.RunEnd) {
	byWorker := map[string][]messenger.RunEnd{}
	for _, end := range ends {
		if end.Crash != nil {
			byWorker[end.Crash.Worker] = append(byWorker[end.Crash.Worker], end)
		}
	}
	for worker, lost := range byWorker {
		slices.SortStableFunc(lost, func(a, b messenger.RunEnd) int { return b.Crash.StartedAt.Compare(a.Crash.StartedAt) })
		o.logCrash(a, worker, lost)
		o.judgeCrash(a, lost)
	}
}

// logCrash logs which runs a crash has ended and how long the last ones had worked.
func (o *Orchestrator) logCrash(a *agent, worker string, lost []messenger.RunEnd) {
	var newest []string
	for _, end := range lost[:min(len(lost), maxLoggedSuspects)] {
		newest = append(newest, end.Task+"="+end.Crash.MinWorked().Round(time.Millisecond).String())
	}
	o.cfg.Count(meter.Crashes)
	o.cfg.Log.Warn("worker crashed", zap.String("agent", a.id), zap.String("worker", worker), zap.Int("runs", len(lost)), zap.String("newest", strings.Join(newest, ",")),
		zap.Duration("silent", lost[0].Crash.LostAt.Sub(lost[0].Crash.AliveAt)))
}

// judgeCrash updates the tasks that were lost in one crash. An end may be reported again
// by another process of the agent or to another owner, and counts once.
func (o *Orchestrator) judgeCrash(a *agent, ends []messenger.RunEnd) {
	var tasks []*sequencer.Task
	var lost []quarantiner.Lost
	var counted []messenger.RunEnd
	for _, end := range ends {
		t := o.crashedTask(end.Task)
		if t == nil || slices.Contains(tasks, t) {
			continue
		}
		tasks, counted = append(tasks, t), append(counted, end)
		lost = append(lost, quarantiner.Lost{Odds: quarantiner.Odds(t.CrashOdds), MinWorked: end.Crash.MinWorked(), MaxWorked: end.Crash.MaxWorked()})
	}
	for n, verdict := range quarantiner.Judge(lost, o.silentTogether(a)) {
		t, end := tasks[n], counted[n]
		if t.LostIn(end.Attempt) {
			continue
		}
		t.CrashOdds = float64(verdict.Odds)
		j := o.jobs[t.Job.Spec.ID]
		j.suspected = j.suspected || verdict.Odds >= quarantiner.Suspect
		r := o.runs[runKey{end.Task, end.Attempt}]
		if progressed := r != nil && r.progressed; verdict.Odds >= quarantiner.Suspect || !verdict.Explained && !progressed {
			t.Crashes = append(t.Crashes, sequencer.Crash{Attempt: end.Attempt, Instance: a.id, Worker: end.Crash.Worker, Confirmed: end.Crash.Confirmed})
			o.markDirty(j)
		}
		if verdict.Odds >= quarantiner.Suspect {
			if t.StepSpec().Gang { // its members are placed together, rather elsewhere
				for _, member := range t.Job.Tasks(t.Occurrence, t.Step) {
					member.FailedWorkers = append(member.FailedWorkers, a.id)
				}
			}
			o.cfg.Count(meter.Suspects)
			o.cfg.Log.Info("task may have crashed its worker", zap.String("task", end.Task), zap.Uint64("attempt", end.Attempt), zap.String("worker", end.Crash.Worker),
				zap.Duration("worked", end.Crash.MinWorked()), zap.Float64("odds_before", float64(lost[n].Odds)), zap.Float64("odds", t.CrashOdds), zap.Int("crashes", len(t.Crashes)), zap.Int("lost", len(lost)))
		}
		o.giveUpCrashing(t)
	}
}

// silentTogether returns the number of other workers that stopped answering at the same
// moment as that of an agent.
func (o *Orchestrator) silentTogether(a *agent) int {
	n := 0
	for _, other := range o.agents {
		if other != a && !a.silentSince.IsZero() && other.silentSince.Sub(a.silentSince).Abs() <= togetherWindow {
			n++
		}
	}
	return n
}

// crashCounted reports whether the crash that ended a run is part of its job's progress.
func (o *Orchestrator) crashCounted(end messenger.RunEnd) bool {
	if end.Crash == nil {
		return false
	}
	t := o.crashedTask(end.Task)
	return t != nil && t.LostIn(end.Attempt)
}

// crashedTask returns the task to which the crash of a run counts, or nil. The members of
// a gang work only together, so that their crashes count to the first of them.
func (o *Orchestrator) crashedTask(name string) *sequencer.Task {
	id, occurrence, step, index, err := sequencer.ParseTaskName(name)
	j := o.jobs[id]
	if err != nil || j == nil || j.Ended() {
		return nil
	}
	t := j.Task(occurrence, step, index)
	if t == nil || t.Done {
		return nil
	}
	return suspectOf(t)
}

// suspectOf returns the task whose CrashOdds count for a task.
func suspectOf(t *sequencer.Task) *sequencer.Task {
	if t.StepSpec().Gang {
		return t.Job.Tasks(t.Occurrence, t.Step)[0]
	}
	return t
}

// giveUpCrashing fails the job of a task that crashes its workers.
func (o *Orchestrator) giveUpCrashing(t *sequencer.Task) {
	j := o.jobs[t.Job.Spec.ID]
	apart := t.CrashedInstances() >= min(minCrashedInstances, o.poolSize(j.Placement.Pool)) || len(t.Crashes) >= maxInstanceCrashes
	certain := quarantiner.Odds(t.CrashOdds) >= quarantiner.Certain || len(t.Crashes) >= maxCrashes
	enough := t.ConfirmedCrashes() >= minConfirmedCrashes || len(t.Crashes) >= minCrashes
	if j.Ended() || !certain || !enough || !apart {
		return
	}
	var workers []string
	var attempts []uint64
	for _, crash := range t.Crashes {
		workers, attempts = append(workers, crash.Instance+"/"+crash.Worker), append(attempts, crash.Attempt)
	}
	j.Failed = true
	o.cfg.Count(meter.CrashingJobs)
	o.cfg.Log.Warn("job failed", zap.String("job", j.Spec.ID), zap.String("task", t.Name()), zap.String("why", "its workers crashed soon after the task started there"),
		zap.Uint64s("attempts", attempts), zap.Strings("crashed", workers), zap.Float64("odds", t.CrashOdds))
	o.closeJob(j)
	o.markDirty(j)
}

// poolSize returns the number of known agents of a pool.
func (o *Orchestrator) poolSize(pool string) int {
	n := 0
	for _, a := range o.agents {
		if a.snapshot != nil && a.snapshot.Pool == pool {
			n++
		}
	}
	return n
}

// oddsNow returns the odds that the task of a run crashes its workers, from how long it is
// known to have worked.
func (r *run) oddsNow() quarantiner.Odds {
	odds := suspectOf(r.task).CrashOdds
	if odds == 0 {
		return 0
	}
	return quarantiner.Odds(odds).AfterWork(r.aliveAt.Sub(r.startedAt))
}

// clearSuspicion updates what is known of a task whose run ended without a crash; ended is
// set if the run ended by itself.
func clearSuspicion(r *run, ended bool) {
	t := suspectOf(r.task)
	t.CrashOdds = float64(r.oddsNow())
	if ended {
		t.CrashOdds, t.Crashes = 0, nil
	}
}
