package warden_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/dreamer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/warden"
)

const lease = 5800 * time.Millisecond

// post is an agent with its worker, and a stand-in of the owner.
type post struct {
	// mu guards what the processes' goroutines touch: all but c, worker, w, stop
	// and done.
	mu     sync.Mutex
	c      *qt.C
	worker *faker.PoolWorker
	w      *warden.Warden
	stop   context.CancelFunc
	done   chan struct{}
	events []faker.PoolEvent
	// table is the newest one that the owner got; vouching says whether it
	// answers.
	table    *messenger.Table
	vouching bool
	durable  uint64
	conn     *messenger.Conn
	term     uint64
	seq      uint64
	fault    func(call string) faker.PoolFault
	plan     faker.PoolPlan
}

// set changes the stand-ins while they are in use.
func (p *post) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// shown returns the newest table that the owner got.
func (p *post) shown() *messenger.Table {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table
}

// link returns the present connection to the owner, or nil.
func (p *post) link() *messenger.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn
}

func newPost(c *qt.C) *post {
	p := &post{c: c, worker: faker.NewPoolWorker(), vouching: true, term: 1, done: make(chan struct{})}
	p.worker.CPU, p.worker.Memory = 4000, 8000
	p.plan = faker.PoolPlan{Takes: time.Second}
	p.worker.Plan = func(string, uint64) faker.PoolPlan {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.plan
	}
	p.worker.Told = func(e faker.PoolEvent) { p.set(func() { p.events = append(p.events, e) }) }
	p.worker.Fault = func(call string) faker.PoolFault {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.fault != nil {
			return p.fault(call)
		}
		return faker.PoolFault{}
	}
	p.worker.Boot("life-1", time.UnixMilli(5_000_000))
	network := faker.NewNetwork()
	addr := netip.MustParseAddrPort("10.0.0.1:7000")
	listener := network.Listen("owner", addr)
	server := &http.Server{Handler: http.HandlerFunc(p.own)}
	go func() { _ = server.Serve(listener) }()
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.w = warden.New(warden.Config{
		ID: "agent", Born: "b", Worker: p.worker.Calls(), Lease: lease, Now: time.Now, Log: zap.NewNop(),
		Find: func(context.Context) (netip.AddrPort, uint64, error) {
			p.mu.Lock()
			defer p.mu.Unlock()
			return addr, p.term, nil
		},
		Caller: network.Client("agent"),
	})
	go func() {
		defer close(p.done)
		p.w.Serve(ctx)
	}()
	c.Cleanup(func() {
		stop()
		if conn := p.link(); conn != nil {
			conn.Close("test ends")
		}
		<-p.done
		_ = server.Close()
		dreamer.Sleep(time.Minute) // what was sent late arrives
	})
	p.w.Heard(ctx, p.worker.Heartbeat(1))
	dreamer.Sleep(time.Second)
	return p
}

// own is the owner's side of a connection.
func (p *post) own(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	if _, err := messenger.Receive(r.Context(), ws); err != nil {
		return
	}
	welcome := messenger.Frame{Kind: messenger.KindWelcome, Welcome: &messenger.Welcome{Version: messenger.Version, ID: "owner", Born: "o"}}
	if err := messenger.Transmit(r.Context(), ws, welcome); err != nil {
		return
	}
	conn := messenger.New(messenger.Config{Socket: ws, Handle: func(conn *messenger.Conn, f messenger.Frame) {
		if f.Kind != messenger.KindTable {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.table = f.Table
		if p.vouching {
			_ = conn.Post(messenger.Frame{Kind: messenger.KindVouch, Vouch: &messenger.Vouch{
				Term: p.term, Asked: f.Table.Asked, Worker: f.Table.Worker, Durable: p.durable,
			}})
		}
	}})
	p.set(func() { p.conn, p.seq = conn, 0 })
	_ = conn.Run(r.Context())
}

func (p *post) order(o messenger.Order) {
	p.set(func() {
		p.seq++
		o.Seq = p.seq
		if o.Term == 0 {
			o.Term = p.term
		}
	})
	p.c.Assert(p.link().Post(messenger.Frame{Kind: messenger.KindOrder, Order: &o}), qt.IsNil)
	dreamer.Sleep(200 * time.Millisecond)
}

func start(task string, attempt uint64) messenger.Order {
	return messenger.Order{Start: &messenger.RunStart{Task: task, Attempt: attempt, Traits: messenger.Traits{CPU: 1500, Memory: 100}}}
}

// count counts the worker's events of a kind.
func (p *post) count(kind string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

func (p *post) ends() []string {
	var list []string
	for _, e := range p.shown().Ends {
		list = append(list, fmt.Sprint(e.Task, "#", e.Attempt, " ", e.How))
	}
	return list
}

// inBubble runs a story in fake time.
func inBubble(t *testing.T, story func(c *qt.C, p *post)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		story(c, newPost(c))
	})
}

func TestARunIsStartedListedAndForgottenOnlyWhenDurable(t *testing.T) {
	inBubble(t, func(c *qt.C, p *post) {
		p.order(start("j.0.0.0", 1))
		c.Assert(p.shown().Runs, qt.HasLen, 1)
		c.Assert(p.shown().Runs[0].Phase, qt.Equals, messenger.PhaseRunning)
		dreamer.Sleep(3 * time.Second)
		c.Assert(p.ends(), qt.DeepEquals, []string{"j.0.0.0#1 done"})
		c.Assert(p.count("forgotten"), qt.Equals, 0, qt.Commentf("the ledger does not have it"))
		last := p.shown().Ends[0].N
		p.set(func() { p.durable = last })
		dreamer.Sleep(2 * time.Second)
		c.Assert(p.count("forgotten"), qt.Equals, 1)
		c.Assert(p.ends(), qt.HasLen, 0)
	})
}

func TestOrdersOfAnEarlierOwnerAreRefused(t *testing.T) {
	inBubble(t, func(c *qt.C, p *post) {
		p.set(func() { p.term = 3 })
		p.order(start("j.0.0.0", 1))
		old := start("j.0.0.1", 1)
		old.Term = 2
		p.order(old)
		c.Assert(p.count("start"), qt.Equals, 1)
	})
}

func TestAWorkerIsNeverGivenMoreThanItsRoom(t *testing.T) {
	inBubble(t, func(c *qt.C, p *post) {
		for n := range 3 {
			p.order(start(fmt.Sprint("j.0.0.", n), 1))
		}
		c.Assert(p.count("start"), qt.Equals, 2)
		c.Assert(p.ends(), qt.DeepEquals, []string{"j.0.0.2#1 never"})
	})
}

func TestADrainingWorkerIsGivenNothing(t *testing.T) {
	inBubble(t, func(c *qt.C, p *post) {
		p.order(start("j.0.0.0", 1))
		beat := p.worker.Heartbeat(2)
		beat.Draining = true
		p.w.Heard(context.Background(), beat)
		p.order(start("j.0.0.1", 1))
		c.Assert(p.count("start"), qt.Equals, 1)
		c.Assert(p.ends(), qt.DeepEquals, []string{"j.0.0.1#1 never"})
		c.Assert(p.shown().Draining, qt.IsTrue)
		p.w.Heard(context.Background(), p.worker.Heartbeat(3))
		p.order(start("j.0.0.2", 1))
		c.Assert(p.count("start"), qt.Equals, 1, qt.Commentf("notice is not taken back within a life"))
	})
}

func TestRunsEndWithTheLeaseOfASilentOwner(t *testing.T) {
	inBubble(t, func(c *qt.C, p *post) {
		p.set(func() { p.plan = faker.PoolPlan{} })
		p.order(start("j.0.0.0", 1))
		p.set(func() { p.vouching = false })
		dreamer.Sleep(lease - 500*time.Millisecond)
		c.Assert(p.worker.Running(), qt.HasLen, 1)
		dreamer.Sleep(time.Second)
		c.Assert(p.worker.Running(), qt.HasLen, 0)
		p.order(start("j.0.0.1", 1))
		c.Assert(p.count("start"), qt.Equals, 1, qt.Commentf("there is no lease to start under"))
	})
}

func TestAStartWithoutAnAnswerIsSettledByTheFence(t *testing.T) {
	for name, dropped := range map[string]bool{"carried out late": false, "never": true} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, p *post) {
				p.set(func() {
					p.fault = func(call string) faker.PoolFault {
						return faker.PoolFault{Lose: call == "start", Drop: dropped, Late: 3 * time.Second}
					}
				})
				p.order(start("j.0.0.0", 1))
				dreamer.Sleep(1500 * time.Millisecond)
				c.Assert(p.ends(), qt.DeepEquals, []string{"j.0.0.0#1 never"})
				dreamer.Sleep(5 * time.Second)
				c.Assert(p.count("start"), qt.Equals, 0, qt.Commentf("told as never begun"))
			})
		})
	}
}

func TestRunsOfAnEarlierLifeAreGone(t *testing.T) {
	inBubble(t, func(c *qt.C, p *post) {
		p.order(start("j.0.0.0", 1))
		before := p.worker.Heartbeat(7)
		p.worker.Boot("life-2", time.UnixMilli(900))
		p.w.Heard(context.Background(), p.worker.Heartbeat(1))
		dreamer.Sleep(time.Second)
		c.Assert(p.ends(), qt.DeepEquals, []string{"j.0.0.0#1 gone"})
		c.Assert(p.shown().Worker, qt.Equals, "life-2")
		p.w.Heard(context.Background(), before) // delayed by a partition
		dreamer.Sleep(time.Second)
		c.Assert(p.shown().Worker, qt.Equals, "life-2")
	})
}

// An agent that was told to stop a run just before its own end did not end: the
// stop was repeated without bound (history seed 1453).
func TestTheAgentEndsWhileAStopIsUnanswered(t *testing.T) {
	inBubble(t, func(c *qt.C, p *post) {
		p.set(func() { p.plan = faker.PoolPlan{} })
		p.order(start("j.0.0.0", 1))
		p.set(func() {
			p.fault = func(call string) faker.PoolFault { return faker.PoolFault{Lose: call == "stop", Drop: true} }
		})
		p.order(messenger.Order{Stop: &messenger.RunStop{Task: "j.0.0.0", Attempt: 1}})
		p.stop()
		select {
		case <-p.done:
		case <-time.After(10 * time.Second):
			c.Fatal("the agent did not end")
		}
	})
}

// The lease of a worker that had gone was extended with each look that got no
// answer, so that its runs were never given up (store-away-and-a-worker-gone).
func TestRunsOfASilentWorkerEndWithTheLeaseThatItHeardOfLast(t *testing.T) {
	inBubble(t, func(c *qt.C, p *post) {
		p.set(func() { p.plan = faker.PoolPlan{} })
		p.order(start("j.0.0.0", 1))
		p.set(func() {
			p.fault = func(string) faker.PoolFault { return faker.PoolFault{Lose: true, Drop: true} }
		})
		dreamer.Sleep(4 * time.Second)
		c.Assert(p.ends(), qt.HasLen, 0, qt.Commentf("it may still run there"))
		c.Assert(p.shown().Authority, qt.IsFalse)
		dreamer.Sleep(4 * time.Second)
		c.Assert(p.ends(), qt.DeepEquals, []string{"j.0.0.0#1 lapsed"})
		c.Assert(p.worker.Running(), qt.HasLen, 0)
	})
}

// A clock that was read during a slow call is not taken for later than it was:
// leases would seem to have ended before they have.
func TestASlowAnswerDoesNotMakeTheWorkersClockFast(t *testing.T) {
	inBubble(t, func(c *qt.C, p *post) {
		p.worker.Boot("life-2", time.UnixMilli(900_000))
		p.set(func() {
			p.fault = func(_ string) faker.PoolFault { return faker.PoolFault{Delay: 600 * time.Millisecond} }
		})
		p.w.Heard(context.Background(), p.worker.Heartbeat(1))
		dreamer.Sleep(10 * time.Millisecond)
		shown := p.shown()
		c.Assert(shown.Worker, qt.Equals, "life-2")
		c.Assert(shown.Asked.After(p.worker.Heartbeat(2).Clock), qt.IsFalse)
	})
}
