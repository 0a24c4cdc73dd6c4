// Package agent implements the process that runs beside each target: it
// announces the target to the entries, admits requests to it, and runs batch
// tasks on its instance.
package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/admitter"
	"github.com/endivefall/endivefall/cataloger"
	"github.com/endivefall/endivefall/claimer"
	"github.com/endivefall/endivefall/configurer"
	"github.com/endivefall/endivefall/estimator"
	"github.com/endivefall/endivefall/executor"
	"github.com/endivefall/endivefall/limiter"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/reserver"
	"github.com/endivefall/endivefall/runner"
)

// Intervals and timeouts of an agent.
const (
	// heartbeatInterval is the interval between heartbeats to each entry.
	heartbeatInterval = time.Second
	// minDrainTime is how long a draining agent keeps replying at least, so that
	// requests that entries sent before they saw its draining heartbeat are refused
	// rather than left without a reply.
	minDrainTime = 500 * time.Millisecond
	// recoverRetryDelay is the delay between calls to a worker that is not
	// reachable at startup.
	recoverRetryDelay = 200 * time.Millisecond
	// headerTimeout bounds reading the header of a request for health or metrics.
	headerTimeout = 10 * time.Second
)

// Config configures an Agent.
type Config struct {
	Settings configurer.Agent
	Log      *zap.Logger
	// Listen opens the listener for health and metrics; net.Listen when nil.
	Listen func(network, addr string) (net.Listener, error)
	// Dial connects to an entry; messenger.Dial when nil.
	Dial func(ctx context.Context, addr netip.AddrPort, h messenger.Hello) (*Socket, *messenger.Welcome, error)
	// Transport carries requests to the target and the worker; a new one when
	// nil.
	Transport *http.Transport
}

// Agent serves one target and runs batch tasks on its instance.
type Agent struct {
	cfg          Config
	incarnation  string
	now          func() time.Time
	started      time.Time
	meter        *meter.Meter
	cataloger    *cataloger.Cataloger
	claimer      *claimer.Claimer
	executor     *executor.Executor
	targetClient *http.Client
	// reserver and runner are set by recoverTasks, before any connection to an
	// entry.
	reserver *reserver.Reserver
	runner   *runner.Runner
	admitter *admitter.Admitter
	ready    atomic.Bool
	draining atomic.Bool
	// atRisk is set by protectLoop while the contract is at risk.
	atRisk    atomic.Bool
	latencies latencyWindow
	inFlight  atomic.Int64

	mu sync.Mutex
	// links holds one link for each connected entry, by the entry's id.
	links map[string]*link
	// dialing holds the cancel function of the dialLoop of each address.
	dialing map[netip.AddrPort]context.CancelFunc
	// reserved is the current reservation of the target's service; wanted is the
	// one that the newest document asks for.
	reserved, wanted parser.Resources
	wg               sync.WaitGroup
	// drainNotice is closed when the worker reports that the instance is draining.
	drainNotice chan struct{}
	noticeOnce  sync.Once
}

// New returns an Agent; Run starts it.
func New(cfg Config) *Agent {
	if cfg.Listen == nil {
		cfg.Listen = net.Listen
	}
	if cfg.Dial == nil {
		cfg.Dial = messenger.Dial
	}
	if cfg.Transport == nil {
		cfg.Transport = &http.Transport{}
	}
	cfg.Transport.DisableCompression = true
	cfg.Transport.MaxIdleConnsPerHost = parser.DefaultConnections
	s := cfg.Settings
	a := &Agent{
		cfg: cfg, incarnation: uuid.NewString(), now: estimator.NewMonotonicClock(), meter: meter.New("endivefall_agent", cfg.Log),
		cataloger: cataloger.New(), links: map[string]*link{}, dialing: map[netip.AddrPort]context.CancelFunc{},
		drainNotice: make(chan struct{}),
	}
	a.started = a.now()
	a.claimer = claimer.New(s.ClaimRetention, a.now)
	a.targetClient = &http.Client{
		Transport:     cfg.Transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	a.executor = executor.New(executor.Config{Addr: s.Worker, Now: a.now, Do: (&http.Client{Transport: cfg.Transport}).Do})
	a.admitter = admitter.New(admitter.Config{Slots: parser.DefaultSlots, Connections: parser.DefaultConnections, Now: a.now})
	a.cataloger.OnChange(a.applyDocument)
	return a
}

// Run serves until ctx ends or the worker reports that the instance is draining.
// Then it drains: it notifies the entries, finishes requests in flight, and
// checkpoints tasks or lets them finish. It returns when that is done, or after
// the drain timeout with an error that counts what still runs.
func (a *Agent) Run(ctx context.Context) error {
	s := a.cfg.Settings
	listener, err := a.cfg.Listen("tcp", s.Listen.String())
	if err != nil {
		return fmt.Errorf("listening for health and metrics: %w", err)
	}
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	server := &http.Server{Handler: a.routes(), ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(a.cfg.Log)}
	limits := limiter.Process{Memory: int64(s.Memory), Descriptors: s.Descriptors, Log: a.cfg.Log, Count: a.meter.Count, Gauge: a.meter.Set}
	limits.SetMemoryLimit()
	listener = limits.Group(meter.Health, limiter.Health()).Attach(server, listener)
	a.wg.Go(func() { _ = server.Serve(listener) })
	if err := a.recoverTasks(ctx, workCtx); err != nil {
		_ = server.Close()
		a.wg.Wait()
		return err
	}
	a.ready.Store(true)
	a.wg.Go(func() { a.runner.Serve(workCtx) })
	a.wg.Go(func() { a.reserveLoop(workCtx) })
	a.wg.Go(func() { a.protectLoop(workCtx) })
	a.connect(s.Entries)
	a.cfg.Log.Info("agent serving", zap.String("id", s.ID), zap.String("team", s.Team), zap.String("service", s.Service))
	select {
	case <-ctx.Done():
	case <-a.drainNotice:
	}
	err = a.drain()
	stopWork()
	a.disconnect()
	_ = server.Close()
	a.wg.Wait()
	a.meter.Close()
	a.cfg.Log.Info("agent stopped", zap.String("id", s.ID), zap.Error(err))
	return err
}

// recoverTasks waits until the worker is reachable and adopts the tasks that run
// there. No request or grant is admitted before. workCtx bounds the runner's work
// on them.
func (a *Agent) recoverTasks(ctx, workCtx context.Context) error {
	for {
		report, err := a.executor.Poll(ctx, executor.AnyVersion)
		if err == nil {
			a.reserver = reserver.New(report.Total)
			break
		}
		a.cfg.Log.Warn("worker not reachable; retrying", zap.Error(err))
		select {
		case <-ctx.Done():
			return fmt.Errorf("worker at %s was not reachable: %w", a.cfg.Settings.Worker, err)
		case <-time.After(recoverRetryDelay):
		}
	}
	a.runner = runner.New(runner.Config{
		Worker: runner.Worker{
			Poll: a.poll, Start: a.executor.Start, RenewLeases: a.executor.RenewLeases,
			Checkpoint: a.executor.Checkpoint, Stop: a.executor.Stop, Delete: a.executor.Delete, Throttle: a.executor.Throttle,
		},
		Reserver: a.reserver, Now: a.now, Send: a.send, Log: a.cfg.Log,
	})
	for {
		_, err := a.runner.Recover(workCtx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(recoverRetryDelay):
		}
	}
}

// poll requests the worker's report and closes drainNotice if it says that the
// instance is draining.
func (a *Agent) poll(ctx context.Context, after uint64) (executor.Report, error) {
	report, err := a.executor.Poll(ctx, after)
	if err == nil && report.Draining {
		a.noticeOnce.Do(func() { close(a.drainNotice) })
	}
	return report, err
}

// drain notifies every entry at once, stops admitting, and waits for minDrainTime and
// until requests in flight and grants have ended, or until the drain timeout.
func (a *Agent) drain() error {
	s := a.cfg.Settings
	a.cfg.Log.Info("agent draining", zap.String("id", s.ID), zap.Int64("inside", a.inFlight.Load()), zap.Int("tasks", a.runner.HeldGrants()))
	a.draining.Store(true)
	a.sendHeartbeats()
	a.admitter.Drain()
	a.runner.Drain()
	timeout := time.After(s.DrainTimeout)
	minTime := time.After(minDrainTime)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	minTimeOver := false
	for {
		select {
		case <-timeout:
			return fmt.Errorf("drain timeout expired with %d requests and %d grants still running", a.inFlight.Load(), a.runner.HeldGrants())
		case <-minTime:
			minTimeOver = true
		case <-ticker.C:
		}
		if minTimeOver && a.inFlight.Load() == 0 && a.runner.HeldGrants() == 0 {
			return nil
		}
	}
}

// load returns the current load of the target.
func (a *Agent) load() messenger.Load {
	running, waiting, slots, serviceTime := a.admitter.Load()
	return messenger.Load{Running: running, Waiting: waiting, Slots: slots, ServiceTime: serviceTime}
}
