// Package decoder reads YAML into typed structs and reports every fault at
// once, each with its line, column and field.
package decoder

import (
	"errors"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Decoder reads one kind of file. It is safe for concurrent use.
type Decoder struct {
	// rules is set up by New and only read afterwards.
	rules *validator.Validate
}

// New returns a Decoder whose field names are those of the yaml tags.
func New() *Decoder {
	rules := validator.New(validator.WithRequiredStructEnabled())
	rules.RegisterTagNameFunc(func(f reflect.StructField) string { return fieldName(f) })
	return &Decoder{rules: rules}
}

// Positions maps a field's path, as in services[0].port, to its place.
type Positions map[string]Diagnostic

// At returns a fault at the field, or at the nearest enclosing one that the
// file names.
func (p Positions) At(file, field, text string) Diagnostic {
	for path := field; ; path = parent(path) {
		if place, ok := p[path]; ok || path == "" {
			return Diagnostic{File: file, Line: max(place.Line, 1), Column: max(place.Column, 1), Field: field, Message: text}
		}
	}
}

func parent(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

// Decode fills into, a pointer to a struct, from src. The error is Faults.
func (d *Decoder) Decode(file string, src []byte, into any) (Positions, error) {
	w := &walker{file: file, places: Positions{}}
	tree, err := parser.ParseBytes(src, 0)
	if err != nil {
		return nil, Diagnostics{syntaxFault(file, err)}
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		return nil, Diagnostics{{File: file, Line: 1, Column: 1, Message: "want exactly one YAML document"}}
	}
	w.walk("", tree.Docs[0].Body, reflect.ValueOf(into).Elem())
	d.check(w, into)
	if len(w.faults) > 0 {
		return w.places, w.faults
	}
	return w.places, nil
}

// check applies the validate tags, and leaves out fields already at fault.
func (d *Decoder) check(w *walker, into any) {
	var broken validator.ValidationErrors
	if !errors.As(d.rules.Struct(into), &broken) {
		return
	}
	for _, b := range broken {
		_, path, _ := strings.Cut(b.Namespace(), ".")
		if w.faulty(path) {
			continue
		}
		w.faults = append(w.faults, w.places.At(w.file, path, ruleText(b)))
	}
}

func ruleText(b validator.FieldError) string {
	switch b.Tag() {
	case "required":
		return "is missing; set it"
	case "min", "gte":
		return "must be at least " + b.Param()
	case "gt":
		return "must be more than " + b.Param()
	case "max", "lte":
		return "must be at most " + b.Param()
	case "lt":
		return "must be less than " + b.Param()
	case "oneof":
		return "must be one of " + b.Param()
	case "unique":
		return "has the same " + strings.ToLower(b.Param()) + " twice; names must differ"
	case "hostname_rfc1123":
		return "must be letters, digits and dashes"
	}
	return "breaks the rule " + b.Tag() + " " + b.Param()
}

func syntaxFault(file string, err error) Diagnostic {
	var broken *yaml.SyntaxError
	if errors.As(err, &broken) && broken.Token != nil {
		at := broken.Token.Position
		return Diagnostic{File: file, Line: at.Line, Column: at.Column, Message: broken.Message}
	}
	text, _, _ := strings.Cut(err.Error(), "\n")
	return Diagnostic{File: file, Line: 1, Column: 1, Message: text}
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "" {
		return strings.ToLower(f.Name)
	}
	return name
}

// place is where a node begins; that of a block of fields is its first key.
func place(node ast.Node) Diagnostic {
	token := node.GetToken()
	if values, ok := pairs(node); ok && len(values) > 0 && token.Value == ":" {
		token = values[0].Key.GetToken()
	}
	at := token.Position
	return Diagnostic{Line: at.Line, Column: at.Column}
}
