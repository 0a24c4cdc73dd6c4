// Package connector keeps an entry's connections to agents and other entries.
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

	"github.com/endivefall/endivefall/messenger"
)

// Times of a connection.
const (
	// helloTimeout bounds the exchange that opens a connection.
	helloTimeout = 5 * time.Second
	// silence is how long a peer may send nothing before it counts as gone.
	silence = 3 * time.Second
	// redial is the wait before another entry is dialled again.
	redial = time.Second
)

// Config is what a Connector needs.
type Config struct {
	ID, Incarnation, Secret string
	Now                     func() time.Time
	Log                     *zap.Logger
	// OnConnect is told of a link before its first frame, OnDisconnect after its last one.
	OnConnect, OnDisconnect func(*Link)
	// Handle takes a link's frames in their order.
	Handle func(*Link, messenger.Frame)
	// FillWelcome fills in what a new peer is told.
	FillWelcome func(*messenger.Welcome)
}

// Connector accepts and makes links. It is safe for concurrent use.
type Connector struct {
	cfg Config
	// serving counts links, for Close.
	serving sync.WaitGroup
	mu      sync.Mutex
	// links has one link for each peer; a newer one replaces the older.
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
		return // Accept has answered
	}
	ws.SetReadLimit(messenger.MaxFrame)
	ctx, cancel := context.WithTimeout(r.Context(), helloTimeout)
	f, err := messenger.ReadFrame(ctx, ws)
	cancel()
	if err != nil || f.Kind != messenger.KindHello {
		_ = ws.Close(websocket.StatusProtocolError, "want a hello")
		return
	}
	if reason := c.unfit(f.Hello); reason != "" {
		c.cfg.Log.Warn("peer refused", zap.String("peer", f.Hello.ID), zap.String("reason", reason))
		c.refuse(r.Context(), ws, reason)
		return
	}
	welcome := &messenger.Welcome{Version: messenger.Version, ID: c.cfg.ID, Incarnation: c.cfg.Incarnation}
	c.cfg.FillWelcome(welcome)
	if err := messenger.WriteFrame(r.Context(), ws, messenger.Frame{Kind: messenger.KindWelcome, Welcome: welcome}); err != nil {
		return
	}
	c.serve(r.Context(), newLink(*f.Hello, ws, c))
}

func (c *Connector) unfit(h *messenger.Hello) string {
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
	if old != nil && old.Hello.Incarnation != h.Incarnation && old.Hello.Started.After(h.Started) && old.fresh(c.cfg.Now()) {
		return "a newer process has the id " + h.ID
	}
	return ""
}

func (c *Connector) refuse(ctx context.Context, ws *websocket.Conn, reason string) {
	w := &messenger.Welcome{Version: messenger.Version, ID: c.cfg.ID, Incarnation: c.cfg.Incarnation, RefusalReason: reason}
	_ = messenger.WriteFrame(ctx, ws, messenger.Frame{Kind: messenger.KindWelcome, Welcome: w})
	_ = ws.Close(websocket.StatusPolicyViolation, "refused")
}

// serve runs a link until it ends.
func (c *Connector) serve(ctx context.Context, l *Link) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		l.conn.Close("entry is leaving")
		return
	}
	c.serving.Add(1)
	old := c.links[l.Hello.ID]
	c.links[l.Hello.ID] = l
	c.mu.Unlock()
	defer c.serving.Done()
	if old != nil {
		old.conn.Close("replaced by a newer connection")
		<-old.parted
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.cfg.Log.Info("peer joined", zap.String("peer", l.Hello.ID), zap.String("born", l.Hello.Incarnation))
	c.cfg.OnConnect(l)
	var watching sync.WaitGroup
	watching.Go(func() { l.watch(ctx, c.cfg.Now) })
	err := l.conn.Run(ctx)
	cancel()
	watching.Wait()
	c.mu.Lock()
	if c.links[l.Hello.ID] == l {
		delete(c.links, l.Hello.ID)
	}
	c.mu.Unlock()
	c.cfg.OnDisconnect(l)
	close(l.parted)
	c.cfg.Log.Info("peer parted", zap.String("peer", l.Hello.ID), zap.Error(err))
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

// Broadcast posts a frame to every link but one.
func (c *Connector) Broadcast(f messenger.Frame, but *Link) {
	for _, l := range c.Links() {
		if l != but {
			_ = l.Post(f)
		}
	}
}

// Dial keeps a link to another entry until ctx ends.
func (c *Connector) Dial(ctx context.Context, addr netip.AddrPort) {
	for ctx.Err() == nil {
		if err := c.dial(ctx, addr); err != nil {
			c.cfg.Log.Debug("dialling an entry", zap.Stringer("addr", addr), zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(redial):
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

// Close ends all links and takes no new ones.
func (c *Connector) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	for _, l := range c.Links() {
		l.conn.Close("entry is leaving")
	}
	c.serving.Wait()
}
