package orchestrator

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/predictor"
	"github.com/endivefall/endivefall/quarantiner"
	"github.com/endivefall/endivefall/sequencer"
)

// place starts waiting tasks on workers that have room.
func (o *Orchestrator) place() {
	if !o.ownershipCurrent() {
		return
	}
	byPool, agents := o.candidates()
	blocked := o.startBlocked()
	now, wall := o.cfg.Now(), o.cfg.WallClock()
	defer o.logLongestWait(blocked, byPool, agents, now, wall)
	o.authorizer.Begin()
	defer o.sendQueries()
	defer o.reportPolicy(now)
	if len(agents) == 0 {
		for _, j := range o.openJobs {
			o.waitingTasks(j, blocked, now, wall)
		}
		o.waitsNoted = true
		return
	}
	o.wantTicketsForMoves(byPool, agents, now)
	o.keepMemory(byPool)
	o.keepCPU(byPool, blocked, now, wall)
	o.beginLocality(byPool, now)
	o.placeStarving(blocked, byPool, agents, now, wall)
	o.placeSuspects(blocked, byPool, agents, now, wall)
	for _, j := range o.rankedJobs(wall) {
		startable := slices.DeleteFunc(o.waitingTasks(j, blocked, now, wall), blocked)
		o.placeJob(j, startable, byPool[j.Placement.Pool], agents, now)
	}
	o.waitsNoted = true
	o.claimRoom(blocked, byPool, agents, now, wall)
}

// candidates returns the workers that may receive tasks, by pool, with the
// resources of their runs reserved, and the agents by ID.
func (o *Orchestrator) candidates() (map[string][]*allocator.Candidate, map[string]*agent) {
	byPool := map[string][]*allocator.Candidate{}
	agents := map[string]*agent{}
	for _, a := range o.agents {
		if candidate := o.candidate(a); candidate != nil {
			byPool[a.snapshot.Pool] = append(byPool[a.snapshot.Pool], candidate)
			agents[a.id] = a
		}
	}
	for _, candidates := range byPool {
		for _, c := range candidates {
			c.SmallPool = len(candidates) < allocator.MinSelectiveWorkers
		}
		slices.SortFunc(candidates, func(a, b *allocator.Candidate) int { return strings.Compare(a.ID, b.ID) })
	}
	o.reserveRuns(byPool)
	return byPool, agents
}

// rankedJob is an open job with its rank.
type rankedJob struct {
	j    *job
	rank allocator.Rank
}

// rankedJobs returns the open jobs in scheduling order.
func (o *Orchestrator) rankedJobs(wall time.Time) []*job {
	list := make([]rankedJob, 0, len(o.openJobs))
	for _, j := range o.openJobs {
		list = append(list, rankedJob{j, allocator.RankJob(j.Job, &j.corrections, wall)})
	}
	slices.SortFunc(list, func(a, b rankedJob) int {
		if c := a.rank.Compare(b.rank); c != 0 {
			return c
		}
		return strings.Compare(a.j.Spec.ID, b.j.Spec.ID)
	})
	o.reportOrder(list, wall)
	jobs := make([]*job, len(list))
	for n, ranked := range list {
		jobs[n] = ranked.j
	}
	return jobs
}

// candidate returns the worker of an agent as a candidate for placement, or nil if
// it may not receive tasks.
func (o *Orchestrator) candidate(a *agent) *allocator.Candidate {
	if o.unavailability(a, o.cfg.Now()) != available {
		return nil
	}
	snapshot := a.snapshot
	candidate := &allocator.Candidate{
		ID: a.id, CPU: snapshot.CPU, Memory: snapshot.Memory, GPU: snapshot.GPU, Labels: snapshot.Labels, Speed: a.health.speed(), FailureRate: a.health.failureRate,
	}
	candidate.Warmup = o.warmupOf(a)
	o.setBusy(candidate, a)
	return candidate
}

// reserveRuns reserves the resources of active and possibly active runs, and of claims, on
// the candidates.
func (o *Orchestrator) reserveRuns(byPool map[string][]*allocator.Candidate) {
	index := map[string]*allocator.Candidate{}
	for _, candidates := range byPool {
		for _, candidate := range candidates {
			index[candidate.ID] = candidate
		}
	}
	now := o.cfg.Now()
	o.reserveClaims(index, now)
	for _, r := range o.runs {
		candidate := index[r.agent.id]
		if candidate == nil {
			continue
		}
		candidate.AtRisk += r.workAtRisk(now)
		if now.Sub(r.startedAt) < quarantiner.ProvenAfter {
			candidate.Unproven++
		}
		candidate.OnTrial = candidate.OnTrial || r.oddsNow() >= quarantiner.Likely
		step := r.task.StepSpec()
		candidate.Reserve(step, r.task.StepName())
		if step.BestEffort {
			candidate.BestEffortCPU += r.cpuAtPace() - step.CPU
		}
		if step.LatencyTargetMs > 0 && r.phase == messenger.PhaseRunning && r.progressPercent >= 100 {
			headroom, ok := o.predictor.Headroom(r.task.StepName(), "", now, now.Add(headroomHorizon), step.LatencyTargetMs)
			if !ok {
				headroom = predictor.RequiredRate(step.LatencyTargetMs) * defaultHeadroomShare
			}
			candidate.ServingTasks = append(candidate.ServingTasks, allocator.ServingTask{Image: step.Image, Headroom: headroom})
		}
	}
	for _, r := range o.runs {
		if !r.task.StepSpec().BestEffort {
			continue
		}
		if cl := o.claims[r.task]; cl != nil && index[cl.agent.id] != nil {
			index[cl.agent.id].AddInterference(r.task.StepSpec().Image, r.cpuDemand(), o.predictor.UpperInterference)
		}
		if candidate := index[r.agent.id]; candidate != nil {
			candidate.AddInterference(r.task.StepSpec().Image, r.cpuDemand(), o.predictor.UpperInterference)
		}
	}
}

// Parameters of the placement of best-effort tasks beside serving tasks.
const (
	// headroomHorizon is how far ahead the headroom of serving tasks is predicted:
	// most best-effort tasks run for about two seconds.
	headroomHorizon = 1200 * time.Millisecond
	// defaultHeadroomShare is the headroom assumed for a serving task without
	// measurements, as a share of the rate that its latency target requires.
	defaultHeadroomShare = 0.5
	// minMeasuredPacePercent is the lowest pace at which a run's measured CPU use
	// indicates its demand.
	minMeasuredPacePercent = 20
)

// cpuDemand returns the CPU, in thousandths of a core, that a best-effort run would
// use at full pace.
func (r *run) cpuDemand() int64 {
	declared := r.task.StepSpec().CPU
	if r.measurement <= 0 || r.pacePercent < minMeasuredPacePercent {
		return declared
	}
	return min(max(r.measurement*100/int64(r.pacePercent), declared/3), declared*2)
}

// cpuAtPace returns the CPU, in thousandths of a core, that a best-effort run may
// use at its current pace.
func (r *run) cpuAtPace() int64 { return r.cpuDemand() * int64(r.pacePercent) / 100 }

// placeJob starts those of a job's waiting tasks that fit.
func (o *Orchestrator) placeJob(j *job, waiting []*sequencer.Task, candidates []*allocator.Candidate, agents map[string]*agent, now time.Time) {
	fullStep := "" // the step for which no candidate was found in this round
	for n, t := range waiting {
		if !o.mayStart(t, 1) {
			continue
		}
		if t.StepSpec().Gang {
			if t.Index == 0 && len(waiting) >= n+t.StepSpec().Count {
				o.placeGang(j, waiting[n:n+t.StepSpec().Count], candidates, agents, now)
			}
			continue
		}
		if now.Before(t.NotBefore) || isSuspect(t) {
			continue
		}
		name := t.StepName()
		if name == fullStep && len(t.FailedWorkers) == 0 {
			continue
		}
		granted := o.grantedCandidates(j, name, candidates, agents, now)
		candidate := allocator.Pick(t, name, granted, now, o.predictor.UpperInterference)
		if candidate == nil {
			o.noteUnplaced(j, waiting[n:])
			o.wantTickets(t, countStep(waiting[n:]), candidates, agents, now)
			o.preempt(t, name, granted, agents, now)
			fullStep = name
			continue
		}
		if o.waitsForRack(j, waiting[n:], candidate, granted, now) {
			fullStep = name
			continue
		}
		a := agents[candidate.ID]
		if o.startTask(t, j, a) {
			o.reserve(candidate, t)
			o.startedForRack(t, candidate, now)
			o.shareOf(j.Placement.Pool).AddOther(t.StepSpec(), now)
		}
		o.setBusy(candidate, a)
	}
}

// reserve reserves the resources of a task that was started on a candidate.
func (o *Orchestrator) reserve(candidate *allocator.Candidate, t *sequencer.Task) {
	step := t.StepSpec()
	candidate.Reserve(step, t.StepName())
	if step.BestEffort {
		candidate.AddInterference(step.Image, step.CPU, o.predictor.UpperInterference)
	}
}

// setBusy marks a candidate whose agent has to confirm earlier starts first, after which
// placement is due again.
func (o *Orchestrator) setBusy(candidate *allocator.Candidate, a *agent) {
	candidate.Busy = !a.hasRoom()
	o.startsHeld = o.startsHeld || candidate.Busy
}

// mayStart reports whether so many starts of tasks like one may be sent now. If not, placement
// is due once an agent has confirmed earlier ones.
func (o *Orchestrator) mayStart(t *sequencer.Task, starts int) bool {
	granting := 0
	if t.NeedsGrant() {
		granting = len(o.granting) // they are sent at once; the others don't wait for the ledger
	}
	allowed := o.starts.AllowsBeside(granting*maxStartBytes, starts*maxStartBytes)
	o.startsHeld = o.startsHeld || !allowed
	return allowed
}

// learnTime updates the estimates of a job from a finished run, by the time that it would have taken
// at full pace. A run away from its data takes longer than the job's objective counts on.
func (o *Orchestrator) learnTime(r *run, now time.Time) {
	step := r.task.StepSpec()
	if r.resumed || step.LongRunning || step.PreferredRack != "" && (r.agent.snapshot == nil || !slices.Contains(r.agent.snapshot.Labels, step.PreferredRack)) {
		return
	}
	r.addPacedTime(now)
	r.job.corrections.Learn(r.task.Step, step.Estimate, r.pacedTime)
}

// learnSpeed updates the speed of a worker from a finished run that was not
// throttled.
func (o *Orchestrator) learnSpeed(r *run, now time.Time) {
	step := r.task.StepSpec()
	if r.throttled || step.Estimate <= 0 || r.resumed || step.LongRunning {
		return
	}
	logSlowdown := math.Log(max(now.Sub(r.startedAt).Seconds(), minSeconds) / max(step.Estimate.Seconds(), minSeconds))
	mean := &o.meanSlowdown
	if !mean.initialized {
		mean.value, mean.initialized = logSlowdown, true
	}
	mean.value += meanSlowdownWeight * (logSlowdown - mean.value)
	r.agent.health.logSlowdown += workerSlowdownWeight * (logSlowdown - mean.value - r.agent.health.logSlowdown)
}

// Parameters of the estimate of worker speed.
const (
	// minSeconds is the lower bound of both times, in seconds, so that the ratio of
	// two short times has little effect.
	minSeconds = 0.05
	// meanSlowdownWeight and workerSlowdownWeight are the weights of the newest run
	// in the mean of all workers and of one worker. Estimates are off by more than
	// a half, so a dozen runs are needed to detect a slow worker.
	meanSlowdownWeight, workerSlowdownWeight = 0.02, 0.12
)

// movingAverage is a mean that follows the newest values.
type movingAverage struct {
	value       float64
	initialized bool
}
