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

// errDecrease means that a counter was to be decreased.
var errDecrease = errors.New("a counter can't be decreased")

// errDeclaredTwice means that two metrics of one kind have the same name.
var errDeclaredTwice = errors.New("the name is taken")

// errLabels means that a metric was to be recorded without all of its labels.
var errLabels = errors.New("wrong number of labels")

// errUndeclared means that the zero value of a metric was to be recorded.
var errUndeclared = errors.New("the metric is not declared")

// Meter records the metrics of a process. A metric that can't be recorded is logged and counted
// once, and the process goes on without it.
type Meter struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
	log     *zap.Logger
	// refusals counts the refused metrics.
	refusals tally.Counter

	mu sync.Mutex
	// refused has the metrics that were refused, by their name or, where the name is not known, by the
	// error of the registry, which has it. Guarded by mu.
	refused map[string]bool
	// clashing has the metrics that the registry refused; it never changes after New.
	clashing map[*metric]bool
}

// latencyBuckets are the upper bounds of the buckets of latency histograms.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// New returns a Meter for all declared metrics, with names that begin with prefix.
func New(prefix string, log *zap.Logger) *Meter { return newMeter(prefix, log, declared) }

func newMeter(prefix string, log *zap.Logger, metrics []*metric) *Meter {
	m := &Meter{log: log, refused: map[string]bool{}, clashing: map[*metric]bool{}}
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry, OnRegisterError: func(err error) { m.refuse(err.Error(), err) }})
	m.scope, m.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, flushInterval)
	register := func(d *metric) error { return register(reporter, prefix+promreporter.DefaultSeparator+d.name, d) }
	err := register(RefusedMetrics.metric)
	m.refusals = m.scope.Counter(RefusedMetrics.name) // before the first refusal
	if err != nil {
		m.refuse(RefusedMetrics.name, err)
	}
	names := map[string]bool{}
	for _, d := range metrics {
		err := register(d)
		if err == nil && names[d.name] {
			err = fmt.Errorf("%w: %s", errDeclaredTwice, d.name)
		}
		if err != nil {
			m.clashing[d] = true
			m.refuse(d.name, err)
		}
		names[d.name] = true
	}
	m.handler = promhttp.HandlerFor(registry, promhttp.HandlerOpts{
		// The others are served if some can't be, such as a counter with the name of a series of a histogram.
		ErrorHandling: promhttp.ContinueOnError, ErrorLog: zap.NewStdLog(log),
	})
	return m
}

// register passes a metric to the registry, with its help text, before it is recorded.
func register(reporter promreporter.Reporter, name string, d *metric) error {
	var err error
	switch d.kind {
	case counterKind:
		_, err = reporter.RegisterCounter(name, d.labels, d.description())
	case gaugeKind:
		_, err = reporter.RegisterGauge(name, d.labels, d.description())
	case histogramKind:
		_, err = reporter.RegisterTimer(name, d.labels, d.description(), &promreporter.RegisterTimerOptions{
			TimerType: promreporter.HistogramTimerType, HistogramBuckets: latencyBuckets.AsValues(),
		})
	}
	return err
}

// usable reports whether a metric can be recorded.
func (m *Meter) usable(d *metric) bool {
	if d == nil {
		m.refuse("", errUndeclared)
		return false
	}
	return !m.clashing[d]
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

// tagged returns the scope of a metric with the values of its labels.
func (m *Meter) tagged(d *metric, values []string) tally.Scope {
	if len(values) != len(d.labels) {
		m.refuse(d.name, fmt.Errorf("%w: %s has %d labels, and %d values were given", errLabels, d.name, len(d.labels), len(values)))
		return tally.NoopScope
	}
	if len(values) == 0 {
		return m.scope
	}
	tags := make(map[string]string, len(values))
	for n, label := range d.labels {
		tags[label] = values[n]
	}
	return m.scope.Tagged(tags)
}

// CounterOf returns a counter for some values of its labels, to be kept and used often.
func (m *Meter) CounterOf(c Counter, values ...string) tally.Counter {
	if !m.usable(c.metric) {
		return tally.NoopScope.Counter("")
	}
	return m.tagged(c.metric, values).Counter(c.name)
}

// HistogramOf returns a histogram for some values of its labels, to be kept and used often.
func (m *Meter) HistogramOf(h Histogram, values ...string) tally.Histogram {
	if !m.usable(h.metric) {
		return tally.NoopScope.Histogram("", latencyBuckets)
	}
	return m.tagged(h.metric, values).Histogram(h.name, latencyBuckets)
}

// ServeHTTP writes the metrics in the Prometheus exposition format.
func (m *Meter) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }

// Close flushes the metrics and stops the reporter.
func (m *Meter) Close() { _ = m.closer.Close() }

// Count increments a counter.
func (m *Meter) Count(c Counter) { m.Add(c, 1) }

// Add increases a counter by n, which is at least 0.
func (m *Meter) Add(c Counter, n int64) {
	if n < 0 {
		m.refuse(c.Name(), fmt.Errorf("%w: %s by %d", errDecrease, c.Name(), n))
		return
	}
	m.CounterOf(c).Inc(n)
}

// Set sets a gauge.
func (m *Meter) Set(g Gauge, value float64) {
	if m.usable(g.metric) {
		m.scope.Gauge(g.name).Update(value)
	}
}

// ObserveDuration adds a duration to a histogram.
func (m *Meter) ObserveDuration(h Histogram, d time.Duration) { m.HistogramOf(h).RecordDuration(d) }
