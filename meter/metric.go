package meter

import "slices"

type kind int

const (
	counterKind kind = iota
	gaugeKind
	histogramKind
)

// metric is one declared metric of the processes.
type metric struct {
	// name follows the prefix of the process; no other metric has it.
	name string
	kind kind
	// unit is what one stands for; histograms are of seconds.
	unit string
	help string
	// labels are the names of its labels. All its values have all of them.
	labels []string
}

// Name returns the name of a metric without the prefix of the process.
func (d *metric) Name() string {
	if d == nil {
		return ""
	}
	return d.name
}

// description is the help text on the metrics page.
func (d *metric) description() string {
	if d.kind == histogramKind {
		return d.help + " In seconds."
	}
	return d.help + " Unit: " + d.unit + "."
}

// Counter is a declared counter.
type Counter struct{ *metric }

// Gauge is a declared gauge.
type Gauge struct{ *metric }

// Histogram is a declared histogram of durations.
type Histogram struct{ *metric }

// Set has the metrics of a kind whose names differ in their last part only.
type Set[M any] struct {
	members map[string]M
	// other is recorded for parts that the declaration does not list.
	other M
}

// Of returns the metric of a part.
func (s Set[M]) Of(part string) M {
	if m, ok := s.members[part]; ok {
		return m
	}
	return s.other
}

// declared has all metrics of the program; only this package adds to it, as it is initialised.
var declared []*metric

func declare(d *metric) *metric {
	declared = append(declared, d)
	return d
}

func counter(name, unit, help string, labels ...string) Counter {
	return Counter{declare(&metric{name: name, kind: counterKind, unit: unit, help: help, labels: labels})}
}

func gauge(name, unit, help string) Gauge {
	return Gauge{declare(&metric{name: name, kind: gaugeKind, unit: unit, help: help})}
}

func histogram(name, help string, labels ...string) Histogram {
	return Histogram{declare(&metric{name: name, kind: histogramKind, unit: "seconds", help: help, labels: labels})}
}

// otherPart ends the names of metrics whose own part the declaration does not list.
const otherPart = "other"

// set declares a metric for each part of a name and one for all others.
func set[M any](parts []string, declareOne func(part string) M) Set[M] {
	s := Set[M]{members: map[string]M{}}
	for _, part := range parts {
		s.members[part] = declareOne(part)
	}
	if !slices.Contains(parts, otherPart) {
		s.members[otherPart] = declareOne(otherPart)
	}
	s.other = s.members[otherPart]
	return s
}

func counters(prefix, unit, help string, parts ...string) Set[Counter] {
	return set(parts, func(part string) Counter { return counter(prefix+"_"+part, unit, help+" ("+part+")") })
}

func gauges(prefix, unit, help string, parts ...string) Set[Gauge] {
	return set(parts, func(part string) Gauge { return gauge(prefix+"_"+part, unit, help+" ("+part+")") })
}
