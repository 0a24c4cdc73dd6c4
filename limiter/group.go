package limiter

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"github.com/endivefall/endivefall/meter"
)

// Errors of reading a body. None of the request has been handled.
var (
	ErrTooLarge = errors.New("body is over the limit")
	ErrBusy     = errors.New("too many large bodies at once")
	ErrSlow     = errors.New("body arrives too slowly")
)

// Times and factors of the limits.
const (
	// bodyGrace is how long a body may be incomplete before it is closed in favour of another. A
	// legal body takes 0.2 s on the thinnest link.
	bodyGrace = time.Second
	// writeTimeout bounds one write of a response, apart from the time that its bytes may take.
	writeTimeout = 10 * time.Second
	// discardTimeout bounds reading what a handler has left of a body.
	discardTimeout = 500 * time.Millisecond
	// decodeFactor is how much memory a body takes from its decoding to the end of its request,
	// per byte: text, decoded form, record, and the call that writes it to the store.
	decodeFactor = 6
	// logInterval is the time between two log lines about the same limit.
	logInterval = time.Second
)

// MaxHeaderBytes bounds the header of a request.
const MaxHeaderBytes = 16 << 10

// GroupConfig configures a Group.
type GroupConfig struct {
	// Metrics has the metrics of the listener, and its name.
	Metrics meter.Listener
	// Conns is the most connections that are open at once.
	Conns int
	// BodyBytes bounds the bytes of large bodies that are kept while they arrive, DecodeBytes the
	// memory of those that are being handled.
	BodyBytes, DecodeBytes int64
	// MaxBody returns the size of the largest body, if the listener has one limit; nil if
	// handlers have their own, or none.
	MaxBody func() int64
	// BodyTimeout is the time that a body may take beyond that of its bytes at MinRate, which is
	// in bytes per second.
	BodyTimeout time.Duration
	MinRate     int
	Log         *zap.Logger
	Count       func(c meter.Counter)
	// Gauge sets a gauge. It must not block nor use the Group.
	Gauge func(g meter.Gauge, value float64)
}

// Group limits the connections and bodies of one listener. It is safe for concurrent use. A nil
// Group has no limits.
type Group struct {
	cfg         GroupConfig
	decoding    *semaphore.Weighted
	decodeBytes int64

	mu     sync.Mutex
	bodies *Bodies            // guarded by mu
	conns  *Conns             // guarded by mu
	logged map[string]*notice // guarded by mu
}

// unlimited reads bodies for a nil Group.
var unlimited = NewGroup(GroupConfig{BodyBytes: math.MaxInt64 / 2, DecodeBytes: math.MaxInt64 / 2})

// notice limits the log lines about one cause.
type notice struct {
	sometimes rate.Sometimes
	// times counts what happened since the last line.
	times int
}

// NewGroup returns a Group.
func NewGroup(cfg GroupConfig) *Group {
	return &Group{
		cfg: cfg, decoding: semaphore.NewWeighted(cfg.DecodeBytes), decodeBytes: cfg.DecodeBytes,
		bodies: NewBodies(cfg.BodyBytes, bodyGrace), conns: NewConns(cfg.Conns), logged: map[string]*notice{},
	}
}

// transferTime returns how long bytes may take at a rate.
func transferTime(bytes, bytesPerSecond int) time.Duration {
	return time.Duration(bytes) * time.Second / time.Duration(bytesPerSecond)
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// connOf returns the connection of a request, or nil if its listener has no limits.
func connOf(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}

// Established notes that the peer of a hijacked connection is known, so that the connection is
// not closed in favour of others.
func Established(ctx context.Context) {
	if conn := connOf(ctx); conn != nil {
		conn.group.serve(conn)
	}
}

// Attach makes a server keep to the limits and returns the listener that it is to serve. It sets
// the server's ConnContext and ConnState, and wraps its Handler.
//
// A handler must not set read deadlines with an http.ResponseController while it reads the body,
// as each read sets one of its own; the body has a method SetReadDeadline(time.Time) for that. A
// handler in full duplex must set "Connection: close" before it writes the header, unless it has
// read the body up to io.EOF: the server may otherwise parse the rest as a request. While a body
// is not read to its end, the connection may be closed to make room.
func (g *Group) Attach(server *http.Server, inner net.Listener) net.Listener {
	if g == nil {
		return inner
	}
	server.Handler = g.guard(server.Handler)
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	server.ConnState = g.onState
	if server.MaxHeaderBytes == 0 {
		server.MaxHeaderBytes = MaxHeaderBytes
	}
	return &listener{Listener: inner, group: g}
}

// onState follows the states of the server's connections.
func (g *Group) onState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*Conn)
	if !ok {
		return
	}
	if state == http.StateHijacked {
		conn.hijacked.Store(true)
	}
	if state == http.StateActive || state == http.StateIdle || state == http.StateHijacked {
		g.mu.Lock()
		g.conns.Wait(conn)
		g.mu.Unlock()
	}
}

// guard returns a handler that applies the limits to the body of a request before h.
func (g *Group) guard(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := connOf(r.Context())
		if conn == nil || r.Body == nil || r.Body == http.NoBody {
			if conn == nil || g.serve(conn) {
				h.ServeHTTP(w, r)
			}
			return
		}
		if g.cfg.MaxBody != nil && r.ContentLength > g.cfg.MaxBody() {
			g.note("body_too_large")
			w.Header().Set("Connection", "close") // the server then reads nothing of the body
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		body := &stream{ReadCloser: r.Body, conn: conn, group: g}
		// The server's own request keeps its body: the server tells by its type how much was left
		// unread, and whether the connection can be used again.
		limited := r.WithContext(r.Context())
		limited.Body = body
		_ = body.setDeadline(time.Now().Add(g.cfg.BodyTimeout)) // the server may read the body on its own
		h.ServeHTTP(w, limited)
		if body.end() == nil {
			body.SetReadDeadline(time.Now().Add(discardTimeout))
		}
	})
}

// ReadAll reads the body of a request, which may have at most limit bytes. The caller must
// release the result, which is never nil. After ErrTooLarge the rest of the body is unread. ErrBusy
// also means that the connection was closed to make room.
func (g *Group) ReadAll(r *http.Request, limit int64) (*Payload, error) {
	if g == nil {
		g = unlimited
	}
	p := &Payload{group: g}
	if r.ContentLength > limit {
		g.note("body_too_large")
		return p, ErrTooLarge
	}
	conn := connOf(r.Context())
	err := p.read(r.Body, limit, func() {
		if conn != nil {
			_ = conn.Close()
		}
	})
	if errors.Is(err, net.ErrClosed) || err == nil && !g.complete(p) {
		err = ErrBusy // the connection was closed to make room
	}
	if err != nil {
		if errors.Is(err, ErrTooLarge) {
			g.note("body_too_large")
		}
		p.Release()
	}
	return p, err
}

// complete notes that all of a body has arrived. It returns false if the body was ended to make
// room.
func (g *Group) complete(p *Payload) bool {
	if p.account == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bodies.Complete(p.account)
}

// charge charges n bytes to a body that arrives.
func (g *Group) charge(p *Payload, n int64, evict func()) error {
	g.mu.Lock()
	now := time.Now()
	if p.account == nil {
		p.account = g.bodies.Begin(now, evict)
	}
	ended, ok := g.bodies.Charge(p.account, n, now)
	g.gauge(g.cfg.Metrics.BodyBytes, float64(g.bodies.Used()))
	g.mu.Unlock()
	for _, body := range ended {
		g.note("body_closed")
		body.Evict()
	}
	if !ok {
		g.note("body_busy")
		return ErrBusy
	}
	return nil
}

// release ends the charge of a body.
func (g *Group) release(p *Payload) {
	if p.account == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bodies.End(p.account)
	p.account = nil
	g.gauge(g.cfg.Metrics.BodyBytes, float64(g.bodies.Used()))
}

// add adds a connection and reports whether it may stay open.
func (g *Group) add(conn *Conn) bool {
	g.mu.Lock()
	victim, ok := g.conns.Add(conn)
	g.gauge(g.cfg.Metrics.Connections, float64(g.conns.Open()))
	g.mu.Unlock()
	if victim != nil {
		g.note("connection_closed")
		_ = victim.Close()
	}
	if !ok {
		g.note("connection_refused")
	}
	return ok
}

func (g *Group) remove(conn *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns.Remove(conn)
	g.gauge(g.cfg.Metrics.Connections, float64(g.conns.Open()))
}

// serve notes that the request of a connection is complete. It returns false if the connection was
// closed before.
func (g *Group) serve(conn *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.conns.Serve(conn)
}

// note counts that a limit was met, and logs it from time to time.
func (g *Group) note(cause string) {
	if g.cfg.Count != nil {
		g.cfg.Count(g.cfg.Metrics.Shed.Of(cause))
	}
	if g.cfg.Log == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.logged[cause]
	if n == nil {
		n = &notice{sometimes: rate.Sometimes{First: 1, Interval: logInterval}}
		g.logged[cause] = n
	}
	n.times++
	n.sometimes.Do(func() {
		g.cfg.Log.Warn("limit met", zap.String("listener", g.cfg.Metrics.Name), zap.String("cause", cause), zap.Int("times", n.times),
			zap.Int("connections", g.conns.Open()), zap.Int64("body_bytes", g.bodies.Used()))
		n.times = 0
	})
}

// gauge sets a gauge. The lock is held, so that a value does not replace a later one.
func (g *Group) gauge(metric meter.Gauge, value float64) {
	if g.cfg.Gauge != nil {
		g.cfg.Gauge(metric, value)
	}
}
