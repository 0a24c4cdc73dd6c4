package limiter

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// innerRequest is a body that is a request if the server takes it for one.
const innerRequest = "GET /inner HTTP/1.1\r\nHost: h\r\n\r\n"

// TestRestOfABodyIsNoRequest guards against a server that takes the unread rest of a body for the
// next request of its connection.
func TestRestOfABodyIsNoRequest(t *testing.T) {
	for name, answer := range map[string]func(http.ResponseWriter, *http.Request){
		"closed early": func(w http.ResponseWriter, r *http.Request) {
			_ = r.Body.Close()
			w.WriteHeader(http.StatusOK)
		},
		"full duplex": func(w http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(w).EnableFullDuplex()
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, GroupConfig{Conns: 10}, func(_ *Group, w http.ResponseWriter, r *http.Request) { answer(w, r) })
			conn := s.open(post(1<<20, 0) + innerRequest)
			_, _ = io.Copy(io.Discard, conn)
			s.c.Assert(s.entered, qt.HasLen, 1)
		})
	}
}

// TestRefusalOfALargeBodyReachesItsCaller guards against a reset of the connection that discards
// the 413 while the caller still sends.
func TestRefusalOfALargeBodyReachesItsCaller(t *testing.T) {
	s := newTestServer(t, GroupConfig{Conns: 10}, func(g *Group, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		readBody(g, w, r)
	})
	for range 10 {
		resp, err := http.Post("http://"+s.addr, "", strings.NewReader(strings.Repeat("x", 4<<20)))
		s.c.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
		s.c.Assert(resp.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
	}
}

// TestRefusalDoesNotWaitForAnExpectedBody guards against a server that waits for the body of a
// caller that waits for the response.
func TestRefusalDoesNotWaitForAnExpectedBody(t *testing.T) {
	for _, size := range []int{10, 5000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			s := newTestServer(t, GroupConfig{Conns: 10, BodyTimeout: 2 * testWait}, func(_ *Group, w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusTooManyRequests)
				_, _ = w.Write(make([]byte, size))
			})
			fastest := testWait
			for range 5 { // a single one may be late on a busy machine
				started := time.Now()
				status, _ := s.status(s.open("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\nExpect: 100-continue\r\n\r\n"))
				s.c.Assert(status, qt.Equals, http.StatusTooManyRequests)
				fastest = min(fastest, time.Since(started))
			}
			s.c.Assert(fastest < discardTimeout, qt.IsTrue, qt.Commentf("%s", fastest))
		})
	}
}

// TestHandlersBehindAMux checks that path values and the pattern reach a handler with the body.
func TestHandlersBehindAMux(t *testing.T) {
	s := newTestServer(t, GroupConfig{Conns: 10}, func(_ *Group, w http.ResponseWriter, r *http.Request) {
		mux := http.NewServeMux()
		mux.HandleFunc("POST /{name}", func(w http.ResponseWriter, r *http.Request) {
			raw, _ := io.ReadAll(r.Body)
			_, _ = fmt.Fprint(w, r.PathValue("name"), "|", r.Pattern, "|", string(raw))
		})
		mux.ServeHTTP(w, r)
	})
	_, body := s.status(s.open("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxx"))
	s.c.Assert(body, qt.Equals, "a|POST /{name}|xx")
}

// TestRequestOfAClosedConnectionIsNotHandled guards against a handler that acts on a request whose
// connection was closed to make room just before, and which gets no response.
func TestRequestOfAClosedConnectionIsNotHandled(t *testing.T) {
	for name, body := range map[string]string{"without body": "", "with body": "x"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			g := NewGroup(GroupConfig{Conns: 1, BodyTimeout: testWait, MinRate: 1})
			near, far := net.Pipe()
			defer func() { _, _ = near.Close(), far.Close() }()
			conn := &Conn{Conn: near, group: g}
			g.add(conn)
			r, err := http.NewRequestWithContext(context.WithValue(context.Background(), connKey{}, conn), http.MethodPost, "/", strings.NewReader(body))
			c.Assert(err, qt.IsNil)
			c.Assert(g.add(&Conn{group: g}), qt.IsTrue) // in place of the first
			handled := false
			h := g.guard(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				p, err := g.ReadAll(r, 10)
				p.Release()
				handled = err == nil
			}))
			h.ServeHTTP(httptest.NewRecorder(), r)
			c.Assert(handled, qt.IsFalse)
		})
	}
}

// TestRequestThatBecomesWholeOnAClosedConnection checks the same where the body is complete before
// the connection is closed.
func TestRequestThatBecomesWholeOnAClosedConnection(t *testing.T) {
	outcome := make(chan error, 1)
	s := newTestServer(t, GroupConfig{Conns: 1}, func(g *Group, _ http.ResponseWriter, r *http.Request) {
		g.remove(connOf(r.Context()))
		p, err := g.ReadAll(r, 1000)
		p.Release()
		outcome <- err
	})
	s.open(post(10, 10))
	s.c.Assert(<-outcome, qt.ErrorIs, ErrBusy)
}
