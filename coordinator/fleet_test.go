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
	"github.com/endivefall/endivefall/storer"
	"github.com/endivefall/endivefall/supervisor"
)

// hold is the longest lease of the fleet's workers.
const hold = 6 * time.Second

// fleet is entries, agents, workers and a store, joined in memory.
type fleet struct {
	t       *testing.T
	seed    uint64
	ctx     context.Context
	store   *faker.Store
	network *faker.Network
	book    *faker.PoolAuditor
	log     *zap.Logger

	mu      sync.Mutex
	entries map[string]*entryNode
	agents  map[string]*agentNode
	// down says that the store refuses all; away has instances that it
	// turns away.
	down bool
	// loss is the share of the store's writes whose answer is lost.
	loss float64
	away map[string]bool
	// lossy has the share of orders that workers leave without an answer.
	lossy float64
	lives int
	rolls map[string]int
}

// entryNode is an entry that can be killed and started again.
type entryNode struct {
	name string
	addr netip.AddrPort
	c    *coordinator.Coordinator
	stop context.CancelFunc
	done chan struct{}
}

// agentNode is an agent with its worker.
type agentNode struct {
	name   string
	worker *faker.PoolWorker
	w      *supervisor.Supervisor
	stop   context.CancelFunc
	done   chan struct{}
	seq    uint64
}

func newFleet(ctx context.Context, t *testing.T, seed uint64, entries, agents int) *fleet {
	f := &fleet{
		t: t, seed: seed, ctx: ctx, store: faker.NewStore(), network: faker.NewNetwork(), book: faker.NewPoolAuditor(), log: zap.NewNop(),
		entries: map[string]*entryNode{}, agents: map[string]*agentNode{}, away: map[string]bool{}, rolls: map[string]int{},
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
		w.CPU, w.Memory = 8000, 16000
		w.Plan, w.OnEvent = f.plan, f.book.Observe
		w.Fault = func(call string) faker.PoolFault { return f.workerFault(name, call) }
		a := &agentNode{name: name, worker: w}
		f.agents[name] = a
		f.boot(a)
		f.startAgent(a)
	}
	return f
}

// set changes the troubles of the moment.
func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// owns says whether an entry is the owner.
func (e *entryNode) owns() bool { return e.c.IsOwner() }

// roll draws a number in [0, 1) that depends on the seed, on what it is for and
// on how often that was asked, so that goroutines' order changes nothing.
func (f *fleet) roll(use string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rolls[use]++
	return rand.New(rand.NewPCG(f.seed, xxhash.Sum64String(fmt.Sprint(use, f.rolls[use])))).Float64()
}

func (f *fleet) plan(task string, attempt uint64) faker.PoolRunPlan {
	if f.book.LongRunning(task) {
		return faker.PoolRunPlan{}
	}
	r := rand.New(rand.NewPCG(f.seed, xxhash.Sum64String(fmt.Sprint(task, attempt))))
	return faker.PoolRunPlan{Duration: 50*time.Millisecond + time.Duration(r.Float64()*float64(1500*time.Millisecond)), Fails: r.Float64() < 0.05}
}

func (f *fleet) workerFault(name, call string) faker.PoolFault {
	f.mu.Lock()
	lossy := f.lossy
	f.mu.Unlock()
	if call == "look" || lossy == 0 || f.roll(name+call) >= lossy {
		return faker.PoolFault{Delay: time.Millisecond}
	}
	return faker.PoolFault{LoseReply: true, Drop: f.roll(name+"drop") < 0.3, ApplyDelay: 2*time.Second + time.Duration(f.roll(name+"late")*10e9)}
}

// storeFor returns the store as an instance reaches it.
func (f *fleet) storeFor(name string) *storer.Store {
	s := f.store.Client()
	fault := func() error {
		f.mu.Lock()
		down := f.down || f.away[name]
		f.mu.Unlock()
		if down {
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
		loss := f.loss
		f.mu.Unlock()
		if loss == 0 || f.roll(name+"lose") >= loss {
			return commit(ctx, change)
		}
		if f.roll(name+"later") < 0.5 {
			late := time.Second + time.Duration(f.roll(name+"late")*5e9)
			time.AfterFunc(late, func() { _, _ = commit(context.Background(), change) })
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
	e.c = coordinator.New(coordinator.Config{
		ID: name, PeerAddr: e.addr, Store: f.storeFor(name), MaxWorkerLease: hold, JobRetention: time.Hour, Now: time.Now, Log: f.log.With(zap.String("at", name)),
		Count: func(string) {}, ObserveDuration: func(string, time.Duration) {},
		Listen: func(string, string) (net.Listener, error) { return f.network.Listen(name, e.addr), nil },
		Client: f.network.Client(name),
	})
	e.c.Acceptor.Configure(acceptor.NewQueues(1, 0, []acceptor.Queue{{Name: "queue", Host: "h", Prefix: "/q/", Pool: "pool", MaxAttempts: 4, StretchFactor: 2, LatencyAllowance: time.Second}}))
	go func() {
		defer close(e.done)
		if err := e.c.Serve(ctx); err != nil {
			f.t.Errorf("%s: %v", name, err)
		}
	}()
	f.mu.Lock()
	f.entries[name] = e
	f.mu.Unlock()
}

// kill ends an entry at once and waits until it is gone.
func (f *fleet) kill(e *entryNode) {
	f.network.CloseConnections(e.name)
	e.stop()
	<-e.done
}

func (f *fleet) startAgent(a *agentNode) {
	ctx, stop := context.WithCancel(f.ctx)
	a.stop, a.done = stop, make(chan struct{})
	f.mu.Lock()
	f.lives++
	born := fmt.Sprint("born-", f.lives)
	f.mu.Unlock()
	store := f.storeFor(a.name)
	a.w = supervisor.New(supervisor.Config{
		ID: a.name, Incarnation: born, Worker: a.worker.Client(), LeaseDuration: coordinator.RunLease(hold), Now: time.Now, Log: f.log.With(zap.String("at", a.name)),
		FindOwner: func(ctx context.Context) (netip.AddrPort, uint64, error) { return elector.FindOwner(ctx, store) },
		Client:    f.network.Client(a.name),
	})
	done, w := a.done, a.w
	go func() {
		defer close(done)
		w.Serve(ctx)
	}()
	go func() {
		for seq := uint64(0); ctx.Err() == nil; seq++ {
			w.HandleHeartbeat(ctx, a.worker.Heartbeat(uint64(time.Now().UnixNano())))
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

// boot gives a worker another life.
func (f *fleet) boot(a *agentNode) {
	f.mu.Lock()
	f.lives++
	n := f.lives
	f.mu.Unlock()
	a.worker.Restart(fmt.Sprint(a.name, "-life-", n), time.UnixMilli(int64(1000000+n*7919000%5000000)))
}

// close ends everything and waits for it.
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

// some returns a living entry.
func (f *fleet) some(n int) *entryNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[fmt.Sprintf("entry-%d", n%len(f.entries))]
}
