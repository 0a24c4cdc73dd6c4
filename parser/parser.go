// Package parser reads and checks a team's document.
package parser

import (
	"errors"
	"fmt"
	"time"

	"github.com/endivefall/endivefall/decoder"
)

// Defaults of a document's fields.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
	DefaultDeadline    = 10 * time.Second
	DefaultJobDeadline = 24 * time.Hour
	DefaultPercentile  = 99.0
	DefaultBound       = 500 * time.Millisecond
	DefaultPriority    = 5
)

// MaxSource is the largest document in bytes. A value of the platform's store
// holds a megabyte, and the record adds a little.
const MaxSource = 512 << 10

// Parser reads team documents. It is safe for concurrent use.
type Parser struct {
	decoder *decoder.Decoder
}

// New returns a Parser.
func New() *Parser {
	return &Parser{decoder: decoder.New()}
}

// Parse reads a document and sets its defaults. The error holds every fault.
func (p *Parser) Parse(file string, src []byte) (*Document, error) {
	if len(src) > MaxSource {
		return nil, decoder.Diagnostics{{File: file, Line: 1, Column: 1, Message: fmt.Sprintf("is %d bytes; at most %d are taken, split the team", len(src), MaxSource)}}
	}
	// A first pass without rules finds what is set, so that defaults never
	// hide a value that is out of bounds.
	var d Document
	places, err := p.decoder.Decode(file, src, &d)
	if places == nil {
		return nil, err
	}
	var faults decoder.Diagnostics
	errors.As(err, &faults)
	d.fill()
	faults = keep(faults, places)
	faults = append(faults, d.cross(file, places)...)
	if len(faults) > 0 {
		return nil, faults
	}
	return &d, nil
}

// keep drops rule faults on fields that the file leaves to their defaults.
func keep(faults decoder.Diagnostics, places decoder.Positions) decoder.Diagnostics {
	var kept decoder.Diagnostics
	for _, f := range faults {
		_, named := places[f.Field]
		if named || !defaulted[last(f.Field)] {
			kept = append(kept, f)
		}
	}
	return kept
}

var defaulted = map[string]bool{
	"slots": true, "connections": true, "deadline": true, "percentile": true, "bound": true,
}

func last(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' {
			return path[i+1:]
		}
	}
	return path
}

func (d *Document) fill() {
	for i := range d.Services {
		s := &d.Services[i]
		s.Slots = either(s.Slots, DefaultSlots)
		s.Connections = either(s.Connections, max(DefaultConnections, s.Slots))
		s.Deadline = either(s.Deadline, DefaultDeadline)
		s.Contract.Percentile = either(s.Contract.Percentile, DefaultPercentile)
		s.Contract.Limit = either(s.Contract.Limit, DefaultBound)
		s.Priority = either(s.Priority, DefaultPriority)
		if s.Idempotent == nil {
			s.Idempotent = []string{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"}
		}
	}
	for i := range d.Jobs {
		d.Jobs[i].Deadline = either(d.Jobs[i].Deadline, DefaultJobDeadline)
	}
}

func either[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// cross checks what no single field shows.
func (d *Document) cross(file string, places decoder.Positions) decoder.Diagnostics {
	var faults decoder.Diagnostics
	for i := range d.Jobs {
		j := &d.Jobs[i]
		if d.Quota != (Resources{}) && !j.Need.FitsIn(d.Quota) {
			path := fmt.Sprintf("jobs[%d].need", i)
			faults = append(faults, places.At(file, path, "is more than the team's quota, so no task could ever run; lower it or raise the quota"))
		}
	}
	for i := range d.Services {
		s := &d.Services[i]
		if s.Contract.Limit > s.Deadline {
			path := fmt.Sprintf("services[%d].contract.bound", i)
			faults = append(faults, places.At(file, path, "is later than the deadline; lower the bound or raise the deadline"))
		}
	}
	return faults
}
