package scheduler_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/checker"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/placer"
	"github.com/endivefall/endivefall/recorder"
	"github.com/endivefall/endivefall/scheduler"
	"github.com/endivefall/endivefall/storer"
)

// Settings of the small fleet: short, so that lapses come often.
const (
	shards = 2
	lease  = 5 * time.Second
	margin = time.Second
	hold   = 25 * time.Second
	named  = 6 * time.Second // an entry's name lapses so long after its last call
)

var errNet = errors.New("connection lost")

// fleet is schedulers, runners and stand-ins joined by links that can be cut.
type fleet struct {
	t        *testing.T
	seed     uint64
	thrown   map[string]int
	log      *zap.Logger
	platform *faker.Platform
	records  *faker.EventLog
	story    story

	mu      sync.Mutex
	entries map[string]*entryNode
	agents  map[string]*agentNode
	cut     map[string]bool // "from>to"
	busy    map[string]bool // processes that are being replaced
	down    time.Time       // when the platform came back last
	isDown  bool
}

// clock returns a clock that is off by up to an hour.
func (f *fleet) clock(name string) func() time.Time {
	off := f.between("clock "+name, -time.Hour, time.Hour)
	return func() time.Time { return time.Now().Add(off) }
}

// dice returns the randomness for the next use of a key. It does not depend on
// the order in which goroutines run, so that a seed gives the same history.
func (f *fleet) dice(key string) *rand.Rand {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.thrown[key]++
	return rand.New(rand.NewPCG(f.seed, xxhash.Sum64String(fmt.Sprint(key, f.thrown[key]))))
}

func (f *fleet) chance(key string, p float64) bool { return f.dice(key).Float64() < p }

func (f *fleet) between(key string, from, to time.Duration) time.Duration {
	return from + time.Duration(f.dice(key).Int64N(int64(to-from)))
}

func (f *fleet) isCut(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[from+">"+to]
}

func (f *fleet) setCut(from, to string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[from+">"+to] = on
}

// born names a process, as a uuid does outside of tests.
func (f *fleet) born(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.thrown["born "+name]++
	return fmt.Sprintf("%s-%d", name, f.thrown["born "+name])
}

// direct calls a handler without a network. A call may be delayed, lost before
// it has effect, or take effect and lose its answer.
func direct(h http.Handler, before, after func(*http.Request) error) func(*http.Request) (*http.Response, error) {
	return func(r *http.Request) (*http.Response, error) {
		type result struct {
			resp *http.Response
			err  error
		}
		done := make(chan result, 1)
		go func() {
			if err := before(r); err != nil {
				done <- result{nil, err}
				return
			}
			// The effect comes about even if the caller has gone.
			w := httptest.NewRecorder()
			in := r.Clone(context.WithoutCancel(r.Context()))
			if in.Body == nil {
				in.Body = http.NoBody
			}
			h.ServeHTTP(w, in)
			done <- result{w.Result(), after(r)}
		}()
		select {
		case got := <-done:
			return got.resp, got.err
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
}

// entryNode is one process of an entry.
type entryNode struct {
	f          *fleet
	name, born string
	now        func() time.Time
	sched      *scheduler.Scheduler
	placer     *placer.Placer
	keeper     *storer.Client
	cancel     context.CancelFunc
	ended      chan struct{}

	mu       sync.Mutex
	dead     bool
	sessions map[string]*session
	lastCall time.Time // when the store last answered
}

func (f *fleet) startEntry(name string) *entryNode {
	e := &entryNode{f: f, name: name, born: f.born(name), now: f.clock(name), sessions: map[string]*session{}, ended: make(chan struct{}), lastCall: time.Now()}
	e.keeper = storer.New(storer.Config{
		Addr: netip.MustParseAddrPort("127.0.0.1:1"), CallsPerSecond: 1000, Now: e.now,
		Do: direct(f.platform, e.beforeStore, e.afterStore),
	})
	e.placer = placer.New(placer.Config{Now: e.now, Rand: rand.New(rand.NewPCG(1, 1))})
	e.sched = scheduler.New(scheduler.Config{
		Shards: shards, Lease: lease, Margin: margin, LostAgentGrace: 2 * hold, Now: e.now, Placer: e.placer, Log: f.log,
		ShouldOwn: func(n uint32) bool { return f.chosen(n) == name },
		Claim: func(ctx context.Context, n uint32) (*recorder.Recorder, error) {
			return recorder.Acquire(ctx, recorder.Config{
				Key: fmt.Sprintf("ledger/%d", n), Owner: name, Incarnation: e.born, Alive: f.alive, OwnershipTTL: hold, Now: e.now,
				Store: recorder.Store{Get: e.keeper.Get, CompareAndSwapRetry: e.keeper.CompareAndSwapRetry, Earliest: e.keeper.ClockEstimate.Earliest, Latest: e.keeper.ClockEstimate.Latest},
			})
		},
		AgentLink: e.peer, EarliestPlatformTime: e.keeper.ClockEstimate.Earliest, Quota: func(string) parser.Resources { return parser.Resources{} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	f.mu.Lock()
	f.entries[name] = e
	f.mu.Unlock()
	go func() {
		e.sched.Serve(ctx)
		close(e.ended)
	}()
	go e.pingLoop(ctx)
	return e
}

// pingLoop keeps the entry's name, by any call to the store.
func (e *entryNode) pingLoop(ctx context.Context) {
	for ctx.Err() == nil {
		_, _ = e.keeper.List(ctx, "nothing/")
		select {
		case <-ctx.Done():
		case <-time.After(2 * time.Second):
		}
	}
}

func (e *entryNode) gone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

func (e *entryNode) beforeStore(r *http.Request) error {
	advancer.Sleep(e.f.between(e.name+r.URL.Path, time.Millisecond, 10*time.Millisecond))
	if e.gone() || e.f.isCut(e.name, "platform") {
		return errNet
	}
	return nil
}

func (e *entryNode) afterStore(r *http.Request) error {
	advancer.Sleep(e.f.between(e.name+r.URL.Path, time.Millisecond, 10*time.Millisecond))
	if e.gone() || e.f.isCut("platform", e.name) {
		return errNet
	}
	e.mu.Lock()
	e.lastCall = time.Now()
	e.mu.Unlock()
	return nil
}

// kill ends the process as SIGKILL does: nothing that it does afterwards
// reaches anyone.
func (e *entryNode) kill() {
	e.mu.Lock()
	e.dead = true
	open := make([]*session, 0, len(e.sessions))
	for _, s := range e.sessions {
		open = append(open, s)
	}
	e.mu.Unlock()
	for _, s := range open {
		s.closeEntry()
	}
	e.cancel()
	<-e.ended
}

func (e *entryNode) peer(agent string) (scheduler.AgentLink, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sessions[agent]
	if s == nil {
		return scheduler.AgentLink{}, false
	}
	return scheduler.AgentLink{ID: agent, Incarnation: s.agent.born, Post: s.postAgent, RemoteDeadline: s.clock.RemoteDeadline}, true
}

// alive and chosen stand for the entries' names in the store.
func (f *fleet) alive(name, born string) bool {
	f.mu.Lock()
	e := f.entries[name]
	settled := !f.isDown && time.Since(f.down) > 2*named
	f.mu.Unlock()
	if !settled {
		return true
	}
	return e != nil && e.born == born && e.listed()
}

func (e *entryNode) listed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.lastCall) < named
}

func (f *fleet) chosen(n uint32) string {
	f.mu.Lock()
	e1, e2 := f.entries["e1"], f.entries["e2"]
	f.mu.Unlock()
	first, second := e1, e2
	if n%2 == 1 {
		first, second = e2, e1
	}
	if first.listed() {
		return first.name
	}
	return second.name
}

// calm tells a story on a fleet without faults of its own, and then checks what
// the workers recorded: no task in two places, none that finished twice.
func calm(t *testing.T, story func(c *qt.C, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 1)
		done := make(chan struct{})
		f.startWorkers(done)
		advancer.Sleep(5 * time.Second)
		story(c, f)
		f.end(done)
		always := func(string) bool { return true }
		c.Assert(checker.Check(f.records.All(), checker.Rules{Exclusive: always, FinishOnce: always}), qt.HasLen, 0)
	})
}
