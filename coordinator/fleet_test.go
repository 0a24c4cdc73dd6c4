package coordinator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/acceptor"
	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/coordinator"
	"github.com/endivefall/endivefall/elector"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/logger"
	"github.com/endivefall/endivefall/pacer"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
	"github.com/endivefall/endivefall/supervisor"
)

// maxWorkerLease is the longest lease that the fleet's workers accept.
const maxWorkerLease = 6 * time.Second

// workerDowntime is how long a worker is down that a task has crashed, timeToCrash how long
// after the start of the task it crashes.
const (
	workerDowntime = 3 * time.Second
	timeToCrash    = 10 * time.Millisecond
)

// fleet is a set of entries, agents and workers over one store, connected by an
// in-memory network.
type fleet struct {
	t       *testing.T
	seed    uint64
	ctx     context.Context
	store   *faker.Store
	network *faker.Network
	auditor *faker.PoolAuditor
	log     *zap.Logger

	mu      sync.Mutex
	entries map[string]*entryNode
	agents  map[string]*agentNode
	// frozen has the entries that are frozen.
	frozen map[string]bool
	// storeDown makes the store refuse every call; rejected has the instances whose
	// calls it refuses.
	storeDown bool
	// storeReplyLoss is the share of writes to the store whose reply is lost.
	storeReplyLoss float64
	rejected       map[string]bool
	// workerReplyLoss is the share of commands to workers whose reply is lost.
	workerReplyLoss float64
	// crashingJobs is the share of jobs with a task that crashes its workers.
	crashingJobs float64
	// canceledJobs is the share of jobs that are canceled at some moment after they were
	// accepted.
	canceledJobs float64
	// callFaults has the share of calls to a worker, by its name and the kind of call, that
	// are carried out in time and whose reply is lost or late.
	callFaults map[string]float64
	// restartAgents restarts the agent of each worker that a task has crashed.
	restartAgents bool
	incarnations  int
	// submittedLongRunning counts those that were submitted; only submit uses it.
	submittedLongRunning int
	draws                map[string]int
}

// entryNode is an entry that can be killed and restarted.
type entryNode struct {
	name        string
	addr        netip.AddrPort
	coordinator *coordinator.Coordinator
	stop        context.CancelFunc
	done        chan struct{}
}

// agentNode is an agent with its worker.
type agentNode struct {
	name       string
	worker     *faker.PoolWorker
	supervisor *supervisor.Supervisor
	stop       context.CancelFunc
	done       chan struct{}
	seq        uint64
}

func newFleet(ctx context.Context, t *testing.T, seed uint64, entries, agents int) *fleet {
	f := &fleet{
		t: t, seed: seed, ctx: ctx, store: faker.NewStore(), network: faker.NewNetwork(), auditor: faker.NewPoolAuditor(), log: zap.NewNop(),
		entries: map[string]*entryNode{}, agents: map[string]*agentNode{}, rejected: map[string]bool{}, frozen: map[string]bool{}, draws: map[string]int{}, callFaults: map[string]float64{},
	}
	if *logged {
		log, err := logger.New(os.Stdout, "debug")
		if err != nil {
			t.Fatal(err)
		}
		f.log = log
	}
	for n := range entries {
		f.startEntry(fmt.Sprintf("entry-%d", n), n)
	}
	for n := range agents {
		name := fmt.Sprintf("agent-%d", n)
		w := faker.NewPoolWorker()
		w.Name, w.CPU, w.Memory, w.MaxLease = name, 8000, 16000, maxWorkerLease
		w.Plan = f.runPlan
		w.Fault = func(call string) faker.PoolFault { return f.workerFault(name, call) }
		a := &agentNode{name: name, worker: w}
		w.OnEvent = func(e faker.PoolEvent) {
			f.auditor.Observe(e)
			if e.Kind == "crash" {
				time.AfterFunc(workerDowntime, func() { f.restartWorker(a) })
				time.AfterFunc(workerDowntime/10, func() { f.restartAgentIfSet(a) })
			}
		}
		f.agents[name] = a
		f.restartWorker(a)
		f.startAgent(a)
	}
	return f
}

// setFaults changes the injected faults under the lock.
func (f *fleet) setFaults(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// isOwner reports whether the entry is the owner.
func (e *entryNode) isOwner() bool { return e.coordinator.IsOwner() }

// draw returns a pseudo-random number in [0, 1) that depends on the seed, the
// purpose and the number of draws for that purpose, so that the order in which
// goroutines run does not matter.
func (f *fleet) draw(purpose string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draws[purpose]++
	return rand.New(rand.NewPCG(f.seed, xxhash.Sum64String(fmt.Sprint(purpose, f.draws[purpose])))).Float64()
}

func (f *fleet) runPlan(task string, attempt uint64) faker.PoolRunPlan {
	if f.crashesWorkers(task) {
		return faker.PoolRunPlan{Duration: timeToCrash, Crashes: true}
	}
	if f.auditor.LongRunning(task) {
		return faker.PoolRunPlan{Measure: f.measurement(task)}
	}
	r := rand.New(rand.NewPCG(f.seed, xxhash.Sum64String(fmt.Sprint(task, attempt))))
	return faker.PoolRunPlan{Duration: 50*time.Millisecond + time.Duration(r.Float64()*float64(1500*time.Millisecond)), Fails: r.Float64() < 0.05}
}

// crashesWorkers reports whether a task crashes its workers: the first of the first or the
// last step of some jobs.
func (f *fleet) crashesWorkers(task string) bool {
	id, _, step, index, err := sequencer.ParseTaskName(task)
	f.mu.Lock()
	share := f.crashingJobs
	f.mu.Unlock()
	r := rand.New(rand.NewPCG(f.seed, xxhash.Sum64String(id)))
	if err != nil || r.Float64() >= share {
		return false
	}
	steps := len(f.auditor.Spec(id).Steps)
	return index == 0 && step == []int{0, steps - 1}[r.IntN(2)]
}

func (f *fleet) workerFault(name, call string) faker.PoolFault {
	f.mu.Lock()
	loss, share := f.workerReplyLoss, f.callFaults[name+call]
	f.mu.Unlock()
	if share > 0 && f.draw(name+call+"reply") < share {
		return f.replyFault(name + call)
	}
	if call == "look" || loss == 0 || f.draw(name+call) >= loss {
		return faker.PoolFault{Delay: time.Millisecond}
	}
	return faker.PoolFault{LoseReply: true, Drop: f.draw(name+"drop") < 0.3, ApplyDelay: 2*time.Second + time.Duration(f.draw(name+"late")*10e9)}
}

// storeFor returns the store with the faults that an instance sees.
func (f *fleet) storeFor(name string) *storer.Store {
	s := f.store.Client()
	fault := func() error {
		f.mu.Lock()
		unavailable := f.storeDown || f.rejected[name]
		f.mu.Unlock()
		if unavailable {
			advancer.Sleep(300 * time.Millisecond)
			return storer.ErrUnavailable
		}
		advancer.Sleep(4 * time.Millisecond)
		return nil
	}
	get, page, watch, commit, lease, renew := s.Get, s.ListPage, s.Watch, s.Commit, s.CreateLease, s.RenewLease
	s.Get = func(ctx context.Context, key string) (storer.Item, error) {
		if err := fault(); err != nil {
			return storer.Item{}, err
		}
		return get(ctx, key)
	}
	s.ListPage = func(ctx context.Context, prefix, after string) (storer.Page, error) {
		if err := fault(); err != nil {
			return storer.Page{}, err
		}
		return page(ctx, prefix, after)
	}
	s.Watch = func(ctx context.Context, prefix string, after uint64, until time.Time) (storer.Page, error) {
		if err := fault(); err != nil {
			return storer.Page{}, err
		}
		return watch(ctx, prefix, after, until)
	}
	s.Commit = func(ctx context.Context, change storer.Transaction) (uint64, error) {
		if err := fault(); err != nil {
			return 0, err
		}
		f.mu.Lock()
		loss := f.storeReplyLoss
		f.mu.Unlock()
		if loss == 0 || f.draw(name+"lose") >= loss {
			return commit(ctx, change)
		}
		if f.draw(name+"later") < 0.5 {
			delay := time.Second + time.Duration(f.draw(name+"late")*5e9)
			time.AfterFunc(delay, func() { _, _ = commit(context.Background(), change) })
		} else {
			_, _ = commit(ctx, change)
		}
		advancer.Sleep(500 * time.Millisecond)
		return 0, storer.ErrUnknownOutcome
	}
	s.CreateLease = func(ctx context.Context, ttl time.Duration) (string, error) {
		if err := fault(); err != nil {
			return "", err
		}
		return lease(ctx, ttl)
	}
	s.RenewLease = func(ctx context.Context, id string) error {
		if err := fault(); err != nil {
			return err
		}
		return renew(ctx, id)
	}
	return s
}

func (f *fleet) startEntry(name string, n int) {
	ctx, stop := context.WithCancel(f.ctx)
	e := &entryNode{
		name: name, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), 7000),
		stop: stop, done: make(chan struct{}),
	}
	e.coordinator = coordinator.New(coordinator.Config{
		ID: name, PeerAddr: e.addr, Store: f.storeFor(name), MaxWorkerLease: maxWorkerLease, JobRetention: time.Hour, Now: time.Now, Log: f.log.With(zap.String("at", name)),
		Count: func(string) {}, ObserveDuration: func(string, time.Duration) {},
		Listen: func(string, string) (net.Listener, error) { return f.network.Listen(name, e.addr), nil },
		Client: f.network.Client(name),
	})
	e.coordinator.Acceptor.Configure(acceptor.NewQueues(1, 0, []acceptor.Queue{{Name: "queue", Host: "h", Prefix: "/q/", Pool: "pool", MaxAttempts: 4, StretchFactor: 2, LatencyAllowance: time.Second}}))
	go func() {
		defer close(e.done)
		if err := e.coordinator.Serve(ctx); err != nil {
			f.t.Errorf("%s: %v", name, err)
		}
	}()
	f.mu.Lock()
	f.entries[name] = e
	f.mu.Unlock()
}

// kill stops an entry without a handover and waits until it has ended.
func (f *fleet) kill(e *entryNode) {
	f.network.CloseConnections(e.name)
	e.stop()
	<-e.done
}

func (f *fleet) startAgent(a *agentNode) {
	ctx, stop := context.WithCancel(f.ctx)
	a.stop, a.done = stop, make(chan struct{})
	incarnation := fmt.Sprint("born-", f.nextIncarnation())
	store := f.storeFor(a.name)
	a.supervisor = supervisor.New(supervisor.Config{
		ID: a.name, Incarnation: incarnation, Worker: a.worker.Client(), LeaseDuration: coordinator.RunLease(maxWorkerLease), Now: time.Now, Log: f.log.With(zap.String("at", a.name)),
		FindOwner: func(ctx context.Context) (netip.AddrPort, uint64, error) { return elector.FindOwner(ctx, store) },
		Client:    f.network.Client(a.name), Pacer: pacer.New(),
	})
	done, sup := a.done, a.supervisor
	go func() {
		defer close(done)
		sup.Serve(ctx)
	}()
	go func() {
		for seq := uint64(0); ctx.Err() == nil; seq++ {
			sup.HandleHeartbeat(ctx, a.worker.Heartbeat(uint64(time.Now().UnixNano())))
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
			}
		}
	}()
}

func (f *fleet) stopAgent(a *agentNode) {
	f.network.CloseConnections(a.name)
	a.stop()
	<-a.done
}

// restartAgentIfSet restarts an agent if restartAgents is set.
func (f *fleet) restartAgentIfSet(a *agentNode) {
	f.mu.Lock()
	restart := f.restartAgents
	f.mu.Unlock()
	if !restart {
		return
	}
	f.stopAgent(a)
	advancer.Sleep(workerDowntime / 10)
	f.startAgent(a)
}

// restartWorker restarts a worker under a new ID.
func (f *fleet) restartWorker(a *agentNode) {
	n := f.nextIncarnation()
	a.worker.Restart(fmt.Sprint(a.name, "-life-", n), workerClock(n))
}

// restartWorkerUnderItsID restarts a worker under an ID that it keeps from the first such
// restart on. The worker sends a heartbeat as it starts.
func (f *fleet) restartWorkerUnderItsID(a *agentNode) {
	a.worker.Restart(a.name+"-worker", workerClock(f.nextIncarnation()))
	go a.supervisor.HandleHeartbeat(f.ctx, a.worker.Heartbeat(uint64(time.Now().UnixNano())))
}

func (f *fleet) nextIncarnation() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnations++
	return f.incarnations
}

// workerClock returns the time at which the clock of incarnation n starts.
func workerClock(n int) time.Time { return time.UnixMilli(int64(1000000 + n*7919000%5000000)) }

// close stops all entries and agents and waits until they have ended.
func (f *fleet) close() {
	f.mu.Lock()
	entries, agents := f.entries, f.agents
	f.mu.Unlock()
	for _, e := range entries {
		f.kill(e)
	}
	for _, a := range agents {
		f.stopAgent(a)
	}
}

// entry returns entry n modulo the number of entries.
func (f *fleet) entry(n int) *entryNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[fmt.Sprintf("entry-%d", n%len(f.entries))]
}
