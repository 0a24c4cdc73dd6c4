package commander

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/responder"
)

// newRefusingEntry starts a fake entry that refuses the first requests with p. It
// returns a client of it and the number of requests received.
func newRefusingEntry(c *qt.C, refusals int, p responder.Problem) (*client, *int) {
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		body, err := io.ReadAll(r.Body)
		c.Check(err, qt.IsNil)
		c.Check(string(body), qt.Equals, "document")
		if calls <= refusals {
			p.RetryAt = time.Now().Add(time.Second)
			responder.Write(w, p, time.Now())
			return
		}
		_, _ = io.WriteString(w, "{}")
	}))
	c.Cleanup(server.Close)
	return &client{entry: strings.TrimPrefix(server.URL, "http://")}, &calls
}

// An entry that does not know a shard's owner yet responds with not-run and a
// Retry-After. Without a retry, `status` fails under load (e2e, TestWholePath).
func TestRequestNotRunIsRetriedAfterRetryAfter(t *testing.T) {
	c := qt.New(t)
	cl, calls := newRefusingEntry(c, 1, responder.Problem{Status: 503, Code: "no-owner", Outcome: responder.NotRun})
	_, err := cl.do(context.Background(), cl.base().Put("/x").Body(bytes.NewReader([]byte("document"))))
	c.Assert(err, qt.IsNil)
	c.Assert(*calls, qt.Equals, 2)
}

func TestRequestWithUnknownOutcomeIsNotRetried(t *testing.T) {
	c := qt.New(t)
	cl, calls := newRefusingEntry(c, 1, responder.Problem{Status: 504, Code: "not-known-yet", Outcome: responder.Unknown})
	_, err := cl.do(context.Background(), cl.base().Put("/x").Body(bytes.NewReader([]byte("document"))))
	c.Assert(err, qt.ErrorIs, errUnknownOutcome)
	c.Assert(*calls, qt.Equals, 1)
}
