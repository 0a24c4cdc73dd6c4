package meter_test

import (
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/endivefall/endivefall/meter"
)

// page returns the metrics page, with all that was recorded so far.
func page(c *qt.C, m *meter.Meter) string {
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
	m := meter.New("test", zap.New(core))
	m.Count("wait")
	for range 3 {
		m.ObserveDuration("wait", time.Second)
	}
	m.Set("wait", 1)
	m.Count("other")
	text := page(c, m)
	c.Check(text, qt.Contains, "test_wait 1\n")
	c.Check(text, qt.Contains, "test_other 1\n")
	c.Check(text, qt.Contains, "test_refused_metrics 2\n")
	c.Check(logs.FilterMessage("metric refused").Len(), qt.Equals, 2)
}

// A decrease of a counter ended the process as it was flushed.
func TestADecreaseOfACounterDoesNotEndTheProcess(t *testing.T) {
	c := qt.New(t)
	core, logs := observer.New(zap.WarnLevel)
	m := meter.New("test", zap.New(core))
	m.Add("bytes", -2)
	m.Add("bytes", -2)
	m.Add("other", 5)
	text := page(c, m)
	c.Check(text, qt.Contains, "test_other 5\n")
	c.Check(text, qt.Contains, "test_refused_metrics 1\n")
	c.Check(logs.FilterMessage("metric refused").Len(), qt.Equals, 1)
}
