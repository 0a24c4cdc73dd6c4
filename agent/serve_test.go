package agent

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestTransportNeverRepeatsARequest: net/http sends a request with an
// idempotency key again of its own accord when a kept connection breaks, unless
// its body is one that it cannot rewind. The target here takes a second request
// on a kept connection and breaks off.
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
	for name, body := range map[string]io.ReadCloser{"empty": &empty{}, "with bytes": io.NopCloser(strings.NewReader("booking"))} {
		warm, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String(), nil)
		c.Assert(err, qt.IsNil)
		resp, err := transport.RoundTrip(warm)
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
