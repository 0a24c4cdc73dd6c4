// Package agent is the small process beside each target: it announces the
// target, admits its requests, and runs batch tasks on its instance.
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
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/reserver"
	"github.com/endivefall/endivefall/runner"
)

// Times of an agent.
const (
	// beatEvery is how often an agent beats to each entry.
	beatEvery = time.Second
	// settleLeave is how long after its notice of leaving an agent still
	// answers what entries sent before they took the notice.
	settleLeave = 500 * time.Millisecond
	// recoverPause is the wait before the worker is asked again at the start.
	recoverPause = 200 * time.Millisecond
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 10 * time.Second
)

// Config is what an Agent needs.
type Config struct {
	Settings configurer.Agent
	Log      *zap.Logger
	// Listen opens the listener for health and metrics; net.Listen when nil.
	Listen func(network, addr string) (net.Listener, error)
	// Dial connects to an entry; messenger.Dial when nil.
	Dial func(ctx context.Context, addr netip.AddrPort, h messenger.Hello) (*Socket, *messenger.Welcome, error)
	// Transport carries requests to the target and the worker; a fresh one
	// when nil.
	Transport *http.Transport
}

// Agent is one agent.
type Agent struct {
	cfg     Config
	born    string
	now     func() time.Time
	started time.Time
	meter   *meter.Meter
	curator *cataloger.Cataloger
	claimer *claimer.Claimer
	worker  *executor.Executor
	target  *http.Client
	// commit, runner and admit are set once the worker's tasks are known,
	// before any connection.
	commit  *reserver.Reserver
	runner  *runner.Runner
	admit   *admitter.Admitter
	ready   atomic.Bool
	leaving atomic.Bool
	// atRisk is set while the contract is at risk; protectLoop writes it.
	atRisk atomic.Bool
	window window
	inside atomic.Int64

	mu sync.Mutex
	// links has one link for each entry, by the entry's id.
	links map[string]*link
	// dialling has the addresses that a goroutine keeps a link to.
	dialling map[netip.AddrPort]context.CancelFunc
	// reserved is the need of the target's service that is in force; wanted is
	// what the newest document asks for.
	reserved, wanted parser.Resources
	duties           sync.WaitGroup
	// notice is closed when the worker says that the instance is going.
	notice chan struct{}
	once   sync.Once
}

// New builds an Agent; Run starts it.
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
		cfg: cfg, born: uuid.NewString(), now: estimator.NewMonotonicClock(), meter: meter.New("endivefall_agent"),
		curator: cataloger.New(), links: map[string]*link{}, dialling: map[netip.AddrPort]context.CancelFunc{},
		notice: make(chan struct{}),
	}
	a.started = a.now()
	a.claimer = claimer.New(s.ClaimRetention, a.now)
	a.target = &http.Client{
		Transport:     cfg.Transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	a.worker = executor.New(executor.Config{Addr: s.Worker, Now: a.now, Do: (&http.Client{Transport: cfg.Transport}).Do})
	a.admit = admitter.New(admitter.Config{Slots: parser.DefaultSlots, Connections: parser.DefaultConnections, Now: a.now})
	a.curator.OnChange(a.apply)
	return a
}

// Run serves until ctx ends or the worker gives notice, then leaves: entries
// are told, what is in flight ends, tasks are checkpointed or end. It returns
// when all that is done, or says after the drain time what it still waits for.
func (a *Agent) Run(ctx context.Context) error {
	s := a.cfg.Settings
	front, err := a.cfg.Listen("tcp", s.Listen.String())
	if err != nil {
		return fmt.Errorf("listening for health and metrics: %w", err)
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	server := &http.Server{Handler: a.routes(), ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(a.cfg.Log)}
	a.duties.Go(func() { _ = server.Serve(front) })
	if err := a.recover(ctx, work); err != nil {
		_ = server.Close()
		a.duties.Wait()
		return err
	}
	a.ready.Store(true)
	a.duties.Go(func() { a.runner.Serve(work) })
	a.duties.Go(func() { a.fitLoop(work) })
	a.duties.Go(func() { a.protectLoop(work) })
	a.connect(s.Entries)
	a.cfg.Log.Info("agent serving", zap.String("id", s.ID), zap.String("team", s.Team), zap.String("service", s.Service))
	select {
	case <-ctx.Done():
	case <-a.notice:
	}
	err = a.leave()
	stop()
	a.disconnect()
	_ = server.Close()
	a.duties.Wait()
	a.meter.Close()
	a.cfg.Log.Info("agent ended", zap.String("id", s.ID), zap.Error(err))
	return err
}

// recover waits for the worker and takes over what runs there. Nothing is
// admitted before.
func (a *Agent) recover(ctx, work context.Context) error {
	for {
		rep, err := a.worker.Poll(ctx, executor.AnyVersion)
		if err == nil {
			a.commit = reserver.New(rep.Total)
			break
		}
		a.cfg.Log.Warn("worker not reached yet", zap.Error(err))
		select {
		case <-ctx.Done():
			return fmt.Errorf("worker at %s was never reached: %w", a.cfg.Settings.Worker, err)
		case <-time.After(recoverPause):
		}
	}
	a.runner = runner.New(runner.Config{
		Worker: runner.Worker{
			Poll: a.poll, Start: a.worker.Start, RenewLeases: a.worker.RenewLeases,
			Checkpoint: a.worker.Checkpoint, Stop: a.worker.Stop, Delete: a.worker.Delete, Throttle: a.worker.Throttle,
		},
		Reserver: a.commit, Now: a.now, Send: a.send, Log: a.cfg.Log,
	})
	for {
		_, err := a.runner.Recover(work)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(recoverPause):
		}
	}
}

// poll asks the worker, and sees its notice.
func (a *Agent) poll(ctx context.Context, after uint64) (executor.Report, error) {
	rep, err := a.worker.Poll(ctx, after)
	if err == nil && rep.Draining {
		a.once.Do(func() { close(a.notice) })
	}
	return rep, err
}

// leave tells every entry at once, then waits for what is in flight.
func (a *Agent) leave() error {
	s := a.cfg.Settings
	a.cfg.Log.Info("agent leaving", zap.String("id", s.ID), zap.Int64("inside", a.inside.Load()), zap.Int("tasks", a.runner.HeldGrants()))
	a.leaving.Store(true)
	a.beatAll()
	a.admit.Drain()
	a.runner.Drain()
	end := time.After(s.DrainTimeout)
	settled := time.After(settleLeave)
	look := time.NewTicker(20 * time.Millisecond)
	defer look.Stop()
	quiet := false
	for {
		select {
		case <-end:
			return fmt.Errorf("drain time is over and %d requests and %d grants still run", a.inside.Load(), a.runner.HeldGrants())
		case <-settled:
			quiet = true
		case <-look.C:
		}
		if quiet && a.inside.Load() == 0 && a.runner.HeldGrants() == 0 {
			return nil
		}
	}
}

// load tells what the target has to do.
func (a *Agent) load() messenger.Load {
	running, waiting, slots, hold := a.admit.Load()
	return messenger.Load{Running: running, Waiting: waiting, Slots: slots, ServiceTime: hold}
}
