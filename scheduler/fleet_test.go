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

// Settings of the fleet. The times are short, so that leases expire often.
const (
	shards          = 2
	lease           = 5 * time.Second
	margin          = time.Second
	ownershipTTL    = 25 * time.Second
	registrationTTL = 6 * time.Second // an entry's registration expires this long after its last call
)

var errConnLost = errors.New("connection lost")

// fleet is a set of schedulers, runners and fakes, connected by links that can be
// cut.
type fleet struct {
	t        *testing.T
	seed     uint64
	draws    map[string]int // number of uses of each random key
	log      *zap.Logger
	platform *faker.Platform
	records  *faker.EventLog
	logs     logBuffer

	mu           sync.Mutex
	entries      map[string]*entryNode
	agents       map[string]*agentNode
	cut          map[string]bool // "from>to"
	replacing    map[string]bool // processes being replaced
	storeUpSince time.Time       // end of the last store outage
	storeDown    bool
}

// clock returns a clock with an offset of up to an hour.
func (f *fleet) clock(name string) func() time.Time {
	offset := f.between("clock "+name, -time.Hour, time.Hour)
	return func() time.Time { return time.Now().Add(offset) }
}

// rng returns a random source for the next use of a key. It does not depend on
// the order in which goroutines run, so that a seed gives the same history.
func (f *fleet) rng(key string) *rand.Rand {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draws[key]++
	return rand.New(rand.NewPCG(f.seed, xxhash.Sum64String(fmt.Sprint(key, f.draws[key]))))
}

func (f *fleet) chance(key string, p float64) bool { return f.rng(key).Float64() < p }

func (f *fleet) between(key string, from, to time.Duration) time.Duration {
	return from + time.Duration(f.rng(key).Int64N(int64(to-from)))
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

// nextIncarnation returns the incarnation of a new process, a UUID outside of
// tests.
func (f *fleet) nextIncarnation(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draws["incarnation "+name]++
	return fmt.Sprintf("%s-%d", name, f.draws["incarnation "+name])
}

// direct calls a handler without a network. A call may be delayed, lost before
// it takes effect, or take effect and lose its reply.
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
			// The call takes effect even if the caller has given up.
			w := httptest.NewRecorder()
			detached := r.Clone(context.WithoutCancel(r.Context()))
			if detached.Body == nil {
				detached.Body = http.NoBody
			}
			h.ServeHTTP(w, detached)
			done <- result{w.Result(), after(r)}
		}()
		select {
		case res := <-done:
			return res.resp, res.err
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
}

// entryNode is one process of an entry.
type entryNode struct {
	f                 *fleet
	name, incarnation string
	now               func() time.Time
	sched             *scheduler.Scheduler
	placer            *placer.Placer
	store             *storer.Client
	cancel            context.CancelFunc
	ended             chan struct{}

	mu             sync.Mutex
	dead           bool
	sessions       map[string]*session
	lastStoreReply time.Time // time of the last reply from the store
}

func (f *fleet) startEntry(name string) *entryNode {
	e := &entryNode{f: f, name: name, incarnation: f.nextIncarnation(name), now: f.clock(name), sessions: map[string]*session{}, ended: make(chan struct{}), lastStoreReply: time.Now()}
	e.store = storer.New(storer.Config{
		Addr: netip.MustParseAddrPort("127.0.0.1:1"), CallsPerSecond: 1000, Now: e.now,
		Do: direct(f.platform, e.beforeStore, e.afterStore),
	})
	e.placer = placer.New(placer.Config{Now: e.now, Rand: rand.New(rand.NewPCG(1, 1))})
	e.sched = scheduler.New(scheduler.Config{
		Shards: shards, Lease: lease, Margin: margin, LostAgentGrace: 2 * ownershipTTL, Now: e.now, Placer: e.placer, Log: f.log,
		ShouldOwn: func(n uint32) bool { return f.preferredOwner(n) == name },
		Claim: func(ctx context.Context, n uint32) (*recorder.Recorder, error) {
			return recorder.Acquire(ctx, recorder.Config{
				Key: fmt.Sprintf("ledger/%d", n), Owner: name, Incarnation: e.incarnation, Alive: f.alive, OwnershipTTL: ownershipTTL, Now: e.now,
				Store: recorder.Store{Get: e.store.Get, CompareAndSwapRetry: e.store.CompareAndSwapRetry, Earliest: e.store.ClockEstimate.Earliest, Latest: e.store.ClockEstimate.Latest},
			})
		},
		AgentLink: e.agentLink, EarliestPlatformTime: e.store.ClockEstimate.Earliest, Quota: func(string) parser.Resources { return parser.Resources{} },
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

// pingLoop calls the store periodically, which keeps the entry registered.
func (e *entryNode) pingLoop(ctx context.Context) {
	for ctx.Err() == nil {
		_, _ = e.store.List(ctx, "nothing/")
		select {
		case <-ctx.Done():
		case <-time.After(2 * time.Second):
		}
	}
}

func (e *entryNode) isDead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

func (e *entryNode) beforeStore(r *http.Request) error {
	advancer.Sleep(e.f.between(e.name+r.URL.Path, time.Millisecond, 10*time.Millisecond))
	if e.isDead() || e.f.isCut(e.name, "platform") {
		return errConnLost
	}
	return nil
}

func (e *entryNode) afterStore(r *http.Request) error {
	advancer.Sleep(e.f.between(e.name+r.URL.Path, time.Millisecond, 10*time.Millisecond))
	if e.isDead() || e.f.isCut("platform", e.name) {
		return errConnLost
	}
	e.mu.Lock()
	e.lastStoreReply = time.Now()
	e.mu.Unlock()
	return nil
}

// kill ends the process as SIGKILL does: nothing that it sends afterwards is
// delivered.
func (e *entryNode) kill() {
	e.mu.Lock()
	e.dead = true
	sessions := make([]*session, 0, len(e.sessions))
	for _, s := range e.sessions {
		sessions = append(sessions, s)
	}
	e.mu.Unlock()
	for _, s := range sessions {
		s.closeEntry()
	}
	e.cancel()
	<-e.ended
}

func (e *entryNode) agentLink(agent string) (scheduler.AgentLink, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sessions[agent]
	if s == nil {
		return scheduler.AgentLink{}, false
	}
	return scheduler.AgentLink{ID: agent, Incarnation: s.agent.incarnation, TrySend: s.sendToAgent, RemoteDeadline: s.clock.RemoteDeadline}, true
}

// alive reports whether a process of an entry may be running, by its registration
// in the store. During a store outage and shortly after it is always true, as
// registrations expire for the outage alone.
func (f *fleet) alive(name, incarnation string) bool {
	f.mu.Lock()
	e := f.entries[name]
	stable := !f.storeDown && time.Since(f.storeUpSince) > 2*registrationTTL
	f.mu.Unlock()
	if !stable {
		return true
	}
	return e != nil && e.incarnation == incarnation && e.registered()
}

func (e *entryNode) registered() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.lastStoreReply) < registrationTTL
}

// preferredOwner returns the entry that should own a shard.
func (f *fleet) preferredOwner(n uint32) string {
	f.mu.Lock()
	e1, e2 := f.entries["e1"], f.entries["e2"]
	f.mu.Unlock()
	first, second := e1, e2
	if n%2 == 1 {
		first, second = e2, e1
	}
	if first.registered() {
		return first.name
	}
	return second.name
}

// withoutFaults runs a test on a fleet without random faults. It then checks the
// workers' records: no task ran in two places or finished twice.
func withoutFaults(t *testing.T, run func(c *qt.C, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 1)
		done := make(chan struct{})
		f.startAll(done)
		advancer.Sleep(5 * time.Second)
		run(c, f)
		f.stopAll(done)
		always := func(string) bool { return true }
		c.Assert(checker.Check(f.records.All(), checker.Rules{Exclusive: always, FinishOnce: always}), qt.HasLen, 0)
	})
}
