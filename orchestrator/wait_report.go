package orchestrator

import (
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/sequencer"
)

const (
	// waitLogInterval is the shortest time between two log lines about waiting tasks.
	waitLogInterval = time.Second
	// minLoggedWait is how long a task waits before it is logged.
	minLoggedWait = 2 * time.Second
)

// waitReport says why a waiting task is not placed, by the workers of its pool.
type waitReport struct {
	workers int
	// unavailable counts the workers that may not receive tasks, by the reason.
	unavailable map[unavailability]int
	// The other workers: those that the queue's policy doesn't grant, and the granted ones by
	// what they lack. A worker may lack several things.
	notAllowed, withoutTicket, lackCPU, lackMemory, lackGPU, lackLabel, atLimit, held int
	// lackHeadroom counts the granted workers where only serving tasks without headroom for a
	// best-effort task keep it away.
	lackHeadroom int
	// claimed is the worker that keeps room for the task.
	claimed string
	// fit counts the workers on which the task could start.
	fit int
	// freeCPU and freeMemory are the sums of what is not reserved on the granted workers with
	// the label, roomiest the one of them with the most free CPU.
	freeCPU, freeMemory int64
	roomiest            *allocator.Candidate
}

// logLongestWait logs why the task that has waited the longest is not placed: of long-running
// tasks, if any of them waits for long.
func (o *Orchestrator) logLongestWait(blocked func(*sequencer.Task) bool, byPool map[string][]*allocator.Candidate, agents map[string]*agent, now, wall time.Time) {
	if now.Sub(o.waitLoggedAt) < waitLogInterval {
		return
	}
	o.waitLoggedAt = now
	t, counts := o.longestWaiting(blocked, now, wall)
	o.cfg.Gauge(meter.LastingWaits, float64(counts.lasting))
	o.cfg.Gauge(meter.BlockedWaits, float64(counts.lastingBlocked))
	o.cfg.Gauge(meter.RoomClaims, float64(len(o.claims)))
	if t == nil {
		o.cfg.Gauge(meter.HeadroomShortage, 0)
		return
	}
	step := t.StepSpec()
	report := o.reportWait(t, byPool[t.Job.Placement.Pool], agents, now)
	o.cfg.Gauge(meter.HeadroomShortage, float64(report.lackHeadroom))
	fields := []zap.Field{
		zap.String("task", t.Name()), zap.String("step", step.String()), zap.Duration("waited", now.Sub(t.WaitingSince)), zap.Int("tasks", counts.long),
		zap.Int("lasting", counts.lasting), zap.Int("lasting_blocked", counts.lastingBlocked), zap.Int("claims", counts.claims), zap.Int("moves", counts.moves), zap.Duration("free", freeFor(t, now)), zap.Duration("rack_wait", o.rackWait(t, now)),
		zap.Bool("blocked", blocked(t)), zap.Bool("suspect", isSuspect(t)), zap.String("claimed", report.claimed), zap.Duration("not_before", max(t.NotBefore.Sub(now), 0)), zap.Int("workers", report.workers),
		zap.Int("disconnected", report.unavailable[disconnected]), zap.Int("unregistered", report.unavailable[unregistered]), zap.Int("draining", report.unavailable[draining]),
		zap.Int("leaseless", report.unavailable[leaseless]), zap.Int("excluded", report.unavailable[excluded]), zap.Int("evacuated", report.unavailable[evacuated]), zap.Int("possibly_evacuated", report.unavailable[possiblyEvacuated]), zap.Int("not_granted", report.notAllowed), zap.Int("no_ticket", report.withoutTicket),
		zap.Int("lack_cpu", report.lackCPU), zap.Int("lack_memory", report.lackMemory), zap.Int("lack_gpu", report.lackGPU), zap.Int("lack_label", report.lackLabel),
		zap.Int("at_limit", report.atLimit), zap.Int("held", report.held), zap.Int("lack_headroom", report.lackHeadroom), zap.Int("fit", report.fit), zap.Int64("free_cpu", report.freeCPU), zap.Int64("free_memory", report.freeMemory),
	}
	if c := report.roomiest; c != nil {
		fields = append(fields, zap.String("roomiest", c.ID), zap.Int64("its_free_cpu", c.FreeCPU()), zap.Int64("its_free_memory", c.Memory-c.UsedMemory), zap.Int64("its_free_gpu", c.GPU-c.UsedGPU))
	}
	o.cfg.Log.Info("task waits", fields...)
}

// waitCounts counts the tasks that wait.
type waitCounts struct {
	// long counts those that have waited for long, lasting all long-running tasks without a run,
	// and lastingBlocked those of them that may not be started yet.
	long, lasting, lastingBlocked int
	// claims counts the claims for tasks without a run, moves those for runs that move.
	claims, moves int
}

// longestWaiting returns the task that has waited the longest, long-running tasks before
// others, and the numbers of tasks that wait.
func (o *Orchestrator) longestWaiting(blocked func(*sequencer.Task) bool, now, wall time.Time) (longest *sequencer.Task, counts waitCounts) {
	for _, j := range o.openJobs {
		for _, t := range j.Runnable(wall) {
			if t.StepSpec().LongRunning {
				counts.lasting++
				if blocked(t) {
					counts.lastingBlocked++
				}
			}
			if t.WaitingSince.IsZero() || now.Sub(t.WaitingSince) < minLoggedWait {
				continue
			}
			counts.long++
			if longest == nil || longer(t.StepSpec().LongRunning, t.WaitingSince, longest.StepSpec().LongRunning, longest.WaitingSince) {
				longest = t
			}
		}
	}
	for t := range o.claims {
		if t.LiveRuns > 0 {
			counts.moves++
		} else {
			counts.claims++
		}
	}
	return longest, counts
}

// freeFor returns for how long nothing but room has kept a task from a start.
func freeFor(t *sequencer.Task, now time.Time) time.Duration {
	if t.FreeSince.IsZero() {
		return 0
	}
	return now.Sub(t.FreeSince)
}

// longer reports whether a task goes before another in the report of waits.
func longer(lasting bool, since time.Time, otherLasting bool, otherSince time.Time) bool {
	if lasting != otherLasting {
		return lasting
	}
	return since.Before(otherSince)
}

// reportWait returns why a task is not placed on any of the candidates of its pool.
func (o *Orchestrator) reportWait(t *sequencer.Task, candidates []*allocator.Candidate, agents map[string]*agent, now time.Time) *waitReport {
	report := &waitReport{unavailable: map[unavailability]int{}}
	for _, a := range o.agents {
		if a.snapshot == nil || a.snapshot.Pool == t.Job.Placement.Pool {
			report.workers++
			if why := o.unavailability(a, now); why != available {
				report.unavailable[why]++
			}
		}
	}
	name := t.StepName()
	j := o.jobs[t.Job.Spec.ID]
	allowed := o.allowedCandidates(j, name, candidates, agents)
	report.notAllowed = len(candidates) - len(allowed)
	report.withoutTicket = len(allowed) - len(o.grantedCandidates(j, name, candidates, agents, now))
	for _, c := range allowed {
		if cl := o.claims[t]; cl != nil && cl.agent.id == c.ID {
			report.claimed = c.ID
			c = c.Clone()
			c.Release(t.StepSpec(), name) // its own claim doesn't keep it from the room
		}
		lacks := allocator.ShortageOf(t, name, c)
		report.add(lacks, c)
		if lacks == (allocator.Shortage{}) && allocator.LacksHeadroom(t.StepSpec(), c, o.predictor.UpperInterference) {
			report.lackHeadroom++
		}
	}
	return report
}

// add counts a granted candidate.
func (r *waitReport) add(lacks allocator.Shortage, c *allocator.Candidate) {
	for _, count := range []struct {
		counter *int
		lacks   bool
	}{
		{&r.lackCPU, lacks.CPU},
		{&r.lackMemory, lacks.Memory},
		{&r.lackGPU, lacks.GPU},
		{&r.lackLabel, lacks.Label},
		{&r.atLimit, lacks.Limit},
		{&r.held, lacks.Held},
		{&r.fit, lacks == allocator.Shortage{}},
	} {
		if count.lacks {
			*count.counter++
		}
	}
	if lacks.Label {
		return
	}
	r.freeCPU += max(c.FreeCPU(), 0)
	r.freeMemory += max(c.Memory-c.UsedMemory, 0)
	if r.roomiest == nil || c.FreeCPU() > r.roomiest.FreeCPU() {
		r.roomiest = c
	}
}
