package overseer

import (
	"math"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/profiler"
	"github.com/endivefall/endivefall/seater"
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
func (o *Overseer) place() {
	if !o.current() {
		return
	}
	byPool, agents := o.seats()
	if len(agents) == 0 {
		return
	}
	all, held := o.waits()
	now, wall := o.cfg.Now(), o.cfg.Wall()
	ordered := map[*agent]int{}
	for _, j := range o.ranked(wall) {
		waiting := j.Waiting(wall)
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
func (o *Overseer) seats() (map[string][]*seater.Seat, map[string]*agent) {
	byPool := map[string][]*seater.Seat{}
	agents := map[string]*agent{}
	for _, a := range o.agents {
		if s := o.seat(a); s != nil {
			byPool[a.table.Pool] = append(byPool[a.table.Pool], s)
			agents[a.id] = a
		}
	}
	for _, seats := range byPool {
		slices.SortFunc(seats, func(a, b *seater.Seat) int { return strings.Compare(a.ID, b.ID) })
	}
	o.fill(byPool)
	return byPool, agents
}

// ranked returns the open jobs in the order in which they are served.
func (o *Overseer) ranked(wall time.Time) []*job {
	type entry struct {
		j    *job
		rank seater.Rank
	}
	list := make([]entry, 0, len(o.open))
	for _, j := range o.open {
		list = append(list, entry{j, seater.RankOf(j.Job, wall)})
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
func (o *Overseer) seat(a *agent) *seater.Seat {
	t := a.table
	now := o.cfg.Now()
	if a.link == nil || t == nil || !a.open || !a.surveyed || t.Draining || t.Silent || !t.Authority ||
		now.Before(a.record.aside) || now.Sub(a.heard) > isolated/2 {
		return nil
	}
	return &seater.Seat{
		ID: a.id, CPU: t.CPU, Memory: t.Memory, GPU: t.GPU, Labels: t.Labels, Speed: a.record.speed(), Doubt: a.record.doubt,
	}
}

// fill books what runs, or may run, at the seats.
func (o *Overseer) fill(byPool map[string][]*seater.Seat) {
	index := map[string]*seater.Seat{}
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
		step := r.task.Shape()
		s.Take(step, r.task.StepName())
		if step.Fills {
			s.Filling += r.use() - step.CPU
		}
		if step.Target > 0 && r.phase == messenger.PhaseRunning && r.percent >= 100 {
			room, ok := o.press.Room(r.task.StepName(), "", now, now.Add(ahead), step.Target)
			if !ok {
				room = profiler.Need(step.Target) * unseenRoom
			}
			s.Serves = append(s.Serves, seater.Serve{Image: step.Image, Room: room})
		}
	}
	for _, r := range o.runs {
		if s := index[r.agent.id]; s != nil && r.task.Shape().Fills {
			s.Press(r.task.Shape().Image, r.demand(), o.press.Weight)
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
	asks := r.task.Shape().CPU
	if r.figure <= 0 || r.pace < steadyPace {
		return asks
	}
	return min(max(r.figure*100/int64(r.pace), asks/3), asks*2)
}

// use is the processor that a filling run may take at its pace.
func (r *run) use() int64 { return r.demand() * int64(r.pace) / 100 }

// placeJob starts what of a job's waiting tasks can be started.
func (o *Overseer) placeJob(j *job, waiting []*sequencer.Task, seats []*seater.Seat, agents map[string]*agent, ordered map[*agent]int, now time.Time) {
	full := "" // the step that found no seat in this round
	for n, t := range waiting {
		if t.Since.IsZero() {
			t.Since = now
		}
		if t.Shape().Gang {
			seats := o.advised(j, t.StepName(), seats, agents, now)
			if t.Index == 0 && len(waiting) >= n+t.Shape().Count {
				o.placeGang(j, waiting[n:n+t.Shape().Count], seats, agents, ordered, now)
			}
			continue
		}
		if now.Before(t.After) {
			continue
		}
		name := t.StepName()
		if name == full && len(t.Avoid) == 0 {
			continue
		}
		s := seater.Pick(t, name, o.advised(j, name, seats, agents, now), now, o.press.Weight)
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
			s.Take(t.Shape(), name)
			if t.Shape().Fills {
				s.Press(t.Shape().Image, t.Shape().CPU, o.press.Weight)
			}
		}
	}
}

// start orders a run of a task.
func (o *Overseer) start(t *sequencer.Task, j *job, a *agent) bool {
	return o.launch(t, j, a, o.nextAttempt(t))
}

// nextAttempt is the number of a task's next start.
func (o *Overseer) nextAttempt(t *sequencer.Task) uint64 {
	return max(t.Attempt, (o.cfg.Term-1)*termAttempts) + 1
}

// launch orders a run of a task under an attempt number.
func (o *Overseer) launch(t *sequencer.Task, j *job, a *agent, attempt uint64) bool {
	r := &run{
		key: runKey{t.Name(), attempt}, task: t, job: j, agent: a, link: a.link,
		phase: messenger.PhaseStarting, pace: 100, began: o.cfg.Now(), resumed: t.Saved != "",
	}
	if !o.order(a, &messenger.Order{Start: o.startOf(r, false)}) {
		return false
	}
	r.seq = a.seq
	t.Attempt = attempt
	t.Live++
	o.runs[r.key], j.live[r.key], a.runs[r.key] = r, r, r
	o.cfg.Count("start")
	o.cfg.Log.Info("start", zap.String("task", r.key.task), zap.Uint64("attempt", attempt), zap.String("agent", a.id),
		zap.Duration("waited", r.began.Sub(t.Since)), zap.Duration("table_age", r.began.Sub(a.heard)), zap.Bool("resumes", t.Saved != ""))
	return true
}

// startOf returns what an agent needs to start a run, or to know it.
func (o *Overseer) startOf(r *run, known bool) *messenger.RunStart {
	step := r.task.Shape()
	return &messenger.RunStart{
		Task: r.key.task, Attempt: r.key.attempt, Payload: r.job.Spec.Payload, Saved: r.task.Saved, Known: known,
		Ticket: o.ticketOf(r.task.StepName(), r.agent), Press: o.lore(r.agent, step.Image),
		Traits: messenger.Traits{
			CPU: step.CPU, Memory: step.Memory, GPU: step.GPU, Fills: step.Fills, Image: step.Image, Target: step.Target,
		},
	}
}

// learn notes how fast a worker was with a run that nothing slowed.
func (o *Overseer) learn(r *run, now time.Time) {
	step := r.task.Shape()
	if r.paced || step.Estimate <= 0 || r.resumed || step.Lasting {
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
