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
		return
	}
	c.mu.Lock()
	o := c.overseer
	link := &overseer.Link{ID: l.Hello.ID, Born: l.Hello.Born, Post: l.Post}
	if o != nil {
		c.links[l] = link
	}
	c.mu.Unlock()
	if o == nil {
		l.Close("not the owner")
		return
	}
	o.Join(link)
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
		o.Part(link)
	}
}

func (c *Conductor) handle(l *connector.Link, f messenger.Frame) {
	switch f.Kind {
	case messenger.KindTable:
		if o, link := c.link(l); o != nil && link != nil {
			o.Heard(link, f)
		}
	case messenger.KindAsk:
		c.answer(l, f)
	}
}

// answer answers another entry's question; one without a subject asks whether
// this process is there.
func (c *Conductor) answer(l *connector.Link, f messenger.Frame) {
	o := c.owner()
	tell := messenger.Tell{}
	if o != nil && (f.Ask.Job != "" || f.Ask.Queue != "") {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		var err error
		if tell, err = o.Answer(ctx, *f.Ask); err != nil {
			c.cfg.Log.Debug("question not answered", zap.String("job", f.Ask.Job), zap.Error(err))
		}
	}
	if err := l.Post(messenger.Frame{Kind: messenger.KindTell, ID: f.ID, Tell: &tell}); err != nil {
		c.cfg.Log.Debug("answer not sent", zap.Error(err))
	}
}

// ask asks the owner, which may be this process.
func (c *Conductor) ask(ctx context.Context, ask messenger.Ask) (messenger.Tell, error) {
	if o := c.owner(); o != nil {
		return o.Answer(ctx, ask)
	}
	return c.asker.Ask(ctx, ask)
}
