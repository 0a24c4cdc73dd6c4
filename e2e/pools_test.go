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

// pools is real entries and agents of the pools, with the platform's store and
// workers as stand-ins in this process.
type pools struct {
	*world
	store   *faker.Store
	book    *faker.PoolAuditor
	r       *rand.Rand
	procs   []*pooled
	fronts  []string
	workers []*standin.Worker
	links   []*link
	peers   int        // links to entries for peers come first
	cuts    *rand.Rand // draws the faults of links, apart from all others
	sending sync.WaitGroup
	lives   int
	mu      sync.Mutex // guards ids
	ids     []string   // accepted jobs
	stop    context.CancelFunc
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

func newPools(t *testing.T, seed uint64, entries, agents int) *pools {
	c := qt.New(t)
	p := &pools{
		world: &world{c: c, dir: t.TempDir(), cheap: &http.Client{Timeout: time.Second}}, // a paused entry is not to hold the load up
		store: faker.NewStore(), book: faker.NewPoolAuditor(), r: rand.New(rand.NewPCG(seed, 1)),
		cuts: rand.New(rand.NewPCG(seed, 2)),
	}
	c.Cleanup(p.world.stop)
	store := p.serveHTTP(&standin.Store{Backend: p.store})
	config := `{"version":1,"routes":[{"name":"q","host":"h.example","prefix":"/q/","service":"pool","maxAttempts":6}]}`
	_, err := p.store.Client().Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: "op/config", Value: []byte(config)}}})
	c.Assert(err, qt.IsNil)
	var binds, peers []string
	for range entries {
		bind := freeAddr(c)
		binds, peers = append(binds, bind), append(peers, p.linked(bind))
	}
	p.peers = entries
	for n := range entries {
		front := freeAddr(c)
		conf := p.file(fmt.Sprintf("entry-%d.yaml", n), fmt.Sprintf(
			"id: entry-%d\ndomain: d\nlisten: %s\nready: %s\npeer: %s\nbind: %s\nstore: %s\nhold: 6s\nkeep: 10m\ndrain: 4s\n",
			n, front, freeAddr(c), peers[n], binds[n], p.linked(store)))
		p.fronts = append(p.fronts, p.linked(front))
		p.procs = append(p.procs, &pooled{process: p.start(fmt.Sprint("entry-", n), "pool-entry", conf), role: "pool-entry", conf: conf})
	}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	c.Cleanup(stop)
	for n := range agents {
		runs := faker.NewPoolWorker()
		runs.CPU, runs.Memory, runs.OnEvent = 4000, 8000, p.book.Observe
		runs.Plan = func(task string, attempt uint64) faker.PoolRunPlan {
			if p.book.LongRunning(task) {
				return faker.PoolRunPlan{}
			}
			r := rand.New(rand.NewPCG(seed, xxhash.Sum64String(fmt.Sprint(task, attempt))))
			return faker.PoolRunPlan{Duration: time.Duration(50+r.IntN(1200)) * time.Millisecond, Fails: r.Float64() < 0.04}
		}
		worker := &standin.Worker{Backend: runs, Service: "pool"}
		p.workers = append(p.workers, worker)
		p.boot(worker)
		beats := freeAddr(c)
		conf := p.file(fmt.Sprintf("agent-%d.yaml", n), fmt.Sprintf(
			"id: agent-%d\ndomain: d\nlisten: %s\nworker: %s\npool: pool\nstore: %s\nhold: 6s\n", n, beats, p.linked(p.serveHTTP(worker)), p.linked(store)))
		p.procs = append(p.procs, &pooled{process: p.start(fmt.Sprint("agent-", n), "pool-agent", conf), role: "pool-agent", conf: conf})
		go beat(ctx, worker, netip.MustParseAddrPort(beats))
	}
	return p
}

// linked returns the address of a new link before addr.
func (p *pools) linked(addr string) string {
	l := newLink(p.c, addr)
	p.links = append(p.links, l)
	return l.addr
}

// beat sends a worker's heartbeats until ctx ends.
func beat(ctx context.Context, w *standin.Worker, agent netip.AddrPort) {
	client := &http.Client{Timeout: time.Second}
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for seq := uint64(1); ; seq++ {
		_ = w.SendHeartbeat(ctx, client, agent, seq) // an agent that is away hears a later one
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (p *pools) boot(w *standin.Worker) {
	p.lives++
	w.Backend.Restart(fmt.Sprint("life-", p.lives), time.UnixMilli(int64(1000000+p.lives*7919000%5000000)))
}

// front draws the entry that a caller turns to.
func (p *pools) front() string { return p.fronts[p.r.IntN(len(p.fronts))] }

// call sends a caller's request to an entry; status is 0 without an answer.
func (p *pools) call(front, method, id, body string) (status int, state string) {
	req, err := http.NewRequest(method, "http://"+front+"/q/"+id, strings.NewReader(body))
	p.c.Assert(err, qt.IsNil)
	req.Host = "h.example"
	resp, err := p.cheap.Do(req)
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

// submit hands a job in, and goes on before the answer is there: an entry that
// is out of reach is not to hold the load up.
func (p *pools) submit() {
	id := fmt.Sprintf("%016x", p.r.Uint64())
	spec := &sequencer.Spec{ID: id, MaxAttempts: 6}
	phases := []map[string]any{}
	for n := range 1 + p.r.IntN(2) {
		s := sequencer.Step{Count: 1 + p.r.IntN(4), CPU: int64(200 + p.r.IntN(1000)), Memory: 100}
		phase := map[string]any{"count": s.Count, "cpu": s.CPU, "memMb": s.Memory, "estimateMs": 500}
		if n > 0 {
			s.DependsOn, phase["after"] = []int{n - 1}, []int{n - 1}
		}
		spec.Steps, phases = append(spec.Steps, s), append(phases, phase)
	}
	raw, err := json.Marshal(map[string]any{"spec": "x", "phases": phases})
	p.c.Assert(err, qt.IsNil)
	p.book.AddJob(spec)
	front := p.front()
	p.sending.Go(func() {
		switch status, _ := p.call(front, http.MethodPost, id, string(raw)); status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			p.book.RejectJob(id)
		case http.StatusOK:
			p.mu.Lock()
			defer p.mu.Unlock()
			p.ids = append(p.ids, id)
		}
	})
}

// accepted returns the jobs that have been accepted.
func (p *pools) accepted() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.ids)
}

// look asks for an accepted job, and says whether it is over.
func (p *pools) look(front, id string) bool {
	status, state := p.call(front, http.MethodGet, id, "")
	if status == http.StatusGone {
		p.book.ReportMissing(id)
	}
	if status != http.StatusOK {
		return false
	}
	p.book.CheckState(id, sequencer.State(state))
	return sequencer.State(state).Final()
}
