package coordinator_test

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/acceptor"
	"github.com/endivefall/endivefall/coordinator"
	"github.com/endivefall/endivefall/evacuator"
	"github.com/endivefall/endivefall/platform"
)

// entryNode is an entry that can be killed and restarted.
type entryNode struct {
	name        string
	addr        netip.AddrPort
	coordinator *coordinator.Coordinator
	stop        context.CancelFunc
	done        chan struct{}
}

// isOwner reports whether the entry is the owner.
func (e *entryNode) isOwner() bool { return e.coordinator.IsOwner() }

func (f *fleet) startEntry(name string, n int) {
	ctx, stop := context.WithCancel(f.ctx)
	e := &entryNode{
		name: name, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), 7000),
		stop: stop, done: make(chan struct{}),
	}
	var evacuations func() evacuator.View
	e.coordinator = coordinator.New(coordinator.Config{
		EvacuationBound: f.evacuationBound, Evacuations: func() evacuator.View { return evacuations() },
		ID: name, PeerAddr: e.addr, Store: f.storeFor(name), MaxWorkerLease: maxWorkerLease, JobRetention: time.Hour, Now: time.Now, Log: f.log.With(zap.String("at", name)),
		Count: coordinator.SuiteMeter.Count, Gauge: coordinator.SuiteMeter.Set, ObserveDuration: coordinator.SuiteMeter.ObserveDuration,
		Listen: func(string, string) (net.Listener, error) { return f.network.Listen(name, e.addr), nil },
		Client: f.network.Client(name),
	})
	evacuations = func() evacuator.View { return evacuator.View{} }
	if f.evacuationBound > 0 {
		evacuations = platform.FollowEvacuations(ctx, f.operatorReads(name, e.coordinator.Store()), time.Now, f.log.With(zap.String("at", name)))
	}
	e.coordinator.Acceptor.Configure(acceptor.NewQueues(1, 0, []acceptor.Queue{{Name: "queue", Host: "h", Prefix: "/q/", Pool: "pool", MaxAttempts: 4, StretchFactor: 2, LatencyAllowance: time.Second}}))
	go func() {
		defer close(e.done)
		if err := e.coordinator.Serve(ctx); err != nil {
			f.t.Errorf("%s: %v", name, err)
		}
	}()
	f.mu.Lock()
	f.entries[name] = e
	f.mu.Unlock()
}

// kill stops an entry without a handover and waits until it has ended.
func (f *fleet) kill(e *entryNode) {
	f.network.CloseConnections(e.name)
	e.stop()
	<-e.done
}

// entry returns entry n modulo the number of entries.
func (f *fleet) entry(n int) *entryNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[fmt.Sprintf("entry-%d", n%len(f.entries))]
}

// entryNames returns the names of the entries, which they keep across restarts.
func (f *fleet) entryNames() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.entries))
}
