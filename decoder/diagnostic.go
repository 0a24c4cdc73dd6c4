package decoder

import (
	"fmt"
	"strings"
)

// Diagnostic is an error in a file, with its position.
type Diagnostic struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Field   string `json:"field,omitempty"`
	Message string `json:"text"`
}

// Error returns the diagnostic as file:line:column: field: message.
func (d Diagnostic) Error() string {
	position := fmt.Sprintf("%s:%d:%d", d.File, d.Line, d.Column)
	if d.Field == "" {
		return position + ": " + d.Message
	}
	return position + ": " + d.Field + ": " + d.Message
}

// Diagnostics holds all errors of a file.
type Diagnostics []Diagnostic

// Error returns the diagnostics, one per line.
func (d Diagnostics) Error() string {
	lines := make([]string, len(d))
	for i, diagnostic := range d {
		lines[i] = diagnostic.Error()
	}
	return strings.Join(lines, "\n")
}
