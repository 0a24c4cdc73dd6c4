package dispatcher

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/limiter"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/responder"
)

// TestConnectionIsUsedAgainOnlyAfterAWholeBody guards against the rest of a body that ended with an
// error being parsed as the next request.
func TestConnectionIsUsedAgainOnlyAfterAWholeBody(t *testing.T) {
	for name, tc := range map[string]struct {
		err  error
		want string
	}{
		"whole":     {io.EOF, ""},
		"unread":    {nil, "close"},
		"slow":      {limiter.ErrSlow, "close"},
		"too large": {errTooLarge, "close"},
		"cut short": {io.ErrUnexpectedEOF, "close"},
	} {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			q := &request{body: newBody(http.NoBody, 0)}
			q.body.err = tc.err
			q.closeIfUnread(w)
			qt.Assert(t, w.Header().Get("Connection"), qt.Equals, tc.want)
		})
	}
}

// TestRestOfASlowBodyIsNoRequest checks the same with a server in full duplex.
func TestRestOfASlowBodyIsNoRequest(t *testing.T) {
	c := qt.New(t)
	handled, slow := make(chan string, 2), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handled <- r.URL.Path
		q := &request{r: r, body: newBody(r.Body, 1<<20)}
		defer q.drain(w)
		_ = http.NewResponseController(w).EnableFullDuplex()
		body, _ := q.body.newReader()
		_, err := io.Copy(io.Discard, body)
		c.Check(err, qt.ErrorIs, limiter.ErrSlow)
		q.closeIfUnread(w)
		w.WriteHeader(http.StatusServiceUnavailable)
		close(slow)
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	share := limiter.Streams()
	share.BodyTimeout = 20 * time.Millisecond
	limited := limiter.Process{}.Group(meter.Callers, share).Attach(server, listener)
	go func() { _ = server.Serve(limited) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = fmt.Fprint(conn, "POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\nxxx")
	c.Assert(err, qt.IsNil)
	<-slow
	_, _ = fmt.Fprint(conn, "GET /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nConnection: close\r\n\r\n")
	_, _ = io.Copy(io.Discard, conn)
	c.Assert(handled, qt.HasLen, 1)
}

// TestSlowBodyIsAnsweredAsShed checks that a caller whose body was too slow is told to try again,
// and that the request has not run only if that is known.
func TestSlowBodyIsAnsweredAsShed(t *testing.T) {
	for name, tc := range map[string]struct {
		err        error
		mayHaveRun bool
		status     int
		outcome    responder.Outcome
	}{
		"slow":             {limiter.ErrSlow, false, http.StatusServiceUnavailable, responder.NotRun},
		"slow, passed on":  {limiter.ErrSlow, true, http.StatusBadGateway, responder.Unknown},
		"too large":        {errTooLarge, false, http.StatusRequestEntityTooLarge, responder.NotRun},
		"cut short":        {errors.New("reset"), false, http.StatusBadRequest, responder.NotRun},
		"cut short, began": {errors.New("reset"), true, http.StatusBadRequest, responder.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := &Dispatcher{cfg: Config{Now: time.Now}}
			q := &request{body: newBody(http.NoBody, 0)}
			q.body.err = tc.err
			p := d.bodyProblem(q, tc.mayHaveRun)
			c.Assert(p.Status, qt.Equals, tc.status)
			c.Assert(p.Outcome, qt.Equals, tc.outcome)
			c.Assert(p.RetryAt.IsZero(), qt.Equals, tc.status != http.StatusServiceUnavailable)
		})
	}
}
