// Package parser reads and validates team documents.
package parser

import (
	"errors"
	"fmt"
	"time"

	"github.com/endivefall/endivefall/decoder"
)

// Default values of a document's fields.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
	DefaultDeadline    = 10 * time.Second
	DefaultJobDeadline = 24 * time.Hour
	DefaultPercentile  = 99.0
	DefaultLimit       = 500 * time.Millisecond
	DefaultPriority    = 5
)

// MaxDocumentBytes is the maximum size of a document in bytes. A value in the platform's
// store holds up to 1 MB, and the record around the document adds to its size.
const MaxDocumentBytes = 512 << 10

// Parser reads team documents. It is safe for concurrent use.
type Parser struct {
	decoder *decoder.Decoder
}

// New returns a Parser.
func New() *Parser {
	return &Parser{decoder: decoder.New()}
}

// Parse reads a document and sets its defaults. The error is decoder.Diagnostics
// with every error in the document.
func (p *Parser) Parse(file string, src []byte) (*Document, error) {
	if len(src) > MaxDocumentBytes {
		return nil, decoder.Diagnostics{{File: file, Line: 1, Column: 1, Message: fmt.Sprintf("document has %d bytes, at most %d are allowed; split the team", len(src), MaxDocumentBytes)}}
	}
	// The rules apply before the defaults are set, so that a default never hides
	// an explicit value that is out of bounds.
	var d Document
	positions, err := p.decoder.Decode(file, src, &d)
	if positions == nil {
		return nil, err
	}
	var diagnostics decoder.Diagnostics
	errors.As(err, &diagnostics)
	d.setDefaults()
	diagnostics = withoutDefaulted(diagnostics, positions)
	diagnostics = append(diagnostics, d.validateRelations(file, positions)...)
	if len(diagnostics) > 0 {
		return nil, diagnostics
	}
	return &d, nil
}

// withoutDefaulted drops the diagnostics on fields that the file does not set and
// that have a default.
func withoutDefaulted(diagnostics decoder.Diagnostics, positions decoder.Positions) decoder.Diagnostics {
	var kept decoder.Diagnostics
	for _, d := range diagnostics {
		_, set := positions[d.Field]
		if set || !hasDefault[lastElement(d.Field)] {
			kept = append(kept, d)
		}
	}
	return kept
}

// hasDefault holds the fields whose zero value breaks a rule but has a default.
var hasDefault = map[string]bool{
	"slots": true, "connections": true, "deadline": true, "percentile": true, "bound": true,
}

// lastElement returns the part of a field path after the last dot.
func lastElement(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' {
			return path[i+1:]
		}
	}
	return path
}

func (d *Document) setDefaults() {
	for i := range d.Services {
		s := &d.Services[i]
		s.Slots = orDefault(s.Slots, DefaultSlots)
		s.Connections = orDefault(s.Connections, max(DefaultConnections, s.Slots))
		s.Deadline = orDefault(s.Deadline, DefaultDeadline)
		s.Contract.Percentile = orDefault(s.Contract.Percentile, DefaultPercentile)
		s.Contract.Limit = orDefault(s.Contract.Limit, DefaultLimit)
		s.Priority = orDefault(s.Priority, DefaultPriority)
		if s.Idempotent == nil {
			s.Idempotent = []string{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"}
		}
	}
	for i := range d.Jobs {
		d.Jobs[i].Deadline = orDefault(d.Jobs[i].Deadline, DefaultJobDeadline)
	}
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// validateRelations checks the rules between fields.
func (d *Document) validateRelations(file string, positions decoder.Positions) decoder.Diagnostics {
	var diagnostics decoder.Diagnostics
	for i := range d.Jobs {
		j := &d.Jobs[i]
		if d.Quota != (Resources{}) && !j.Need.FitsIn(d.Quota) {
			path := fmt.Sprintf("jobs[%d].need", i)
			diagnostics = append(diagnostics, positions.At(file, path, "is more than the team's quota, so no task could ever run; lower it or raise the quota"))
		}
	}
	for i := range d.Services {
		s := &d.Services[i]
		if s.Contract.Limit > s.Deadline {
			path := fmt.Sprintf("services[%d].contract.bound", i)
			diagnostics = append(diagnostics, positions.At(file, path, "is later than the deadline; lower the bound or raise the deadline"))
		}
	}
	return diagnostics
}
