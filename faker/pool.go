package faker

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/supervisor"
)

// PoolFault is what befalls one call to a PoolWorker.
type PoolFault struct {
	Delay time.Duration // before it is carried out
	// LoseReply answers ErrUnknown at once and carries the call out after Late; it is
	// never carried out where Drop is set too.
	LoseReply, Drop bool
	ApplyDelay      time.Duration
}

// PoolRunPlan is what becomes of a run that nothing disturbs.
type PoolRunPlan struct {
	Duration time.Duration // 0: it runs until it is stopped
	Fails    bool
}

// PoolWorker is an in-memory stand-in of a worker of a pool: leases, fences,
// lists of runs and ends, checkpoints. It is safe for concurrent use.
type PoolWorker struct {
	// Plan decides what becomes of a run.
	Plan func(task string, attempt uint64) PoolRunPlan
	// Fault decides what befalls a call; nil for nothing.
	Fault func(call string) PoolFault
	// OnEvent is called for each event: a run starts, ends, or its end is forgotten.
	OnEvent func(e PoolEvent)
	// CPU and Memory are its capacity.
	CPU, Memory int64

	mu    sync.Mutex
	life  string
	since time.Time // its clock began here, at a value of its own
	base  time.Time
	fence uint64
	until time.Time // lease, local time
	runs  map[string]*poolRun
	// stopped has the highest attempt of each task that was stopped or ended.
	stopped map[string]uint64
	ends    []supervisor.EndedRun
	number  uint64
	changed chan struct{}
}

// poolRun is a run at a PoolWorker.
type poolRun struct {
	attempt uint64
	began   time.Time
	plan    PoolRunPlan
	timer   *time.Timer
}

// PoolEvent is something that a worker saw.
type PoolEvent struct {
	At          time.Time
	Incarnation string
	Kind        string // start, end, forgotten, or gone for a life that ended
	Task        string
	Attempt     uint64
	Status      messenger.EndStatus
}

// NewPoolWorker returns a worker without a life; Boot begins one.
func NewPoolWorker() *PoolWorker { return &PoolWorker{changed: make(chan struct{})} }

// Restart ends the present life with all that runs in it, and begins another.
func (w *PoolWorker) Restart(life string, clock time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		r.timer.Stop()
	}
	if w.life != "" {
		w.tell("gone", "", 0, 0)
	}
	w.life, w.since, w.base = life, time.Now(), clock
	w.fence, w.until, w.number, w.ends = 0, time.Time{}, 0, nil
	w.runs, w.stopped = map[string]*poolRun{}, map[string]uint64{}
	w.wake()
}

// Heartbeat returns what the worker tells of itself; Life is empty while it has
// none.
func (w *PoolWorker) Heartbeat(seq uint64) supervisor.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	return supervisor.Heartbeat{
		Incarnation: w.life, Seq: seq, Pool: "pool", Clock: w.clock(), CPU: w.CPU, Memory: w.Memory, Labels: []string{"a", "rack"},
	}
}

// Client returns the calls to the worker.
func (w *PoolWorker) Client() supervisor.WorkerClient {
	return supervisor.WorkerClient{List: w.look, Start: w.start, Stop: w.stop, SetPace: func(context.Context, supervisor.RunRef, int) error { return nil }}
}

// Running returns the names of the tasks that run.
func (w *PoolWorker) Running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	var list []string
	for task := range w.runs {
		list = append(list, task)
	}
	slices.Sort(list)
	return list
}

func (w *PoolWorker) clock() time.Time { return w.base.Add(time.Since(w.since)) }

// local turns a time of the worker's clock into a local one.
func (w *PoolWorker) local(at time.Time) time.Time { return w.since.Add(at.Sub(w.base)) }

func (w *PoolWorker) tell(kind, task string, attempt uint64, how messenger.EndStatus) {
	if w.OnEvent != nil {
		w.OnEvent(PoolEvent{At: time.Now(), Incarnation: w.life, Kind: kind, Task: task, Attempt: attempt, Status: how})
	}
}

func (w *PoolWorker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// expire ends what runs once the lease is over.
func (w *PoolWorker) expire() {
	if time.Now().Before(w.until) {
		return
	}
	for task := range w.runs {
		w.end(task, messenger.EndLeaseExpired)
	}
}

func (w *PoolWorker) end(task string, how messenger.EndStatus) {
	r := w.runs[task]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(w.runs, task)
	w.stopped[task] = max(w.stopped[task], r.attempt)
	w.number++
	w.ends = append(w.ends, supervisor.EndedRun{Seq: w.number, Task: task, Attempt: r.attempt, Status: how})
	w.tell("end", task, r.attempt, how)
	w.wake()
}

// fault carries a call out under the faults of the moment.
func (w *PoolWorker) fault(ctx context.Context, call string, do func() error) error {
	var f PoolFault
	if w.Fault != nil {
		f = w.Fault(call)
	}
	if f.LoseReply {
		if !f.Drop {
			time.AfterFunc(f.ApplyDelay, func() { _ = do() })
		}
		<-ctx.Done()
		return supervisor.ErrUnknownOutcome
	}
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return supervisor.ErrUnknownOutcome
		}
	}
	return do()
}

// check says why a call is refused.
func (w *PoolWorker) check(life string, fence uint64) error {
	switch {
	case w.life == "":
		return supervisor.ErrUnknownOutcome
	case life != w.life:
		return supervisor.ErrWrongIncarnation
	case fence < w.fence:
		return supervisor.ErrStaleFence
	}
	w.expire()
	w.fence = fence
	return nil
}

func (w *PoolWorker) extend(until time.Time) {
	if until.IsZero() {
		return
	}
	if local := w.local(until); local.After(w.until) {
		w.until = local
		time.AfterFunc(time.Until(local)+time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.expire()
		})
	}
}

func (w *PoolWorker) look(ctx context.Context, l supervisor.ListRequest) (*supervisor.ListReply, error) {
	var list *supervisor.ListReply
	var changed chan struct{}
	once := func() error {
		w.mu.Lock()
		defer w.mu.Unlock()
		err := w.check(l.Incarnation, l.Fence)
		if errors.Is(err, supervisor.ErrUnknownOutcome) || errors.Is(err, supervisor.ErrWrongIncarnation) {
			return err
		}
		list = &supervisor.ListReply{Clock: w.clock(), Complete: true}
		if err != nil {
			return err
		}
		w.extend(l.LeaseExpiresAt)
		for len(w.ends) > 0 && w.ends[0].Seq <= l.AckedEnd {
			w.tell("forgotten", w.ends[0].Task, w.ends[0].Attempt, w.ends[0].Status)
			w.ends = w.ends[1:]
		}
		for task, r := range w.runs {
			percent := 100
			if r.plan.Duration > 0 {
				percent = int(100 * time.Since(r.began) / r.plan.Duration)
			}
			list.Runs = append(list.Runs, supervisor.ActiveRun{Task: task, Attempt: r.attempt, ProgressPercent: percent, Checkpoint: fmt.Sprint(percent)})
		}
		list.Ends = slices.Clone(w.ends)
		changed = w.changed
		return nil
	}
	err := w.fault(ctx, "look", once)
	if err != nil || l.Wait <= 0 {
		return list, err
	}
	select {
	case <-changed:
	case <-time.After(l.Wait):
	case <-ctx.Done():
		return nil, supervisor.ErrUnknownOutcome
	}
	return list, once()
}

func (w *PoolWorker) start(ctx context.Context, s supervisor.StartRequest) (time.Time, error) {
	var clock time.Time
	err := w.fault(ctx, "start", func() error {
		w.mu.Lock()
		defer w.mu.Unlock()
		if err := w.check(s.Incarnation, s.Fence); err != nil {
			return err
		}
		clock = w.clock()
		if r := w.runs[s.Task]; r != nil && r.attempt == s.Attempt {
			return nil
		}
		if w.stopped[s.Task] >= s.Attempt {
			return supervisor.ErrStaleAttempt
		}
		if !s.LeaseExpiresAt.After(clock) {
			return supervisor.ErrLeaseExpired
		}
		w.extend(s.LeaseExpiresAt)
		plan := w.Plan(s.Task, s.Attempt)
		r := &poolRun{attempt: s.Attempt, began: time.Now(), plan: plan}
		how, takes := messenger.EndDone, plan.Duration
		if plan.Fails {
			how = messenger.EndFailed
		}
		if takes == 0 {
			takes = time.Hour
		}
		life := w.life
		r.timer = time.AfterFunc(takes, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.life == life && w.runs[s.Task] == r {
				w.expire()
				w.end(s.Task, how)
			}
		})
		w.runs[s.Task] = r
		w.tell("start", s.Task, s.Attempt, 0)
		return nil
	})
	return clock, err
}

func (w *PoolWorker) stop(ctx context.Context, a supervisor.RunRef) error {
	return w.fault(ctx, "stop", func() error {
		w.mu.Lock()
		defer w.mu.Unlock()
		if err := w.check(a.Incarnation, a.Fence); err != nil {
			return err
		}
		w.stopped[a.Task] = max(w.stopped[a.Task], a.Attempt)
		if r := w.runs[a.Task]; r != nil && r.attempt <= a.Attempt {
			w.end(a.Task, messenger.EndStopped)
		}
		return nil
	})
}
