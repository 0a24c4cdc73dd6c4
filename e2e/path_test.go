package e2e

import (
	"bytes"
	"context"
	"crypto/rand"
	"net/http"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/faker"
)

// TestWholePath applies a document, calls a target, runs a batch job, and
// terminates every process while requests are in flight.
func TestWholePath(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 2, 3)

	// An operator's document is accepted and comes into force at every agent.
	out, code := w.run("apply", "-entry", w.entryHTTP[0], "../examples/association.yaml")
	c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	c.Assert(out, qt.Contains, "association is in force")
	w.waitForVersion("association", 1)
	w.eventually("the second entry has the document too", func() bool { return w.status(w.entryHTTP[1]).Teams["association"] > 0 })

	// A target answers a caller's request, with several MB in both directions.
	body := make([]byte, 5<<20)
	_, _ = rand.Read(body)
	for entry := range w.entryHTTP {
		resp, got, err := w.call(entry, http.MethodPost, "/v1/call/association/booking/slots?day=1", nil, bytes.NewReader(body))
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, 200, qt.Commentf("%s", got))
		c.Assert(resp.Header.Get("Endivefall-Outcome"), qt.Equals, "done")
		c.Assert(bytes.Equal(got, body), qt.IsTrue)
	}

	// The tasks of a batch job are granted, run under leases and finish once each.
	out, code = w.run("submit", "-entry", w.entryHTTP[1], "-run", "first", "-wait", "association/rolls")
	c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	c.Assert(out, qt.Contains, "40 of 40 tasks done")
	out, _ = w.run("status", "-entry", w.entryHTTP[0], "association/rolls/first")
	c.Assert(out, qt.Contains, "done: 40 of 40")
	assertEachFinishedOnce(c, w.records(), 40)

	// SIGTERM interrupts no request: a slow one is in flight at entry and agent.
	type result struct {
		resp *http.Response
		body []byte
		err  error
	}
	results := make(chan result, 2)
	for entry := range w.entryHTTP {
		go func() {
			resp, got, err := w.call(entry, http.MethodPost, "/v1/call/association/booking/slow", map[string]string{"Fake-Sleep": "1500ms"}, strings.NewReader("late"))
			results <- result{resp, got, err}
		}()
	}
	w.eventually("both requests run", func() bool { return countCallStarts(w.records()) == 4 })
	for _, in := range w.instances {
		in.agent.signal(syscall.SIGTERM)
	}
	for _, e := range w.entries {
		e.signal(syscall.SIGTERM)
	}
	for range w.entryHTTP {
		r := <-results
		c.Assert(r.err, qt.IsNil)
		c.Assert(string(r.body), qt.Equals, "late")
	}
	for _, p := range append(w.entries, w.instances[0].agent, w.instances[1].agent, w.instances[2].agent) {
		c.Assert(w.waitExit(p), qt.Equals, 0, qt.Commentf("%s", p.logs()))
	}
}

func countCallStarts(records []faker.Event) int {
	n := 0
	for _, r := range records {
		if r.Kind == faker.CallStart {
			n++
		}
	}
	return n
}

// assertEachFinishedOnce checks that n tasks finished, each of them once.
func assertEachFinishedOnce(c *qt.C, records []faker.Event, n int) {
	c.Helper()
	finished := map[string]int{}
	for _, r := range records {
		if r.Kind == faker.TaskFinish {
			finished[r.Task]++
		}
	}
	c.Assert(finished, qt.HasLen, n)
	for task, times := range finished {
		c.Assert(times, qt.Equals, 1, qt.Commentf("%s", task))
	}
}

// TestCallerDisconnectCancelsRequest checks that the request at the target ends
// when the caller disconnects. The request has no body, because a net/http server
// detects the disconnect only after it has read the body.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 1, 1)
	w.apply("../examples/association.yaml")
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.entryHTTP[0]+"/v1/call/association/booking/long", nil)
	c.Assert(err, qt.IsNil)
	req.Header.Set("Fake-Sleep", "1h")
	req.Header.Set("Endivefall-Deadline", "10m")
	callErr := make(chan error, 1)
	go func() {
		_, err := w.client.Do(req)
		callErr <- err
	}()
	w.eventually("the request runs", func() bool { return countCallStarts(w.records()) == 1 })
	cancel()
	c.Assert(<-callErr, qt.ErrorIs, context.Canceled)
	w.eventually("the target's request ends", func() bool {
		for _, r := range w.records() {
			if r.Kind == faker.CallEnd {
				return true
			}
		}
		return false
	})
}

// TestDeadlineExceededIsOutcomeUnknown checks that a caller gets the outcome
// unknown when the deadline passes while the target still works.
func TestDeadlineExceededIsOutcomeUnknown(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 1, 1)
	w.apply("../examples/association.yaml")
	resp, body, err := w.call(0, http.MethodPost, "/v1/call/association/booking/long",
		map[string]string{"Fake-Sleep": "1h", "Endivefall-Deadline": "300ms"}, strings.NewReader("x"))
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusGatewayTimeout, qt.Commentf("%s", body))
	c.Assert(resp.Header.Get("Endivefall-Outcome"), qt.Equals, "unknown")
}
