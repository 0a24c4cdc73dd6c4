package orchestrator

import (
	"math"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/predictor"
	"github.com/endivefall/endivefall/sequencer"
)

// Bounds of a round of placement.
const (
	// termAttempts keeps the attempt numbers of two owners apart: one owner
	// starts a task less often than this.
	termAttempts = 100000
	// maxOrders bounds the starts that one agent gets in a round, below the
	// frames that a link queues.
	maxOrders = 64
)

// place gives waiting tasks to workers that have room.
func (o *Orchestrator) place() {
	if !o.current() {
		return
	}
	byPool, agents := o.seats()
	if len(agents) == 0 {
		return
	}
	all, held := o.waits()
	now, wall := o.cfg.Now(), o.cfg.WallClock()
	ordered := map[*agent]int{}
	for _, j := range o.ranked(wall) {
		waiting := j.Runnable(wall)
		if j.Version < o.cfg.Epoch { // an agent that was not heard yet may run its tasks
			if all {
				continue
			}
			waiting = slices.DeleteFunc(waiting, func(t *sequencer.Task) bool { return held[t.Name()] })
		}
		o.placeJob(j, waiting, byPool[j.Spec.Pool], agents, ordered, now)
	}
}

// seats returns the workers that may get tasks, by pool, with what runs there
// booked, and their agents.
func (o *Orchestrator) seats() (map[string][]*allocator.Candidate, map[string]*agent) {
	byPool := map[string][]*allocator.Candidate{}
	agents := map[string]*agent{}
	for _, a := range o.agents {
		if s := o.seat(a); s != nil {
			byPool[a.table.Pool] = append(byPool[a.table.Pool], s)
			agents[a.id] = a
		}
	}
	for _, seats := range byPool {
		slices.SortFunc(seats, func(a, b *allocator.Candidate) int { return strings.Compare(a.ID, b.ID) })
	}
	o.fill(byPool)
	return byPool, agents
}

// ranked returns the open jobs in the order in which they are served.
func (o *Orchestrator) ranked(wall time.Time) []*job {
	type entry struct {
		j    *job
		rank allocator.Rank
	}
	list := make([]entry, 0, len(o.open))
	for _, j := range o.open {
		list = append(list, entry{j, allocator.RankJob(j.Job, wall)})
	}
	slices.SortFunc(list, func(a, b entry) int {
		if c := a.rank.Compare(b.rank); c != 0 {
			return c
		}
		return strings.Compare(a.j.Spec.ID, b.j.Spec.ID)
	})
	jobs := make([]*job, len(list))
	for n, e := range list {
		jobs[n] = e.j
	}
	return jobs
}

// seat returns an agent's worker as a place for tasks, or nil while it is none.
func (o *Orchestrator) seat(a *agent) *allocator.Candidate {
	t := a.table
	now := o.cfg.Now()
	if a.link == nil || t == nil || !a.open || !a.surveyed || t.Draining || t.Unreachable || !t.MayStart ||
		now.Before(a.record.aside) || now.Sub(a.heard) > isolated/2 {
		return nil
	}
	return &allocator.Candidate{
		ID: a.id, CPU: t.CPU, Memory: t.Memory, GPU: t.GPU, Labels: t.Labels, Speed: a.record.speed(), FailureRate: a.record.doubt,
	}
}

// fill books what runs, or may run, at the seats.
func (o *Orchestrator) fill(byPool map[string][]*allocator.Candidate) {
	index := map[string]*allocator.Candidate{}
	for _, seats := range byPool {
		for _, s := range seats {
			index[s.ID] = s
		}
	}
	now := o.cfg.Now()
	for _, r := range o.runs {
		s := index[r.agent.id]
		if s == nil {
			continue
		}
		step := r.task.StepSpec()
		s.Reserve(step, r.task.StepName())
		if step.BestEffort {
			s.BestEffortCPU += r.use() - step.CPU
		}
		if step.LatencyTargetMs > 0 && r.phase == messenger.PhaseRunning && r.percent >= 100 {
			room, ok := o.press.Headroom(r.task.StepName(), "", now, now.Add(ahead), step.LatencyTargetMs)
			if !ok {
				room = predictor.RequiredRate(step.LatencyTargetMs) * unseenRoom
			}
			s.ServingTasks = append(s.ServingTasks, allocator.ServingTask{Image: step.Image, Headroom: room})
		}
	}
	for _, r := range o.runs {
		if s := index[r.agent.id]; s != nil && r.task.StepSpec().BestEffort {
			s.AddInterference(r.task.StepSpec().Image, r.demand(), o.press.UpperInterference)
		}
	}
}

// Bounds of what filling tasks may do beside serving ones.
const (
	// ahead is how far the room of serving tasks is foreseen: most tasks that
	// fill run for about two seconds.
	ahead = 1200 * time.Millisecond
	// unseenRoom is the room of a serving task that was not seen yet, in parts
	// of the rate that its target asks for.
	unseenRoom = 0.5
	// steadyPace is the least pace, in percent, whose use tells a run's demand.
	steadyPace = 20
)

// demand is the processor that a filling run would use at full pace.
func (r *run) demand() int64 {
	asks := r.task.StepSpec().CPU
	if r.figure <= 0 || r.pace < steadyPace {
		return asks
	}
	return min(max(r.figure*100/int64(r.pace), asks/3), asks*2)
}

// use is the processor that a filling run may take at its pace.
func (r *run) use() int64 { return r.demand() * int64(r.pace) / 100 }

// placeJob starts what of a job's waiting tasks can be started.
func (o *Orchestrator) placeJob(j *job, waiting []*sequencer.Task, seats []*allocator.Candidate, agents map[string]*agent, ordered map[*agent]int, now time.Time) {
	full := "" // the step that found no seat in this round
	for n, t := range waiting {
		if t.WaitingSince.IsZero() {
			t.WaitingSince = now
		}
		if t.StepSpec().Gang {
			seats := o.advised(j, t.StepName(), seats, agents, now)
			if t.Index == 0 && len(waiting) >= n+t.StepSpec().Count {
				o.placeGang(j, waiting[n:n+t.StepSpec().Count], seats, agents, ordered, now)
			}
			continue
		}
		if now.Before(t.NotBefore) {
			continue
		}
		name := t.StepName()
		if name == full && len(t.FailedWorkers) == 0 {
			continue
		}
		s := allocator.Pick(t, name, o.advised(j, name, seats, agents, now), now, o.press.UpperInterference)
		if s == nil {
			o.preempt(t, name, seats, agents, now)
			full = name
			continue
		}
		a := agents[s.ID]
		if ordered[a] >= maxOrders || a.link == nil {
			continue
		}
		if o.start(t, j, a) {
			ordered[a]++
			s.Reserve(t.StepSpec(), name)
			if t.StepSpec().BestEffort {
				s.AddInterference(t.StepSpec().Image, t.StepSpec().CPU, o.press.UpperInterference)
			}
		}
	}
}

// start orders a run of a task.
func (o *Orchestrator) start(t *sequencer.Task, j *job, a *agent) bool {
	return o.launch(t, j, a, o.nextAttempt(t))
}

// nextAttempt is the number of a task's next start.
func (o *Orchestrator) nextAttempt(t *sequencer.Task) uint64 {
	return max(t.Attempt, (o.cfg.Term-1)*termAttempts) + 1
}

// launch orders a run of a task under an attempt number.
func (o *Orchestrator) launch(t *sequencer.Task, j *job, a *agent, attempt uint64) bool {
	r := &run{
		key: runKey{t.Name(), attempt}, task: t, job: j, agent: a, link: a.link,
		phase: messenger.PhaseStarting, pace: 100, began: o.cfg.Now(), resumed: t.Checkpoint != "",
	}
	if !o.order(a, &messenger.Command{Start: o.startOf(r, false)}) {
		return false
	}
	r.seq = a.seq
	t.Attempt = attempt
	t.LiveRuns++
	o.runs[r.key], j.live[r.key], a.runs[r.key] = r, r, r
	o.cfg.Count("start")
	o.cfg.Log.Info("start", zap.String("task", r.key.task), zap.Uint64("attempt", attempt), zap.String("agent", a.id),
		zap.Duration("waited", r.began.Sub(t.WaitingSince)), zap.Duration("table_age", r.began.Sub(a.heard)), zap.Bool("resumes", t.Checkpoint != ""))
	return true
}

// startOf returns what an agent needs to start a run, or to know it.
func (o *Orchestrator) startOf(r *run, known bool) *messenger.RunStart {
	step := r.task.StepSpec()
	return &messenger.RunStart{
		Task: r.key.task, Attempt: r.key.attempt, Payload: r.job.Spec.Payload, Checkpoint: r.task.Checkpoint, AlreadyRunning: known,
		Ticket: o.ticketOf(r.task.StepName(), r.agent), Interference: o.lore(r.agent, step.Image),
		Spec: messenger.TaskSpec{
			CPU: step.CPU, Memory: step.Memory, GPU: step.GPU, BestEffort: step.BestEffort, Image: step.Image, LatencyTargetMs: step.LatencyTargetMs,
		},
	}
}

// learn notes how fast a worker was with a run that nothing slowed.
func (o *Orchestrator) learn(r *run, now time.Time) {
	step := r.task.StepSpec()
	if r.paced || step.Estimate <= 0 || r.resumed || step.LongRunning {
		return
	}
	slow := math.Log(max(now.Sub(r.began).Seconds(), minTime) / max(step.Estimate.Seconds(), minTime))
	mean := &o.slowness
	if !mean.known {
		mean.value, mean.known = slow, true
	}
	mean.value += meanFade * (slow - mean.value)
	r.agent.record.slow += slowFade * (slow - mean.value - r.agent.record.slow)
}

// Weights of the speed of workers.
const (
	// minTime keeps the quotient of two short times from saying much, in s.
	minTime = 0.05
	// meanFade and slowFade are the weights of the newest run in the mean of
	// all workers and of one: estimates are off by more than a half, so that it
	// takes a dozen runs to tell.
	meanFade, slowFade = 0.02, 0.12
)

// fading is a mean that follows the newest values.
type fading struct {
	value float64
	known bool
}
