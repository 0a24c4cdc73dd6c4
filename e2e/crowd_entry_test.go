package e2e

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
)

// TestCrowdsAtEntry checks that callers and peers that leave large bodies unfinished do not
// exhaust the memory or the descriptors of an entry, nor keep others from service.
func TestCrowdsAtEntry(t *testing.T) {
	withPlainBinary(t)
	const call, document = "/v1/call/association/booking/slots", "/v1/teams/association"
	calls := func(w *world, _ string) func() bool {
		return func() bool {
			resp, _, err := w.call(0, http.MethodPost, call, map[string]string{"Connection": "close"}, strings.NewReader("well"))
			return err == nil && resp.StatusCode == http.StatusOK
		}
	}
	greets := func(_ *world, peer string) func() bool {
		return func() bool {
			ws, _, err := messenger.Dial(context.Background(), netip.MustParseAddrPort(peer), messenger.Hello{Version: messenger.Version, ID: "x", Incarnation: "1", Secret: "shared"})
			if err != nil {
				return false
			}
			_ = ws.CloseNow()
			return true
		}
	}
	for _, tc := range []struct {
		crowd    *crowd
		peer     bool
		ordinary func(*world, string) func() bool
	}{
		{bodyCrowd("calls", http.MethodPost, call, 512<<10), false, calls},
		{bodyCrowd("documents", http.MethodPut, document, 200<<10), false, calls},
		{upgradeCrowd("upgrades", messenger.PeerPath, 512<<10), true, greets},
	} {
		t.Run(tc.crowd.name, func(t *testing.T) {
			w := newWorldSettings(t, 1, 1, "3s", "60s", crowdSettings(crowdMemory, crowdDescriptors))
			w.apply("../examples/association.yaml")
			text, err := os.ReadFile(w.confs[0])
			w.c.Assert(err, qt.IsNil)
			_, rest, _ := strings.Cut(string(text), "peer: ")
			peer, _, _ := strings.Cut(rest, "\n")
			addr := w.entryHTTP[0]
			if tc.peer {
				addr = peer
			}
			tc.crowd.check(w.c, w, w.entries[0], addr, crowdConns, crowdMemory, crowdDescriptors, tc.ordinary(w, peer))
		})
	}
}

// TestCrowdsAtAgent checks the same for the listener of an agent.
func TestCrowdsAtAgent(t *testing.T) {
	withPlainBinary(t)
	w := newWorldSettings(t, 1, 1, "3s", "60s", crowdSettings(crowdMemory, crowdDescriptors))
	in := w.instances[0]
	bodyCrowd("health", http.MethodPost, "/healthz", 512<<10).check(w.c, w, in.agent, in.http, crowdConns, crowdMemory, crowdDescriptors, func() bool {
		req, err := http.NewRequest(http.MethodGet, "http://"+in.http+"/healthz", nil)
		w.c.Assert(err, qt.IsNil)
		req.Close = true
		resp, err := w.client.Do(req)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}
