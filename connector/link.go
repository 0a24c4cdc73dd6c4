package connector

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/endivefall/endivefall/estimator"
	"github.com/endivefall/endivefall/messenger"
)

// Link is a connection to an agent or another entry.
type Link struct {
	// Hello is what the peer said of itself; it never changes.
	Hello messenger.Hello
	// Clock bounds an agent's clock from its heartbeats.
	Clock estimator.Estimator
	conn  *messenger.Conn
	// heard is the local time, in nanoseconds, of the peer's last frame.
	heard atomic.Int64
	// parted is closed after Part was told.
	parted chan struct{}
}

func newLink(h messenger.Hello, ws *websocket.Conn, c *Connector) *Link {
	l := &Link{Hello: h, parted: make(chan struct{})}
	l.hear(c.cfg.Now())
	if h.Role == messenger.RoleAgent {
		l.Clock.Observe(h.Heartbeat.Sent, time.Time{}, c.cfg.Now())
	}
	l.conn = messenger.New(messenger.Config{
		Socket: ws,
		Handle: func(_ *messenger.Conn, f messenger.Frame) {
			now := c.cfg.Now()
			l.hear(now)
			if f.Kind == messenger.KindHeartbeat && h.Role == messenger.RoleAgent {
				l.Clock.Observe(f.Heartbeat.Sent, time.Time{}, now)
			}
			c.cfg.Handle(l, f)
		},
	})
	return l
}

func (l *Link) hear(now time.Time) { l.heard.Store(now.UnixNano()) }

// fresh says whether the peer was heard lately.
func (l *Link) fresh(now time.Time) bool {
	return now.UnixNano()-l.heard.Load() < int64(silence)
}

// watch ends the link when the peer is silent, as a frozen or cut-off one is.
// Entries beat to each other here; agents beat of their own accord.
func (l *Link) watch(ctx context.Context, now func() time.Time) {
	tick := time.NewTicker(silence / 6)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !l.fresh(now()) {
			l.conn.Close("silent for too long")
			return
		}
		if l.Hello.Role == messenger.RoleEntry && n%2 == 0 {
			_ = l.Post(messenger.Frame{Kind: messenger.KindHeartbeat, Heartbeat: &messenger.Heartbeat{Sent: now()}})
		}
	}
}

// Post queues a frame and never waits.
func (l *Link) Post(f messenger.Frame) error { return l.conn.Post(f) }

// Close ends the connection with a reason for the peer.
func (l *Link) Close(reason string) { l.conn.Close(reason) }

// Open starts a request at an agent.
func (l *Link) Open(ctx context.Context, call *messenger.Call) (*messenger.Stream, error) {
	return l.conn.Open(ctx, call)
}

// Done is closed when the connection has ended.
func (l *Link) Done() <-chan struct{} { return l.conn.Done() }

// RemoteDeadline returns the agent's time for a local deadline, on the safe side: the
// agent's clock shows it no later than the local clock shows the deadline.
func (l *Link) RemoteDeadline(now, local time.Time) time.Time {
	return l.Clock.RemoteDeadline(now, local)
}
