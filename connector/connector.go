// Package connector manages an entry's connections to agents and other entries.
package connector

import (
	"context"
	"crypto/subtle"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/limiter"
	"github.com/endivefall/endivefall/messenger"
)

// Timing of connections.
const (
	// helloTimeout bounds the wait for a peer's hello.
	helloTimeout = 5 * time.Second
	// silenceTimeout is how long a peer may send nothing before it counts as lost.
	silenceTimeout = 3 * time.Second
	// redialDelay is the delay before another entry is dialled again.
	redialDelay = time.Second
)

// maxHelloBytes bounds the frame of a peer that is not known yet.
const maxHelloBytes = 16 << 10

// Config configures a Connector.
type Config struct {
	ID, Incarnation, Secret string
	Now                     func() time.Time
	Log                     *zap.Logger
	// OnConnect is called before a link's first frame, OnDisconnect after its last.
	OnConnect, OnDisconnect func(*Link)
	// Handle is called with a link's frames in order of arrival.
	Handle func(*Link, messenger.Frame)
	// FillWelcome completes the welcome that is sent to a new peer.
	FillWelcome func(*messenger.Welcome)
	// Traffic counts the frames of all links; nil if they are not counted.
	Traffic *messenger.Traffic
}

// Connector accepts and dials links. It is safe for concurrent use.
type Connector struct {
	cfg Config
	// active counts running links, so that Close can wait for them.
	active sync.WaitGroup
	mu     sync.Mutex
	// links holds one link per peer ID. A newer link replaces an older one.
	links  map[string]*Link
	closed bool
}

// New returns a Connector.
func New(cfg Config) *Connector {
	return &Connector{cfg: cfg, links: map[string]*Link{}}
}

// ServeHTTP accepts a peer's WebSocket.
func (c *Connector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has written the response
	}
	ws.SetReadLimit(maxHelloBytes)
	ctx, cancel := context.WithTimeout(r.Context(), helloTimeout)
	f, err := messenger.ReadFrame(ctx, ws)
	cancel()
	if err != nil || f.Kind != messenger.KindHello {
		_ = ws.Close(websocket.StatusProtocolError, "want a hello")
		return
	}
	if reason := c.refusalReason(f.Hello); reason != "" {
		c.cfg.Log.Warn("peer refused", zap.String("peer", f.Hello.ID), zap.String("reason", reason))
		c.refuse(r.Context(), ws, reason)
		return
	}
	welcome := &messenger.Welcome{Version: messenger.Version, ID: c.cfg.ID, Incarnation: c.cfg.Incarnation}
	c.cfg.FillWelcome(welcome)
	if err := messenger.WriteFrame(r.Context(), ws, messenger.Frame{Kind: messenger.KindWelcome, Welcome: welcome}); err != nil {
		return
	}
	limiter.Established(r.Context())
	c.serve(r.Context(), newLink(*f.Hello, ws, c))
}

// refusalReason returns why a hello is refused, or "" if it is accepted. A process
// that started before the connected one with its ID is refused while that one is
// alive.
func (c *Connector) refusalReason(h *messenger.Hello) string {
	switch {
	case h.Version != messenger.Version:
		return fmt.Sprintf("protocol version %d; this entry speaks %d, so upgrade one of both", h.Version, messenger.Version)
	case subtle.ConstantTimeCompare([]byte(h.Secret), []byte(c.cfg.Secret)) != 1:
		return "secret differs"
	case h.ID == "" || h.Incarnation == "":
		return "hello has no id"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.links[h.ID]
	if old != nil && old.Hello.Incarnation != h.Incarnation && old.Hello.Started.After(h.Started) && old.alive(c.cfg.Now()) {
		return "a newer process has the id " + h.ID
	}
	return ""
}

func (c *Connector) refuse(ctx context.Context, ws *websocket.Conn, reason string) {
	welcome := &messenger.Welcome{Version: messenger.Version, ID: c.cfg.ID, Incarnation: c.cfg.Incarnation, RefusalReason: reason}
	_ = messenger.WriteFrame(ctx, ws, messenger.Frame{Kind: messenger.KindWelcome, Welcome: welcome})
	_ = ws.Close(websocket.StatusPolicyViolation, "refused")
}

// serve runs a link until it ends. It first closes an older link to the same peer
// and waits until that one is disconnected.
func (c *Connector) serve(ctx context.Context, l *Link) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		l.conn.Close("entry is leaving")
		return
	}
	c.active.Add(1)
	old := c.links[l.Hello.ID]
	c.links[l.Hello.ID] = l
	c.mu.Unlock()
	defer c.active.Done()
	if old != nil {
		old.conn.Close("replaced by a newer connection")
		<-old.disconnected
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.cfg.Log.Info("peer connected", zap.String("peer", l.Hello.ID), zap.String("born", l.Hello.Incarnation))
	c.cfg.OnConnect(l)
	var monitoring sync.WaitGroup
	monitoring.Go(func() { l.monitor(ctx, c.cfg.Now) })
	err := l.conn.Run(ctx)
	cancel()
	monitoring.Wait()
	c.mu.Lock()
	if c.links[l.Hello.ID] == l {
		delete(c.links, l.Hello.ID)
	}
	c.mu.Unlock()
	c.cfg.OnDisconnect(l)
	close(l.disconnected)
	c.cfg.Log.Info("peer disconnected", zap.String("peer", l.Hello.ID), zap.Error(err))
}

// Link returns the link to a peer, or nil.
func (c *Connector) Link(id string) *Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links[id]
}

// Links returns all links.
func (c *Connector) Links() []*Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*Link, 0, len(c.links))
	for _, l := range c.links {
		list = append(list, l)
	}
	return list
}

// Broadcast queues a frame on every link except the given one, which may be nil.
func (c *Connector) Broadcast(f messenger.Frame, except *Link) {
	for _, l := range c.Links() {
		if l != except {
			_ = l.TrySend(f)
		}
	}
}

// Dial maintains a link to another entry until ctx ends.
func (c *Connector) Dial(ctx context.Context, addr netip.AddrPort) {
	for ctx.Err() == nil {
		if err := c.dial(ctx, addr); err != nil {
			c.cfg.Log.Debug("could not connect to another entry", zap.Stringer("addr", addr), zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

func (c *Connector) dial(ctx context.Context, addr netip.AddrPort) error {
	hello := messenger.Hello{
		Version: messenger.Version, Role: messenger.RoleEntry, ID: c.cfg.ID, Incarnation: c.cfg.Incarnation,
		Secret: c.cfg.Secret, Started: c.cfg.Now(),
	}
	ws, welcome, err := messenger.Dial(ctx, addr, hello)
	if err != nil {
		return err
	}
	peer := messenger.Hello{Role: messenger.RoleEntry, ID: welcome.ID, Incarnation: welcome.Incarnation}
	c.serve(ctx, newLink(peer, ws, c))
	return nil
}

// Close closes all links, waits for them to end and accepts no new ones.
func (c *Connector) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	for _, l := range c.Links() {
		l.conn.Close("entry is leaving")
	}
	c.active.Wait()
}
