package coordinator

import (
	"context"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/connector"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/orchestrator"
)

// onConnect handles a peer's new connection. It closes an agent's connection unless
// this process is the owner.
func (c *Coordinator) onConnect(l *connector.Link) {
	if l.Hello.Role != messenger.RoleAgent {
		if jobs := c.Acceptor.InDoubt(); len(jobs) > 0 {
			c.send(l, messenger.Frame{Kind: messenger.KindInDoubt, InDoubt: &messenger.InDoubt{Jobs: jobs}})
		}
		return
	}
	c.mu.Lock()
	o := c.orchestrator
	link := &orchestrator.AgentLink{ID: l.Hello.ID, Incarnation: l.Hello.Incarnation, KeepsPayloads: l.Hello.KeepsPayloads, TrySend: l.TrySend, Close: l.Close}
	if o != nil {
		c.links[l] = link
	}
	c.mu.Unlock()
	if o == nil {
		l.Close("not the owner")
		return
	}
	o.Connect(link)
}

func (c *Coordinator) agentLink(l *connector.Link) (*orchestrator.Orchestrator, *orchestrator.AgentLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.orchestrator, c.links[l]
}

func (c *Coordinator) onDisconnect(l *connector.Link) {
	if l.Hello.Role == messenger.RoleEntry {
		c.elector.Disconnect(l.Hello.ID, l.Hello.Incarnation)
	}
	o, link := c.agentLink(l)
	c.mu.Lock()
	delete(c.links, l)
	c.mu.Unlock()
	if o != nil && link != nil {
		o.Disconnect(link)
	}
}

func (c *Coordinator) handleFrame(l *connector.Link, f messenger.Frame) {
	switch f.Kind {
	case messenger.KindWorkerSnapshot:
		if o, link := c.agentLink(l); o != nil && link != nil {
			o.HandleFrame(link, f)
		}
	case messenger.KindStateQuery:
		c.replyToQuery(l, f)
	case messenger.KindInDoubt:
		c.Acceptor.MarkInDoubt(f.InDoubt.Jobs)
		c.broadcastInDoubt(f.InDoubt.Jobs, l)
	}
}

// send queues a frame for a peer without blocking.
func (c *Coordinator) send(l *connector.Link, f messenger.Frame) {
	if err := l.TrySend(f); err != nil {
		c.cfg.Log.Debug("could not send frame", zap.String("peer", l.Hello.ID), zap.Error(err))
	}
}

// broadcastInDoubt forwards jobs in doubt to the other entries: the owner sends
// them to all entries except the one they came from, another entry sends them to
// the owner.
func (c *Coordinator) broadcastInDoubt(jobs []string, except *connector.Link) {
	f := messenger.Frame{Kind: messenger.KindInDoubt, InDoubt: &messenger.InDoubt{Jobs: jobs}}
	if c.activeOrchestrator() == nil {
		c.ownerClient.Send(f)
		return
	}
	for _, l := range c.connector.Links() {
		if l != except && l.Hello.Role == messenger.RoleEntry {
			c.send(l, f)
		}
	}
}

// IsOwner reports whether this process schedules the pools.
func (c *Coordinator) IsOwner() bool { return c.activeOrchestrator() != nil }

// peersConnected reports whether jobs in doubt at other entries become known here.
func (c *Coordinator) peersConnected() bool {
	if c.activeOrchestrator() != nil {
		return c.elector.HeardFromAll(c.cfg.Now().Add(-maxReplyAge))
	}
	return c.ownerClient.Connected()
}

// replyToQuery replies to another entry's query; one that names neither job nor
// queue is a ping.
func (c *Coordinator) replyToQuery(l *connector.Link, f messenger.Frame) {
	o := c.activeOrchestrator()
	reply := messenger.StateReply{}
	if extended := f.StateQuery.Extended; extended != nil {
		c.elector.RecordExtension(l.Hello.ID, l.Hello.Incarnation, *extended)
	}
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	switch isPing := f.StateQuery.Job == "" && f.StateQuery.Queue == ""; {
	case o != nil && isPing:
		reply.Confirmation = c.elector.Confirmation(l.Hello.ID, l.Hello.Incarnation)
	case o != nil:
		var err error
		if reply, err = o.Query(ctx, *f.StateQuery); err != nil {
			c.cfg.Log.Debug("state query failed", zap.String("job", f.StateQuery.Job), zap.Error(err))
		}
	}
	reply.StoreVersion = c.chronicler.Newest()
	// The peer reads its replies whatever it sends, so that this does not wait for long.
	if err := l.Send(ctx, messenger.Frame{Kind: messenger.KindStateReply, ID: f.ID, StateReply: &reply}); err != nil {
		c.cfg.Log.Debug("reply to a state query dropped", zap.String("peer", l.Hello.ID), zap.Error(err))
	}
}

// queryOwner sends a query to the owner, which may be this process.
func (c *Coordinator) queryOwner(ctx context.Context, query messenger.StateQuery) (messenger.StateReply, error) {
	if o := c.activeOrchestrator(); o != nil {
		return o.Query(ctx, query)
	}
	return c.ownerClient.Query(ctx, query)
}
