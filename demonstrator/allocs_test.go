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

// maxAllocs bounds the allocations of one request through the whole path, its
// caller and target included: a third of a thousand for each of the three hops.
const maxAllocs = 1000

// TestAllocationsOfARequest keeps the cost of the path from creeping up.
func TestAllocationsOfARequest(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	f, err := start(zap.NewNop(), 1, 1)
	c.Assert(err, qt.IsNil)
	defer f.end()
	url := "http://" + f.entries[0].String()
	c.Assert(eventually(ctx, func() error {
		return send(ctx, http.MethodPut, url+"/v1/teams/association", document, map[string]string{"If-None-Match": "*"}, nil)
	}), qt.IsNil)
	d := &Demonstrator{f: f}
	c.Assert(eventually(ctx, d.targets), qt.IsNil)
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
