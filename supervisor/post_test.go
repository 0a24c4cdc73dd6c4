package supervisor_test

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

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/supervisor"
)

const lease = 5800 * time.Millisecond

// post is an agent with its worker, and a stand-in of the owner.
type post struct {
	// mu guards what the processes' goroutines touch: all but c, worker, network,
	// w, stop and done.
	mu     sync.Mutex
	c      *qt.C
	worker *faker.PoolWorker
	// network joins the agent and the owner, which listens at ownerAddr.
	network *faker.Network
	w       *supervisor.Supervisor
	stop    context.CancelFunc
	done    chan struct{}
	events  []faker.PoolEvent
	// table is the newest one that the owner got; vouching says whether it
	// answers.
	table    *messenger.WorkerSnapshot
	vouching bool
	durable  uint64
	conn     *messenger.Conn
	term     uint64
	seq      uint64
	fault    func(call string) faker.PoolFault
	plan     faker.PoolRunPlan
	// late is how long a listing is on its way to the agent.
	late time.Duration
}

// ownerAddr is where the stand-in of the owner listens.
var ownerAddr = netip.MustParseAddrPort("10.0.0.1:7000")

// set changes the stand-ins while they are in use.
func (p *post) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// shown returns the newest table that the owner got.
func (p *post) shown() *messenger.WorkerSnapshot {
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
	p := &post{c: c, worker: faker.NewPoolWorker(), vouching: true, term: 1}
	p.worker.CPU, p.worker.Memory = 4000, 8000
	p.plan = faker.PoolRunPlan{Duration: time.Second}
	p.worker.Plan = func(string, uint64) faker.PoolRunPlan {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.plan
	}
	p.worker.OnEvent = func(e faker.PoolEvent) { p.set(func() { p.events = append(p.events, e) }) }
	p.worker.Fault = func(call string) faker.PoolFault {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.fault != nil {
			return p.fault(call)
		}
		return faker.PoolFault{}
	}
	p.worker.Restart("life-1", time.UnixMilli(5_000_000))
	p.network = faker.NewNetwork()
	listener := p.network.Listen("owner", ownerAddr)
	server := &http.Server{Handler: http.HandlerFunc(p.own)}
	go func() { _ = server.Serve(listener) }()
	p.begin("b")
	c.Cleanup(func() {
		p.stop()
		if conn := p.link(); conn != nil {
			conn.Close("test ends")
		}
		<-p.done
		_ = server.Close()
		advancer.Sleep(time.Minute) // what was sent late arrives
	})
	return p
}

// begin starts a process of the agent, to which the worker sends a heartbeat.
func (p *post) begin(born string) {
	calls := p.worker.Client()
	look := calls.List
	calls.List = func(ctx context.Context, l supervisor.ListRequest) (*supervisor.ListReply, error) {
		list, err := look(ctx, l)
		p.mu.Lock()
		late := p.late
		p.mu.Unlock()
		advancer.Sleep(late)
		return list, err
	}
	p.w = supervisor.New(supervisor.Config{
		ID: "agent", Incarnation: born, Worker: calls, LeaseDuration: lease, Now: time.Now, Log: zap.NewNop(),
		FindOwner: func(context.Context) (netip.AddrPort, uint64, error) {
			p.mu.Lock()
			defer p.mu.Unlock()
			return ownerAddr, p.term, nil
		},
		Client: p.network.Client("agent"),
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	p.stop, p.done = stop, done
	w := p.w
	go func() {
		defer close(done)
		w.Serve(ctx)
	}()
	w.HandleHeartbeat(ctx, p.worker.Heartbeat(1))
	advancer.Sleep(time.Second)
}

// own is the owner's side of a connection.
func (p *post) own(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	if _, err := messenger.ReadFrame(r.Context(), ws); err != nil {
		return
	}
	welcome := messenger.Frame{Kind: messenger.KindWelcome, Welcome: &messenger.Welcome{Version: messenger.Version, ID: "owner", Incarnation: "o"}}
	if err := messenger.WriteFrame(r.Context(), ws, welcome); err != nil {
		return
	}
	conn := messenger.New(messenger.Config{Socket: ws, Handle: func(conn *messenger.Conn, f messenger.Frame) {
		if f.Kind != messenger.KindWorkerSnapshot {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.table = f.WorkerSnapshot
		if p.vouching {
			_ = conn.Post(messenger.Frame{Kind: messenger.KindSnapshotAck, SnapshotAck: &messenger.SnapshotAck{
				Term: p.term, EchoSentAt: f.WorkerSnapshot.SentAt, WorkerIncarnation: f.WorkerSnapshot.WorkerIncarnation, AckedEnd: p.durable,
			}})
		}
	}})
	p.set(func() { p.conn, p.seq = conn, 0 })
	_ = conn.Run(r.Context())
}

func (p *post) order(o messenger.Command) {
	p.set(func() {
		p.seq++
		o.Seq = p.seq
		if o.Term == 0 {
			o.Term = p.term
		}
	})
	p.c.Assert(p.link().Post(messenger.Frame{Kind: messenger.KindCommand, Command: &o}), qt.IsNil)
	advancer.Sleep(200 * time.Millisecond)
}

func start(task string, attempt uint64) messenger.Command {
	return messenger.Command{Start: &messenger.RunStart{Task: task, Attempt: attempt, Spec: messenger.TaskSpec{CPU: 1500, Memory: 100}}}
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
	for _, e := range p.shown().RunEnds {
		list = append(list, fmt.Sprint(e.Task, "#", e.Attempt, " ", e.Status))
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
