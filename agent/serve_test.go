package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/admitter"
	"github.com/endivefall/endivefall/configurer"
	"github.com/endivefall/endivefall/messenger"
)

// When a reused connection breaks, net/http resends a request with an idempotency
// key by itself, unless it cannot rewind the body. Here the target reads a second
// request on a kept connection and closes it without a response.
func TestTransportNeverRepeatsARequest(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	var bookings atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if r.Method == http.MethodPost {
			bookings.Add(1)
			panic(http.ErrAbortHandler)
		}
	})}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()

	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for name, body := range map[string]io.ReadCloser{"empty": &emptyBody{}, "with bytes": io.NopCloser(strings.NewReader("booking"))} {
		warmUp, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String(), nil)
		c.Assert(err, qt.IsNil)
		resp, err := transport.RoundTrip(warmUp)
		c.Assert(err, qt.IsNil)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()

		bookings.Store(0)
		req, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String(), nil)
		c.Assert(err, qt.IsNil)
		req.Header.Set("Idempotency-Key", "k")
		req.Body = body
		if name != "empty" {
			req.ContentLength = 7
		}
		_, err = transport.RoundTrip(req)
		c.Assert(err, qt.IsNotNil)
		c.Assert(bookings.Load(), qt.Equals, int64(1), qt.Commentf(name))
	}
}

// If the process is frozen between admission and the call to the target, the
// deadline has passed when it resumes. The request did not run and must be
// refused, not reported as a failure.
func TestARequestPastItsDeadlineIsRefusedAfterAdmission(t *testing.T) {
	c := qt.New(t)
	a := New(Config{Log: zap.NewNop(), Settings: configurer.Agent{Team: "association", Service: "booking"}})
	arrived := a.now()
	calls := 0
	a.now = func() time.Time {
		if calls++; calls == 1 {
			return arrived
		}
		return arrived.Add(time.Hour) // the process was frozen
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	client := newTestConn(ctx, c, a.serve)
	call := messenger.Call{Team: "association", Service: "booking", Method: http.MethodPost, Path: "/slots", Deadline: arrived.Add(time.Minute)}
	c.Assert(messenger.WriteFrame(ctx, client, messenger.Frame{Kind: messenger.KindCall, ID: 1, Call: &call}), qt.IsNil)
	reply, err := messenger.ReadFrame(ctx, client)
	c.Assert(err, qt.IsNil)
	c.Assert(reply.Kind, qt.Equals, messenger.KindRefusal)
	c.Assert(reply.Refusal.Reason, qt.Equals, admitter.ReasonTooLate)
}

// The deadline may pass at the agent a moment before it passes at the entry, which
// could then not tell it from a fault of the target. The response must report it.
func TestResponseReportsDeadlineExceeded(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/broken" {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.ReadAll(r.Body) // once the body is read, the server notices a disconnected client
		<-r.Context().Done()
	}))
	defer target.Close()
	a := New(Config{Log: zap.NewNop(), Settings: configurer.Agent{
		Team: "association", Service: "booking", Target: netip.MustParseAddrPort(strings.TrimPrefix(target.URL, "http://")),
	}})
	for path, deadlineExceeded := range map[string]bool{"/slow": true, "/broken": false} {
		client := newTestConn(ctx, c, a.forward)
		call := messenger.Call{Method: http.MethodPost, Path: path, Deadline: a.now().Add(200 * time.Millisecond)}
		if !deadlineExceeded {
			call.Deadline = a.now().Add(time.Minute)
		}
		c.Assert(messenger.WriteFrame(ctx, client, messenger.Frame{Kind: messenger.KindCall, ID: 1, Call: &call}), qt.IsNil)
		reply, err := messenger.ReadFrame(ctx, client)
		c.Assert(err, qt.IsNil)
		c.Assert(reply.Kind, qt.Equals, messenger.KindResponse)
		c.Assert(reply.Response.Fault, qt.Not(qt.Equals), "")
		c.Assert(reply.Response.DeadlineExceeded, qt.Equals, deadlineExceeded, qt.Commentf(path))
	}
}

// newTestConn returns the client side of a connection whose calls are handled by
// accept.
func newTestConn(ctx context.Context, c *qt.C, accept func(context.Context, *messenger.Stream, *messenger.Call)) *websocket.Conn {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		conn := messenger.New(messenger.Config{Socket: ws, Accept: accept, Handle: func(*messenger.Conn, messenger.Frame) {}})
		_ = conn.Run(r.Context())
	}))
	c.Cleanup(server.Close)
	client, _, err := websocket.Dial(ctx, strings.Replace(server.URL, "http", "ws", 1), nil)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = client.CloseNow() })
	return client
}
