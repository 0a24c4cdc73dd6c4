// Package coordinator assembles an entry of the pools: it accepts callers' jobs,
// tracks which entry owns the pools, and schedules the jobs while this process is
// the owner.
package coordinator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/acceptor"
	"github.com/endivefall/endivefall/authorizer"
	"github.com/endivefall/endivefall/chronicler"
	"github.com/endivefall/endivefall/connector"
	"github.com/endivefall/endivefall/dialer"
	"github.com/endivefall/endivefall/elector"
	"github.com/endivefall/endivefall/evacuator"
	"github.com/endivefall/endivefall/limiter"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/orchestrator"
	"github.com/endivefall/endivefall/relayer"
	"github.com/endivefall/endivefall/storer"
	"github.com/endivefall/endivefall/waiter"
)

// Timeouts and limits of an entry.
const (
	// MaxRunLease bounds how long runs continue without the owner. It outlasts a
	// network partition of 5.5 s and is short enough that lost tasks are restarted
	// in time.
	MaxRunLease = 5800 * time.Millisecond
	// workerLeaseMargin is how much shorter a run lease is than the longest lease
	// that the worker accepts.
	workerLeaseMargin = 200 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the
	// kernel ends the connection.
	tcpUserTimeout = 1500 * time.Millisecond
	// maxConnsPerPeer bounds the connections to one peer; relayed calls run
	// concurrently.
	maxConnsPerPeer = 16
	// readHeaderTimeout bounds reading the header of a peer's request.
	readHeaderTimeout = 3 * time.Second
	// releaseRetryDelay is the delay before a failed release is retried.
	releaseRetryDelay = 200 * time.Millisecond
	// handoverTimeout bounds the release of ownership at shutdown.
	handoverTimeout = 1500 * time.Millisecond
)

// RunLease returns how long runs continue without a lease renewal by the owner,
// given the longest lease that workers accept.
func RunLease(maxWorkerLease time.Duration) time.Duration {
	return min(MaxRunLease, maxWorkerLease-workerLeaseMargin)
}

// Config configures a Coordinator.
type Config struct {
	ID string
	// PeerAddr is the address at which other processes reach this one, ListenAddr
	// the one on which it listens for them.
	PeerAddr, ListenAddr netip.AddrPort
	// CPUCapacity is the CPU time that the process may use, in thousandths of a core.
	CPUCapacity int64
	// Store is the platform's, as reached from this instance.
	Store *storer.Store
	// MaxWorkerLease is the longest lease that workers accept; JobRetention is how
	// long the state of a finished job is kept.
	MaxWorkerLease, JobRetention time.Duration
	// RemoteFactor is how many times as long a task takes outside the rack that holds its data; 0 if that is
	// not known.
	RemoteFactor float64
	// Now is a clock that includes time during which the instance was suspended;
	// WallClock is the time of day, time.Now when nil.
	Now, WallClock  func() time.Time
	Log             *zap.Logger
	Count           func(c meter.Counter)
	ObserveDuration func(h meter.Histogram, d time.Duration)
	// Gauge sets a gauge; it may be nil.
	Gauge func(g meter.Gauge, value float64)
	// Add increases a counter; nil if traffic is not counted.
	Add func(c meter.Counter, n int64)
	// TakeStoreBytes returns the bytes sent to and received from the store since the
	// last call; nil if they are not counted.
	TakeStoreBytes func() (sent, received int64)
	// QueryPolicy asks the policy service of the queues which workers may run a step.
	QueryPolicy func(ctx context.Context, step string, workers []string) ([]authorizer.Grant, time.Duration, error)
	// Evacuations returns which failure domains are evacuated, as read from the store, and EvacuationBound is the
	// time from the acknowledgement of a request until which tasks may still start in the domain; see
	// orchestrator.Config.
	Evacuations     func() evacuator.View
	EvacuationBound time.Duration
	// Listen opens the listener for peers; net.Listen when nil. Client sends
	// requests to peers; when nil, a client that detects unresponsive peers is used.
	Listen func(network, addr string) (net.Listener, error)
	Client *http.Client
	// Limits bounds the connections and bodies of peers; nil for no limits.
	Limits *limiter.Group
}

// Coordinator is one entry of the pools.
type Coordinator struct {
	cfg         Config
	incarnation string
	relayer     *relayer.Relayer
	// chronicler keeps when this process knew each version of the store.
	chronicler  *chronicler.Chronicler
	elector     *elector.Elector
	connector   *connector.Connector
	ownerClient *ownerClient
	// Acceptor serves the requests of callers.
	Acceptor *acceptor.Acceptor
	traffic  messenger.Traffic
	// wake holds one token when the owner record may have changed or HandOver was
	// called.
	wake chan struct{}

	mu sync.Mutex
	// orchestrator is set while this process owns the pools.
	orchestrator *orchestrator.Orchestrator
	// ownershipEnded is closed when the orchestrator has stopped and ownership is
	// released; nil while this process does not own the pools.
	ownershipEnded chan struct{}
	// links maps the agents' connections to the orchestrator's handles of them. It is
	// empty while this process does not own the pools.
	links map[*connector.Link]*orchestrator.AgentLink
	// shuttingDown is set by HandOver.
	shuttingDown bool
}

// New returns a Coordinator; Serve runs it.
func New(cfg Config) *Coordinator {
	if cfg.WallClock == nil {
		cfg.WallClock = time.Now
	}
	if cfg.Listen == nil {
		cfg.Listen = net.Listen
	}
	if cfg.Client == nil {
		cfg.Client = dialer.New(tcpUserTimeout).Client(maxConnsPerPeer)
	}
	c := &Coordinator{cfg: cfg, incarnation: uuid.NewString(), wake: make(chan struct{}, 1), links: map[*connector.Link]*orchestrator.AgentLink{}}
	c.relayer = relayer.New(relayer.Config{
		Store: cfg.Store, Limits: cfg.Limits, Peers: func() []netip.AddrPort { return c.elector.Peers() }, Client: cfg.Client,
		Now: cfg.Now, Log: cfg.Log, Count: cfg.Count,
	})
	c.chronicler = chronicler.New(cfg.Now)
	store := c.Store()
	self := elector.Member{ID: cfg.ID, Incarnation: c.incarnation, PeerAddr: cfg.PeerAddr, CPUCapacity: cfg.CPUCapacity}
	c.ownerClient = newOwnerClient(ownerClientConfig{
		ID: cfg.ID, Incarnation: c.incarnation, Client: cfg.Client, Now: cfg.Now, Log: cfg.Log, Traffic: &c.traffic,
		OnStoreVersion: c.chronicler.Observe,
		OnInDoubt:      func(jobs []string) { c.Acceptor.MarkInDoubt(jobs) }, InDoubt: func() []string { return c.Acceptor.OwnInDoubt() },
		Extend: func(confirmation messenger.OwnerConfirmation) *messenger.ConfirmationRef {
			return c.elector.Extend(confirmation)
		},
	})
	c.elector = elector.New(elector.Config{
		Self: self, Store: store, ClaimKey: orchestrator.ClaimKey, Now: cfg.Now, Log: cfg.Log, Count: cfg.Count, OwnerLastReply: c.ownerClient.LastReply,
		OnChange: func(elector.OwnerRecord, []elector.Member) { c.wakeOwnershipLoop() },
	})
	c.connector = connector.New(connector.Config{
		ID: cfg.ID, Incarnation: c.incarnation, Now: cfg.Now, Log: cfg.Log, Traffic: &c.traffic, OnConnect: c.onConnect, OnDisconnect: c.onDisconnect, Handle: c.handleFrame,
		FillWelcome: func(w *messenger.Welcome) {
			w.Peers, w.TakesDeltas = append(c.elector.Peers(), cfg.PeerAddr), true
		},
	})
	c.Acceptor = acceptor.New(acceptor.Config{
		Store: store, AskOwner: c.queryOwner, BroadcastInDoubt: func(jobs []string) { c.broadcastInDoubt(jobs, nil) }, PeersConnected: c.peersConnected,
		Now: cfg.Now, WallClock: cfg.WallClock, Log: cfg.Log, Count: cfg.Count, ObserveDuration: cfg.ObserveDuration,
	})
	return c
}

// Store returns the store, reached directly or through another entry.
func (c *Coordinator) Store() *storer.Store { return c.chronicler.Store(c.relayer.Store()) }

// StoreReachable reports whether this instance reaches the store directly and, if
// not, since when it does not.
func (c *Coordinator) StoreReachable() (time.Time, bool) { return c.relayer.Reachable() }

// StoreOutage returns for how long the store has answered this entry nothing, directly or through
// another entry; 0 while it answers.
func (c *Coordinator) StoreOutage() time.Duration { return c.relayer.Outage() }

func (c *Coordinator) wakeOwnershipLoop() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Serve runs the entry until ctx ends. For a quick handover, call HandOver before
// canceling ctx.
func (c *Coordinator) Serve(ctx context.Context) error {
	listener, err := c.cfg.Listen("tcp", c.cfg.ListenAddr.String())
	if err != nil {
		return fmt.Errorf("listening for peers: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle(messenger.PeerPath, c.connector)
	mux.Handle(relayer.Path, c.relayer)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: zap.NewStdLog(c.cfg.Log)}
	listener = c.cfg.Limits.Attach(server, listener)
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			c.cfg.Log.Error("peer server stopped", zap.Error(err))
		}
	})
	wg.Go(func() { c.elector.Serve(ctx) })
	wg.Go(func() { c.Acceptor.Serve(ctx) })
	wg.Go(func() { c.ownerClient.Serve(ctx) })
	wg.Go(func() { c.ownershipLoop(ctx) })
	if c.cfg.Add != nil {
		wg.Go(func() { waiter.Every(ctx, trafficInterval, c.reportTraffic) })
	}
	<-ctx.Done()
	c.connector.Close()
	_ = server.Close()
	wg.Wait()
	return nil
}

// HandOver releases ownership and deletes the entry's live key.
func (c *Coordinator) HandOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	c.mu.Lock()
	c.shuttingDown = true
	ownershipEnded := c.ownershipEnded
	c.mu.Unlock()
	c.wakeOwnershipLoop()
	if ownershipEnded != nil {
		select {
		case <-ownershipEnded:
		case <-ctx.Done():
		}
	}
	c.elector.Deregister(ctx)
}
