package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/faker"
)

func document(deadline int) string {
	return fmt.Sprintf("team: association\nservices:\n  - name: booking\n    deadline: %ds\n", deadline)
}

// put writes a document if its current ETag is match, or if there is none yet when
// match is empty. It returns the response and its body.
func (w *world) put(entry int, text, match string) (*http.Response, string) {
	header := map[string]string{"If-Match": match}
	if match == "" {
		header = map[string]string{"If-None-Match": "*"}
	}
	resp, body, err := w.call(entry, http.MethodPut, "/v1/teams/association", header, strings.NewReader(text))
	w.c.Assert(err, qt.IsNil)
	return resp, string(body)
}

// TestConcurrentDocumentEdits edits a document through both entries at once. Each
// accepted edit must be based on the version before it, and no agent may return to
// an older version.
func TestConcurrentDocumentEdits(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 2, 2)
	resp, _ := w.put(0, document(10), "")
	c.Assert(resp.StatusCode, qt.Equals, 200)

	var mu sync.Mutex
	accepted := map[string]int{} // accepted edits by the ETag they were based on
	stop := make(chan struct{})
	var watching, editing sync.WaitGroup
	for _, in := range w.instances {
		watching.Go(func() { // versions only grow
			last := uint64(0)
			for {
				select {
				case <-stop:
					return
				default:
				}
				current := w.status(in.http).Teams["association"]
				c.Check(current >= last, qt.IsTrue, qt.Commentf("%s went back from %d to %d", in.name, last, current))
				last = max(current, last)
			}
		})
	}
	for n := range 4 {
		editing.Go(func() {
			for edit := range 15 {
				got, _, err := w.call(n%2, http.MethodGet, "/v1/teams/association", nil, nil)
				c.Check(err, qt.IsNil)
				tag := got.Header.Get("ETag")
				resp, body := w.put((n+edit)%2, document(10+n), tag)
				if resp.StatusCode == http.StatusOK {
					mu.Lock()
					accepted[tag]++
					mu.Unlock()
					continue
				}
				c.Check(resp.StatusCode, qt.Equals, http.StatusPreconditionFailed, qt.Commentf("%s", body))
			}
		})
	}
	editing.Wait()
	got, _, err := w.call(0, http.MethodGet, "/v1/teams/association", nil, nil)
	c.Assert(err, qt.IsNil)
	var version uint64
	_, err = fmt.Sscanf(got.Header.Get("ETag"), `"%d"`, &version)
	c.Assert(err, qt.IsNil)
	w.waitForVersion("association", version)
	close(stop)
	watching.Wait()
	for tag, n := range accepted {
		c.Assert(n, qt.Equals, 1, qt.Commentf("two edits of version %s were accepted", tag))
	}
}

// TestAcceptedDocumentSurvivesOutageAndRestart stops the store just after a
// document was accepted. The document must still come into force everywhere, also
// at an entry that starts during the outage and gets it from its peers.
func TestAcceptedDocumentSurvivesOutageAndRestart(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 2, 2)
	resp, _ := w.put(0, document(10), "")
	c.Assert(resp.StatusCode, qt.Equals, 200)
	w.waitForVersion("association", 1)
	resp, body := w.put(0, document(20), resp.Header.Get("ETag"))
	c.Assert(resp.StatusCode, qt.Equals, 200, qt.Commentf("%s", body))
	w.setFaults(faker.PlatformFaults{Down: true})
	var version uint64
	_, err := fmt.Sscanf(resp.Header.Get("ETag"), `"%d"`, &version)
	c.Assert(err, qt.IsNil)
	w.waitForVersion("association", version)

	for i := range w.entries { // one after the other
		w.entries[i].signal(syscall.SIGKILL)
		w.waitExit(w.entries[i])
		w.entries[i] = w.start(fmt.Sprintf("entry-%d again", i), "entry", w.confs[i])
		w.eventually("the entry has the document again", func() bool {
			return w.status(w.entryHTTP[i]).Teams["association"] == version
		})
	}
	resp, _, err = w.call(0, http.MethodGet, "/v1/call/association/booking/x", nil, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, 200)

	// While the store is down, edits are refused with a Retry-After header.
	resp, body = w.put(0, document(30), fmt.Sprintf(`"%d"`, version))
	c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", body))
	c.Assert(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	w.setFaults(faker.PlatformFaults{})
	w.eventually("an edit is accepted again", func() bool {
		resp, _ := w.put(0, document(30), fmt.Sprintf(`"%d"`, version))
		return resp.StatusCode == http.StatusOK
	})
}

// TestLostStoreReply checks a write that takes effect although the store's reply is
// lost: the operator gets a response only once the outcome is known.
func TestLostStoreReply(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 1, 1)
	w.setFaults(faker.PlatformFaults{LoseReplies: 3})
	resp, body := w.put(0, document(10), "")
	c.Assert(resp.StatusCode, qt.Equals, 200, qt.Commentf("%s", body))
	var version uint64
	_, err := fmt.Sscanf(resp.Header.Get("ETag"), `"%d"`, &version)
	c.Assert(err, qt.IsNil)
	w.waitForVersion("association", version)
}

// TestBadDocumentChangesNothing checks that a document with errors is refused, and
// that each error is reported with its position.
func TestBadDocumentChangesNothing(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 1, 1)
	resp, body := w.put(0, "team: association\nservices:\n  - name: booking\n    slots: many\n    color: red\n", "")
	c.Assert(resp.StatusCode, qt.Equals, http.StatusUnprocessableEntity)
	c.Assert(body, qt.Contains, `"line":4,"column":12,"field":"services[0].slots"`)
	c.Assert(body, qt.Contains, `"line":5,"column":5,"field":"services[0].color"`)
	resp, _, err := w.call(0, http.MethodGet, "/v1/teams/association", nil, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusNotFound)
}
