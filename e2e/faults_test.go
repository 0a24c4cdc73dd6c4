package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/checker"
	"github.com/endivefall/endivefall/faker"
)

// callers send requests from several goroutines and record the replies.
type callers struct {
	w        *world
	replies  faker.EventLog
	stop     chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	outcomes map[string]int // how often callers got each outcome and, unless done, each outcome with its code and detail
}

// load starts n callers. A third of the requests are bookings with an idempotency
// key, a third are bookings without, and a third are idempotent. A booking with a
// key whose outcome is not done is sent again through the other entry, with the
// same key.
func (w *world) load(n int) *callers {
	c := &callers{w: w, stop: make(chan struct{}), outcomes: map[string]int{}}
	for i := range n {
		c.wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(i)))
			for n := 0; ; n++ {
				select {
				case <-c.stop:
					return
				default:
				}
				c.sendUntilDone(rng, fmt.Sprintf("%d-%d", i, n))
			}
		})
	}
	return c
}

func (c *callers) end() {
	close(c.stop)
	c.wg.Wait()
}

// sendUntilDone sends a random request, up to three times if it has an idempotency
// key.
func (c *callers) sendUntilDone(rng *rand.Rand, name string) {
	body := bytes.Repeat([]byte(name+" "), 1+rng.IntN(3000))
	entry := rng.IntN(len(c.w.entryHTTP))
	header := map[string]string{"Fake-Sleep": fmt.Sprintf("%dms", 1+rng.IntN(30))}
	method := http.MethodPost
	switch rng.IntN(3) {
	case 0:
		header["Idempotency-Key"] = "key-" + name
	case 1:
		method = http.MethodPut
		header["Endivefall-Idempotent"] = "true"
		header["Fake-Repeat"] = "true"
	}
	for n := range 3 {
		outcome := c.send((entry+n)%len(c.w.entryHTTP), method, header, body)
		if header["Idempotency-Key"] == "" || outcome == "done" {
			return
		}
	}
}

// send sends one request, records the reply and returns the outcome.
func (c *callers) send(entry int, method string, header map[string]string, body []byte) string {
	resp, got, err := c.w.call(entry, method, "/v1/call/association/booking/slots", header, bytes.NewReader(body))
	r := faker.Event{At: time.Now(), Kind: faker.CallReplied, Outcome: "unknown"}
	if resp != nil {
		r.Request = resp.Header.Get("Endivefall-Request")
	}
	switch {
	case err != nil: // no response, or one that is visibly incomplete
	case resp.Header.Get("Endivefall-Outcome") == "done":
		r.Outcome = "done"
		if resp.StatusCode == http.StatusOK && !bytes.Equal(got, body) {
			r.Mismatch = fmt.Sprintf("response has %d bytes that differ from the %d sent", len(got), len(body))
		}
	default:
		r.Outcome = resp.Header.Get("Endivefall-Outcome")
	}
	c.replies.Add(r)
	c.mu.Lock()
	c.outcomes[r.Outcome]++
	var p struct{ Code, Detail string }
	if r.Outcome != "done" && json.Unmarshal(got, &p) == nil {
		c.outcomes[r.Outcome+" "+p.Code+" "+p.Detail]++
	}
	c.mu.Unlock()
	return r.Outcome
}

func (c *callers) doneCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcomes["done"]
}

// waitDone waits until n more requests are done.
func (c *callers) waitDone(n int) {
	from := c.doneCount()
	c.w.eventually(fmt.Sprintf("%d more requests are done", n), func() bool { return c.doneCount() >= from+n })
}

// verify checks the records of the fakes and the replies against the rules.
// Without rules, all tasks are exclusive and finish at most once.
func (w *world) verify(replies []faker.Event, rules checker.Rules) {
	w.c.Helper()
	always := func(string) bool { return true }
	if rules.Exclusive == nil {
		rules.Exclusive, rules.FinishOnce = always, always
	}
	violations := checker.Check(append(w.records(), replies...), rules)
	w.c.Assert(violations, qt.HasLen, 0)
}

func (w *world) apply(file string) {
	out, code := w.run("apply", "-entry", w.entryHTTP[0], file)
	w.c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	w.waitForVersion("association", 1)
	w.eventually("every entry has the document", func() bool {
		for _, addr := range w.entryHTTP {
			if w.status(addr).Teams["association"] == 0 {
				return false
			}
		}
		return true
	})
}

// TestRequestsDuringAgentFailures kills, freezes and shuts down agents under load.
// Each caller must get the complete response to its own request, or its true
// outcome.
func TestRequestsDuringAgentFailures(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 2, 4)
	w.apply("../examples/association.yaml")
	load := w.load(12)
	load.waitDone(300)

	// An agent is killed under load and restarted.
	w.instances[0].agent.signal(syscall.SIGKILL)
	w.waitExit(w.instances[0].agent)
	load.waitDone(300)
	w.instances[0].agent = w.start("agent-0 again", "agent", w.instances[0].conf)

	// An agent is frozen until the entries have dropped it, and then resumed.
	w.instances[1].agent.signal(syscall.SIGSTOP)
	w.eventually("the entries drop the frozen agent", func() bool {
		return len(w.status(w.entryHTTP[0]).Agents) < 4 && len(w.status(w.entryHTTP[1]).Agents) < 4
	})
	load.waitDone(300)
	w.instances[1].agent.signal(syscall.SIGCONT)
	w.eventually("all agents are back", func() bool {
		return len(w.status(w.entryHTTP[0]).Agents) == 4 && len(w.status(w.entryHTTP[1]).Agents) == 4
	})

	// A target is killed while it responds.
	w.instances[2].fakes.signal(syscall.SIGKILL)
	w.waitExit(w.instances[2].fakes)
	load.waitDone(300)

	// An agent shuts down: requests in flight complete, and no new ones arrive.
	leaving := w.instances[3]
	leaving.agent.signal(syscall.SIGTERM)
	noWorkAfter := time.Now().Add(3 * time.Second)
	c.Assert(w.waitExit(leaving.agent), qt.Equals, 0, qt.Commentf("%s", leaving.agent.logs()))
	load.waitDone(300)
	load.end()
	w.verify(load.replies.All(), checker.Rules{NoWorkAfter: map[string]time.Time{leaving.name: noWorkAfter}})
	c.Logf("outcomes: %v", load.outcomes)
}

// TestEntryShutdownUnderLoad checks that an entry that gets SIGTERM fails its
// readiness check, hands over its shards, and completes a request whose long body
// is still being sent.
func TestEntryShutdownUnderLoad(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 2, 2)
	w.apply("../examples/association.yaml")

	// The first entry to start claims all shards and keeps them for a while.
	leaving := -1
	w.eventually("an entry owns a shard", func() bool {
		leaving = slices.IndexFunc(w.entryHTTP, func(addr string) bool { return len(w.status(addr).Shards) > 0 })
		return leaving >= 0
	})

	// A body of several MB is sent in parts during the whole shutdown.
	reader, writer := io.Pipe()
	type result struct {
		body []byte
		err  error
	}
	got := make(chan result, 1)
	go func() {
		_, body, err := w.call(leaving, http.MethodPost, "/v1/call/association/booking/long", nil, reader)
		got <- result{body, err}
	}()
	part := bytes.Repeat([]byte("slow "), 40_000)
	_, err := writer.Write(part)
	c.Assert(err, qt.IsNil)
	w.eventually("the long request runs", func() bool { return countCallStarts(w.records()) == 1 })

	w.entries[leaving].signal(syscall.SIGTERM)
	// A load balancer must see the failing check before connections are refused.
	w.eventually("the readiness check fails", func() bool {
		resp, err := w.client.Get("http://" + w.entryHTTP[leaving] + "/readyz")
		c.Assert(err, qt.IsNil, qt.Commentf("the entry refuses connections although its readiness check has not failed"))
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	w.entries[leaving].signal(syscall.SIGTERM) // a second signal changes nothing
	w.eventually("all shards are handed over while the long request runs", func() bool {
		logs := w.entries[leaving].logs()
		claimed := strings.Count(logs, `msg="shard claimed"`)
		return claimed > 0 && strings.Count(logs, `msg="shard left"`) == claimed
	})
	for range 20 {
		_, err := writer.Write(part)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(writer.Close(), qt.IsNil)
	r := <-got
	c.Assert(r.err, qt.IsNil)
	c.Assert(len(r.body), qt.Equals, 21*len(part))
	c.Assert(w.waitExit(w.entries[leaving]), qt.Equals, 0, qt.Commentf("%s", w.entries[leaving].logs()))
}

// TestIdempotencyKeyAcrossEntries checks that a booking that is sent through both
// entries at once, with the same key, runs once, and that a repeated request gets
// the response of the first.
func TestIdempotencyKeyAcrossEntries(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 2, 3)
	w.apply("../examples/association.yaml")
	var wg sync.WaitGroup
	for n := range 30 {
		for entry := range 2 {
			wg.Go(func() {
				resp, body, err := w.call(entry, http.MethodPost, "/v1/call/association/booking/slots",
					map[string]string{"Idempotency-Key": fmt.Sprint("k", n), "Fake-Sleep": "20ms"}, strings.NewReader(fmt.Sprint("booking ", n)))
				c.Check(err, qt.IsNil)
				if resp != nil && resp.StatusCode != http.StatusOK {
					c.Check(string(body), qt.Contains, "key-running")
				}
			})
		}
	}
	wg.Wait()
	for n := range 30 {
		resp, body, err := w.call(n%2, http.MethodPost, "/v1/call/association/booking/slots",
			map[string]string{"Idempotency-Key": fmt.Sprint("k", n)}, strings.NewReader("another body"))
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Header.Get("Endivefall-Replayed"), qt.Equals, "true", qt.Commentf("key %d: %s", n, body))
		c.Assert(string(body), qt.Equals, fmt.Sprint("booking ", n))
	}
	c.Assert(countCallStarts(w.records()), qt.Equals, 30)
	w.verify(nil, checker.Rules{})
}
