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
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/pacer"
	"github.com/endivefall/endivefall/supervisor"
)

const leaseDuration = 5800 * time.Millisecond

// harness connects a Supervisor to a fake worker and a fake owner.
type harness struct {
	// mu guards what the fakes' goroutines use: all fields but c, worker, store, network,
	// sup, stop and done.
	mu     sync.Mutex
	c      *qt.C
	worker *faker.PoolWorker
	store  *faker.Store
	// network connects the agent and the owner, which listens at ownerAddr.
	network *faker.Network
	sup     *supervisor.Supervisor
	stop    context.CancelFunc
	done    chan struct{}
	events  []faker.PoolEvent
	// snapshot is the newest one that the owner has received; acking is set while
	// the owner acknowledges snapshots.
	snapshot *messenger.WorkerSnapshot
	acking   bool
	ackedEnd uint64
	// unregistered is set while its acknowledgements renew no lease, unconfirmed while
	// they show no confirmation of ownership.
	unregistered, unconfirmed bool
	conn                      *messenger.Conn
	// owner and term are what the agent finds as the owner's address and term.
	owner netip.AddrPort
	term  uint64
	// nextTerm is the term that the agent finds if it is above term.
	nextTerm uint64
	seq      uint64
	fault    func(call string) faker.PoolFault
	plan     faker.PoolRunPlan
	// listDelay is the transit time of a list reply to the agent; startLost is set
	// while the replies to starts are lost. Otherwise startError replaces them, with a
	// transit time of startDelay.
	listDelay  time.Duration
	startLost  bool
	startError error
	startDelay time.Duration
	// lists has the answered list requests.
	lists []answeredList
	// payloads has the payloads of the starts at the worker, by task.
	payloads map[string]string
	// paces has the paces that the agent has set, by task.
	paces map[string]int
	// paceError is the reply to calls that set a pace, paceFences has their fences.
	paceError  error
	paceFences []uint64
	// stopIgnored is set while the worker answers stops and carries none out; stopCount is
	// the number of stop calls.
	stopIgnored bool
	stopCount   int
	// gauges has the last values of the agent's gauges.
	gauges map[meter.Gauge]float64
}

// answeredList is a list request with the start of the incarnation that answered it.
type answeredList struct {
	supervisor.ListRequest
	startedAt time.Time
}

// ownerAddr is the address at which the fake owner listens.
var ownerAddr = netip.MustParseAddrPort("10.0.0.1:7000")

// set changes the fakes' state while they are in use.
func (h *harness) set(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// latestSnapshot returns the newest snapshot that the owner has received.
func (h *harness) latestSnapshot() *messenger.WorkerSnapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.snapshot
}

// ownerConn returns the owner's current connection to the agent, or nil.
func (h *harness) ownerConn() *messenger.Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.conn
}

func newHarness(c *qt.C) *harness {
	h := &harness{c: c, worker: faker.NewPoolWorker(), store: faker.NewStore(), acking: true, owner: ownerAddr, term: 1, paces: map[string]int{}, payloads: map[string]string{}, gauges: map[meter.Gauge]float64{}}
	h.worker.CPU, h.worker.Memory = 4000, 8000
	h.plan = faker.PoolRunPlan{Duration: time.Second}
	h.worker.Plan = func(string, uint64) faker.PoolRunPlan {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.plan
	}
	h.worker.OnEvent = func(e faker.PoolEvent) { h.set(func() { h.events = append(h.events, e) }) }
	h.worker.Fault = func(call string) faker.PoolFault {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.fault != nil {
			return h.fault(call)
		}
		return faker.PoolFault{}
	}
	h.worker.Restart("life-1", time.UnixMilli(5_000_000))
	h.network = faker.NewNetwork()
	listener := h.network.Listen("owner", ownerAddr)
	server := &http.Server{Handler: http.HandlerFunc(h.serveOwner)}
	go func() { _ = server.Serve(listener) }()
	h.startAgent("b")
	c.Cleanup(func() {
		h.stop()
		if conn := h.ownerConn(); conn != nil {
			conn.Close("test ends")
		}
		<-h.done
		_ = server.Close()
		advancer.Sleep(time.Minute) // delayed calls and timers finish
	})
	return h
}

// startAgent starts a process of the agent and sends it a heartbeat of the worker.
func (h *harness) startAgent(incarnation string) {
	client := h.worker.Client()
	listWorker := client.List
	client.List = func(ctx context.Context, req supervisor.ListRequest) (*supervisor.ListReply, error) {
		reply, err := listWorker(ctx, req)
		h.mu.Lock()
		delay := h.listDelay
		if err == nil {
			h.lists = append(h.lists, answeredList{req, reply.StartedAt})
		}
		h.mu.Unlock()
		advancer.Sleep(delay)
		return reply, err
	}
	startAtWorker := client.Start
	client.Start = func(ctx context.Context, req supervisor.StartRequest) (time.Time, error) {
		clock, err := startAtWorker(ctx, req)
		h.mu.Lock()
		h.payloads[req.Task] = req.Payload
		lost, replaced, delay := h.startLost, h.startError, h.startDelay
		h.mu.Unlock()
		if lost {
			<-ctx.Done()
			return time.Time{}, supervisor.ErrUnknownOutcome
		}
		advancer.Sleep(delay)
		if replaced != nil {
			return time.Time{}, replaced
		}
		return clock, err
	}
	client.SetPace = func(_ context.Context, ref supervisor.RunRef, percent int) error {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.paceFences = append(h.paceFences, ref.Fence)
		if h.paceError == nil {
			h.paces[ref.Task] = percent
		}
		return h.paceError
	}
	stopAtWorker := client.Stop
	client.Stop = func(ctx context.Context, ref supervisor.RunRef) error {
		h.mu.Lock()
		h.stopCount++
		ignored := h.stopIgnored
		h.mu.Unlock()
		if ignored {
			return nil
		}
		return stopAtWorker(ctx, ref)
	}
	h.sup = supervisor.New(supervisor.Config{
		ID: "agent", Incarnation: incarnation, Worker: client, LeaseDuration: leaseDuration, Now: time.Now, Log: zap.NewNop(),
		FindOwner: func(context.Context) (netip.AddrPort, uint64, error) {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.owner, max(h.term, h.nextTerm), nil
		},
		GetItem: h.store.Client().Get, Commit: h.store.Client().Commit,
		Client: h.network.Client("agent"), Pacer: pacer.New(),
		Gauge: func(g meter.Gauge, value float64) { h.set(func() { h.gauges[g] = value }) },
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	h.stop, h.done = stop, done
	sup := h.sup
	go func() {
		defer close(done)
		sup.Serve(ctx)
	}()
	sup.HandleHeartbeat(ctx, h.worker.Heartbeat(1))
	advancer.Sleep(time.Second)
}

// serveOwner is the owner's end of a connection.
func (h *harness) serveOwner(w http.ResponseWriter, r *http.Request) {
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
		h.mu.Lock()
		defer h.mu.Unlock()
		h.snapshot = f.WorkerSnapshot
		if h.acking {
			ack := &messenger.SnapshotAck{Term: h.term, AckedEnd: h.ackedEnd, AppliedSentAt: f.WorkerSnapshot.SentAt, WorkerIncarnation: f.WorkerSnapshot.WorkerIncarnation}
			if h.unconfirmed {
				ack.AppliedSentAt = time.Time{}
			}
			if !h.unregistered {
				ack.EchoSentAt = f.WorkerSnapshot.SentAt
			}
			_ = conn.TrySend(messenger.Frame{Kind: messenger.KindSnapshotAck, SnapshotAck: ack})
		}
	}})
	h.set(func() { h.conn, h.seq = conn, 0 })
	_ = conn.Run(r.Context())
}

func (h *harness) send(cmd messenger.Command) {
	h.set(func() {
		h.seq++
		cmd.Seq = h.seq
		if cmd.Term == 0 {
			cmd.Term = h.term
		}
	})
	h.c.Assert(h.ownerConn().TrySend(messenger.Frame{Kind: messenger.KindCommand, Command: &cmd}), qt.IsNil)
	advancer.Sleep(200 * time.Millisecond)
}

func startCommand(task string, attempt uint64) messenger.Command {
	return messenger.Command{Start: &messenger.RunStart{Task: task, Attempt: attempt, Spec: messenger.TaskSpec{CPU: 1500, Memory: 100}}}
}

// count returns the number of the worker's events of a kind.
func (h *harness) count(kind string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, e := range h.events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

func (h *harness) ends() []string {
	var list []string
	for _, e := range h.latestSnapshot().RunEnds {
		list = append(list, fmt.Sprint(e.Task, "#", e.Attempt, " ", e.Status))
	}
	return list
}

// inBubble runs a test in fake time.
func inBubble(t *testing.T, test func(c *qt.C, h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		test(c, newHarness(c))
	})
}
