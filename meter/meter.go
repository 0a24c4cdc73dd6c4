// Package meter collects a process's metrics and exposes them to Prometheus.
package meter

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"
)

// flushInterval is how often metrics are passed to the reporter.
const flushInterval = time.Second

// refusedMetrics counts the metrics that are not recorded because of their names or values.
const refusedMetrics = "refused_metrics"

// errDecrease means that a counter was to be decreased.
var errDecrease = errors.New("a counter can't be decreased")

// Meter is the root of a process's metrics. A metric that can't be recorded is logged and counted
// once, and the process goes on without it.
type Meter struct {
	tally.Scope
	closer  io.Closer
	handler http.Handler
	log     *zap.Logger
	// refusals counts the refused metrics.
	refusals tally.Counter

	mu sync.Mutex
	// refused has the metrics that were refused, by their name or, where the name is not known, by the
	// error of the registry, which has it. Guarded by mu.
	refused map[string]bool
}

// latencyBuckets are the upper bounds of the buckets of latency histograms.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// New returns a Meter whose metric names begin with prefix.
func New(prefix string, log *zap.Logger) *Meter {
	m := &Meter{log: log, refused: map[string]bool{}}
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry, OnRegisterError: func(err error) { m.refuse(err.Error(), err) }})
	m.Scope, m.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, flushInterval)
	m.refusals = m.Counter(refusedMetrics)
	m.handler = promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	return m
}

// refuse logs and counts, once for each metric, that it is not recorded.
func (m *Meter) refuse(metric string, err error) {
	m.mu.Lock()
	known := m.refused[metric]
	m.refused[metric] = true
	m.mu.Unlock()
	if known {
		return
	}
	m.log.Error("metric refused", zap.Error(err))
	m.refusals.Inc(1) // by its handle, as the scope is locked while a metric is registered
}

// Refused returns what was refused so far, in order.
func (m *Meter) Refused() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.refused))
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

// Add increases a counter by n, which is at least 0.
func (m *Meter) Add(name string, n int64) {
	if n < 0 {
		m.refuse(name, fmt.Errorf("%w: %s by %d", errDecrease, name, n))
		return
	}
	m.Counter(name).Inc(n)
}

// Set sets a gauge.
func (m *Meter) Set(name string, value float64) { m.Gauge(name).Update(value) }

// ObserveDuration adds a duration to a latency histogram.
func (m *Meter) ObserveDuration(name string, d time.Duration) {
	m.Histogram(name, latencyBuckets).RecordDuration(d)
}
