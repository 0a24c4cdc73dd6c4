package faker

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/supervisor"
)

// PoolFault is the fault injected into one call to a PoolWorker.
type PoolFault struct {
	Delay time.Duration // before the call is executed
	// LoseReply executes the call after ApplyDelay, or never if Drop is set too, and
	// returns ErrUnknownOutcome when the caller's context ends.
	LoseReply, Drop bool
	ApplyDelay      time.Duration
	// Refusal is returned instead of executing the call.
	Refusal error
	// ReplyDelay is the transit time of the reply.
	ReplyDelay time.Duration
}

// PoolRunPlan is the result of a run that is not interrupted.
type PoolRunPlan struct {
	Duration time.Duration // 0: runs until it is stopped
	Fails    bool
	// Crashes makes the worker crash after Duration.
	Crashes bool
	// Measure returns the measurement after the given time of work; nil measures nothing.
	Measure func(worked time.Duration) int64
}

// PoolWorker is an in-memory fake of a pool worker, with leases, fencing numbers,
// list requests and checkpoints. It is safe for concurrent use.
type PoolWorker struct {
	// Name names the worker in its events, whatever its ID.
	Name string
	// Plan returns the planned result of a run.
	Plan func(task string, attempt uint64) PoolRunPlan
	// Fault returns the fault of a call; nil injects none.
	Fault func(call string) PoolFault
	// OnEvent is called for each event, with the worker's lock held; nil for none.
	OnEvent func(e PoolEvent)
	// Domain is the failure domain in its heartbeats.
	Domain string
	// CPU and Memory are the worker's capacity.
	CPU, Memory int64
	// MaxLease shortens longer leases; 0 shortens none.
	MaxLease time.Duration

	mu sync.Mutex
	// pool is the worker's pool, "pool" if it is empty.
	pool string
	// id is the worker's ID, empty while it is down. startedAt is when it was started,
	// starts how often; mu guards them.
	id             string
	startedAt      time.Time
	starts         int
	clockStartedAt time.Time // local time at which the worker's clock showed clockBase
	clockBase      time.Time
	fence          uint64
	leaseExpiresAt time.Time // local time
	runs           map[string]*poolRun
	// endedAttempts holds the highest stopped or ended attempt of each task.
	endedAttempts map[string]uint64
	endedRuns     []supervisor.EndedRun
	lastEndSeq    uint64
	// maxListedEnds is the most ends in one list; 0 for all.
	maxListedEnds int
	changed       chan struct{}
}

// poolRun is an active run of a PoolWorker.
type poolRun struct {
	attempt   uint64
	startedAt time.Time
	plan      PoolRunPlan
	timer     *time.Timer
	// pacePercent is the pace that was set last. It does not slow the run.
	pacePercent int
}

// PoolEvent is an event at a PoolWorker.
type PoolEvent struct {
	At          time.Time
	Worker      string
	Incarnation string // differs for each start of the worker
	// Kind is start, end, forgotten (the end was acknowledged), lapsed (the lease expired),
	// crash (the run crashes the worker) or gone (the incarnation ended).
	Kind    string
	Task    string
	Attempt uint64
	Status  messenger.EndStatus
}

// NewPoolWorker returns a worker that is down until Restart is called.
func NewPoolWorker() *PoolWorker { return &PoolWorker{changed: make(chan struct{})} }

// LimitListedEnds limits the ends in one list; 0 lists all.
func (w *PoolWorker) LimitListedEnds(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.maxListedEnds = n
}

// Crash ends the current incarnation with all its runs.
func (w *PoolWorker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crash()
}

// crash ends the current incarnation; the caller holds mu.
func (w *PoolWorker) crash() {
	for _, r := range w.runs {
		r.timer.Stop()
	}
	if w.id != "" {
		w.emit("gone", "", 0, 0)
	}
	w.id, w.runs = "", map[string]*poolRun{}
	w.notifyWaiters()
}

// Restart ends the current incarnation and begins a new one, whose clock starts at the
// given time. The ID may be that of an earlier incarnation.
func (w *PoolWorker) Restart(id string, clock time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crash()
	w.id, w.startedAt, w.clockStartedAt, w.clockBase = id, time.Now().Truncate(time.Millisecond), time.Now(), clock
	w.starts++
	w.fence, w.leaseExpiresAt, w.lastEndSeq, w.endedRuns = 0, time.Time{}, 0, nil
	w.endedAttempts = map[string]uint64{}
}

// SetOnEvent replaces OnEvent; it may be called while the worker is in use.
func (w *PoolWorker) SetOnEvent(onEvent func(e PoolEvent)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.OnEvent = onEvent
}

// SetPool changes the pool of the worker.
func (w *PoolWorker) SetPool(pool string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pool = pool
}

// Heartbeat returns the worker's heartbeat; its WorkerID is empty while it is down.
func (w *PoolWorker) Heartbeat(seq uint64) supervisor.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	return supervisor.Heartbeat{
		WorkerID: w.id, StartedAt: w.startedAt, Seq: seq, Pool: cmp.Or(w.pool, "pool"), Clock: w.clock(), CPU: w.CPU, Memory: w.Memory, Labels: []string{"a", "rack"}, Domain: w.Domain,
	}
}

// Client returns a client that calls the worker in memory.
func (w *PoolWorker) Client() supervisor.WorkerClient {
	return supervisor.WorkerClient{List: w.listRuns, Start: w.startRun, Stop: w.stopRun, SetPace: w.setPace}
}

// Paces returns the paces of the running tasks.
func (w *PoolWorker) Paces() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireRuns()
	paces := map[string]int{}
	for task, r := range w.runs {
		paces[task] = r.pacePercent
	}
	return paces
}

// LeaselessSince reports whether the worker has been up since a time and holds no lease.
func (w *PoolWorker) LeaselessSince(since time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id != "" && w.startedAt.Before(since) && !time.Now().Before(w.leaseExpiresAt)
}

// Running returns the sorted names of the running tasks.
func (w *PoolWorker) Running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireRuns()
	var tasks []string
	for task := range w.runs {
		tasks = append(tasks, task)
	}
	slices.Sort(tasks)
	return tasks
}

func (w *PoolWorker) clock() time.Time { return w.clockBase.Add(time.Since(w.clockStartedAt)) }

// toLocalTime converts a time of the worker's clock to local time.
func (w *PoolWorker) toLocalTime(workerTime time.Time) time.Time {
	return w.clockStartedAt.Add(workerTime.Sub(w.clockBase))
}

func (w *PoolWorker) emit(kind, task string, attempt uint64, status messenger.EndStatus) {
	if w.OnEvent != nil {
		w.OnEvent(PoolEvent{At: time.Now(), Worker: w.Name, Incarnation: fmt.Sprint(w.id, "#", w.starts), Kind: kind, Task: task, Attempt: attempt, Status: status})
	}
}

func (w *PoolWorker) notifyWaiters() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// expireRuns ends all runs once the lease has expired; the caller holds mu.
func (w *PoolWorker) expireRuns() {
	if time.Now().Before(w.leaseExpiresAt) {
		return
	}
	w.emit("lapsed", "", 0, 0)
	for task := range w.runs {
		w.endRun(task, messenger.EndLeaseExpired)
	}
}

func (w *PoolWorker) endRun(task string, status messenger.EndStatus) {
	r := w.runs[task]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(w.runs, task)
	w.endedAttempts[task] = max(w.endedAttempts[task], r.attempt)
	w.lastEndSeq++
	w.endedRuns = append(w.endedRuns, supervisor.EndedRun{Seq: w.lastEndSeq, Task: task, Attempt: r.attempt, Status: status})
	w.emit("end", task, r.attempt, status)
	w.notifyWaiters()
}
