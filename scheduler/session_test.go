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
// Frames keep their order, and a cut link delays them. Frames that a side sent
// before it closed may still arrive.
type session struct {
	f                        *fleet
	entry                    *entryNode
	agent                    *agentNode
	clock                    estimator.Estimator // estimates the agent's clock at the entry
	toAgent, toEntry         chan messenger.Frame
	entryClosed, agentClosed chan struct{}
	entryOnce, agentOnce     sync.Once
	mu                       sync.Mutex
	lastFromAgent            time.Time
	lastFromEntry            time.Time
}

// silenceTimeout is how long a side may receive nothing before it closes the
// session, the same time as in package connector.
const silenceTimeout = 3 * time.Second

func (a *agentNode) dialLoop(ctx context.Context, entry string) {
	for ctx.Err() == nil {
		a.f.mu.Lock()
		e := a.f.entries[entry]
		a.f.mu.Unlock()
		if !e.isDead() && !a.f.isCut(a.name, entry) && !a.f.isCut(entry, a.name) {
			a.connect(ctx, e)
		}
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// connect opens a session and serves it until the agent closes it.
func (a *agentNode) connect(ctx context.Context, e *entryNode) {
	s := &session{
		f: a.f, entry: e, agent: a,
		toAgent: make(chan messenger.Frame, 4096), toEntry: make(chan messenger.Frame, 4096),
		entryClosed: make(chan struct{}), agentClosed: make(chan struct{}),
		lastFromAgent: time.Now(), lastFromEntry: time.Now(),
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
	e.updatePlacer(s, a.heartbeat())
	e.sched.AgentConnected(a.name)
	go s.deliverFrames(a.name, e.name, s.toEntry, s.entryClosed, s.receiveAtEntry)
	go s.deliverFrames(e.name, a.name, s.toAgent, s.agentClosed, s.receiveAtAgent)
	go s.keepAlive(ctx)
	<-s.agentClosed
	a.mu.Lock()
	if a.sessions[e.name] == s {
		delete(a.sessions, e.name)
	}
	a.mu.Unlock()
	s.sendToEntry(messenger.Frame{}) // an empty frame marks a closed connection
}

// deliverFrames passes frames to the receiver until it has closed.
func (s *session) deliverFrames(from, to string, frames chan messenger.Frame, closed chan struct{}, receive func(messenger.Frame)) {
	for {
		select {
		case <-closed:
			return
		case m := <-frames:
			advancer.Sleep(s.f.between(from+">"+to, 100*time.Microsecond, 5*time.Millisecond))
			for s.f.isCut(from, to) {
				select {
				case <-closed:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
			select {
			case <-closed:
				return
			default:
				receive(m)
			}
		}
	}
}

// keepAlive sends the heartbeats of the agent and closes each side that receives
// nothing for silenceTimeout.
func (s *session) keepAlive(ctx context.Context) {
	for n := 0; ; n++ {
		select {
		case <-s.agentClosed:
			return
		case <-ctx.Done():
			s.closeAgent()
			return
		case <-time.After(250 * time.Millisecond):
		}
		s.mu.Lock()
		agentSilent, entrySilent := time.Since(s.lastFromAgent) > silenceTimeout, time.Since(s.lastFromEntry) > silenceTimeout
		s.mu.Unlock()
		if agentSilent {
			s.closeEntry()
		}
		if entrySilent {
			s.closeAgent()
			return
		}
		if n%4 == 0 {
			hb := s.agent.heartbeat()
			s.sendToEntry(messenger.Frame{Kind: messenger.KindHeartbeat, Heartbeat: &hb})
		}
	}
}

func (a *agentNode) heartbeat() messenger.Heartbeat {
	a.mu.Lock()
	defer a.mu.Unlock()
	hb := messenger.Heartbeat{Total: a.reserver.Total(), Draining: a.draining, Shards: a.runner.Shards(), Sent: a.now()}
	if a.runner.Ready() {
		hb.Free, hb.Evictable = a.reserver.Free(), a.runner.Evictable()
	}
	return hb
}

func (s *session) sendToAgent(m messenger.Frame) error {
	select {
	case <-s.entryClosed:
		return errConnLost
	default:
	}
	// The receiver gets a copy, as it would from the network.
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

func (s *session) sendToEntry(m messenger.Frame) {
	select {
	case s.toEntry <- m:
	default:
	}
}

func (s *session) closeEntry() {
	s.entryOnce.Do(func() {
		close(s.entryClosed)
		e := s.entry
		e.mu.Lock()
		current := e.sessions[s.agent.name] == s
		if current {
			delete(e.sessions, s.agent.name)
		}
		e.mu.Unlock()
		if current {
			e.placer.Remove(s.agent.name)
		}
		s.toAgent <- messenger.Frame{}
	})
}

func (s *session) closeAgent() { s.agentOnce.Do(func() { close(s.agentClosed) }) }

func (e *entryNode) updatePlacer(s *session, hb messenger.Heartbeat) {
	e.placer.Update(placer.Agent{ID: s.agent.name, Total: hb.Total, Free: hb.Free, Evictable: hb.Evictable, Draining: hb.Draining})
}

func (s *session) receiveAtEntry(m messenger.Frame) {
	e := s.entry
	if e.isDead() {
		return
	}
	s.mu.Lock()
	s.lastFromAgent = time.Now()
	s.mu.Unlock()
	switch m.Kind {
	case 0:
		s.closeEntry()
	case messenger.KindHeartbeat:
		s.clock.Observe(m.Heartbeat.Sent, time.Time{}, e.now())
		e.updatePlacer(s, *m.Heartbeat)
		reply := &messenger.HeartbeatReply{Echo: m.Heartbeat.Sent, Now: e.now()}
		if len(m.Heartbeat.Shards) > 0 {
			reply.Renewals = e.sched.ExtendLeases(s.agent.name, m.Heartbeat.Shards, s.clock.RemoteDeadline)
		}
		_ = s.sendToAgent(messenger.Frame{Kind: messenger.KindHeartbeatReply, HeartbeatReply: reply})
	case messenger.KindReport:
		e.sched.HandleReport(s.agent.name, *m.Report)
	case messenger.KindDecline:
		e.sched.HandleDecline(s.agent.name, *m.Grant)
	case messenger.KindInventoryReply:
		e.sched.HandleInventory(s.agent.name, s.agent.incarnation, *m.Inventory)
	}
}

func (s *session) receiveAtAgent(m messenger.Frame) {
	a := s.agent
	if a.isDead() {
		return
	}
	s.mu.Lock()
	s.lastFromEntry = time.Now()
	s.mu.Unlock()
	switch m.Kind {
	case 0:
		s.closeAgent()
	case messenger.KindHeartbeatReply:
		for _, renewal := range m.HeartbeatReply.Renewals {
			a.runner.Extend(s.entry.name, renewal)
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
