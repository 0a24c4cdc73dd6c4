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

// callers send requests from several goroutines and record what they were told.
type callers struct {
	w    *world
	told faker.EventLog
	stop chan struct{}
	all  sync.WaitGroup
	mu   sync.Mutex
	tell map[string]int // how often each outcome was told
}

// load starts n callers. One in three requests is a booking with a key, one a
// booking without, one may run again. A booking with a key that was not done is
// asked again with the same key through the other entry.
func (w *world) load(n int) *callers {
	c := &callers{w: w, stop: make(chan struct{}), tell: map[string]int{}}
	for i := range n {
		c.all.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(i)))
			for n := 0; ; n++ {
				select {
				case <-c.stop:
					return
				default:
				}
				c.one(rng, fmt.Sprintf("%d-%d", i, n))
			}
		})
	}
	return c
}

func (c *callers) end() {
	close(c.stop)
	c.all.Wait()
}

func (c *callers) one(rng *rand.Rand, name string) {
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
		outcome := c.ask((entry+n)%len(c.w.entryHTTP), method, header, body)
		if header["Idempotency-Key"] == "" || outcome == "done" {
			return
		}
	}
}

// ask sends one request and records what the caller was told.
func (c *callers) ask(entry int, method string, header map[string]string, body []byte) string {
	resp, got, err := c.w.call(entry, method, "/v1/call/association/booking/slots", header, bytes.NewReader(body))
	r := faker.Event{At: time.Now(), Kind: faker.CallReplied, Outcome: "unknown"}
	if resp != nil {
		r.Request = resp.Header.Get("Endivefall-Request")
	}
	switch {
	case err != nil: // no answer, or not a whole one, and the caller knows it
	case resp.Header.Get("Endivefall-Outcome") == "done":
		r.Outcome = "done"
		if resp.StatusCode == http.StatusOK && !bytes.Equal(got, body) {
			r.Mismatch = fmt.Sprintf("got %d bytes of %d", len(got), len(body))
		}
	default:
		r.Outcome = resp.Header.Get("Endivefall-Outcome")
	}
	c.told.Add(r)
	c.mu.Lock()
	c.tell[r.Outcome]++
	var p struct{ Code, Detail string }
	if r.Outcome != "done" && json.Unmarshal(got, &p) == nil {
		c.tell[r.Outcome+" "+p.Code+" "+p.Detail]++
	}
	c.mu.Unlock()
	return r.Outcome
}

func (c *callers) done() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tell["done"]
}

// served waits until so many more requests were done.
func (c *callers) served(n int) {
	from := c.done()
	c.w.eventually(fmt.Sprintf("%d more requests are done", n), func() bool { return c.done() >= from+n })
}

// verify checks all records.
func (w *world) verify(told []faker.Event, rules checker.Rules) {
	w.c.Helper()
	always := func(string) bool { return true }
	if rules.Exclusive == nil {
		rules.Exclusive, rules.FinishOnce = always, always
	}
	bad := checker.Check(append(w.records(), told...), rules)
	w.c.Assert(bad, qt.HasLen, 0)
}

func (w *world) apply(file string) {
	out, code := w.run("apply", "-entry", w.entryHTTP[0], file)
	w.c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	w.inForce("association", 1)
	w.eventually("every entry has the document", func() bool {
		for _, addr := range w.entryHTTP {
			if w.status(addr).Teams["association"] == 0 {
				return false
			}
		}
		return true
	})
}

// TestRequestsThroughKillsFreezesAndLeaving: callers get the whole answer to
// their own request or the truth about it, while agents are killed, frozen and
// sent away.
func TestRequestsThroughKillsFreezesAndLeaving(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 2, 4)
	w.apply("../examples/association.yaml")
	load := w.load(12)
	load.served(300)

	// An agent is killed under load, and started again.
	w.instances[0].agent.signal(syscall.SIGKILL)
	w.ended(w.instances[0].agent)
	load.served(300)
	w.instances[0].agent = w.start("agent-0 again", "agent", w.instances[0].conf)

	// An agent is frozen until the entries have given it up, and woken.
	w.instances[1].agent.signal(syscall.SIGSTOP)
	w.eventually("the entries give the frozen agent up", func() bool {
		return len(w.status(w.entryHTTP[0]).Agents) < 4 && len(w.status(w.entryHTTP[1]).Agents) < 4
	})
	load.served(300)
	w.instances[1].agent.signal(syscall.SIGCONT)
	w.eventually("all agents are back", func() bool {
		return len(w.status(w.entryHTTP[0]).Agents) == 4 && len(w.status(w.entryHTTP[1]).Agents) == 4
	})

	// A target dies in the middle of its answers.
	w.instances[2].fakes.signal(syscall.SIGKILL)
	w.ended(w.instances[2].fakes)
	load.served(300)

	// An agent leaves: nothing in flight is cut off, and nothing new comes.
	leaving := w.instances[3]
	leaving.agent.signal(syscall.SIGTERM)
	left := time.Now().Add(3 * time.Second)
	c.Assert(w.ended(leaving.agent), qt.Equals, 0, qt.Commentf("%s", leaving.agent.logs()))
	load.served(300)
	load.end()
	w.verify(load.told.All(), checker.Rules{NoWorkAfter: map[string]time.Time{leaving.name: left}})
	c.Logf("callers were told: %v", load.tell)
}

// TestEntryLeavesUnderLoad: an entry ends on SIGTERM under load, long bodies
// included, and cuts off nothing.
func TestEntryLeavesUnderLoad(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 2, 2)
	w.apply("../examples/association.yaml")

	// The entry that comes first claims all shards and keeps them for a while.
	leaver := -1
	w.eventually("an entry owns a shard", func() bool {
		leaver = slices.IndexFunc(w.entryHTTP, func(addr string) bool { return len(w.status(addr).Shards) > 0 })
		return leaver >= 0
	})

	// A body of several MB that is sent slowly, across the whole of the end.
	reader, writer := io.Pipe()
	type result struct {
		body []byte
		err  error
	}
	got := make(chan result, 1)
	go func() {
		_, body, err := w.call(leaver, http.MethodPost, "/v1/call/association/booking/long", nil, reader)
		got <- result{body, err}
	}()
	part := bytes.Repeat([]byte("slow "), 40_000)
	_, err := writer.Write(part)
	c.Assert(err, qt.IsNil)
	w.eventually("the long request runs", func() bool { return starts(w.records()) == 1 })

	w.entries[leaver].signal(syscall.SIGTERM)
	// A balancer must be able to see it before connections are refused.
	w.eventually("readiness has turned", func() bool {
		resp, err := w.cheap.Get("http://" + w.entryHTTP[leaver] + "/readyz")
		c.Assert(err, qt.IsNil, qt.Commentf("the entry takes no connections and has not said so"))
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	w.entries[leaver].signal(syscall.SIGTERM) // a second signal changes nothing
	w.eventually("all shards are handed over while the long request runs", func() bool {
		logs := w.entries[leaver].logs()
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
	c.Assert(w.ended(w.entries[leaver]), qt.Equals, 0, qt.Commentf("%s", w.entries[leaver].logs()))
}

// TestOneKeyThroughTwoEntries: the same booking sent through both entries at
// once runs once, and a repeat gets the first run's answer.
func TestOneKeyThroughTwoEntries(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 2, 3)
	w.apply("../examples/association.yaml")
	var all sync.WaitGroup
	for n := range 30 {
		for entry := range 2 {
			all.Go(func() {
				resp, body, err := w.call(entry, http.MethodPost, "/v1/call/association/booking/slots",
					map[string]string{"Idempotency-Key": fmt.Sprint("k", n), "Fake-Sleep": "20ms"}, strings.NewReader(fmt.Sprint("booking ", n)))
				c.Check(err, qt.IsNil)
				if resp != nil && resp.StatusCode != http.StatusOK {
					c.Check(string(body), qt.Contains, "key-running")
				}
			})
		}
	}
	all.Wait()
	for n := range 30 {
		resp, body, err := w.call(n%2, http.MethodPost, "/v1/call/association/booking/slots",
			map[string]string{"Idempotency-Key": fmt.Sprint("k", n)}, strings.NewReader("another body"))
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Header.Get("Endivefall-Replayed"), qt.Equals, "true", qt.Commentf("key %d: %s", n, body))
		c.Assert(string(body), qt.Equals, fmt.Sprint("booking ", n))
	}
	c.Assert(starts(w.records()), qt.Equals, 30)
	w.verify(nil, checker.Rules{})
}
