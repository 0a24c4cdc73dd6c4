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
	// Hello is the peer's description of itself. It never changes.
	Hello messenger.Hello
	// Clock estimates bounds of an agent's clock from its heartbeats.
	Clock estimator.Estimator
	conn  *messenger.Conn
	// lastFrameAt is the local time of the peer's last frame, in Unix nanoseconds.
	lastFrameAt atomic.Int64
	// disconnected is closed after OnDisconnect has returned.
	disconnected chan struct{}
}

func newLink(h messenger.Hello, ws *websocket.Conn, c *Connector) *Link {
	l := &Link{Hello: h, disconnected: make(chan struct{})}
	l.recordFrame(c.cfg.Now())
	if h.Role == messenger.RoleAgent {
		l.Clock.Observe(h.Heartbeat.Sent, time.Time{}, c.cfg.Now())
	}
	l.conn = messenger.New(messenger.Config{
		Socket: ws, Traffic: c.cfg.Traffic,
		Handle: func(_ *messenger.Conn, f messenger.Frame) {
			now := c.cfg.Now()
			l.recordFrame(now)
			if f.Kind == messenger.KindHeartbeat && h.Role == messenger.RoleAgent {
				l.Clock.Observe(f.Heartbeat.Sent, time.Time{}, now)
			}
			c.cfg.Handle(l, f)
		},
	})
	return l
}

func (l *Link) recordFrame(now time.Time) { l.lastFrameAt.Store(now.UnixNano()) }

// alive reports whether the peer has sent a frame within silenceTimeout.
func (l *Link) alive(now time.Time) bool {
	return now.UnixNano()-l.lastFrameAt.Load() < int64(silenceTimeout)
}

// monitor closes the link when the peer is silent, for example because it is frozen
// or partitioned. It also sends the heartbeats between entries; agents send their
// own.
func (l *Link) monitor(ctx context.Context, now func() time.Time) {
	ticker := time.NewTicker(silenceTimeout / 6)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !l.alive(now()) {
			l.conn.Close("silent for too long")
			return
		}
		if l.Hello.Role == messenger.RoleEntry && tick%2 == 0 {
			_ = l.TrySend(messenger.Frame{Kind: messenger.KindHeartbeat, Heartbeat: &messenger.Heartbeat{Sent: now()}})
		}
	}
}

// TrySend queues a frame without blocking.
func (l *Link) TrySend(f messenger.Frame) error { return l.conn.TrySend(f) }

// Send queues a frame and blocks while the queue is full, until ctx ends.
func (l *Link) Send(ctx context.Context, f messenger.Frame) error { return l.conn.Send(ctx, f) }

// Close ends the connection and sends the reason to the peer.
func (l *Link) Close(reason string) { l.conn.Close(reason) }

// Open starts a request at an agent.
func (l *Link) Open(ctx context.Context, call *messenger.Call) (*messenger.Stream, error) {
	return l.conn.Open(ctx, call)
}

// Done returns a channel that is closed when the connection ends.
func (l *Link) Done() <-chan struct{} { return l.conn.Done() }

// RemoteDeadline converts a local deadline to the agent's clock. The agent's clock
// reaches the result no later than the local clock reaches the deadline.
func (l *Link) RemoteDeadline(now, local time.Time) time.Time {
	return l.Clock.RemoteDeadline(now, local)
}
