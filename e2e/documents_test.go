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

// put sends a document and returns the answer and the version in its ETag.
func (w *world) put(entry int, text, match string) (*http.Response, string) {
	header := map[string]string{"If-Match": match}
	if match == "" {
		header = map[string]string{"If-None-Match": "*"}
	}
	resp, body, err := w.call(entry, http.MethodPut, "/v1/teams/association", header, strings.NewReader(text))
	w.c.Assert(err, qt.IsNil)
	return resp, string(body)
}

// TestOperatorsRace: operators edit through both entries at once. Each accepted
// edit was made from the version before it, and no process ever goes back.
func TestOperatorsRace(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 2, 2)
	resp, _ := w.put(0, document(10), "")
	c.Assert(resp.StatusCode, qt.Equals, 200)

	var mu sync.Mutex
	accepted := map[string]int{} // version edited from, to how often it was accepted
	stop := make(chan struct{})
	var watching, editing sync.WaitGroup
	for _, in := range w.instances {
		watching.Go(func() { // a version only grows
			last := uint64(0)
			for {
				select {
				case <-stop:
					return
				default:
				}
				now := w.status(in.http).Teams["association"]
				c.Check(now >= last, qt.IsTrue, qt.Commentf("%s went back from %d to %d", in.name, last, now))
				last = max(now, last)
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
	w.inForce("association", version)
	close(stop)
	watching.Wait()
	for tag, n := range accepted {
		c.Assert(n, qt.Equals, 1, qt.Commentf("two edits of version %s were accepted", tag))
	}
}

// TestAcceptedDocumentSurvivesOutageAndRestart: the store goes down just after
// a document was accepted. It is in force everywhere all the same, also at an
// entry that starts in the outage and learns it from its peers.
func TestAcceptedDocumentSurvivesOutageAndRestart(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 2, 2)
	resp, _ := w.put(0, document(10), "")
	c.Assert(resp.StatusCode, qt.Equals, 200)
	w.inForce("association", 1)
	resp, body := w.put(0, document(20), resp.Header.Get("ETag"))
	c.Assert(resp.StatusCode, qt.Equals, 200, qt.Commentf("%s", body))
	w.fault(faker.PlatformFaults{Down: true})
	var version uint64
	_, err := fmt.Sscanf(resp.Header.Get("ETag"), `"%d"`, &version)
	c.Assert(err, qt.IsNil)
	w.inForce("association", version)

	for i := range w.entries { // both, one after the other
		w.entries[i].signal(syscall.SIGKILL)
		w.ended(w.entries[i])
		w.entries[i] = w.start(fmt.Sprintf("entry-%d again", i), "entry", w.confs[i])
		w.eventually("the entry has the document again", func() bool {
			return w.status(w.entryHTTP[i]).Teams["association"] == version
		})
	}
	resp, _, err = w.call(0, http.MethodGet, "/v1/call/association/booking/x", nil, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, 200)

	// While the store is down no edit is accepted, and the operator is told.
	resp, body = w.put(0, document(30), fmt.Sprintf(`"%d"`, version))
	c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", body))
	c.Assert(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	w.fault(faker.PlatformFaults{})
	w.eventually("an edit is accepted again", func() bool {
		resp, _ := w.put(0, document(30), fmt.Sprintf(`"%d"`, version))
		return resp.StatusCode == http.StatusOK
	})
}

// TestLostAnswerOfTheStore: the store takes the write and loses its answer. The
// operator is not told before it is known, and then the truth.
func TestLostAnswerOfTheStore(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 1, 1)
	w.fault(faker.PlatformFaults{LoseReplies: 3})
	resp, body := w.put(0, document(10), "")
	c.Assert(resp.StatusCode, qt.Equals, 200, qt.Commentf("%s", body))
	var version uint64
	_, err := fmt.Sscanf(resp.Header.Get("ETag"), `"%d"`, &version)
	c.Assert(err, qt.IsNil)
	w.inForce("association", version)
}

// TestBadDocumentChangesNothing: every fault is named with its place.
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
