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

// fleet is a small system in one process, on loopback.
type fleet struct {
	platform  *faker.Platform
	instances []*instance
	entries   []netip.AddrPort // for callers
	stops     []context.CancelFunc
	// processes counts entries and agents, running the stand-ins' servers,
	// which end after them.
	processes, running sync.WaitGroup
	store              *http.Server
}

// instance is an agent with its stand-ins.
type instance struct {
	name           string
	worker         *faker.Worker
	target         *faker.Target
	servers        []*http.Server
	stop, stopWork context.CancelFunc
}

// open listens on a free port of loopback.
func open() (net.Listener, netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, fmt.Errorf("listening on loopback: %w", err)
	}
	return l, l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// given hands out listeners that are open already.
func given(open ...net.Listener) func(string, string) (net.Listener, error) {
	return func(string, string) (net.Listener, error) {
		l := open[0]
		open = open[1:]
		return l, nil
	}
}

// serve serves a handler on a free port.
func (f *fleet) serve(h http.Handler) (*http.Server, netip.AddrPort, error) {
	l, addr, err := open()
	if err != nil {
		return nil, addr, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.running.Go(func() { _ = s.Serve(l) })
	return s, addr, nil
}

// start starts a platform, entries and instances of the booking service.
func start(log *zap.Logger, entries, instances int) (*fleet, error) {
	f := &fleet{platform: faker.NewPlatform()}
	server, platform, err := f.serve(f.platform)
	if err != nil {
		return f, err
	}
	f.store = server
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

func (f *fleet) startEntry(log *zap.Logger, i int, platform netip.AddrPort) (netip.AddrPort, error) {
	front, frontAddr, err := open()
	if err != nil {
		return frontAddr, err
	}
	peer, peerAddr, err := open()
	if err != nil {
		return peerAddr, err
	}
	s := configurer.Entry{
		ID: fmt.Sprintf("entry-%d", i+1), Domain: string(rune('a' + i)), Listen: frontAddr, Peer: peerAddr, Platform: platform,
		Lease: 4 * time.Second, OwnershipTTL: time.Minute, LeaseMargin: time.Second, ShutdownDelay: 100 * time.Millisecond,
	}
	s.SetDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	f.stops = append(f.stops, cancel)
	f.entries = append(f.entries, frontAddr)
	e := entry.New(entry.Config{Settings: s, Log: log, Listen: given(front, peer)})
	f.processes.Go(func() { _ = e.Run(ctx) })
	return peerAddr, nil
}

func (f *fleet) startInstance(log *zap.Logger, i int, peers []netip.AddrPort) error {
	in := &instance{name: fmt.Sprintf("agent-%d", i+1)}
	in.worker = faker.NewWorker(in.name, parser.Resources{Processors: 16, Memory: 60 * decoder.GiB})
	in.target = faker.NewTarget(in.name)
	worker, workerAddr, err := f.serve(in.worker)
	if err != nil {
		return err
	}
	target, targetAddr, err := f.serve(in.target)
	if err != nil {
		return err
	}
	l, addr, err := open()
	if err != nil {
		return err
	}
	in.servers = []*http.Server{worker, target}
	s := configurer.Agent{
		ID: in.name, Domain: string(rune('a' + i%4)), Listen: addr, Entries: peers, Worker: workerAddr, Target: targetAddr,
		Team: "association", Service: "booking", DrainTimeout: 5 * time.Second,
	}
	s.SetDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	work, stopWork := context.WithCancel(context.Background())
	in.stop, in.stopWork = cancel, stopWork
	a := agent.New(agent.Config{Settings: s, Log: log, Listen: given(l)})
	f.processes.Go(func() { _ = a.Run(ctx) })
	f.running.Go(func() { in.worker.Run(work.Done()) })
	f.instances = append(f.instances, in)
	return nil
}

// lose ends an instance as a crash does: its tasks and its target are gone at
// once, and its agent has nothing left to serve.
func (in *instance) lose() {
	for _, s := range in.servers {
		_ = s.Close()
	}
	in.worker.Crash()
	in.stopWork()
	in.stop()
}

// end stops everything.
func (f *fleet) end() {
	for _, in := range f.instances {
		in.stop()
	}
	for _, stop := range f.stops {
		stop()
	}
	f.processes.Wait()
	for _, in := range f.instances {
		in.stopWork()
		for _, s := range in.servers {
			_ = s.Close()
		}
	}
	if f.store != nil {
		_ = f.store.Close()
	}
	f.running.Wait()
}

// records collects what the stand-ins recorded.
func (f *fleet) records() []faker.Event {
	var all []faker.Event
	for _, in := range f.instances {
		all = append(all, in.worker.Events.All()...)
		all = append(all, in.target.Events.All()...)
	}
	return all
}
