// Package runner runs an agent's batch tasks at its worker, under grants from the
// entries. Only idempotent tasks run past the deadline of their grant.
package runner

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/executor"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/reserver"
	"github.com/endivefall/endivefall/waiter"
)

const (
	// tickInterval is how often worker leases are renewed, reservations enforced and
	// unacknowledged reports checked.
	tickInterval = 500 * time.Millisecond
	// renewTimeout bounds one call that renews leases, and maxConcurrentRenewals
	// the number of such calls in flight.
	renewTimeout          = time.Second
	maxConcurrentRenewals = 8
	// resendAfter is how long after a report without an acknowledgement it is sent
	// again.
	resendAfter = 2 * time.Second
	// idempotentLease is the worker's lease of an idempotent task. It is renewed
	// also while no owner can be reached.
	idempotentLease = 10 * time.Second
	// startLease bounds the worker's lease of a task at its start, before the lease
	// is renewed up to the grant's deadline. The worker refuses a start that is
	// delayed for longer, so after this time no start sent by an earlier process
	// of the agent can take effect.
	startLease = 2 * time.Second
	// stopMargin is how long before the deadline of its grant a task is stopped: its
	// checkpoint must be complete before the worker's lease ends.
	stopMargin = time.Second
	// retryDelay is the wait after a failed call to the worker.
	retryDelay = 100 * time.Millisecond
)

// Worker holds the calls to the worker that a Runner uses.
type Worker struct {
	Poll        func(ctx context.Context, after uint64) (executor.Report, error)
	Start       func(ctx context.Context, t executor.Task, until time.Time) error
	RenewLeases func(ctx context.Context, ids []string, until time.Time) error
	Checkpoint  func(ctx context.Context, id string) (executor.Task, error)
	Stop        func(ctx context.Context, id string) (executor.Task, error)
	Delete      func(ctx context.Context, id string) error
	Throttle    func(ctx context.Context, id string, share float64) error
}

// Config holds the settings and dependencies of a Runner.
type Config struct {
	Worker   Worker
	Reserver *reserver.Reserver
	// Now is the agent's monotonic clock.
	Now func() time.Time
	// Send sends a frame to an entry, and drops it when there is no
	// connection; reports are sent again.
	Send func(entry string, f messenger.Frame)
	Log  *zap.Logger
}

// owner is the entry that may extend and revoke a shard's grants.
type owner struct {
	epoch uint64
	entry string
}

// Runner runs tasks. It is safe for concurrent use.
type Runner struct {
	cfg Config
	// deletions queues tasks for deletion at the worker. When it is full or the call
	// fails, a task stays at the worker until the agent's next process reports its
	// outcome again.
	deletions chan string
	// renewalSlots bounds the calls in flight that renew leases.
	renewalSlots chan struct{}
	// wg counts the goroutines of grants and of lease renewals.
	wg sync.WaitGroup

	mu sync.Mutex
	// held has the grants that are not closed or have unacknowledged outcomes.
	held map[grantKey]*heldGrant
	// owners has each shard's owner with the highest epoch seen; epochs only grow.
	owners map[uint32]owner
	// tasks has the tasks in the worker's last report by id; version is the version
	// of that report.
	tasks    map[string]executor.Task
	version  uint64
	draining bool
	// urgentWaiting counts the urgent grants that wait for evicted tasks to end.
	urgentWaiting int
	// ctx ends with the agent; running tasks are then bounded by their leases at
	// the worker only.
	ctx context.Context
	// readyAt is when no start sent by an earlier process can take effect any more,
	// and the lease of a start that arrived after Recover has ended, because it is
	// never renewed. Before that time no grant is admitted, and none that an
	// earlier process may have been starting is reported closed.
	readyAt time.Time
}

// New returns a Runner. Recover must be called before any other method.
func New(cfg Config) *Runner {
	return &Runner{
		cfg: cfg, deletions: make(chan string, 4096), renewalSlots: make(chan struct{}, maxConcurrentRenewals),
		held: map[grantKey]*heldGrant{}, owners: map[uint32]owner{}, tasks: map[string]executor.Task{},
	}
}

// Serve polls the worker, renews leases and resends reports until ctx ends.
func (r *Runner) Serve(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { r.pollLoop(ctx) })
	loops.Go(func() { r.tickLoop(ctx) })
	loops.Go(func() { r.deleteLoop(ctx) })
	loops.Wait()
	r.wg.Wait()
}

// pollLoop keeps the worker's report up to date.
func (r *Runner) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		after := r.version
		r.mu.Unlock()
		rep, err := r.cfg.Worker.Poll(ctx, after)
		if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		r.applyReport(rep)
	}
}

func (r *Runner) applyReport(rep executor.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = rep.Version
	r.tasks = make(map[string]executor.Task, len(rep.Tasks))
	for _, t := range rep.Tasks {
		r.tasks[t.ID] = t
	}
	for _, h := range r.held {
		h.notify()
	}
}

// tickLoop runs the periodic work.
func (r *Runner) tickLoop(ctx context.Context) {
	waiter.Every(ctx, tickInterval, func() {
		r.renewLeases(ctx)
		r.resolveInDoubt()
		r.enforceReservations(ctx)
		r.resendReports()
	})
}

func (r *Runner) renewLeases(ctx context.Context) {
	now := r.cfg.Now()
	r.mu.Lock()
	idsByDeadline := map[time.Time][]string{}
	for _, h := range r.held {
		if h.taskID == "" || h.stopMode == stopCancel {
			continue
		}
		if h.grant.Idempotent && h.stopMode == stopNone && h.deadline.After(now) {
			h.deadline = now.Add(idempotentLease)
		}
		if h.deadline.After(now) {
			idsByDeadline[h.deadline] = append(idsByDeadline[h.deadline], h.taskID)
		}
	}
	r.mu.Unlock()
	for until, ids := range idsByDeadline {
		r.renewAsync(ctx, ids, until)
	}
}

// renewAsync renews leases without delaying the next tick: one call may be stuck while
// the leases of other tasks must still be renewed. It skips the renewal if
// maxConcurrentRenewals are in flight. A lease at a worker only moves forward, so a call
// that arrives after a later one has no effect.
func (r *Runner) renewAsync(ctx context.Context, ids []string, until time.Time) {
	select {
	case r.renewalSlots <- struct{}{}:
	default:
		return
	}
	r.wg.Go(func() {
		defer func() { <-r.renewalSlots }()
		ctx, cancel := context.WithTimeout(ctx, renewTimeout)
		defer cancel()
		_ = r.cfg.Worker.RenewLeases(ctx, ids, until) // retried at the next tick
	})
}

// resolveInDoubt reports grants of an earlier process as closed, once no task of them
// can start any more.
func (r *Runner) resolveInDoubt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cfg.Now().Before(r.readyAt) || r.ctx.Err() != nil {
		return
	}
	for _, h := range r.held {
		if h.inDoubt {
			h.inDoubt, h.reportSent = false, false
			r.sendReport(h)
		}
	}
}

func (r *Runner) resendReports() {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.held {
		if h.reportSent && now.Sub(h.reportSentAt) > resendAfter {
			h.reportSent = false
			r.sendReport(h)
		}
	}
}

// sendReport reports unacknowledged outcomes and the closing of a grant to its owner,
// unless a report awaits its acknowledgement. The caller holds mu.
func (r *Runner) sendReport(h *heldGrant) {
	if h.reportSent || (len(h.outcomes) == 0 && (!h.closed || h.inDoubt)) {
		return
	}
	h.reportSent, h.reportSentAt = true, r.cfg.Now()
	r.cfg.Send(r.owners[h.grant.Shard].entry, messenger.Frame{Kind: messenger.KindReport, Report: h.report()})
}

// deleteLoop deletes tasks at the worker whose outcomes are stored durably.
func (r *Runner) deleteLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-r.deletions:
			_ = r.cfg.Worker.Delete(ctx, id)
		}
	}
}

// Drain declines new grants and evicts the tasks that can be resumed or rerun elsewhere.
func (r *Runner) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	for _, h := range r.held {
		if h.grant.Checkpointable || h.grant.Idempotent {
			h.stop(stopEvict)
		}
	}
}

// stop asks for the running task to be stopped. A cancellation replaces an eviction, and
// nothing replaces a cancellation.
func (h *heldGrant) stop(mode stopMode) {
	if h.stopMode == stopNone || h.stopMode == stopEvict && mode == stopCancel {
		h.stopMode = mode
		h.interrupt()
	}
	h.notify()
}

// Ready reports whether grants are accepted.
func (r *Runner) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.draining && !r.cfg.Now().Before(r.readyAt)
}

// HeldGrants returns the number of held grants.
func (r *Runner) HeldGrants() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.held)
}

// Shards lists the shards whose grants are held.
func (r *Runner) Shards() []uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[uint32]bool{}
	var list []uint32
	for _, h := range r.held {
		if !seen[h.grant.Shard] {
			seen[h.grant.Shard] = true
			list = append(list, h.grant.Shard)
		}
	}
	return list
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
