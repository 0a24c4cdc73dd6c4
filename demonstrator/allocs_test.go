package demonstrator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// maxAllocs bounds the allocations of one request on its whole path, caller and
// target included: about 333 for each of the three hops.
const maxAllocs = 1000

// TestAllocationsOfARequest guards against a growing number of allocations per
// request.
func TestAllocationsOfARequest(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	f, err := startFleet(zap.NewNop(), 1, 1)
	c.Assert(err, qt.IsNil)
	defer f.stop()
	url := "http://" + f.entries[0].String()
	c.Assert(eventually(ctx, func() error {
		return callEntry(ctx, http.MethodPut, url+"/v1/teams/association", teamDocument, map[string]string{"If-None-Match": "*"}, nil)
	}), qt.IsNil)
	d := &Demonstrator{fleet: f}
	c.Assert(eventually(ctx, d.checkTargets), qt.IsNil)
	body := bytes.Repeat([]byte("x"), 1024)
	request := func() {
		resp, err := http.Post(url+"/v1/call/association/booking/slots", "text/plain", bytes.NewReader(body))
		if err != nil {
			t.Error(err)
			return
		}
		got, _ := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if got != int64(len(body)) {
			t.Errorf("%s, %d bytes", resp.Status, got)
		}
	}
	n := testing.AllocsPerRun(300, request)
	t.Logf("%.0f allocations a request", n)
	c.Assert(n <= maxAllocs, qt.IsTrue, qt.Commentf("%.0f allocations a request", n))
}
