package coordinator_test

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/coordinator"
	"github.com/endivefall/endivefall/elector"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/pacer"
	"github.com/endivefall/endivefall/supervisor"
)

// agentNode is an agent with its worker.
type agentNode struct {
	name       string
	worker     *faker.PoolWorker
	supervisor *supervisor.Supervisor
	stop       context.CancelFunc
	done       chan struct{}
	seq        uint64
}

func (f *fleet) startAgent(a *agentNode) {
	ctx, stop := context.WithCancel(f.ctx)
	a.stop, a.done = stop, make(chan struct{})
	incarnation := fmt.Sprint("born-", f.nextIncarnation())
	store := f.storeFor(a.name)
	a.supervisor = supervisor.New(supervisor.Config{
		ID: a.name, Incarnation: incarnation, Worker: a.worker.Client(), LeaseDuration: coordinator.RunLease(maxWorkerLease), Now: time.Now, Log: f.log.With(zap.String("at", a.name)),
		FindOwner: func(ctx context.Context) (netip.AddrPort, uint64, error) { return elector.FindOwner(ctx, store) },
		GetItem:   store.Get, Commit: store.Commit,
		Client: f.network.Client(a.name), Pacer: pacer.New(),
	})
	done, sup := a.done, a.supervisor
	go func() {
		defer close(done)
		sup.Serve(ctx)
	}()
	go func() {
		for seq := uint64(0); ctx.Err() == nil; seq++ {
			sup.HandleHeartbeat(ctx, a.worker.Heartbeat(uint64(time.Now().UnixNano())))
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
			}
		}
	}()
}

func (f *fleet) stopAgent(a *agentNode) {
	f.network.CloseConnections(a.name)
	a.stop()
	<-a.done
}

// restartAgentIfSet restarts an agent if restartAgents is set.
func (f *fleet) restartAgentIfSet(a *agentNode) {
	f.mu.Lock()
	restart := f.restartAgents
	f.mu.Unlock()
	if !restart {
		return
	}
	f.stopAgent(a)
	advancer.Sleep(workerDowntime / 10)
	f.startAgent(a)
}

// restartWorker restarts a worker under a new ID.
func (f *fleet) restartWorker(a *agentNode) {
	n := f.nextIncarnation()
	a.worker.Restart(fmt.Sprint(a.name, "-life-", n), workerClock(n))
}

// restartWorkerUnderItsID restarts a worker under an ID that it keeps from the first such
// restart on. The worker sends a heartbeat as it starts.
func (f *fleet) restartWorkerUnderItsID(a *agentNode) {
	a.worker.Restart(a.name+"-worker", workerClock(f.nextIncarnation()))
	go a.supervisor.HandleHeartbeat(f.ctx, a.worker.Heartbeat(uint64(time.Now().UnixNano())))
}

func (f *fleet) nextIncarnation() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnations++
	return f.incarnations
}

// workerClock returns the time at which the clock of incarnation n starts.
func workerClock(n int) time.Time { return time.UnixMilli(int64(1000000 + n*7919000%5000000)) }
