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

// BenchmarkPath measures calls through entry and agent, and direct calls to the
// target for comparison.
func BenchmarkPath(b *testing.B) {
	w := newWorld(b, 1, 1)
	w.apply("../examples/association.yaml")
	for _, size := range []int{1 << 10, 1 << 20} {
		body := bytes.Repeat([]byte("x"), size)
		for _, route := range []struct{ name, url string }{
			{"direct", "http://" + w.instances[0].target + "/slots"},
			{"path", "http://" + w.entryHTTP[0] + "/v1/call/association/booking/slots"},
		} {
			for _, callers := range []int{1, 4} {
				b.Run(fmt.Sprintf("%s/%dKB/%d", route.name, size>>10, callers), func(b *testing.B) {
					latencies := sendRequests(b, route.url, body, callers)
					slices.Sort(latencies)
					b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
					b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
				})
			}
		}
	}
}

// sendRequests sends b.N requests from concurrent callers and returns their
// latencies.
func sendRequests(b *testing.B, url string, body []byte, callers int) []time.Duration {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	latencies := make([]time.Duration, 0, b.N)
	var wg sync.WaitGroup
	b.ResetTimer()
	for i := range callers {
		wg.Go(func() {
			for n := i; n < b.N; n += callers {
				startedAt := time.Now()
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
				latencies = append(latencies, time.Since(startedAt))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	qt.Assert(b, len(latencies) > 0, qt.IsTrue)
	return latencies
}
