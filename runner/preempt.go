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
	// capacityTimeout is how long an urgent grant waits for evicted tasks to end, and
	// capacityPollInterval how often it tries to reserve meanwhile.
	capacityTimeout      = 2500 * time.Millisecond
	capacityPollInterval = 20 * time.Millisecond
)

// evictable reports whether a grant may be evicted for an urgent one: its task can be
// resumed or run again, and it is not urgent itself.
func (h *heldGrant) evictable() bool {
	return (h.grant.Checkpointable || h.grant.Idempotent) && !h.grant.Urgent && h.stopMode == stopNone && !h.closed && !h.awaitingCapacity
}

// Evictable returns the sum of the reservations that may be evicted for urgent grants.
func (r *Runner) Evictable() parser.Resources {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum parser.Resources
	for _, h := range r.held {
		if h.evictable() {
			sum = sum.Add(h.grant.Need)
		}
	}
	return sum
}

// preempt evicts the tasks that started last, until need fits: they lose the least
// work. It evicts none if evicting all would not be enough. The caller holds mu.
func (r *Runner) preempt(need parser.Resources) bool {
	var candidates []*heldGrant
	for _, h := range r.held {
		if h.evictable() {
			candidates = append(candidates, h)
		}
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].startedAt.After(candidates[j].startedAt) })
	available := r.cfg.Reserver.Free()
	for n, h := range candidates {
		available = available.Add(h.grant.Need)
		if !need.FitsIn(available) {
			continue
		}
		for _, victim := range candidates[:n+1] {
			victim.stop(stopEvict)
			r.cfg.Log.Info("task evicted for urgent work", zap.String("run", victim.grant.Run), zap.Int("task", victim.index))
		}
		return true
	}
	return false
}

// awaitCapacity reserves what an urgent grant needs, once the tasks evicted for it have
// ended. It returns false if they have not ended within capacityTimeout, or the grant is
// to stop. Any other grant got its reservation when it was admitted.
func (r *Runner) awaitCapacity(ctx context.Context, h *heldGrant) bool {
	if !h.awaitingCapacity {
		return true
	}
	defer func() {
		r.mu.Lock()
		h.awaitingCapacity = false
		r.urgentWaiting--
		r.mu.Unlock()
	}()
	for giveUpAt := r.cfg.Now().Add(capacityTimeout); r.cfg.Now().Before(giveUpAt) && ctx.Err() == nil && !r.toStop(h); {
		if r.cfg.Reserver.Reserve(h.reservationName(), h.grant.Need) == nil {
			return true
		}
		sleep(ctx, capacityPollInterval)
	}
	return false
}

// toStop reports whether no task of a grant is to run any more.
func (r *Runner) toStop(h *heldGrant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return h.stopMode != stopNone
}

// RunningTask describes a running task to the protector of the instance's target.
type RunningTask struct {
	ID string
	// Job is TEAM/JOB, without the run.
	Job       string
	StartedAt time.Time
	Evictable bool
	// Interference is how much the task slows the target, as a fraction of the target's
	// latency with the task at its full CPU share. The worker measures it with a delay. It
	// is 0 if it is not known.
	Interference float64
}

// RunningTasks lists the running tasks.
func (r *Runner) RunningTasks() []RunningTask {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []RunningTask
	for _, h := range r.held {
		if h.taskID == "" || h.closed {
			continue
		}
		job := h.grant.Run[:max(strings.LastIndex(h.grant.Run, "/"), 0)]
		list = append(list, RunningTask{ID: h.taskID, Job: job, StartedAt: h.startedAt, Evictable: h.grant.Checkpointable || h.grant.Idempotent, Interference: r.tasks[h.taskID].Interference})
	}
	return list
}

// Evict stops a task so that it can resume elsewhere.
func (r *Runner) Evict(task, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.held {
		if h.taskID == task {
			h.stop(stopEvict)
			r.cfg.Log.Info("task evicted", zap.String("run", h.grant.Run), zap.Int("task", h.index), zap.String("reason", reason))
		}
	}
}
