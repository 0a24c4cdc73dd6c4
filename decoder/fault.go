package decoder

import (
	"fmt"
	"strings"
)

// Diagnostic is one thing wrong in a file, with the place to mend it.
type Diagnostic struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Field   string `json:"field,omitempty"`
	Message string `json:"text"`
}

// Error writes the fault as file:line:column: field: text.
func (f Diagnostic) Error() string {
	place := fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	if f.Field == "" {
		return place + ": " + f.Message
	}
	return place + ": " + f.Field + ": " + f.Message
}

// Diagnostics holds everything wrong in one file.
type Diagnostics []Diagnostic

// Error writes one fault a line.
func (f Diagnostics) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}
