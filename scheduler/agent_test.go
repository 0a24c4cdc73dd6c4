package scheduler_test

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/executor"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/reserver"
	"github.com/endivefall/endivefall/runner"
)

// agentNode is one process of an agent. Its worker outlives it.
type agentNode struct {
	f                 *fleet
	name, incarnation string
	now               func() time.Time
	worker            *faker.Worker
	reserver          *reserver.Reserver
	runner            *runner.Runner
	cancel            context.CancelFunc

	mu       sync.Mutex
	dead     bool
	draining bool
	sessions map[string]*session
}

func (a *agentNode) isDead() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dead
}

// startAgent starts an agent process for a worker and returns once it has
// recovered the tasks that run there.
func (f *fleet) startAgent(name string, w *faker.Worker) *agentNode {
	a := &agentNode{f: f, name: name, incarnation: f.nextIncarnation(name), now: f.clock(name), worker: w, sessions: map[string]*session{}}
	exec := executor.New(executor.Config{
		Addr: netip.MustParseAddrPort("127.0.0.1:1"), Now: a.now,
		Do: direct(w, func(r *http.Request) error {
			advancer.Sleep(f.between(name+r.URL.Path, 0, 4*time.Millisecond))
			if a.isDead() {
				return errConnLost
			}
			if r.Method != http.MethodGet && f.chance(name+r.URL.Path, 0.02) {
				advancer.Sleep(f.between(name+r.URL.Path, 0, 6*time.Second)) // a delayed call may arrive after its caller has ended
			}
			return nil
		}, func(r *http.Request) error {
			advancer.Sleep(f.between(name+r.URL.Path, 0, 4*time.Millisecond))
			if a.isDead() || (r.Method != http.MethodGet && f.chance(name+r.URL.Path, 0.02)) {
				return errConnLost
			}
			return nil
		}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	var rep executor.Report
	var err error
	for {
		if rep, err = exec.Poll(ctx, executor.AnyVersion); err == nil {
			break
		}
	}
	a.reserver = reserver.New(rep.Total)
	a.runner = runner.New(runner.Config{
		Worker:   runner.Worker{Poll: exec.Poll, Start: exec.Start, RenewLeases: exec.RenewLeases, Checkpoint: exec.Checkpoint, Stop: exec.Stop, Delete: exec.Delete, Throttle: exec.Throttle},
		Reserver: a.reserver, Now: a.now, Send: a.send, Log: f.log,
	})
	for {
		if _, err = a.runner.Recover(ctx); err == nil {
			break
		}
	}
	f.mu.Lock()
	f.agents[name] = a
	f.mu.Unlock()
	go a.runner.Serve(ctx)
	for _, entry := range []string{"e1", "e2"} {
		go a.dialLoop(ctx, entry)
	}
	return a
}

func (a *agentNode) kill() {
	a.mu.Lock()
	a.dead = true
	sessions := make([]*session, 0, len(a.sessions))
	for _, s := range a.sessions {
		sessions = append(sessions, s)
	}
	a.mu.Unlock()
	for _, s := range sessions {
		s.closeAgent()
	}
	a.cancel()
}

func (a *agentNode) send(entry string, msg messenger.Frame) {
	a.mu.Lock()
	s := a.sessions[entry]
	a.mu.Unlock()
	if s != nil && !a.isDead() {
		s.sendToEntry(msg)
	}
}
