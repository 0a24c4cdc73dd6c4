package coordinator

import (
	"context"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/connector"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/orchestrator"
)

// join takes a peer's connection; agents are turned away unless this process is
// the owner.
func (c *Coordinator) join(l *connector.Link) {
	if l.Hello.Role != messenger.RoleAgent {
		if jobs := c.Acceptor.InDoubt(); len(jobs) > 0 {
			c.post(l, messenger.Frame{Kind: messenger.KindInDoubt, InDoubt: &messenger.InDoubt{Jobs: jobs}})
		}
		return
	}
	c.mu.Lock()
	o := c.overseer
	link := &orchestrator.AgentLink{ID: l.Hello.ID, Incarnation: l.Hello.Incarnation, Send: l.Post}
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

func (c *Coordinator) link(l *connector.Link) (*orchestrator.Orchestrator, *orchestrator.AgentLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overseer, c.links[l]
}

func (c *Coordinator) part(l *connector.Link) {
	o, link := c.link(l)
	c.mu.Lock()
	delete(c.links, l)
	c.mu.Unlock()
	if o != nil && link != nil {
		o.Disconnect(link)
	}
}

func (c *Coordinator) handle(l *connector.Link, f messenger.Frame) {
	switch f.Kind {
	case messenger.KindWorkerSnapshot:
		if o, link := c.link(l); o != nil && link != nil {
			o.HandleFrame(link, f)
		}
	case messenger.KindStateQuery:
		c.answer(l, f)
	case messenger.KindInDoubt:
		c.Acceptor.MarkInDoubt(f.InDoubt.Jobs)
		c.spread(f.InDoubt.Jobs, l)
	}
}

// post sends a peer a frame without waiting.
func (c *Coordinator) post(l *connector.Link, f messenger.Frame) {
	if err := l.Post(f); err != nil {
		c.cfg.Log.Debug("frame not sent", zap.String("peer", l.Hello.ID), zap.Error(err))
	}
}

// spread tells the other entries of jobs in doubt: an entry the owner, the owner
// all others but the one that told it.
func (c *Coordinator) spread(jobs []string, but *connector.Link) {
	f := messenger.Frame{Kind: messenger.KindInDoubt, InDoubt: &messenger.InDoubt{Jobs: jobs}}
	if c.owner() == nil {
		c.asker.Tell(f)
		return
	}
	for _, l := range c.connector.Links() {
		if l != but && l.Hello.Role == messenger.RoleEntry {
			c.post(l, f)
		}
	}
}

// IsOwner says whether this process schedules the pools.
func (c *Coordinator) IsOwner() bool { return c.owner() != nil }

// heard says whether other entries' doubts reach this one.
func (c *Coordinator) heard() bool { return c.owner() != nil || c.asker.Connected() }

// answer answers another entry's question; one without a subject asks whether
// this process is there.
func (c *Coordinator) answer(l *connector.Link, f messenger.Frame) {
	o := c.owner()
	tell := messenger.StateReply{}
	if o != nil && (f.StateQuery.Job != "" || f.StateQuery.Queue != "") {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		var err error
		if tell, err = o.Query(ctx, *f.StateQuery); err != nil {
			c.cfg.Log.Debug("question not answered", zap.String("job", f.StateQuery.Job), zap.Error(err))
		}
	}
	c.post(l, messenger.Frame{Kind: messenger.KindStateReply, ID: f.ID, StateReply: &tell})
}

// ask asks the owner, which may be this process.
func (c *Coordinator) ask(ctx context.Context, ask messenger.StateQuery) (messenger.StateReply, error) {
	if o := c.owner(); o != nil {
		return o.Query(ctx, ask)
	}
	return c.asker.Ask(ctx, ask)
}
