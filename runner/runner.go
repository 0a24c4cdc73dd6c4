// Package runner runs an agent's batch tasks at its worker, under grants whose
// deadlines it never outlives.
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

// Times of the runner.
const (
	// tick is how often worker leases are moved and lost reports repeated.
	tick = 500 * time.Millisecond
	// extendTimeout bounds one call to move leases, maxExtends how many may be
	// on their way.
	extendTimeout = time.Second
	maxExtends    = 8
	// resend is how long a report waits for its answer.
	resend = 2 * time.Second
	// repeatLease is the worker lease of idempotent tasks, which may go on
	// while no owner can be reached.
	repeatLease = 10 * time.Second
	// startLease is the worker's lease of a task that starts, before it is moved
	// up to its grant's deadline. A start that is held up for longer is
	// refused by the worker, so that after this time nothing of an earlier
	// process of the agent can start any more.
	startLease = 2 * time.Second
	// stopTime is how long before its deadline a task is stopped: a checkpoint
	// must be whole before the worker's lease ends.
	stopTime = time.Second
	// pause is the wait after a worker's call that failed.
	pause = 100 * time.Millisecond
)

// Worker is the part of a worker that the runner needs.
type Worker struct {
	Poll        func(ctx context.Context, after uint64) (executor.Report, error)
	Start       func(ctx context.Context, t executor.Task, until time.Time) error
	RenewLeases func(ctx context.Context, ids []string, until time.Time) error
	Checkpoint  func(ctx context.Context, id string) (executor.Task, error)
	Stop        func(ctx context.Context, id string) (executor.Task, error)
	Delete      func(ctx context.Context, id string) error
	Throttle    func(ctx context.Context, id string, share float64) error
}

// Config is what a Runner needs.
type Config struct {
	Worker   Worker
	Reserver *reserver.Reserver
	// Now is the agent's steady clock.
	Now func() time.Time
	// Send sends a frame to an entry, and drops it when there is no
	// connection: what matters is sent again.
	Send func(entry string, f messenger.Frame)
	Log  *zap.Logger
}

// owner is who may extend a shard's grants.
type owner struct {
	epoch uint64
	entry string
}

// Runner runs tasks. It is safe for concurrent use.
type Runner struct {
	cfg Config
	// forget holds tasks that the worker may drop; a full queue keeps them at
	// the worker until the next report of the same outcome.
	forget chan string
	// extending bounds the calls on their way that move leases.
	extending chan struct{}
	lanes     sync.WaitGroup

	mu sync.Mutex
	// held has the grants that are not settled whole.
	held map[key]*lane
	// owners has the highest epoch seen of each shard; epochs only grow.
	owners map[uint32]owner
	// report is the worker's last; version counts them.
	report  map[string]executor.Task
	version uint64
	leaving bool
	// waiting counts the urgent grants that wait for room.
	waiting int
	// ctx ends when the agent does; lanes then leave their tasks to the
	// worker's leases.
	ctx context.Context
	// ready is when no start of an earlier process can be on its way to the
	// worker any more, and the lease of one that came since Recover has ended,
	// because nobody moved it. Nothing new is admitted before, and nothing that such a
	// process may have been starting is called closed.
	ready time.Time
}

// New returns a Runner. Nothing is accepted before Recover.
func New(cfg Config) *Runner {
	return &Runner{
		cfg: cfg, forget: make(chan string, 4096), extending: make(chan struct{}, maxExtends),
		held: map[key]*lane{}, owners: map[uint32]owner{}, report: map[string]executor.Task{},
	}
}

// Serve polls the worker, moves leases and repeats reports until ctx ends.
func (r *Runner) Serve(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { r.pollLoop(ctx) })
	duties.Go(func() { r.tickLoop(ctx) })
	duties.Go(func() { r.forgetLoop(ctx) })
	duties.Wait()
	r.lanes.Wait()
}

// pollLoop keeps the worker's report fresh.
func (r *Runner) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		after := r.version
		r.mu.Unlock()
		rep, err := r.cfg.Worker.Poll(ctx, after)
		if err != nil {
			sleep(ctx, pause)
			continue
		}
		r.take(rep)
	}
}

func (r *Runner) take(rep executor.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = rep.Version
	r.report = make(map[string]executor.Task, len(rep.Tasks))
	for _, t := range rep.Tasks {
		r.report[t.ID] = t
	}
	for _, l := range r.held {
		l.nudge()
	}
}

// tickLoop moves the worker's leases up to the grants' deadlines.
func (r *Runner) tickLoop(ctx context.Context) {
	waiter.Every(ctx, tick, func() {
		r.extendWorker(ctx)
		r.unmute()
		r.outgrow(ctx)
		r.repeatReports()
	})
}

func (r *Runner) extendWorker(ctx context.Context) {
	now := r.cfg.Now()
	r.mu.Lock()
	groups := map[time.Time][]string{}
	for _, l := range r.held {
		if l.task == "" {
			continue
		}
		if l.grant.Idempotent && l.until.After(now) {
			l.until = now.Add(repeatLease)
		}
		if l.until.After(now) {
			groups[l.until] = append(groups[l.until], l.task)
		}
	}
	r.mu.Unlock()
	for until, ids := range groups {
		r.extend(ctx, ids, until)
	}
}

// extend moves leases without holding up the next tick: a call may be stuck on
// its way while the tasks must go on. A lease at a worker only moves forward,
// so a late call does no harm.
func (r *Runner) extend(ctx context.Context, ids []string, until time.Time) {
	select {
	case r.extending <- struct{}{}:
	default:
		return
	}
	r.lanes.Go(func() {
		defer func() { <-r.extending }()
		ctx, cancel := context.WithTimeout(ctx, extendTimeout)
		defer cancel()
		_ = r.cfg.Worker.RenewLeases(ctx, ids, until) // repeated at the next tick
	})
}

// unmute closes the grants that an earlier process held, once nothing of them
// can start any more.
func (r *Runner) unmute() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cfg.Now().Before(r.ready) || r.ctx.Err() != nil {
		return
	}
	for _, l := range r.held {
		if l.mute {
			l.mute, l.sent = false, false
			r.tell(l)
		}
	}
}

func (r *Runner) repeatReports() {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.held {
		if l.sent && now.Sub(l.sentAt) > resend {
			l.sent = false
			r.tell(l)
		}
	}
}

// tell reports to the owner what is not settled, unless a report is on its
// way; the caller holds mu.
func (r *Runner) tell(l *lane) {
	if l.sent || (len(l.outcomes) == 0 && (!l.closed || l.mute)) {
		return
	}
	l.sent, l.sentAt = true, r.cfg.Now()
	r.cfg.Send(r.owners[l.grant.Shard].entry, messenger.Frame{Kind: messenger.KindReport, Report: l.report()})
}

// forgetLoop lets the worker drop tasks whose ends are durable.
func (r *Runner) forgetLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-r.forget:
			_ = r.cfg.Worker.Delete(ctx, id)
		}
	}
}

// Drain takes no new grants and ends those that can resume elsewhere.
func (r *Runner) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
	for _, l := range r.held {
		if l.grant.Checkpointable || l.grant.Idempotent {
			l.stop(evict)
		}
	}
}

func (l *lane) stop(how halt) {
	if l.halt == none || how == cancel {
		l.halt = how
	}
	l.nudge()
}

// Ready says whether grants are taken.
func (r *Runner) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.leaving && !r.cfg.Now().Before(r.ready)
}

// HeldGrants returns how many grants are held.
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
	for _, l := range r.held {
		if !seen[l.grant.Shard] {
			seen[l.grant.Shard] = true
			list = append(list, l.grant.Shard)
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
