package meter

import (
	"fmt"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// page returns the metrics page, with all that was recorded so far.
func page(c *qt.C, m *Meter) string {
	m.Close() // flushes
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	c.Check(w.Code, qt.Equals, 200)
	return w.Body.String()
}

// A histogram with the name of a counter ended the process.
func TestAClashOfNamesDoesNotEndTheProcess(t *testing.T) {
	c := qt.New(t)
	core, logs := observer.New(zap.WarnLevel)
	waits, times, state := &metric{name: "wait"}, &metric{name: "wait", kind: histogramKind}, &metric{name: "wait", kind: gaugeKind}
	twice, other := &metric{name: "wait"}, &metric{name: "other"}
	m := newMeter("test", zap.New(core), []*metric{waits, times, state, twice, other})
	m.Count(Counter{waits})
	for range 3 {
		m.ObserveDuration(Histogram{times}, time.Second)
		m.Set(Gauge{state}, 1)
	}
	m.Count(Counter{other})
	text := page(c, m)
	c.Check(text, qt.Contains, "test_wait 1\n")
	c.Check(text, qt.Contains, "test_other 1\n")
	c.Check(text, qt.Contains, "test_refused_metrics 1\n")
	c.Check(logs.FilterMessage("metric refused").Len(), qt.Equals, 1, qt.Commentf("once a name"))
}

// A metric that is registered only as it is recorded, without having been declared, ended the process.
func TestALateClashOfNamesDoesNotEndTheProcess(t *testing.T) {
	c := qt.New(t)
	m := newMeter("test", zap.NewNop(), nil)
	m.Count(Counter{&metric{name: "wait"}})
	m.ObserveDuration(Histogram{&metric{name: "wait", kind: histogramKind}}, time.Second)
	c.Check(page(c, m), qt.Contains, "test_wait 1\n")
	c.Check(m.Refused(), qt.HasLen, 1)
}

// One series with the name of another made the page fail as a whole.
func TestAClashOfSeriesLeavesThePage(t *testing.T) {
	c := qt.New(t)
	core, logs := observer.New(zap.InfoLevel)
	times, counts := &metric{name: "wait", kind: histogramKind}, &metric{name: "wait_count"}
	m := newMeter("test", zap.New(core), []*metric{times, counts})
	m.ObserveDuration(Histogram{times}, time.Second)
	m.Count(Counter{counts})
	c.Check(page(c, m), qt.Contains, "test_refused_metrics 0\n")
	c.Check(logs.Len(), qt.Equals, 1)
}

// A decrease of a counter ended the process as it was flushed.
func TestADecreaseOfACounterDoesNotEndTheProcess(t *testing.T) {
	c := qt.New(t)
	core, logs := observer.New(zap.WarnLevel)
	m := New("test", zap.New(core))
	m.Add(Starts, -2)
	m.Add(Starts, -2)
	m.Add(Crashes, 5)
	text := page(c, m)
	c.Check(text, qt.Contains, "test_crash 5\n")
	c.Check(text, qt.Contains, "test_refused_metrics 1\n")
	c.Check(logs.FilterMessage("metric refused").Len(), qt.Equals, 1)
}

func TestMetricsWithoutADeclarationOrLabelsAreRefused(t *testing.T) {
	c := qt.New(t)
	m := New("test", zap.NewNop())
	m.Count(Counter{})
	m.Set(Gauge{}, 1)
	m.ObserveDuration(Histogram{}, time.Second)
	m.Count(CallsDone)
	c.Check(m.Refused(), qt.DeepEquals, []string{"", "calls_done"})
	c.Check(page(c, m), qt.Contains, "test_refused_metrics 2\n")
}

// Two metrics had one name. Each one is recorded here as a process does it, and must be on the page.
func TestEachDeclaredMetricIsOnThePage(t *testing.T) {
	c := qt.New(t)
	core, logs := observer.New(zap.InfoLevel)
	m := New("test", zap.New(core))
	for _, d := range declared {
		values := make([]string, len(d.labels))
		for n := range values {
			values[n] = fmt.Sprint("v", n)
		}
		switch d.kind {
		case counterKind:
			m.CounterOf(Counter{d}, values...).Inc(1)
		case gaugeKind:
			m.Set(Gauge{d}, 1)
		case histogramKind:
			m.HistogramOf(Histogram{d}, values...).RecordDuration(time.Second)
		}
	}
	text := page(c, m)
	c.Check(m.Refused(), qt.HasLen, 0)
	c.Check(logs.All(), qt.HasLen, 0)
	valid := regexp.MustCompile(`^[a-z][a-z0-9_]*$`)
	for _, d := range declared {
		c.Check(valid.MatchString(d.name), qt.IsTrue, qt.Commentf("%s would be sanitized", d.name))
		c.Check(d.unit != "" && d.help != "", qt.IsTrue, qt.Commentf(d.name))
		c.Check(strings.Contains(text, "# HELP test_"+d.name+" "+d.description()+"\n"), qt.IsTrue, qt.Commentf(d.name))
	}
}
