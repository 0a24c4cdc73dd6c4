// Package entry is the process of an entry instance: it serves callers and
// operators, and owns a share of the batch jobs.
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
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/placer"
	"github.com/endivefall/endivefall/publisher"
	"github.com/endivefall/endivefall/recorder"
	"github.com/endivefall/endivefall/scheduler"
	"github.com/endivefall/endivefall/storer"
)

// Bounds of the HTTP servers.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10 // bytes
)

// Config is what an Entry needs.
type Config struct {
	Settings configurer.Entry
	Log      *zap.Logger
	// Listen opens the listeners; net.Listen when nil.
	Listen func(network, addr string) (net.Listener, error)
}

// Entry is one entry instance.
type Entry struct {
	cfg        Config
	born       string
	now        func() time.Time
	started    time.Time
	keeper     *storer.Client
	curator    *cataloger.Cataloger
	publisher  *publisher.Publisher
	announcer  *announcer.Announcer
	connector  *connector.Connector
	dispatcher *dispatcher.Dispatcher
	placer     *placer.Placer
	scheduler  atomic.Pointer[scheduler.Scheduler]
	meter      *meter.Meter
	// turning is set when readiness has turned before the end.
	turning atomic.Bool
	forward *http.Client

	mu sync.Mutex
	// dialling has the other entries that this one keeps a link to.
	dialling map[netip.AddrPort]context.CancelFunc
	duties   sync.WaitGroup
}

// New builds an Entry; Run starts it.
func New(cfg Config) *Entry {
	if cfg.Listen == nil {
		cfg.Listen = net.Listen
	}
	e := &Entry{
		cfg: cfg, born: uuid.NewString(), now: estimator.NewMonotonicClock(), meter: meter.New("endivefall_entry"),
		dialling: map[netip.AddrPort]context.CancelFunc{},
		forward:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	e.started = e.now()
	s := cfg.Settings
	e.keeper = storer.New(storer.Config{Addr: s.Platform, CallsPerSecond: s.StoreCallsPerSecond, Now: e.now, Count: e.countCall})
	e.curator = cataloger.New()
	e.connector = connector.New(connector.Config{
		ID: s.ID, Incarnation: e.born, Secret: s.Secret, Now: e.now, Log: cfg.Log,
		OnConnect: e.join, OnDisconnect: e.part, Handle: e.handle, FillWelcome: e.welcome,
	})
	e.publisher = publisher.New(publisher.Config{Keeper: e.keeper, Cataloger: e.curator, Now: e.now, Log: cfg.Log})
	e.curator.OnChange(func(k *cataloger.VersionedDocument) { e.spread(k.Doc) })
	e.announcer = announcer.New(announcer.Config{
		Self:   announcer.Entry{ID: s.ID, Incarnation: e.born, HTTP: s.Listen, Peer: s.Peer, Domain: s.Domain, Region: s.Region},
		Keeper: e.keeper, Now: e.now, Log: cfg.Log, OnChange: e.entriesChanged,
	})
	e.placer = placer.New(placer.Config{Now: e.now, Rand: newRand()})
	openings := activator.New(activator.Config{Get: e.keeper.Get, CompareAndSwapRetry: e.keeper.CompareAndSwapRetry, Earliest: e.keeper.ClockEstimate.Earliest, Now: e.now})
	e.dispatcher = dispatcher.New(dispatcher.Config{
		Domain: s.Domain, MaxBody: int64(s.MaxBodySize), Now: e.now, Log: cfg.Log, Meter: e.meter,
		Cataloger: e.curator, Link: e.connector.Link, ToLocalTime: e.local, ActiveSince: openings.ActiveSince,
	})
	return e
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (e *Entry) countCall(call string, err error) {
	result := "error"
	if err == nil || errors.Is(err, storer.ErrNotFound) || errors.Is(err, storer.ErrConflict) {
		result = "ok" // the store answered
	}
	e.meter.Tagged(map[string]string{"call": call, "result": result}).Counter("store_calls").Inc(1)
}

// local returns a local time that a time on the platform's clock is not
// before; the zero time while the platform's clock is not known.
func (e *Entry) local(at time.Time) time.Time {
	if !e.keeper.ClockEstimate.Known() {
		return time.Time{}
	}
	now := e.now()
	return now.Add(at.Sub(e.keeper.ClockEstimate.Latest(now)))
}

// Run serves until ctx ends, then leaves: readiness turns, what is in flight
// ends, the shards are handed over. It returns when all that is done, or says
// after the drain time what it still waits for.
func (e *Entry) Run(ctx context.Context) error {
	s := e.cfg.Settings
	front, err := e.cfg.Listen("tcp", s.Listen.String())
	if err != nil {
		return fmt.Errorf("listening for callers: %w", err)
	}
	peers, err := e.cfg.Listen("tcp", s.Peer.String())
	if err != nil {
		_ = front.Close()
		return fmt.Errorf("listening for peers: %w", err)
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	callers := &http.Server{
		Handler: e.routes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: zap.NewStdLog(e.cfg.Log),
	}
	links := &http.Server{
		Handler: e.peerRoutes(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: zap.NewStdLog(e.cfg.Log),
	}
	e.duties.Go(func() { _ = links.Serve(peers) })
	e.duties.Go(func() { _ = callers.Serve(front) })
	e.duties.Go(func() { e.announcer.Serve(work) })
	e.duties.Go(func() { e.publisher.Serve(work) })
	e.duties.Go(func() { e.schedule(work) })
	e.duties.Go(func() { e.gaugeLoop(work) })
	e.cfg.Log.Info("entry serving", zap.String("id", s.ID), zap.Stringer("listen", s.Listen), zap.Stringer("peer", s.Peer))
	<-ctx.Done()
	err = e.leave(callers)
	stop()
	e.entriesChanged(nil) // ends the links that this entry dials
	e.connector.Close()
	_ = links.Close()
	e.duties.Wait()
	e.meter.Close()
	e.cfg.Log.Info("entry ended", zap.String("id", s.ID), zap.Error(err))
	return err
}

// leave ends the entry's service in the order in which nobody is cut off.
func (e *Entry) leave(callers *http.Server) error {
	s := e.cfg.Settings
	e.cfg.Log.Info("entry leaving", zap.String("id", s.ID), zap.Int64("inside", e.dispatcher.InFlight()))
	e.turning.Store(true)
	bound, cancel := context.WithTimeout(context.Background(), s.DrainTimeout+s.ShutdownDelay)
	defer cancel()
	if sch := e.scheduler.Load(); sch != nil {
		handing, done := context.WithTimeout(bound, s.ShutdownDelay+s.Lease)
		sch.HandOver(handing)
		done()
	}
	e.announcer.Deregister(bound)
	select { // the balancer must have noticed before new connections are refused
	case <-time.After(s.ShutdownDelay):
	case <-bound.Done():
	}
	if err := callers.Shutdown(bound); err != nil {
		_ = callers.Close()
		return fmt.Errorf("drain time is over and %d requests still run; they were cut off", e.dispatcher.InFlight())
	}
	return nil
}

// schedule learns the number of shards, then serves the ledger.
func (e *Entry) schedule(ctx context.Context) {
	shards, ok := e.shards(ctx)
	if !ok {
		return
	}
	s := e.cfg.Settings
	sch := scheduler.New(scheduler.Config{
		Shards: shards, Lease: s.Lease, Margin: s.LeaseMargin, LostAgentGrace: s.OwnershipTTL, Now: e.now, Placer: e.placer, Log: e.cfg.Log,
		ShouldOwn: func(n uint32) bool {
			return e.announcer.StoreReachable() && e.announcer.OwnerOf(shardKey(n)).ID == s.ID
		},
		Claim:                e.claim,
		AgentLink:            e.peer,
		EarliestPlatformTime: e.keeper.ClockEstimate.Earliest,
		Quota:                e.quota,
	})
	e.scheduler.Store(sch)
	sch.Serve(ctx)
}

func shardKey(n uint32) string { return fmt.Sprintf("ledger/%d", n) }

func (e *Entry) claim(ctx context.Context, n uint32) (*recorder.Recorder, error) {
	s := e.cfg.Settings
	return recorder.Acquire(ctx, recorder.Config{
		Key: shardKey(n), Owner: s.ID, Incarnation: e.born, Alive: e.announcer.Alive, OwnershipTTL: s.OwnershipTTL, Now: e.now,
		Store: recorder.Store{
			Get: e.keeper.Get, CompareAndSwapRetry: e.keeper.CompareAndSwapRetry,
			Earliest: e.keeper.ClockEstimate.Earliest, Latest: e.keeper.ClockEstimate.Latest,
		},
	})
}

func (e *Entry) peer(agent string) (scheduler.AgentLink, bool) {
	l := e.connector.Link(agent)
	if l == nil || l.Hello.Role != messenger.RoleAgent {
		return scheduler.AgentLink{}, false
	}
	return scheduler.AgentLink{ID: agent, Incarnation: l.Hello.Incarnation, Post: l.Post, RemoteDeadline: l.RemoteDeadline}, true
}
