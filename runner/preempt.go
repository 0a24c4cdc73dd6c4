package runner

import (
	"context"
	"sort"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/parser"
)

const (
	// roomWait is how long an urgent grant waits for evicted tasks to end.
	roomWait = 2500 * time.Millisecond
	// roomLook is how often it looks.
	roomLook = 20 * time.Millisecond
)

// loose says whether a lane may be evicted for urgent work: its task can be
// resumed or run again, and it is not urgent itself.
func (l *lane) loose() bool {
	return (l.grant.Checkpointable || l.grant.Idempotent) && !l.grant.Urgent && l.halt == none && !l.closed && !l.roomless
}

// Evictable returns what lanes hold that may be evicted for urgent work.
func (r *Runner) Evictable() parser.Resources {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum parser.Resources
	for _, l := range r.held {
		if l.loose() {
			sum = sum.Add(l.grant.Need)
		}
	}
	return sum
}

// preempt evicts the cheapest lanes that make room for a need: those that have
// run for the shortest time lose the least. It evicts none if all would not be
// enough. The caller holds mu.
func (r *Runner) preempt(need parser.Resources) bool {
	var lanes []*lane
	for _, l := range r.held {
		if l.loose() {
			lanes = append(lanes, l)
		}
	}
	sort.Slice(lanes, func(i, j int) bool { return lanes[i].began.After(lanes[j].began) })
	room := r.cfg.Reserver.Free()
	for n, l := range lanes {
		room = room.Add(l.grant.Need)
		if !need.FitsIn(room) {
			continue
		}
		for _, victim := range lanes[:n+1] {
			victim.stop(evict)
			r.cfg.Log.Info("task evicted for urgent work", zap.String("run", victim.grant.Run), zap.Int("task", victim.next))
		}
		return true
	}
	return false
}

// makeRoom reserves what an urgent lane needs, once the evicted ones have
// ended. All other lanes have their reservation already.
func (r *Runner) makeRoom(ctx context.Context, l *lane) bool {
	if !l.roomless {
		return true
	}
	defer func() {
		r.mu.Lock()
		l.roomless = false
		r.waiting--
		r.mu.Unlock()
	}()
	for end := r.cfg.Now().Add(roomWait); r.cfg.Now().Before(end) && ctx.Err() == nil; {
		if r.cfg.Reserver.Reserve(l.name(), l.grant.Need) == nil {
			return true
		}
		sleep(ctx, roomLook)
	}
	return false
}

// RunningTask is a task that runs, for the protection of the target.
type RunningTask struct {
	ID string
	// Job is the team and the job, without the run.
	Job       string
	StartedAt time.Time
	Evictable bool
	// Interference is the worker's late measurement of how much the task slows the
	// target, as a part of its latency at full share; 0 when there is none.
	Interference float64
}

// RunningTasks lists the tasks that run.
func (r *Runner) RunningTasks() []RunningTask {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []RunningTask
	for _, l := range r.held {
		if l.task == "" || l.closed {
			continue
		}
		kind := l.grant.Run[:max(strings.LastIndex(l.grant.Run, "/"), 0)]
		list = append(list, RunningTask{ID: l.task, Job: kind, StartedAt: l.began, Evictable: l.grant.Checkpointable || l.grant.Idempotent, Interference: r.report[l.task].Interference})
	}
	return list
}

// Evict stops a task so that it resumes elsewhere.
func (r *Runner) Evict(task, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.held {
		if l.task == task {
			l.stop(evict)
			r.cfg.Log.Info("task evicted", zap.String("run", l.grant.Run), zap.Int("task", l.next), zap.String("reason", reason))
		}
	}
}
