package e2e

import (
	"bytes"
	"net/http"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestTargetContract: what a target may do, and what its caller is told.
func TestTargetContract(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 1, 1)
	w.apply("../examples/association.yaml")
	const to = "/v1/call/association/booking/slots"
	for _, one := range []struct {
		name    string
		header  map[string]string
		body    string
		status  int
		outcome string
		cut     bool // the caller sees that the answer is not whole
	}{
		{name: "an answer", body: "booking", status: 200, outcome: "done"},
		{name: "no body", status: 200, outcome: "done"},
		{name: "a fault of its own is its answer", header: map[string]string{"Fake-Status": "500"}, body: "x", status: 500, outcome: "done"},
		{name: "an answer without a body", header: map[string]string{"Fake-Status": "204"}, status: 204, outcome: "done"},
		{name: "a redirect is not followed", header: map[string]string{"Fake-Status": "302"}, status: 302, outcome: "done"},
		{name: "an answer that breaks off", header: map[string]string{"Fake-Cut": "100000"}, body: strings.Repeat("x", 200_000), status: 200, outcome: "done", cut: true},
		{name: "an answer after the deadline", header: map[string]string{"Fake-Sleep": "1h", "Endivefall-Deadline": "200ms"}, status: 504, outcome: "unknown"},
	} {
		t.Run(one.name, func(t *testing.T) {
			c := qt.New(t)
			resp, got, err := w.call(0, http.MethodPost, to, one.header, strings.NewReader(one.body))
			if one.cut {
				c.Assert(err != nil || len(got) < 200_000, qt.IsTrue)
				c.Assert(err, qt.IsNotNil, qt.Commentf("%d bytes looked whole", len(got)))
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(resp.StatusCode, qt.Equals, one.status, qt.Commentf("%s", got))
			c.Assert(resp.Header.Get("Endivefall-Outcome"), qt.Equals, one.outcome)
			if one.outcome == "done" && one.status == 200 {
				c.Assert(bytes.Equal(got, []byte(one.body)), qt.IsTrue)
			}
		})
	}
	w.instances[0].fakes.signal(syscall.SIGKILL)
	w.ended(w.instances[0].fakes)
	resp, got, err := w.call(0, http.MethodPost, to, nil, strings.NewReader("x"))
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", got))
	c.Assert(resp.Header.Get("Endivefall-Outcome"), qt.Equals, "not-run")
	c.Assert(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
}
