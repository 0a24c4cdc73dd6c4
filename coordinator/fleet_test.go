package coordinator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/logger"
	"github.com/endivefall/endivefall/sequencer"
)

// workerCPU is the processor of a worker, in thousandths of a core.
const workerCPU int64 = 8000

// maxWorkerLease is the longest lease that the fleet's workers accept.
const maxWorkerLease = 6 * time.Second

// usualFailures is the share of runs that fail where failures are no fault.
const usualFailures = 0.05

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
	// evacuationBound is the bound of evacuations, 0 if they are not followed.
	evacuationBound time.Duration
	evacuations     *evacuationAudit

	mu      sync.Mutex // guards all below, and seed
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
	// readsCut has the entries whose reads of the operator's keys fail, though the store serves them.
	readsCut map[string]bool
	// workerReplyLoss is the share of commands to workers whose reply is lost.
	workerReplyLoss float64
	// crashingJobs is the share of jobs with a task that crashes its workers.
	crashingJobs float64
	// failingRuns is the share of runs that fail, maxAttempts how many runs of a task of a job may.
	failingRuns float64
	maxAttempts int
	// canceledJobs is the share of jobs that are canceled at some moment after they were
	// accepted.
	canceledJobs float64
	// callFaults has the share of calls to a worker, by its name and the kind of call, that
	// are carried out in time and whose reply is lost or late.
	callFaults map[string]float64
	// restartAgents restarts the agent of each worker that a task has crashed.
	restartAgents bool
	// configVersion is the newest version of the configuration in histories that move queues.
	configVersion uint64
	// acceptedPool is the pool of jobs as they are accepted, "pool" if it is empty.
	acceptedPool string
	incarnations int
	draws        map[string]int
}

func newFleet(ctx context.Context, t *testing.T, seed uint64, entries, agents int) *fleet {
	return newFleetWithin(ctx, t, seed, entries, agents, 0)
}

// newFleetWithin returns a fleet that follows evacuations with a bound, or none if it is 0.
func newFleetWithin(ctx context.Context, t *testing.T, seed uint64, entries, agents int, bound time.Duration) *fleet {
	f := &fleet{
		t: t, seed: seed, ctx: ctx, store: faker.NewStore(), network: faker.NewNetwork(), auditor: faker.NewPoolAuditor(), log: zap.NewNop(),
		entries: map[string]*entryNode{}, agents: map[string]*agentNode{}, rejected: map[string]bool{}, frozen: map[string]bool{}, draws: map[string]int{}, callFaults: map[string]float64{}, readsCut: map[string]bool{}, evacuationBound: bound, evacuations: &evacuationAudit{ackedAt: map[string]time.Time{}}, failingRuns: usualFailures, maxAttempts: 4,
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
		w.Name, w.CPU, w.Memory, w.MaxLease = name, workerCPU, 16000, maxWorkerLease
		w.Plan = f.runPlan
		w.Fault = func(call string) faker.PoolFault { return f.workerFault(name, call) }
		a := &agentNode{name: name, worker: w}
		w.Domain = domainOf(n)
		w.OnEvent = func(e faker.PoolEvent) {
			f.auditor.Observe(e)
			f.evacuations.observe(w.Domain, e)
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

// draw returns a pseudo-random number in [0, 1) that depends on the seed, the
// purpose and the number of draws for that purpose, so that the order in which
// goroutines run does not matter.
func (f *fleet) draw(purpose string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draws[purpose]++
	return rand.New(rand.NewPCG(f.seed, xxhash.Sum64String(fmt.Sprint(purpose, f.draws[purpose])))).Float64()
}

// random returns random numbers that depend on the seed and the purpose.
func (f *fleet) random(purpose string) *rand.Rand {
	f.mu.Lock()
	defer f.mu.Unlock()
	return rand.New(rand.NewPCG(f.seed, xxhash.Sum64String(purpose)))
}

func (f *fleet) runPlan(task string, attempt uint64) faker.PoolRunPlan {
	if f.crashesWorkers(task) {
		return faker.PoolRunPlan{Duration: timeToCrash, Crashes: true}
	}
	if f.auditor.LongRunning(task) {
		return faker.PoolRunPlan{Measure: f.measurement(task)}
	}
	f.mu.Lock()
	failing := f.failingRuns
	f.mu.Unlock()
	r := f.random(fmt.Sprint(task, attempt))
	return faker.PoolRunPlan{Duration: 50*time.Millisecond + time.Duration(r.Float64()*float64(1500*time.Millisecond)), Fails: r.Float64() < failing}
}

// crashesWorkers reports whether a task crashes its workers: the first of the first or the
// last step of some jobs.
func (f *fleet) crashesWorkers(task string) bool {
	id, _, step, index, err := sequencer.ParseTaskName(task)
	f.mu.Lock()
	share := f.crashingJobs
	f.mu.Unlock()
	r := f.random(id)
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
