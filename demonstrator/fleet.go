package demonstrator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/agent"
	"github.com/endivefall/endivefall/configurer"
	"github.com/endivefall/endivefall/decoder"
	"github.com/endivefall/endivefall/entry"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/parser"
)

// localFleet is a platform, entries and instances in one process, on loopback.
type localFleet struct {
	platform    *faker.Platform
	instances   []*instance
	entries     []netip.AddrPort // for callers
	stopEntries []context.CancelFunc
	// processes waits for the entries and agents, fakes for the workers and the
	// servers of the fakes, which stop after them.
	processes, fakes sync.WaitGroup
	platformServer   *http.Server
}

// instance is an agent with its fake worker and target.
type instance struct {
	name                  string
	worker                *faker.Worker
	target                *faker.Target
	servers               []*http.Server
	stopAgent, stopWorker context.CancelFunc
}

// listenLoopback listens on a free port of loopback.
func listenLoopback() (net.Listener, netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, fmt.Errorf("listening on loopback: %w", err)
	}
	return listener, listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// listenerQueue returns a listen function that returns the open listeners in turn.
func listenerQueue(listeners ...net.Listener) func(string, string) (net.Listener, error) {
	return func(string, string) (net.Listener, error) {
		l := listeners[0]
		listeners = listeners[1:]
		return l, nil
	}
}

// startServer serves a handler on a free loopback port.
func (f *localFleet) startServer(h http.Handler) (*http.Server, netip.AddrPort, error) {
	l, addr, err := listenLoopback()
	if err != nil {
		return nil, addr, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.fakes.Go(func() { _ = s.Serve(l) })
	return s, addr, nil
}

// startFleet starts a platform, entries and instances of the booking service.
func startFleet(log *zap.Logger, entries, instances int) (*localFleet, error) {
	f := &localFleet{platform: faker.NewPlatform()}
	server, platform, err := f.startServer(f.platform)
	if err != nil {
		return f, err
	}
	f.platformServer = server
	var peers []netip.AddrPort
	for i := range entries {
		peer, err := f.startEntry(log, i, platform)
		if err != nil {
			return f, err
		}
		peers = append(peers, peer)
	}
	for i := range instances {
		if err := f.startInstance(log, i, peers); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *localFleet) startEntry(log *zap.Logger, i int, platform netip.AddrPort) (netip.AddrPort, error) {
	callerListener, callerAddr, err := listenLoopback()
	if err != nil {
		return callerAddr, err
	}
	peerListener, peerAddr, err := listenLoopback()
	if err != nil {
		return peerAddr, err
	}
	settings := configurer.Entry{
		ID: fmt.Sprintf("entry-%d", i+1), Domain: string(rune('a' + i)), Listen: callerAddr, Peer: peerAddr, Platform: platform,
		Lease: 4 * time.Second, OwnershipTTL: time.Minute, LeaseMargin: time.Second, ShutdownDelay: 100 * time.Millisecond,
	}
	settings.SetDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	f.stopEntries = append(f.stopEntries, cancel)
	f.entries = append(f.entries, callerAddr)
	e := entry.New(entry.Config{Settings: settings, Log: log, Listen: listenerQueue(callerListener, peerListener)})
	f.processes.Go(func() { _ = e.Run(ctx) })
	return peerAddr, nil
}

func (f *localFleet) startInstance(log *zap.Logger, i int, peers []netip.AddrPort) error {
	inst := &instance{name: fmt.Sprintf("agent-%d", i+1)}
	inst.worker = faker.NewWorker(inst.name, parser.Resources{Processors: 16, Memory: 60 * decoder.GiB})
	inst.target = faker.NewTarget(inst.name)
	workerServer, workerAddr, err := f.startServer(inst.worker)
	if err != nil {
		return err
	}
	targetServer, targetAddr, err := f.startServer(inst.target)
	if err != nil {
		return err
	}
	l, addr, err := listenLoopback()
	if err != nil {
		return err
	}
	inst.servers = []*http.Server{workerServer, targetServer}
	settings := configurer.Agent{
		ID: inst.name, Domain: string(rune('a' + i%4)), Listen: addr, Entries: peers, Worker: workerAddr, Target: targetAddr,
		Team: "association", Service: "booking", DrainTimeout: 5 * time.Second,
	}
	settings.SetDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	workerCtx, stopWorker := context.WithCancel(context.Background())
	inst.stopAgent, inst.stopWorker = cancel, stopWorker
	proc := agent.New(agent.Config{Settings: settings, Log: log, Listen: listenerQueue(l)})
	f.processes.Go(func() { _ = proc.Run(ctx) })
	f.fakes.Go(func() { inst.worker.Run(workerCtx.Done()) })
	f.instances = append(f.instances, inst)
	return nil
}

// crash stops an instance without a drain: its tasks and its target end at once,
// and then its agent.
func (inst *instance) crash() {
	for _, s := range inst.servers {
		_ = s.Close()
	}
	inst.worker.Crash()
	inst.stopWorker()
	inst.stopAgent()
}

// stop stops the entries and agents, then the fakes.
func (f *localFleet) stop() {
	for _, inst := range f.instances {
		inst.stopAgent()
	}
	for _, cancel := range f.stopEntries {
		cancel()
	}
	f.processes.Wait()
	for _, inst := range f.instances {
		inst.stopWorker()
		for _, s := range inst.servers {
			_ = s.Close()
		}
	}
	if f.platformServer != nil {
		_ = f.platformServer.Close()
	}
	f.fakes.Wait()
}

// events returns the events of all workers and targets.
func (f *localFleet) events() []faker.Event {
	var all []faker.Event
	for _, inst := range f.instances {
		all = append(all, inst.worker.Events.All()...)
		all = append(all, inst.target.Events.All()...)
	}
	return all
}
