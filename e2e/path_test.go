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

// TestWholePath applies a document, calls a target, runs a batch job, and ends
// every process while work is in flight.
func TestWholePath(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 2, 3)

	// An operator's document is accepted and in force at every agent.
	out, code := w.run("apply", "-entry", w.entryHTTP[0], "../examples/association.yaml")
	c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	c.Assert(out, qt.Contains, "association is in force")
	w.inForce("association", 1)
	w.eventually("the second entry has the document too", func() bool { return w.status(w.entryHTTP[1]).Teams["association"] > 0 })

	// A caller's request is answered by a target, several MB both ways.
	body := make([]byte, 5<<20)
	_, _ = rand.Read(body)
	for entry := range w.entryHTTP {
		resp, got, err := w.call(entry, http.MethodPost, "/v1/call/association/booking/slots?day=1", nil, bytes.NewReader(body))
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, 200, qt.Commentf("%s", got))
		c.Assert(resp.Header.Get("Endivefall-Outcome"), qt.Equals, "done")
		c.Assert(bytes.Equal(got, body), qt.IsTrue)
	}

	// A batch job's tasks are granted, run under leases and finish once each.
	out, code = w.run("submit", "-entry", w.entryHTTP[1], "-run", "first", "-wait", "association/rolls")
	c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	c.Assert(out, qt.Contains, "40 of 40 tasks done")
	out, _ = w.run("status", "-entry", w.entryHTTP[0], "association/rolls/first")
	c.Assert(out, qt.Contains, "done: 40 of 40")
	assertOnceEach(c, w.records(), 40)

	// SIGTERM cuts nothing off: a slow request is inside entry and agent.
	type result struct {
		resp *http.Response
		body []byte
		err  error
	}
	answers := make(chan result, 2)
	for entry := range w.entryHTTP {
		go func() {
			resp, got, err := w.call(entry, http.MethodPost, "/v1/call/association/booking/slow", map[string]string{"Fake-Sleep": "1500ms"}, strings.NewReader("late"))
			answers <- result{resp, got, err}
		}()
	}
	w.eventually("both requests run", func() bool { return starts(w.records()) == 4 })
	for _, in := range w.instances {
		in.agent.signal(syscall.SIGTERM)
	}
	for _, e := range w.entries {
		e.signal(syscall.SIGTERM)
	}
	for range w.entryHTTP {
		r := <-answers
		c.Assert(r.err, qt.IsNil)
		c.Assert(string(r.body), qt.Equals, "late")
	}
	for _, p := range append(w.entries, w.instances[0].agent, w.instances[1].agent, w.instances[2].agent) {
		c.Assert(w.ended(p), qt.Equals, 0, qt.Commentf("%s", p.logs()))
	}
}

func starts(records []faker.Event) int {
	n := 0
	for _, r := range records {
		if r.Kind == faker.CallStart {
			n++
		}
	}
	return n
}

// assertOnceEach checks that each of n tasks was started and finished once.
func assertOnceEach(c *qt.C, records []faker.Event, n int) {
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

// TestCallerThatGoesEndsItsRequest: the cancel reaches the target. (A server of
// net/http sees that its caller went only once it has read the body, so the
// request has none.)
func TestCallerThatGoesEndsItsRequest(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 1, 1)
	w.apply("../examples/association.yaml")
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.entryHTTP[0]+"/v1/call/association/booking/long", nil)
	c.Assert(err, qt.IsNil)
	req.Header.Set("Fake-Sleep", "1h")
	req.Header.Set("Endivefall-Deadline", "10m")
	gone := make(chan error, 1)
	go func() {
		_, err := w.cheap.Do(req)
		gone <- err
	}()
	w.eventually("the request runs", func() bool { return starts(w.records()) == 1 })
	cancel()
	c.Assert(<-gone, qt.ErrorIs, context.Canceled)
	w.eventually("the target's request ends", func() bool {
		for _, r := range w.records() {
			if r.Kind == faker.CallEnd {
				return true
			}
		}
		return false
	})
}

// TestDeadlineGivesTheFinalAnswerAtOnce: when the deadline passes while the
// target works, the caller is told unknown, and not before.
func TestDeadlineGivesTheFinalAnswerAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 1, 1)
	w.apply("../examples/association.yaml")
	resp, body, err := w.call(0, http.MethodPost, "/v1/call/association/booking/long",
		map[string]string{"Fake-Sleep": "1h", "Endivefall-Deadline": "300ms"}, strings.NewReader("x"))
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusGatewayTimeout, qt.Commentf("%s", body))
	c.Assert(resp.Header.Get("Endivefall-Outcome"), qt.Equals, "unknown")
}
