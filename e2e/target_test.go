package e2e

import (
	"bytes"
	"net/http"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestTargetContract checks which outcome a caller gets for each behaviour of a
// target.
func TestTargetContract(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 1, 1)
	w.apply("../examples/association.yaml")
	const path = "/v1/call/association/booking/slots"
	for _, tc := range []struct {
		name    string
		header  map[string]string
		body    string
		status  int
		outcome string
		cut     bool // the caller can tell that the response is incomplete
	}{
		{name: "an answer", body: "booking", status: 200, outcome: "done"},
		{name: "no body", status: 200, outcome: "done"},
		{name: "an error status is passed on", header: map[string]string{"Fake-Status": "500"}, body: "x", status: 500, outcome: "done"},
		{name: "an answer without a body", header: map[string]string{"Fake-Status": "204"}, status: 204, outcome: "done"},
		{name: "a redirect is not followed", header: map[string]string{"Fake-Status": "302"}, status: 302, outcome: "done"},
		{name: "an answer that is cut short", header: map[string]string{"Fake-Cut": "100000"}, body: strings.Repeat("x", 200_000), status: 200, outcome: "done", cut: true},
		{name: "an answer after the deadline", header: map[string]string{"Fake-Sleep": "1h", "Endivefall-Deadline": "200ms"}, status: 504, outcome: "unknown"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			resp, got, err := w.call(0, http.MethodPost, path, tc.header, strings.NewReader(tc.body))
			if tc.cut {
				c.Assert(err != nil || len(got) < 200_000, qt.IsTrue)
				c.Assert(err, qt.IsNotNil, qt.Commentf("%d bytes were taken for the complete response", len(got)))
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(resp.StatusCode, qt.Equals, tc.status, qt.Commentf("%s", got))
			c.Assert(resp.Header.Get("Endivefall-Outcome"), qt.Equals, tc.outcome)
			if tc.outcome == "done" && tc.status == 200 {
				c.Assert(bytes.Equal(got, []byte(tc.body)), qt.IsTrue)
			}
		})
	}
	w.instances[0].fakes.signal(syscall.SIGKILL)
	w.waitExit(w.instances[0].fakes)
	resp, got, err := w.call(0, http.MethodPost, path, nil, strings.NewReader("x"))
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", got))
	c.Assert(resp.Header.Get("Endivefall-Outcome"), qt.Equals, "not-run")
	c.Assert(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
}
