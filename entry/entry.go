// Package entry implements the process of an entry instance: it serves callers
// and operators, and owns a share of the batch jobs.
package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/activator"
	"github.com/endivefall/endivefall/announcer"
	"github.com/endivefall/endivefall/cataloger"
	"github.com/endivefall/endivefall/configurer"
	"github.com/endivefall/endivefall/connector"
	"github.com/endivefall/endivefall/dispatcher"
	"github.com/endivefall/endivefall/estimator"
	"github.com/endivefall/endivefall/limiter"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/placer"
	"github.com/endivefall/endivefall/publisher"
	"github.com/endivefall/endivefall/recorder"
	"github.com/endivefall/endivefall/scheduler"
	"github.com/endivefall/endivefall/storer"
)

// Limits of the HTTP servers.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10 // bytes
)

// Config configures an Entry.
type Config struct {
	Settings configurer.Entry
	Log      *zap.Logger
	// Listen opens the listeners; net.Listen when nil.
	Listen func(network, addr string) (net.Listener, error)
}

// Entry is one entry instance.
type Entry struct {
	cfg         Config
	incarnation string
	now         func() time.Time
	started     time.Time
	store       *storer.Client
	cataloger   *cataloger.Cataloger
	publisher   *publisher.Publisher
	announcer   *announcer.Announcer
	connector   *connector.Connector
	dispatcher  *dispatcher.Dispatcher
	placer      *placer.Placer
	scheduler   atomic.Pointer[scheduler.Scheduler]
	meter       *meter.Meter
	// draining is set at shutdown; from then on the readiness check fails.
	draining      atomic.Bool
	forwardClient *http.Client
	// callerLimits bounds the connections and bodies of callers; set by Run.
	callerLimits *limiter.Group

	mu sync.Mutex
	// dialing holds the cancel function of each link that this entry dials.
	dialing map[netip.AddrPort]context.CancelFunc
	wg      sync.WaitGroup
}

// New returns an Entry; Run starts it.
func New(cfg Config) *Entry {
	if cfg.Listen == nil {
		cfg.Listen = net.Listen
	}
	e := &Entry{
		cfg: cfg, incarnation: uuid.NewString(), now: estimator.NewMonotonicClock(), meter: meter.New("endivefall_entry", cfg.Log),
		dialing:       map[netip.AddrPort]context.CancelFunc{},
		forwardClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	e.started = e.now()
	s := cfg.Settings
	e.store = storer.New(storer.Config{Addr: s.Platform, CallsPerSecond: s.StoreCallsPerSecond, Now: e.now, Count: e.countCall})
	e.cataloger = cataloger.New()
	e.connector = connector.New(connector.Config{
		ID: s.ID, Incarnation: e.incarnation, Secret: s.Secret, Now: e.now, Log: cfg.Log,
		OnConnect: e.peerConnected, OnDisconnect: e.peerDisconnected, Handle: e.handle, FillWelcome: e.fillWelcome,
	})
	e.publisher = publisher.New(publisher.Config{Store: e.store, Cataloger: e.cataloger, Now: e.now, Log: cfg.Log})
	e.cataloger.OnChange(func(doc *cataloger.VersionedDocument) { e.broadcastDocument(doc.Doc) })
	e.announcer = announcer.New(announcer.Config{
		Self:  announcer.Entry{ID: s.ID, Incarnation: e.incarnation, HTTP: s.Listen, Peer: s.Peer, Domain: s.Domain, Region: s.Region},
		Store: e.store, Now: e.now, Log: cfg.Log, Count: e.meter.Count, OnChange: e.entriesChanged,
	})
	e.placer = placer.New(placer.Config{Now: e.now, Rand: newRand()})
	activations := activator.New(activator.Config{Get: e.store.Get, CompareAndSwapRetry: e.store.CompareAndSwapRetry, Earliest: e.store.ClockEstimate.Earliest, Now: e.now})
	e.dispatcher = dispatcher.New(dispatcher.Config{
		Domain: s.Domain, MaxBody: int64(s.MaxBodySize), Now: e.now, Log: cfg.Log, Meter: e.meter,
		Cataloger: e.cataloger, Link: e.connector.Link, ToLocalTime: e.toLocalTime, ActiveSince: activations.ActiveSince,
	})
	return e
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (e *Entry) countCall(call string, err error) {
	result := "error"
	if err == nil || errors.Is(err, storer.ErrNotFound) || errors.Is(err, storer.ErrConflict) {
		result = "ok" // the store replied
	}
	e.meter.CounterOf(meter.CallsToStore, call, result).Inc(1)
}

// toLocalTime returns a lower bound of the local time at which the platform's
// clock shows at, or the zero time while the platform's clock is unknown.
func (e *Entry) toLocalTime(at time.Time) time.Time {
	if !e.store.ClockEstimate.Known() {
		return time.Time{}
	}
	now := e.now()
	return now.Add(at.Sub(e.store.ClockEstimate.Latest(now)))
}

// Run serves until ctx ends. Then it drains: the readiness check fails, the shards
// are handed over, and requests in flight finish. It returns when that is done, or
// after the drain timeout with an error that counts the requests cut off.
func (e *Entry) Run(ctx context.Context) error {
	s := e.cfg.Settings
	callerListener, err := e.cfg.Listen("tcp", s.Listen.String())
	if err != nil {
		return fmt.Errorf("listening for callers: %w", err)
	}
	peerListener, err := e.cfg.Listen("tcp", s.Peer.String())
	if err != nil {
		_ = callerListener.Close()
		return fmt.Errorf("listening for peers: %w", err)
	}
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	limits := limiter.Process{Memory: int64(s.Memory), Descriptors: s.Descriptors, Log: e.cfg.Log, Count: e.meter.Count, Gauge: e.meter.Set}
	limits.SetMemoryLimit()
	e.callerLimits = limits.Group(meter.Callers, limiter.Streams())
	callerServer := &http.Server{
		Handler: e.routes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: zap.NewStdLog(e.cfg.Log),
	}
	peerServer := &http.Server{
		Handler: e.peerRoutes(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: zap.NewStdLog(e.cfg.Log),
	}
	callerListener = e.callerLimits.Attach(callerServer, callerListener)
	peerListener = limits.Group(meter.Peers, limiter.Peers()).Attach(peerServer, peerListener)
	e.wg.Go(func() { _ = peerServer.Serve(peerListener) })
	e.wg.Go(func() { _ = callerServer.Serve(callerListener) })
	e.wg.Go(func() { e.announcer.Serve(workCtx) })
	e.wg.Go(func() { e.publisher.Serve(workCtx) })
	e.wg.Go(func() { e.runScheduler(workCtx) })
	e.wg.Go(func() { e.gaugeLoop(workCtx) })
	e.cfg.Log.Info("entry serving", zap.String("id", s.ID), zap.Stringer("listen", s.Listen), zap.Stringer("peer", s.Peer))
	<-ctx.Done()
	err = e.drain(callerServer)
	stopWork()
	e.entriesChanged(nil) // closes the links that this entry dials
	e.connector.Close()
	_ = peerServer.Close()
	e.wg.Wait()
	e.meter.Close()
	e.cfg.Log.Info("entry stopped", zap.String("id", s.ID), zap.Error(err))
	return err
}

// drain shuts the entry down in an order that cuts off no request unless the drain
// timeout expires: the readiness check fails, the shards are handed over, the entry
// is deregistered, and after the shutdown delay the callers' listener closes and
// open requests finish.
func (e *Entry) drain(callerServer *http.Server) error {
	s := e.cfg.Settings
	e.cfg.Log.Info("entry draining", zap.String("id", s.ID), zap.Int64("inside", e.dispatcher.InFlight()))
	e.draining.Store(true)
	drainCtx, cancel := context.WithTimeout(context.Background(), s.DrainTimeout+s.ShutdownDelay)
	defer cancel()
	if sch := e.scheduler.Load(); sch != nil {
		handOverCtx, cancelHandOver := context.WithTimeout(drainCtx, s.ShutdownDelay+s.Lease)
		sch.HandOver(handOverCtx)
		cancelHandOver()
	}
	e.announcer.Deregister(drainCtx)
	select { // the load balancer must see the failed readiness check before new connections are refused
	case <-time.After(s.ShutdownDelay):
	case <-drainCtx.Done():
	}
	if err := callerServer.Shutdown(drainCtx); err != nil {
		_ = callerServer.Close()
		return fmt.Errorf("drain timeout expired; %d requests were cut off", e.dispatcher.InFlight())
	}
	return nil
}

// runScheduler waits for the number of shards, then runs the scheduler of the
// ledger until ctx ends.
func (e *Entry) runScheduler(ctx context.Context) {
	shards, ok := e.shardCount(ctx)
	if !ok {
		return
	}
	s := e.cfg.Settings
	sch := scheduler.New(scheduler.Config{
		Shards: shards, Lease: s.Lease, Margin: s.LeaseMargin, LostAgentGrace: s.OwnershipTTL, Now: e.now, Placer: e.placer, Log: e.cfg.Log,
		ShouldOwn: func(n uint32) bool {
			return e.announcer.HasListed() && e.announcer.OwnerOf(shardKey(n)).ID == s.ID
		},
		Claim:                e.acquireShard,
		AgentLink:            e.agentLink,
		EarliestPlatformTime: e.store.ClockEstimate.Earliest,
		Quota:                e.quota,
	})
	e.scheduler.Store(sch)
	sch.Serve(ctx)
}

func shardKey(n uint32) string { return fmt.Sprintf("ledger/%d", n) }

func (e *Entry) acquireShard(ctx context.Context, n uint32) (*recorder.Recorder, error) {
	s := e.cfg.Settings
	return recorder.Acquire(ctx, recorder.Config{
		Key: shardKey(n), Owner: s.ID, Incarnation: e.incarnation, Alive: e.announcer.Alive, OwnershipTTL: s.OwnershipTTL, Now: e.now,
		Store: recorder.Store{
			Get: e.store.Get, CompareAndSwapRetry: e.store.CompareAndSwapRetry,
			Earliest: e.store.ClockEstimate.Earliest, Latest: e.store.ClockEstimate.Latest,
		},
	})
}

func (e *Entry) agentLink(agent string) (scheduler.AgentLink, bool) {
	l := e.connector.Link(agent)
	if l == nil || l.Hello.Role != messenger.RoleAgent {
		return scheduler.AgentLink{}, false
	}
	return scheduler.AgentLink{ID: agent, Incarnation: l.Hello.Incarnation, TrySend: l.TrySend, RemoteDeadline: l.RemoteDeadline}, true
}
