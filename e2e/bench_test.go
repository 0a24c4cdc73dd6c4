package e2e

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// BenchmarkPath is the cost of the path through entry and agent beside a direct
// call to the target, in the same run.
func BenchmarkPath(b *testing.B) {
	w := newWorld(b, 1, 1)
	w.apply("../examples/association.yaml")
	for _, size := range []int{1 << 10, 1 << 20} {
		body := bytes.Repeat([]byte("x"), size)
		for _, way := range []struct{ name, url string }{
			{"direct", "http://" + w.instances[0].target + "/slots"},
			{"path", "http://" + w.entryHTTP[0] + "/v1/call/association/booking/slots"},
		} {
			for _, callers := range []int{1, 4} {
				b.Run(fmt.Sprintf("%s/%dKB/%d", way.name, size>>10, callers), func(b *testing.B) {
					took := volley(b, way.url, body, callers)
					slices.Sort(took)
					b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
					b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
				})
			}
		}
	}
}

// volley sends b.N requests from some callers and returns how long each took.
func volley(b *testing.B, url string, body []byte, callers int) []time.Duration {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	took := make([]time.Duration, 0, b.N)
	var all sync.WaitGroup
	b.ResetTimer()
	for i := range callers {
		all.Go(func() {
			for n := i; n < b.N; n += callers {
				began := time.Now()
				resp, err := client.Post(url, "application/octet-stream", bytes.NewReader(body))
				if err != nil {
					b.Error(err)
					return
				}
				got, err := io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if err != nil || got != int64(len(body)) || resp.StatusCode != http.StatusOK {
					b.Errorf("%s, %d bytes, %v", resp.Status, got, err)
				}
				mu.Lock()
				took = append(took, time.Since(began))
				mu.Unlock()
			}
		})
	}
	all.Wait()
	b.StopTimer()
	qt.Assert(b, len(took) > 0, qt.IsTrue)
	return took
}
