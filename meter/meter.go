// Package meter collects a process's metrics and exposes them to Prometheus.
package meter

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// flushInterval is how often metrics are passed to the reporter.
const flushInterval = time.Second

// Meter is the root of a process's metrics.
type Meter struct {
	tally.Scope
	closer  io.Closer
	handler http.Handler
}

// latencyBuckets are the upper bounds of the buckets of latency histograms.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// New returns a Meter whose metric names begin with prefix.
func New(prefix string) *Meter {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, flushInterval)
	return &Meter{
		Scope: scope, closer: closer,
		handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
}

// LatencyHistogram returns the latency histogram of a service.
func (m *Meter) LatencyHistogram(name, team, service string) tally.Histogram {
	return m.Tagged(map[string]string{"team": team, "service": service}).Histogram(name, latencyBuckets)
}

// ServeHTTP writes the metrics in the Prometheus exposition format.
func (m *Meter) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }

// Close flushes the metrics and stops the reporter.
func (m *Meter) Close() { _ = m.closer.Close() }

// Count increments a counter.
func (m *Meter) Count(name string) { m.Counter(name).Inc(1) }

// Add increases a counter by n.
func (m *Meter) Add(name string, n int64) { m.Counter(name).Inc(n) }

// Set sets a gauge.
func (m *Meter) Set(name string, value float64) { m.Gauge(name).Update(value) }

// ObserveDuration adds a duration to a latency histogram.
func (m *Meter) ObserveDuration(name string, d time.Duration) {
	m.Histogram(name, latencyBuckets).RecordDuration(d)
}
