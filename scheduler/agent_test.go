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

// agentNode is one process of an agent; its instance outlives it.
type agentNode struct {
	f          *fleet
	name, born string
	now        func() time.Time
	worker     *faker.Worker
	commit     *reserver.Reserver
	runner     *runner.Runner
	cancel     context.CancelFunc

	mu       sync.Mutex
	dead     bool
	leaving  bool
	sessions map[string]*session
}

func (a *agentNode) gone() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dead
}

// startAgent starts a process beside a worker, and returns when it has taken
// over what runs there.
func (f *fleet) startAgent(name string, k *faker.Worker) *agentNode {
	a := &agentNode{f: f, name: name, born: f.born(name), now: f.clock(name), worker: k, sessions: map[string]*session{}}
	x := executor.New(executor.Config{
		Addr: netip.MustParseAddrPort("127.0.0.1:1"), Now: a.now,
		Do: direct(k, func(r *http.Request) error {
			advancer.Sleep(f.between(name+r.URL.Path, 0, 4*time.Millisecond))
			if a.gone() {
				return errNet
			}
			if r.Method != http.MethodGet && f.chance(name+r.URL.Path, 0.02) {
				advancer.Sleep(f.between(name+r.URL.Path, 0, 6*time.Second)) // a call that is stuck, and may come after the caller's end
			}
			return nil
		}, func(r *http.Request) error {
			advancer.Sleep(f.between(name+r.URL.Path, 0, 4*time.Millisecond))
			if a.gone() || (r.Method != http.MethodGet && f.chance(name+r.URL.Path, 0.02)) {
				return errNet
			}
			return nil
		}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	var rep executor.Report
	var err error
	for {
		if rep, err = x.Poll(ctx, executor.AnyVersion); err == nil {
			break
		}
	}
	a.commit = reserver.New(rep.Total)
	a.runner = runner.New(runner.Config{
		Worker:   runner.Worker{Poll: x.Poll, Start: x.Start, RenewLeases: x.RenewLeases, Checkpoint: x.Checkpoint, Stop: x.Stop, Delete: x.Delete, Throttle: x.Throttle},
		Reserver: a.commit, Now: a.now, Send: a.send, Log: f.log,
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
	open := make([]*session, 0, len(a.sessions))
	for _, s := range a.sessions {
		open = append(open, s)
	}
	a.mu.Unlock()
	for _, s := range open {
		s.closeAgent()
	}
	a.cancel()
}

func (a *agentNode) send(entry string, m messenger.Frame) {
	a.mu.Lock()
	s := a.sessions[entry]
	a.mu.Unlock()
	if s != nil && !a.gone() {
		s.postEntry(m)
	}
}
