package conductor

import (
	"context"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/connector"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/overseer"
)

// join takes a peer's connection; agents are turned away unless this process is
// the owner.
func (c *Conductor) join(l *connector.Link) {
	if l.Hello.Role != messenger.RoleAgent {
		if jobs := c.Acceptor.InDoubt(); len(jobs) > 0 {
			c.post(l, messenger.Frame{Kind: messenger.KindDoubt, InDoubt: &messenger.Doubt{Jobs: jobs}})
		}
		return
	}
	c.mu.Lock()
	o := c.overseer
	link := &overseer.Link{ID: l.Hello.ID, Incarnation: l.Hello.Incarnation, Send: l.Post}
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

func (c *Conductor) link(l *connector.Link) (*overseer.Overseer, *overseer.Link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overseer, c.links[l]
}

func (c *Conductor) part(l *connector.Link) {
	o, link := c.link(l)
	c.mu.Lock()
	delete(c.links, l)
	c.mu.Unlock()
	if o != nil && link != nil {
		o.Disconnect(link)
	}
}

func (c *Conductor) handle(l *connector.Link, f messenger.Frame) {
	switch f.Kind {
	case messenger.KindTable:
		if o, link := c.link(l); o != nil && link != nil {
			o.HandleFrame(link, f)
		}
	case messenger.KindAsk:
		c.answer(l, f)
	case messenger.KindDoubt:
		c.Acceptor.MarkInDoubt(f.InDoubt.Jobs)
		c.spread(f.InDoubt.Jobs, l)
	}
}

// post sends a peer a frame without waiting.
func (c *Conductor) post(l *connector.Link, f messenger.Frame) {
	if err := l.Post(f); err != nil {
		c.cfg.Log.Debug("frame not sent", zap.String("peer", l.Hello.ID), zap.Error(err))
	}
}

// spread tells the other entries of jobs in doubt: an entry the owner, the owner
// all others but the one that told it.
func (c *Conductor) spread(jobs []string, but *connector.Link) {
	f := messenger.Frame{Kind: messenger.KindDoubt, InDoubt: &messenger.Doubt{Jobs: jobs}}
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
func (c *Conductor) IsOwner() bool { return c.owner() != nil }

// heard says whether other entries' doubts reach this one.
func (c *Conductor) heard() bool { return c.owner() != nil || c.asker.Connected() }

// answer answers another entry's question; one without a subject asks whether
// this process is there.
func (c *Conductor) answer(l *connector.Link, f messenger.Frame) {
	o := c.owner()
	tell := messenger.Tell{}
	if o != nil && (f.StateQuery.Job != "" || f.StateQuery.Queue != "") {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		var err error
		if tell, err = o.Query(ctx, *f.StateQuery); err != nil {
			c.cfg.Log.Debug("question not answered", zap.String("job", f.StateQuery.Job), zap.Error(err))
		}
	}
	c.post(l, messenger.Frame{Kind: messenger.KindTell, ID: f.ID, StateReply: &tell})
}

// ask asks the owner, which may be this process.
func (c *Conductor) ask(ctx context.Context, ask messenger.Ask) (messenger.Tell, error) {
	if o := c.owner(); o != nil {
		return o.Query(ctx, ask)
	}
	return c.asker.Ask(ctx, ask)
}
