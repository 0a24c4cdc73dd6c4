// Package coordinator is the process of an entry of the pools: it takes callers'
// jobs, follows who owns the pools, and schedules them while it is the owner.
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
	"github.com/endivefall/endivefall/connector"
	"github.com/endivefall/endivefall/dialer"
	"github.com/endivefall/endivefall/elector"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/orchestrator"
	"github.com/endivefall/endivefall/relayer"
	"github.com/endivefall/endivefall/storer"
)

// Times of an entry.
const (
	// proof is how long a proof of ownership holds: a store that is away for
	// nine seconds, as on most troubled days, does not stop the work.
	proof = 10 * time.Second
	// MaxRunLease bounds how long runs go on without the owner: longer than a cut
	// of 5.5 s, short enough that lost tasks run again in time.
	MaxRunLease = 5800 * time.Millisecond
	// holdMargin keeps a lease below what the worker takes.
	holdMargin = 200 * time.Millisecond
	// silence ends connections whose bytes stay unacknowledged.
	silence = 1500 * time.Millisecond
	// peerConns bounds the connections to one peer: relayed calls run side by
	// side.
	peerConns = 16
	// headerTimeout bounds a peer's request head.
	headerTimeout = 3 * time.Second
	// releasePause is the wait before a release that failed is tried again.
	releasePause = 200 * time.Millisecond
	// handover bounds the release of ownership at the end.
	handover = 1500 * time.Millisecond
)

// RunLease returns how long runs go on without a word of the owner, of the longest
// lease that workers take.
func RunLease(hold time.Duration) time.Duration { return min(MaxRunLease, hold-holdMargin) }

// Config is what a Conductor needs.
type Config struct {
	ID string
	// PeerAddr is where other processes reach this one, ListenAddr where it listens for
	// them.
	PeerAddr, ListenAddr netip.AddrPort
	// CPUCapacity is the processor that it may use, in thousandths of a core.
	CPUCapacity int64
	// Store is the platform's, as reached from this instance.
	Store *storer.Store
	// MaxWorkerLease is the longest lease that workers take; JobRetention how long the state of a
	// job that is over is kept.
	MaxWorkerLease, JobRetention time.Duration
	// Now is a clock that counts the time in which the instance was suspended;
	// WallClock is the time of day, time.Now when nil.
	Now, WallClock  func() time.Time
	Log             *zap.Logger
	Count           func(name string)
	ObserveDuration func(name string, d time.Duration)
	// QueryPolicy asks the service of the queues' policies.
	QueryPolicy func(ctx context.Context, step string, workers []string) ([]orchestrator.PolicyGrant, time.Duration, error)
	// Listen opens the listener for peers; net.Listen when nil. Client calls
	// them; one that notices silent peers when nil.
	Listen func(network, addr string) (net.Listener, error)
	Client *http.Client
}

// Coordinator is one entry of the pools.
type Coordinator struct {
	cfg       Config
	born      string
	relayer   *relayer.Relayer
	elector   *elector.Elector
	connector *connector.Connector
	asker     *asker
	// Acceptor takes the calls of callers.
	Acceptor *acceptor.Acceptor
	// wake holds one token when the owner's record may have changed.
	wake chan struct{}

	mu sync.Mutex
	// overseer is set while this process owns the pools.
	overseer *orchestrator.Orchestrator
	// owned is closed when the overseer has ended and ownership is given up; nil
	// while this process does not own the pools.
	owned chan struct{}
	// links has the agents' connections, for the overseer.
	links map[*connector.Link]*orchestrator.AgentLink
	// leaving is set once the process is to end.
	leaving bool
}

// New returns a Conductor; Serve runs it.
func New(cfg Config) *Coordinator {
	if cfg.WallClock == nil {
		cfg.WallClock = time.Now
	}
	if cfg.Listen == nil {
		cfg.Listen = net.Listen
	}
	if cfg.Client == nil {
		cfg.Client = dialer.New(silence).Client(peerConns)
	}
	c := &Coordinator{cfg: cfg, born: uuid.NewString(), wake: make(chan struct{}, 1), links: map[*connector.Link]*orchestrator.AgentLink{}}
	c.relayer = relayer.New(relayer.Config{
		Store: cfg.Store, Peers: func() []netip.AddrPort { return c.elector.Peers() }, Client: cfg.Client,
		Now: cfg.Now, Log: cfg.Log, Count: func(name string) { cfg.Count("store_" + name) },
	})
	store := c.relayer.Store()
	self := elector.Member{ID: cfg.ID, Incarnation: c.born, PeerAddr: cfg.PeerAddr, CPUCapacity: cfg.CPUCapacity}
	c.asker = newAsker(askerConfig{
		ID: cfg.ID, Born: c.born, Client: cfg.Client, Now: cfg.Now, Log: cfg.Log,
		Doubt: func(jobs []string) { c.Acceptor.MarkInDoubt(jobs) },
	})
	c.elector = elector.New(elector.Config{
		Self: self, Store: store, Now: cfg.Now, Log: cfg.Log, OwnerLastReply: c.asker.Reached,
		OnChange: func(elector.OwnerRecord, []elector.Member) { c.touch() },
	})
	c.connector = connector.New(connector.Config{
		ID: cfg.ID, Incarnation: c.born, Now: cfg.Now, Log: cfg.Log, OnConnect: c.join, OnDisconnect: c.part, Handle: c.handle,
		FillWelcome: func(w *messenger.Welcome) { w.Peers = append(c.elector.Peers(), cfg.PeerAddr) },
	})
	c.Acceptor = acceptor.New(acceptor.Config{
		Store: store, AskOwner: c.ask, BroadcastInDoubt: func(jobs []string) { c.spread(jobs, nil) }, PeersConnected: c.heard,
		Now: cfg.Now, WallClock: cfg.WallClock, Log: cfg.Log, Count: cfg.Count, ObserveDuration: cfg.ObserveDuration,
	})
	return c
}

// Store returns the store as reached by any way.
func (c *Coordinator) Store() *storer.Store { return c.relayer.Store() }

// StoreReachable says whether the store is reached from this instance, and else since
// when it is not.
func (c *Coordinator) StoreReachable() (time.Time, bool) { return c.relayer.Reachable() }

func (c *Coordinator) touch() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Serve runs the entry until ctx ends. Leave must come first for a quick
// handover.
func (c *Coordinator) Serve(ctx context.Context) error {
	listener, err := c.cfg.Listen("tcp", c.cfg.ListenAddr.String())
	if err != nil {
		return fmt.Errorf("listening for peers: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle(messenger.PeerPath, c.connector)
	mux.Handle(relayer.Path, c.relayer)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(c.cfg.Log)}
	var duties sync.WaitGroup
	duties.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			c.cfg.Log.Error("peers are not served any more", zap.Error(err))
		}
	})
	duties.Go(func() { c.elector.Serve(ctx) })
	duties.Go(func() { c.Acceptor.Serve(ctx) })
	duties.Go(func() { c.asker.Serve(ctx) })
	duties.Go(func() { c.ownLoop(ctx) })
	<-ctx.Done()
	c.connector.Close()
	_ = server.Close()
	duties.Wait()
	return nil
}

// Leave hands ownership over and drops the entry's live key.
func (c *Coordinator) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handover)
	defer cancel()
	c.mu.Lock()
	c.leaving = true
	owned := c.owned
	c.mu.Unlock()
	c.touch()
	if owned != nil {
		select {
		case <-owned:
		case <-ctx.Done():
		}
	}
	c.elector.Leave(ctx)
}
