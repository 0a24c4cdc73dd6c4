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
	return (l.grant.Keep || l.grant.Repeat) && !l.grant.Urgent && l.halt == none && !l.closed && !l.roomless
}

// Loose returns what lanes hold that may be evicted for urgent work.
func (r *Runner) Loose() parser.Need {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum parser.Need
	for _, l := range r.held {
		if l.loose() {
			sum = sum.Plus(l.grant.Need)
		}
	}
	return sum
}

// preempt evicts the cheapest lanes that make room for a need: those that have
// run for the shortest time lose the least. It evicts none if all would not be
// enough. The caller holds mu.
func (r *Runner) preempt(need parser.Need) bool {
	var lanes []*lane
	for _, l := range r.held {
		if l.loose() {
			lanes = append(lanes, l)
		}
	}
	sort.Slice(lanes, func(i, j int) bool { return lanes[i].began.After(lanes[j].began) })
	room := r.cfg.Commit.Free()
	for n, l := range lanes {
		room = room.Plus(l.grant.Need)
		if !need.Fits(room) {
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
		if r.cfg.Commit.Commit(l.name(), l.grant.Need) == nil {
			return true
		}
		sleep(ctx, roomLook)
	}
	return false
}

// Work is a task that runs, for the protection of the target.
type Work struct {
	ID string
	// Kind is the team and the job, without the run.
	Kind  string
	Began time.Time
	Keep  bool
	// Hurt is the worker's late measurement of how much the task slows the
	// target, as a part of its latency at full share; 0 when there is none.
	Hurt float64
}

// Working lists the tasks that run.
func (r *Runner) Working() []Work {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Work
	for _, l := range r.held {
		if l.task == "" || l.closed {
			continue
		}
		kind := l.grant.Run[:max(strings.LastIndex(l.grant.Run, "/"), 0)]
		list = append(list, Work{ID: l.task, Kind: kind, Began: l.began, Keep: l.grant.Keep || l.grant.Repeat, Hurt: r.report[l.task].Hurt})
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
