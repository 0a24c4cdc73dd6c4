package limiter

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/meter"
)

// testWait bounds waits for an event.
const testWait = 20 * time.Second

// testServer is a server within limits.
type testServer struct {
	c     *qt.C
	group *Group
	addr  string
	// entered receives a value when the handler has a request.
	entered chan struct{}
}

// newTestServer starts a server whose handler is h.
func newTestServer(t *testing.T, cfg GroupConfig, h func(*Group, http.ResponseWriter, *http.Request)) *testServer {
	s := &testServer{c: qt.New(t), entered: make(chan struct{}, 100)}
	if cfg.BodyTimeout == 0 {
		cfg.BodyTimeout = testWait
	}
	cfg.Metrics, cfg.MinRate = meter.Callers, 1<<20
	s.group = NewGroup(cfg)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	s.c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.entered <- struct{}{}
		h(s.group, w, r)
	})}
	s.addr = listener.Addr().String()
	listener = s.group.Attach(server, listener)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// readBody replies with the size of the body, or with the status of the error.
func readBody(g *Group, w http.ResponseWriter, r *http.Request) {
	p, err := g.ReadAll(r, 1<<20)
	defer p.Release()
	sum := 0
	if err == nil {
		err = p.Decode(r.Context(), func(raw []byte) error { sum = strings.Count(string(raw), "x"); return nil })
	}
	switch {
	case errors.Is(err, ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrBusy):
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.Is(err, ErrSlow):
		w.WriteHeader(http.StatusRequestTimeout)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		_, _ = fmt.Fprint(w, sum)
	}
}

// open sends the beginning of a request and returns its connection.
func (s *testServer) open(text string) net.Conn {
	conn, err := net.Dial("tcp", s.addr)
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testWait))
	_, err = conn.Write([]byte(text))
	s.c.Assert(err, qt.IsNil)
	return conn
}

// status reads a response and returns its status and body; 0 if the connection was closed.
func (s *testServer) status(conn net.Conn) (int, string) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw)
}

// post returns the start of a request with an announced body and what is sent of it.
func post(announced, sent int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", announced, strings.Repeat("x", sent))
}

func TestBodiesOfAnySizeAreReadWhole(t *testing.T) {
	s := newTestServer(t, GroupConfig{Conns: 10, BodyBytes: 4 << 20, DecodeBytes: 1 << 20}, readBody)
	for _, size := range []int{1, 511, 512, 513, 1023, 1024, 1025, smallBody - 1, smallBody, smallBody + 1, 2 * smallBody, 300_000, 1 << 20} {
		status, body := s.status(s.open(post(size, size)))
		s.c.Check(status, qt.Equals, http.StatusOK)
		s.c.Check(body, qt.Equals, fmt.Sprint(size))
		chunked := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
		for left := size; left > 0; left -= min(left, 7001) {
			part := min(left, 7001)
			chunked += fmt.Sprintf("%x\r\n%s\r\n", part, strings.Repeat("x", part))
		}
		status, body = s.status(s.open(chunked + "0\r\n\r\n"))
		s.c.Check(status, qt.Equals, http.StatusOK)
		s.c.Check(body, qt.Equals, fmt.Sprint(size))
	}
	s.c.Assert(s.group.bodies.Used(), qt.Equals, int64(0))
}

// TestBodiesOverTheLimit checks that a body over the limit gets 413, an announced one before any
// of it is sent.
func TestBodiesOverTheLimit(t *testing.T) {
	s := newTestServer(t, GroupConfig{Conns: 10, BodyBytes: 4 << 20, DecodeBytes: 1 << 20}, readBody)
	status, _ := s.status(s.open(post(1<<20+1, 0)))
	s.c.Assert(status, qt.Equals, http.StatusRequestEntityTooLarge)
	chunked := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 1<<20+1, strings.Repeat("x", 1<<20+1))
	status, _ = s.status(s.open(chunked))
	s.c.Assert(status, qt.Equals, http.StatusRequestEntityTooLarge)
}

// TestListenerRefusesLargeBodies checks a limit of the listener, whose handlers read no bodies.
func TestListenerRefusesLargeBodies(t *testing.T) {
	s := newTestServer(t, GroupConfig{Conns: 10, MaxBody: func() int64 { return 10 }}, func(_ *Group, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	status, _ := s.status(s.open(post(11, 0)))
	s.c.Assert(status, qt.Equals, http.StatusRequestEntityTooLarge)
	status, _ = s.status(s.open(post(10, 10)))
	s.c.Assert(status, qt.Equals, http.StatusOK)
}

// TestSlowBodyEnds guards against a body that stops before its end holding its connection.
func TestSlowBodyEnds(t *testing.T) {
	s := newTestServer(t, GroupConfig{Conns: 10, BodyBytes: 1 << 20, DecodeBytes: 1 << 20, BodyTimeout: 50 * time.Millisecond}, readBody)
	status, _ := s.status(s.open(post(1000, 900)))
	s.c.Assert(status, qt.Equals, http.StatusRequestTimeout)
}

// TestUnreadBodyEnds checks the same for a body that the handler leaves unread.
func TestUnreadBodyEnds(t *testing.T) {
	s := newTestServer(t, GroupConfig{Conns: 10}, func(_ *Group, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	conn := s.open(post(1000, 900))
	s.status(conn)
	_, err := io.Copy(io.Discard, conn)
	s.c.Assert(err, qt.IsNil, qt.Commentf("the server has closed the connection"))
}

// TestSmallBodiesIgnoreLargeOnes checks that a small body is served while large ones use the
// whole budget, and that a large one is rejected then.
func TestSmallBodiesIgnoreLargeOnes(t *testing.T) {
	s := newTestServer(t, GroupConfig{Conns: 10, BodyBytes: 2 * smallBody, DecodeBytes: 1 << 20}, readBody)
	s.open(post(1<<20, 3*smallBody))
	for used := int64(0); used < 2*smallBody; {
		s.group.mu.Lock()
		used = s.group.bodies.Used()
		s.group.mu.Unlock()
	}
	status, _ := s.status(s.open(post(2*smallBody, 2*smallBody)))
	s.c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	status, _ = s.status(s.open(post(smallBody, smallBody)))
	s.c.Assert(status, qt.Equals, http.StatusOK)
}

// TestNewCallersAreServedBesideIdleOnes checks that idle and incomplete connections give way.
func TestNewCallersAreServedBesideIdleOnes(t *testing.T) {
	s := newTestServer(t, GroupConfig{Conns: 2, BodyBytes: 1 << 20, DecodeBytes: 1 << 20}, readBody)
	idle := s.open("")
	incomplete := s.open(post(10, 9))
	<-s.entered
	for range 3 {
		status, _ := s.status(s.open(post(10, 10)))
		s.c.Assert(status, qt.Equals, http.StatusOK)
	}
	status, _ := s.status(idle)
	s.c.Assert(status, qt.Equals, 0)
	status, _ = s.status(incomplete)
	s.c.Assert(status, qt.Equals, 0)
}

// TestLongRequestsAreSpared checks that a request that is handled for long, and a hijacked
// connection of a known peer, are not closed for new connections, and that a response may be late.
func TestLongRequestsAreSpared(t *testing.T) {
	release := make(chan struct{})
	established := make(chan struct{})
	s := newTestServer(t, GroupConfig{Conns: 2, BodyTimeout: 10 * time.Millisecond}, func(_ *Group, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hijack" {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			Established(r.Context())
			close(established)
			<-release
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			_ = conn.Close()
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		<-release
	})
	poll := s.open(post(10, 10))
	<-s.entered
	hijacked := s.open("GET /hijack HTTP/1.1\r\nHost: h\r\n\r\n")
	<-s.entered
	<-established
	refused, _ := s.status(s.open("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	s.c.Assert(refused, qt.Equals, 0)
	close(release)
	status, _ := s.status(poll)
	s.c.Assert(status, qt.Equals, http.StatusOK)
	status, _ = s.status(hijacked)
	s.c.Assert(status, qt.Equals, http.StatusOK)
}

// TestLargeHeaderIsRefused checks the bound of a header.
func TestLargeHeaderIsRefused(t *testing.T) {
	s := newTestServer(t, GroupConfig{Conns: 2}, func(_ *Group, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	header := func(size int) string {
		return "GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", size) + "\r\n\r\n"
	}
	status, _ := s.status(s.open(header(MaxHeaderBytes)))
	s.c.Assert(status, qt.Equals, http.StatusOK)
	status, _ = s.status(s.open(header(2 * MaxHeaderBytes)))
	s.c.Assert(status, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
}

// TestLargeBodiesAreDecodedInTurn checks that a large body waits for room, that one whose request
// ends meanwhile is rejected, and that a small one does not wait.
func TestLargeBodiesAreDecodedInTurn(t *testing.T) {
	c := qt.New(t)
	g := NewGroup(GroupConfig{BodyBytes: 1 << 20, DecodeBytes: 1 << 10})
	read := func(size int) *Payload {
		r, err := http.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size)))
		c.Assert(err, qt.IsNil)
		p, err := g.ReadAll(r, 1<<20)
		c.Assert(err, qt.IsNil)
		return p
	}
	keep := func([]byte) error { return nil }
	first := read(100_000)
	c.Assert(first.Decode(context.Background(), keep), qt.IsNil)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	second := read(100_000)
	c.Assert(second.Decode(ended, keep), qt.ErrorIs, ErrBusy)
	c.Assert(read(smallBody).Decode(context.Background(), keep), qt.IsNil)
	first.Release()
	first.Release()
	c.Assert(second.Decode(context.Background(), keep), qt.IsNil)
	second.Release()
	c.Assert(g.bodies.Used(), qt.Equals, int64(0))
}

// TestLegalClientFitsIntoSmallestInstances checks that 64 connections that each send the largest
// submission stay within the limits of the smallest entry, whatever their order.
func TestLegalClientFitsIntoSmallestInstances(t *testing.T) {
	c := qt.New(t)
	const clients, largest = 64, 262_144
	g := Process{Memory: 184_000_000, Descriptors: 4100}.Group(meter.Callers, Submissions())
	c.Assert(g.cfg.Conns >= 2*clients, qt.IsTrue)
	now := at(0)
	for range clients {
		body := g.bodies.Begin(now, nil)
		_, ok := g.bodies.Charge(body, largest, now)
		c.Assert(ok, qt.IsTrue)
	}
	c.Assert(g.decodeBytes >= decodeFactor*largest, qt.IsTrue)
}

// TestEvictedBodiesAreShed guards against a body that was closed to make room being taken for one
// that its caller cut short, or for a whole one that is charged.
func TestEvictedBodiesAreShed(t *testing.T) {
	t.Run("incomplete", func(t *testing.T) {
		outcome := make(chan error, 1)
		s := newTestServer(t, GroupConfig{Conns: 10, BodyBytes: 2 * smallBody, DecodeBytes: 1 << 20}, func(g *Group, _ http.ResponseWriter, r *http.Request) {
			p, err := g.ReadAll(r, 1<<20)
			defer p.Release()
			outcome <- err
		})
		s.group.bodies.grace = 0
		s.open(post(1<<20, 2*smallBody))
		for used := int64(0); used == 0; {
			s.group.mu.Lock()
			used = s.group.bodies.Used()
			s.group.mu.Unlock()
		}
		s.open(post(3*smallBody, 3*smallBody))
		s.c.Assert(<-outcome, qt.ErrorIs, ErrBusy)
	})
	t.Run("whole meanwhile", func(t *testing.T) {
		c := qt.New(t)
		g := NewGroup(GroupConfig{BodyBytes: 3 * smallBody, DecodeBytes: 1 << 20})
		g.bodies.grace = 0
		end := readerFunc(func([]byte) (int, error) {
			g.mu.Lock()
			defer g.mu.Unlock()
			other := g.bodies.Begin(time.Now(), nil)
			_, ok := g.bodies.Charge(other, 3*smallBody, time.Now())
			c.Check(ok, qt.IsTrue)
			return 0, io.EOF
		})
		r, err := http.NewRequest(http.MethodPost, "/", io.MultiReader(strings.NewReader(strings.Repeat("x", 2*smallBody)), end))
		c.Assert(err, qt.IsNil)
		p, err := g.ReadAll(r, 1<<20)
		p.Release()
		c.Assert(err, qt.ErrorIs, ErrBusy)
	})
}

// readerFunc is a body.
type readerFunc func(p []byte) (int, error)

// Read reads from the body.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
