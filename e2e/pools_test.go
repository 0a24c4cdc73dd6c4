package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/platform/standin"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// poolWorld runs entries and agents of a pool as processes. The platform's store
// and the workers are fakes in the test process. Connections of callers, between
// entries, and to the store and the workers go through links.
type poolWorld struct {
	*world
	store      *faker.Store
	auditor    *faker.PoolAuditor
	rng        *rand.Rand
	procs      []*poolProcess
	entryAddrs []string
	workers    []*standin.Worker
	links      []*link
	peerLinks  int        // how many of the first links lead to peer addresses of entries
	linkRand   *rand.Rand // separate, so that faults of links don't change the other draws
	cancelRand *rand.Rand // for cancels, long-running jobs and lost replies of workers
	requests   sync.WaitGroup
	restarts   int
	mu         sync.Mutex // guards jobIDs and lostReplies
	jobIDs     []string   // accepted jobs
	// lostReplies has the kind of call whose replies a worker loses.
	lostReplies map[*faker.PoolWorker]string
	cancel      context.CancelFunc
	// storeFaulty is set while the store has a fault. ownerTerm is the latest term, lostTerm
	// the last one whose owner ended.
	storeFaulty         bool
	ownerTerm, lostTerm uint64
	// recordedAt is when the disturbances were recorded last, disturbedUntil until when
	// each worker is disturbed, or all under an empty name.
	recordedAt     time.Time
	disturbedUntil map[string]time.Time
}

func (w *world) serveHTTP(h http.Handler) string {
	addr := freeAddr(w.c)
	l, err := net.Listen("tcp", addr)
	w.c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	w.c.Cleanup(func() { _ = server.Close() })
	return addr
}

func newPoolWorld(t *testing.T, seed uint64, entries, agents int) *poolWorld {
	c := qt.New(t)
	p := &poolWorld{
		world: &world{c: c, dir: t.TempDir(), client: &http.Client{Timeout: time.Second}}, // short, so that a paused entry does not stall the load
		store: faker.NewStore(), auditor: faker.NewPoolAuditor(), rng: rand.New(rand.NewPCG(seed, 1)),
		linkRand: rand.New(rand.NewPCG(seed, 2)), cancelRand: rand.New(rand.NewPCG(seed, 3)), lostReplies: map[*faker.PoolWorker]string{},
		recordedAt: time.Now(), disturbedUntil: map[string]time.Time{},
	}
	c.Cleanup(p.keepLogs)
	c.Cleanup(p.world.stop)
	store := p.serveHTTP(&standin.Store{Backend: p.store})
	config := `{"version":1,"routes":[{"name":"q","host":"h.example","prefix":"/q/","service":"pool","maxAttempts":6}]}`
	_, err := p.store.Client().Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: "op/config", Value: []byte(config)}}})
	c.Assert(err, qt.IsNil)
	var binds, peers []string
	for range entries {
		bind := freeAddr(c)
		binds, peers = append(binds, bind), append(peers, p.addLink(bind))
	}
	p.peerLinks = entries
	for n := range entries {
		addr := freeAddr(c)
		conf := p.file(fmt.Sprintf("entry-%d.yaml", n), fmt.Sprintf(
			"id: entry-%d\ndomain: d\nlisten: %s\nready: %s\npeer: %s\nbind: %s\nstore: %s\nhold: 6s\nkeep: 10m\ndrain: 4s\nevacuate: %s\n",
			n, addr, freeAddr(c), peers[n], binds[n], p.addLink(store), evacuationBound))
		path := []*link{p.links[n], p.links[len(p.links)-1]}
		p.entryAddrs = append(p.entryAddrs, p.addLink(addr))
		p.procs = append(p.procs, &poolProcess{process: p.start(fmt.Sprint("entry-", n), "pool-entry", conf), role: "pool-entry", conf: conf, peer: peers[n], path: path})
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	c.Cleanup(cancel)
	for n := range agents {
		backend := faker.NewPoolWorker()
		backend.Name, backend.Domain = fmt.Sprint("agent-", n), fmt.Sprint("zone-", n%2)
		backend.CPU, backend.Memory, backend.OnEvent = 4000, 8000, p.auditor.Observe
		backend.Plan = func(task string, attempt uint64) faker.PoolRunPlan {
			if p.auditor.LongRunning(task) {
				return faker.PoolRunPlan{}
			}
			r := rand.New(rand.NewPCG(seed, xxhash.Sum64String(fmt.Sprint(task, attempt))))
			return faker.PoolRunPlan{Duration: time.Duration(50+r.IntN(1200)) * time.Millisecond, Fails: r.Float64() < 0.04}
		}
		backend.Fault = func(call string) faker.PoolFault {
			p.mu.Lock()
			defer p.mu.Unlock()
			return faker.PoolFault{LoseReply: call == p.lostReplies[backend] && rand.Float64() < lostReplyShare}
		}
		worker := &standin.Worker{Backend: backend, Pool: "pool"}
		p.workers = append(p.workers, worker)
		p.restartWorker(worker)
		workerAddr := freeAddr(c)
		conf := p.file(fmt.Sprintf("agent-%d.yaml", n), fmt.Sprintf(
			"id: agent-%d\ndomain: d\nlisten: %s\nworker: %s\npool: pool\nstore: %s\nhold: 6s\n", n, workerAddr, p.addLink(p.serveHTTP(worker)), p.addLink(store)))
		p.procs = append(p.procs, &poolProcess{
			process: p.start(backend.Name, "pool-agent", conf), role: "pool-agent", conf: conf, worker: worker, path: slices.Clone(p.links[len(p.links)-2:]),
		})
		go sendHeartbeats(ctx, worker, netip.MustParseAddrPort(workerAddr))
	}
	return p
}

// evacuationBound is the time after the request of an evacuation until which tasks may still start in
// the domain.
const evacuationBound = 5 * time.Second

// heartbeatInterval is the time between two heartbeats of a worker.
const heartbeatInterval = 500 * time.Millisecond

// lostReplyShare is the share of its replies to calls of one kind that a worker loses.
const lostReplyShare = 0.4

// addLink starts a link in front of addr and returns its address.
func (p *poolWorld) addLink(addr string) string {
	l := newLink(p.c, addr)
	p.links = append(p.links, l)
	return l.addr
}

// sendHeartbeats sends a worker's heartbeats until ctx ends.
func sendHeartbeats(ctx context.Context, w *standin.Worker, agent netip.AddrPort) {
	client := &http.Client{Timeout: time.Second}
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for seq := uint64(1); ; seq++ {
		_ = w.SendHeartbeat(ctx, client, agent, seq) // an agent that is down gets a later one
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// restartWorker restarts a worker with another clock, every other time under a new ID.
func (p *poolWorld) restartWorker(w *standin.Worker) {
	p.restarts++
	id := w.Backend.Heartbeat(0).WorkerID
	if id == "" || p.restarts%2 == 0 {
		id = fmt.Sprint("life-", p.restarts)
	}
	w.Backend.Restart(id, time.UnixMilli(int64(1000000+p.restarts*7919000%5000000)))
	p.logf("restarted the worker of %s as %s", w.Backend.Name, id)
	p.auditor.Disturb(w.Backend.Name, time.Now(), time.Now().Add(soakSettleTime))
}

// randomEntry returns the address of a random entry.
func (p *poolWorld) randomEntry() string { return p.entryAddrs[p.rng.IntN(len(p.entryAddrs))] }

// call sends a caller's request to an entry. The status is 0 without a complete
// response.
func (p *poolWorld) call(entryAddr, method, id, body string) (status int, state string) {
	req, err := http.NewRequest(method, "http://"+entryAddr+"/q/"+id, strings.NewReader(body))
	p.c.Assert(err, qt.IsNil)
	req.Host = "h.example"
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	var answer struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(raw, &answer); err != nil {
		return 0, ""
	}
	return resp.StatusCode, answer.State
}

// submit sends a random job without waiting for the response, so that an entry
// that is unreachable does not stall the load.
func (p *poolWorld) submit() {
	id := fmt.Sprintf("%016x", p.rng.Uint64())
	spec := &sequencer.Spec{ID: id, MaxAttempts: 6, Payload: "x"}
	for n := range 1 + p.rng.IntN(2) {
		s := sequencer.Step{Count: 1 + p.rng.IntN(4), CPU: int64(200 + p.rng.IntN(1000)), Memory: 100, Estimate: 500 * time.Millisecond}
		if n > 0 {
			s.DependsOn = []int{n - 1}
		}
		spec.Steps = append(spec.Steps, s)
	}
	if p.cancelRand.Float64() < 0.1 {
		spec.Steps = []sequencer.Step{{Count: 1, CPU: 200, Memory: 100, Estimate: 500 * time.Millisecond, LongRunning: true}}
	}
	raw, err := standin.EncodeSubmission(spec)
	p.c.Assert(err, qt.IsNil)
	p.auditor.AddJob(spec)
	entryAddr := p.randomEntry()
	p.requests.Go(func() {
		switch status, _ := p.call(entryAddr, http.MethodPost, id, string(raw)); status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			p.auditor.RejectJob(id)
		case http.StatusOK:
			p.mu.Lock()
			defer p.mu.Unlock()
			p.jobIDs = append(p.jobIDs, id)
		}
	})
}

// cancelJob cancels an accepted job without waiting for the response.
func (p *poolWorld) cancelJob(id string) {
	p.auditor.CancelJob(id, false)
	entryAddr := p.randomEntry()
	p.requests.Go(func() {
		if status, _ := p.call(entryAddr, http.MethodDelete, id, ""); status == http.StatusOK {
			p.auditor.CancelJob(id, true)
		}
	})
}

// running returns the tasks that run at the workers.
func (p *poolWorld) running() []string {
	var tasks []string
	for _, w := range p.workers {
		tasks = append(tasks, w.Backend.Running()...)
	}
	return tasks
}

// acceptedJobs returns the ids of the jobs that were accepted.
func (p *poolWorld) acceptedJobs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.jobIDs)
}

// jobFinished reads the state of an accepted job and reports whether it is final.
func (p *poolWorld) jobFinished(entryAddr, id string) bool {
	status, state := p.call(entryAddr, http.MethodGet, id, "")
	if status == http.StatusGone {
		p.auditor.ReportMissing(id)
	}
	if status != http.StatusOK {
		return false
	}
	p.auditor.CheckState(id, sequencer.State(state))
	return sequencer.State(state).Final()
}

// logf logs a step of the test with its time, which the logs of the processes have as well.
func (p *poolWorld) logf(format string, args ...any) {
	p.c.Logf("%s %s", time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// keepLogs writes the whole log of each process to a directory if the test failed, and prints
// the lines about the jobs of violations.
func (p *poolWorld) keepLogs() {
	if !p.c.Failed() {
		return
	}
	dir, err := os.MkdirTemp("", "endivefall-soak")
	p.c.Assert(err, qt.IsNil)
	for n, proc := range p.processes {
		text := proc.logs()
		p.c.Check(os.WriteFile(filepath.Join(dir, fmt.Sprintf("%02d-%s.log", n, proc.name)), []byte(text), 0o600), qt.IsNil)
		for _, violation := range p.auditor.Violations() {
			for line := range strings.Lines(text) {
				if strings.Contains(line, sequencer.JobOf(strings.Fields(violation)[0])) {
					p.c.Logf("%02d-%s: %s", n, proc.name, strings.TrimSpace(line))
				}
			}
		}
	}
	p.c.Logf("whole logs are in %s", dir)
}
