// Package supervisor is the part of an agent that commands one worker of a pool: it
// starts and stops runs, keeps their lease, and tells the pool's owner of all
// that runs and has ended. It alone calls the worker.
package supervisor

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/estimator"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/pacer"
)

// Times of a warden.
const (
	// callTimeout bounds a start, stop or pace; answers take 1 to 2 ms.
	callTimeout = 700 * time.Millisecond
	// lookWait is how long a look may wait for an end; it bounds how late a
	// lease is extended and an end forgotten.
	lookWait = 500 * time.Millisecond
	// figureWait is the same where figures are to be read as they are renewed.
	figureWait = 100 * time.Millisecond
	// lookPause is the least time between two looks.
	lookPause = 15 * time.Millisecond
	// retryPause is the wait after a call that failed.
	retryPause = 100 * time.Millisecond
	// lapseMargin covers what a call may still have been on its way.
	lapseMargin = 100 * time.Millisecond
	// minLease is the least lease left for a start to be worth sending.
	minLease = 500 * time.Millisecond
)

// Config is what a Warden needs.
type Config struct {
	// ID names the instance, Incarnation this process.
	ID, Incarnation string
	Worker          WorkerClient
	// LeaseDuration is how long runs go on without the owner.
	LeaseDuration time.Duration
	// Now is a clock that counts the time in which the instance was suspended.
	Now func() time.Time
	Log *zap.Logger
	// FindOwner returns the owner's address and term.
	FindOwner func(ctx context.Context) (netip.AddrPort, uint64, error)
	// Client opens connections to owners.
	Client *http.Client
	// OnPeers is told of the entries that the owner knows.
	OnPeers func([]netip.AddrPort)
	// Count is told of each event for metrics.
	Count func(name string)
	Pacer *pacer.Pacer
}

// Supervisor commands one worker.
type Supervisor struct {
	cfg Config
	// dirty holds one token while the table has changed since it was sent.
	dirty chan struct{}
	// looks holds one token while a look should not wait for an end.
	looks chan struct{}

	mu sync.Mutex
	// beat is the newest heartbeat of the worker's life; Life is empty while no
	// life is confirmed.
	beat Heartbeat
	// surveyed is set once the table has been compared with the life's lists.
	surveyed bool
	// left is set when the worker has said that it ends now.
	left bool
	// fence is above every fence number used before in this life.
	fence uint64
	// term is the highest that any owner has shown.
	term uint64
	// lease is the worker's time up to which runs may go on. It only grows
	// within a life.
	lease time.Time
	// sent is the latest lease that a call to this life has carried.
	sent time.Time
	// clock is the worker's newest known time, seen at the local time at.
	clock, at time.Time
	// failing is since when the worker has not answered; zero while it does.
	failing time.Time
	runs    map[key]*run
	ends    []end
	// number is of the newest end, of this process; seen of the worker's newest
	// end taken over, acked of its newest that may be forgotten.
	number, seen, acked uint64
	// seq is the last order on the present connection.
	seq uint64
	// described is when the worker's load was last told in the log.
	described time.Time
	// conn is the connection to the owner, or nil.
	conn  *messenger.Conn
	tasks sync.WaitGroup
}

// New returns a Warden; Serve runs it.
func New(cfg Config) *Supervisor {
	if cfg.Count == nil {
		cfg.Count = func(string) {}
	}
	if cfg.OnPeers == nil {
		cfg.OnPeers = func([]netip.AddrPort) {}
	}
	return &Supervisor{
		cfg: cfg, dirty: make(chan struct{}, 1), looks: make(chan struct{}, 1), runs: map[key]*run{},
	}
}

// Serve commands the worker until ctx ends.
func (w *Supervisor) Serve(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { w.lookLoop(ctx) })
	duties.Go(func() { w.linkLoop(ctx) })
	duties.Wait()
	w.tasks.Wait()
}

// touch says that the table has changed; mu need not be held.
func (w *Supervisor) touch() {
	select {
	case w.dirty <- struct{}{}:
	default:
	}
}

// hurry makes the next look return at once.
func (w *Supervisor) hurry() {
	select {
	case w.looks <- struct{}{}:
	default:
	}
}

// workerNow returns a time that the worker's clock has surely reached.
func (w *Supervisor) workerNow() time.Time {
	return w.clock.Add(estimator.MinWorkerElapsed(w.cfg.Now().Sub(w.at)))
}

// lapsed says whether every lease that the worker was given has surely ended.
func (w *Supervisor) lapsed() bool {
	if w.sent.IsZero() {
		return true
	}
	return w.workerNow().After(w.sent.Add(lapseMargin))
}

// table returns what the owner is told.
func (w *Supervisor) table() *messenger.WorkerSnapshot {
	t := &messenger.WorkerSnapshot{
		Term: w.term, Seq: w.seq, WorkerIncarnation: w.beat.Incarnation, CPU: w.beat.CPU, Memory: w.beat.Memory, GPU: w.beat.GPU,
		Labels: w.beat.Labels, Pool: w.beat.Pool, Draining: w.beat.Draining || w.left,
		Unreachable: !w.failing.IsZero() && w.cfg.Now().Sub(w.failing) > time.Second, Reconciled: w.surveyed,
		WarmupMs: w.beat.Warmup.Milliseconds(), MayStart: w.startable() == "",
	}
	if w.cfg.Pacer != nil {
		t.MeasurementUpdates = w.cfg.Pacer.MeasurementUpdates
	}
	if w.beat.Incarnation != "" {
		t.SentAt = w.workerNow()
	}
	if w.beat.Draining && !w.beat.EarliestExit.IsZero() {
		t.DrainRemainingMs = max(w.beat.EarliestExit.Sub(w.workerNow()).Milliseconds(), 0)
	}
	for _, r := range w.sortedRuns() {
		t.Runs = append(t.Runs, r.row())
	}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		t.RunEnds = append(t.RunEnds, e.RunEnd)
	}
	return t
}

// maxEnds bounds the ends in one table: 500 rows are about 30 KB.
const maxEnds = 500

// startable says why no run may be started now; empty where one may.
func (w *Supervisor) startable() string {
	switch {
	case w.beat.Incarnation == "":
		return "no worker"
	case !w.surveyed:
		return "not surveyed"
	case w.beat.Draining || w.left:
		return "draining"
	case !w.failing.IsZero():
		return "worker does not answer"
	case w.lease.Sub(w.workerNow()) < minLease:
		return "no lease"
	}
	return ""
}

// finish moves a run from the table to the ends. The row says how it ended,
// number is the worker's own for the end.
func (w *Supervisor) finish(r *run, row messenger.RunEnd, number uint64) {
	if r.over {
		return
	}
	r.over = true
	delete(w.runs, key{r.task, r.attempt})
	row.Task, row.Attempt = r.task, r.attempt
	if row.Checkpoint == "" {
		row.Checkpoint = r.saved
	}
	w.list(row, number)
}

// list adds an end to those that the owner is told of.
func (w *Supervisor) list(row messenger.RunEnd, number uint64) {
	w.number++
	row.Seq = w.number
	w.ends = append(w.ends, end{RunEnd: row, number: number})
	w.cfg.Log.Info("run ended", zap.String("task", row.Task), zap.Uint64("attempt", row.Attempt),
		zap.Stringer("how", row.Status), zap.String("reason", row.Reason), zap.Uint64("listed", number), zap.String("worker", w.beat.Incarnation))
	w.touch()
}

// forget drops the ends that the ledger has.
func (w *Supervisor) forget(durable uint64) {
	n := 0
	for n < len(w.ends) && w.ends[n].Seq <= durable {
		w.acked = max(w.acked, w.ends[n].number)
		n++
	}
	if n > 0 {
		w.ends = slices.Delete(w.ends, 0, n)
		w.hurry()
	}
}

// endLife ends every run of the worker's life and waits for another one.
func (w *Supervisor) endLife(why string) {
	if w.beat.Incarnation == "" {
		return
	}
	w.cfg.Log.Warn("worker's life ended", zap.String("worker", w.beat.Incarnation), zap.String("why", why), zap.Int("runs", len(w.runs)))
	for _, r := range w.sortedRuns() {
		w.finish(r, messenger.RunEnd{Status: messenger.EndWorkerLost, Reason: why}, 0)
	}
	for i := range w.ends {
		w.ends[i].number = 0 // the numbers were of that life
	}
	w.beat, w.surveyed, w.left = Heartbeat{}, false, false
	w.fence, w.seen, w.acked = 0, 0, 0
	w.lease, w.sent, w.clock, w.failing = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	w.touch()
}

func (w *Supervisor) sortedRuns() []*run {
	list := slices.Collect(maps.Values(w.runs))
	slices.SortFunc(list, func(a, b *run) int { return strings.Compare(a.task, b.task) })
	return list
}

// HandleHeartbeat takes a heartbeat of the worker. A life that is new must answer a call
// before it counts: a heartbeat may be older than the life that is known.
func (w *Supervisor) HandleHeartbeat(ctx context.Context, b Heartbeat) {
	w.mu.Lock()
	known := w.beat.Incarnation == b.Incarnation
	if known && b.Seq > w.beat.Seq {
		if b.Draining && !w.beat.Draining {
			w.cfg.Log.Info("worker drains", zap.String("worker", b.Incarnation), zap.Time("leaves", b.EarliestExit), zap.Int("runs", len(w.runs)))
			w.touch()
		}
		b.Draining = b.Draining || w.beat.Draining
		w.beat = b
	}
	w.mu.Unlock()
	if !known {
		w.adopt(ctx, b)
	}
}

// HandleLeave notes that a life of the worker ends now.
func (w *Supervisor) HandleLeave(life string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.beat.Incarnation == life {
		w.left = true
		w.cfg.Log.Info("worker leaves", zap.String("worker", life), zap.Int("runs", len(w.runs)))
		w.touch()
	}
}

// adopt makes a life of the worker the present one, if it answers.
func (w *Supervisor) adopt(ctx context.Context, b Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// A fence of 0 is refused by a life that has seen one, and changes nothing
	// at one that has not; both show the clock.
	listing, err := w.cfg.Worker.List(ctx, ListRequest{Incarnation: b.Incarnation})
	got := w.cfg.Now()
	if listing == nil || listing.Clock.IsZero() {
		w.cfg.Log.Info("heartbeat of a life that does not answer", zap.String("worker", b.Incarnation), zap.Error(err))
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.beat.Incarnation == b.Incarnation {
		return
	}
	w.endLife("replaced by " + b.Incarnation)
	w.beat = b
	w.clock, w.at = listing.Clock, got
	// The worker's steady clock grows faster than this agent or an earlier
	// process of it raises the fence.
	w.fence = uint64(listing.Clock.UnixMilli())
	// An earlier process of this agent may have sent leases of up to this.
	w.sent = listing.Clock.Add(w.cfg.LeaseDuration)
	w.cfg.Log.Info("worker's life begins", zap.String("worker", b.Incarnation), zap.Uint64("fence", w.fence), zap.Int64("cpu", b.CPU), zap.Int64("memory", b.Memory), zap.Strings("labels", b.Labels))
	w.hurry()
	w.touch()
}
