package scheduler_test

import (
	"context"
	"sync"
	"time"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/estimator"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/placer"
)

// session is a connection between one process of an agent and one of an entry.
// Frames keep their order; a cut holds them up. What a side sent before it
// closed may still arrive.
type session struct {
	f                    *fleet
	entry                *entryNode
	agent                *agentNode
	clock                estimator.Estimator // the agent's, at the entry
	toAgent, toEntry     chan messenger.Frame
	entryEnd, agentEnd   chan struct{}
	entryOnce, agentOnce sync.Once
	mu                   sync.Mutex
	heardAgent           time.Time
	heardEntry           time.Time
}

// silence ends a session, as in the product.
const silence = 3 * time.Second

func (a *agentNode) dialLoop(ctx context.Context, entry string) {
	for ctx.Err() == nil {
		a.f.mu.Lock()
		e := a.f.entries[entry]
		a.f.mu.Unlock()
		if !e.gone() && !a.f.isCut(a.name, entry) && !a.f.isCut(entry, a.name) {
			a.join(ctx, e)
		}
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// join serves a session until it ends at the agent.
func (a *agentNode) join(ctx context.Context, e *entryNode) {
	s := &session{
		f: a.f, entry: e, agent: a,
		toAgent: make(chan messenger.Frame, 4096), toEntry: make(chan messenger.Frame, 4096),
		entryEnd: make(chan struct{}), agentEnd: make(chan struct{}),
		heardAgent: time.Now(), heardEntry: time.Now(),
	}
	sent := a.now()
	advancer.Sleep(a.f.between("join "+a.name+e.name, time.Millisecond, 20*time.Millisecond))
	s.clock.Observe(sent, time.Time{}, e.now())
	e.mu.Lock()
	if e.dead {
		e.mu.Unlock()
		return
	}
	old := e.sessions[a.name]
	e.sessions[a.name] = s
	e.mu.Unlock()
	if old != nil {
		old.closeEntry()
	}
	a.mu.Lock()
	a.sessions[e.name] = s
	a.mu.Unlock()
	e.digest(s, a.beat())
	e.sched.AgentConnected(a.name)
	go s.carry(a.name, e.name, s.toEntry, s.entryEnd, s.atEntry)
	go s.carry(e.name, a.name, s.toAgent, s.agentEnd, s.atAgent)
	go s.watch(ctx)
	<-s.agentEnd
	a.mu.Lock()
	if a.sessions[e.name] == s {
		delete(a.sessions, e.name)
	}
	a.mu.Unlock()
	s.postEntry(messenger.Frame{}) // the mark of a closed connection
}

// carry delivers frames until the receiver has closed.
func (s *session) carry(from, to string, frames chan messenger.Frame, end chan struct{}, take func(messenger.Frame)) {
	for {
		select {
		case <-end:
			return
		case m := <-frames:
			advancer.Sleep(s.f.between(from+">"+to, 100*time.Microsecond, 5*time.Millisecond))
			for s.f.isCut(from, to) {
				select {
				case <-end:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
			select {
			case <-end:
				return
			default:
				take(m)
			}
		}
	}
}

// watch beats for the agent, and ends each side that hears nothing.
func (s *session) watch(ctx context.Context) {
	for n := 0; ; n++ {
		select {
		case <-s.agentEnd:
			return
		case <-ctx.Done():
			s.closeAgent()
			return
		case <-time.After(250 * time.Millisecond):
		}
		s.mu.Lock()
		agentSilent, entrySilent := time.Since(s.heardAgent) > silence, time.Since(s.heardEntry) > silence
		s.mu.Unlock()
		if agentSilent {
			s.closeEntry()
		}
		if entrySilent {
			s.closeAgent()
			return
		}
		if n%4 == 0 {
			b := s.agent.beat()
			s.postEntry(messenger.Frame{Kind: messenger.KindHeartbeat, Heartbeat: &b})
		}
	}
}

func (a *agentNode) beat() messenger.Heartbeat {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := messenger.Heartbeat{Total: a.commit.Total(), Draining: a.leaving, Shards: a.runner.Shards(), Sent: a.now()}
	if a.runner.Ready() {
		b.Free, b.Evictable = a.commit.Free(), a.runner.Evictable()
	}
	return b
}

func (s *session) postAgent(m messenger.Frame) error {
	select {
	case <-s.entryEnd:
		return errNet
	default:
	}
	// As on the wire, the receiver gets copies.
	raw, err := messenger.Encode(m)
	if err != nil {
		return err
	}
	m, err = messenger.Decode(raw)
	if err != nil {
		return err
	}
	s.toAgent <- m
	return nil
}

func (s *session) postEntry(m messenger.Frame) {
	select {
	case s.toEntry <- m:
	default:
	}
}

func (s *session) closeEntry() {
	s.entryOnce.Do(func() {
		close(s.entryEnd)
		e := s.entry
		e.mu.Lock()
		last := e.sessions[s.agent.name] == s
		if last {
			delete(e.sessions, s.agent.name)
		}
		e.mu.Unlock()
		if last {
			e.placer.Remove(s.agent.name)
		}
		s.toAgent <- messenger.Frame{}
	})
}

func (s *session) closeAgent() { s.agentOnce.Do(func() { close(s.agentEnd) }) }

func (e *entryNode) digest(s *session, b messenger.Heartbeat) {
	e.placer.Update(placer.Agent{ID: s.agent.name, Total: b.Total, Free: b.Free, Evictable: b.Evictable, Draining: b.Draining})
}

func (s *session) atEntry(m messenger.Frame) {
	e := s.entry
	if e.gone() {
		return
	}
	s.mu.Lock()
	s.heardAgent = time.Now()
	s.mu.Unlock()
	switch m.Kind {
	case 0:
		s.closeEntry()
	case messenger.KindHeartbeat:
		s.clock.Observe(m.Heartbeat.Sent, time.Time{}, e.now())
		e.digest(s, *m.Heartbeat)
		p := &messenger.HeartbeatReply{Echo: m.Heartbeat.Sent, Now: e.now()}
		if len(m.Heartbeat.Shards) > 0 {
			p.Renewals = e.sched.ExtendLeases(s.agent.name, s.clock.RemoteDeadline)
		}
		_ = s.postAgent(messenger.Frame{Kind: messenger.KindHeartbeatReply, HeartbeatReply: p})
	case messenger.KindReport:
		e.sched.HandleReport(s.agent.name, *m.Report)
	case messenger.KindDecline:
		e.sched.HandleDecline(s.agent.name, *m.Grant)
	case messenger.KindInventoryReply:
		e.sched.HandleInventory(s.agent.name, s.agent.born, *m.Inventory)
	}
}

func (s *session) atAgent(m messenger.Frame) {
	a := s.agent
	if a.gone() {
		return
	}
	s.mu.Lock()
	s.heardEntry = time.Now()
	s.mu.Unlock()
	switch m.Kind {
	case 0:
		s.closeAgent()
	case messenger.KindHeartbeatReply:
		for _, x := range m.HeartbeatReply.Renewals {
			a.runner.Extend(s.entry.name, x)
		}
	case messenger.KindGrant:
		a.runner.Grant(s.entry.name, *m.Grant)
	case messenger.KindInventoryRequest:
		a.runner.Reconcile(s.entry.name, *m.Inventory)
	case messenger.KindRevoke:
		a.runner.Revoke(*m.Grant)
	case messenger.KindReportAck:
		a.runner.Acknowledge(*m.Report)
	}
}
