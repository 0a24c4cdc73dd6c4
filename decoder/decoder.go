// Package decoder reads YAML into typed structs and reports all errors of a file
// at once, each with its line, column and field.
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

// Decoder decodes and validates YAML files. It is safe for concurrent use.
type Decoder struct {
	// rules is configured by New and only read afterwards.
	rules *validator.Validate
}

// New returns a Decoder that names fields by their yaml tags.
func New() *Decoder {
	rules := validator.New(validator.WithRequiredStructEnabled())
	rules.RegisterTagNameFunc(func(f reflect.StructField) string { return fieldName(f) })
	return &Decoder{rules: rules}
}

// Positions maps the path of a field, such as services[0].port, to its line and
// column.
type Positions map[string]Diagnostic

// At returns a diagnostic for a field, at the position of the field or, if the file
// does not contain it, of the nearest enclosing one.
func (p Positions) At(file, field, text string) Diagnostic {
	for path := field; ; path = parentPath(path) {
		if start, ok := p[path]; ok || path == "" {
			return Diagnostic{File: file, Line: max(start.Line, 1), Column: max(start.Column, 1), Field: field, Message: text}
		}
	}
}

// parentPath returns the path of the enclosing field or list.
func parentPath(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

// Decode decodes src into the struct that into points to, and validates it. The
// error is Diagnostics. The positions are nil if src is not one valid YAML
// document.
func (d *Decoder) Decode(file string, src []byte, into any) (Positions, error) {
	w := &walker{file: file, positions: Positions{}}
	tree, err := parser.ParseBytes(src, 0)
	if err != nil {
		return nil, Diagnostics{syntaxDiagnostic(file, err)}
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		return nil, Diagnostics{{File: file, Line: 1, Column: 1, Message: "want exactly one YAML document"}}
	}
	w.decodeNode("", tree.Docs[0].Body, reflect.ValueOf(into).Elem())
	d.validate(w, into)
	if len(w.diagnostics) > 0 {
		return w.positions, w.diagnostics
	}
	return w.positions, nil
}

// validate applies the validate tags, and skips fields that already have a
// diagnostic.
func (d *Decoder) validate(w *walker, into any) {
	var violations validator.ValidationErrors
	if !errors.As(d.rules.Struct(into), &violations) {
		return
	}
	for _, v := range violations {
		_, path, _ := strings.Cut(v.Namespace(), ".")
		if w.hasDiagnostic(path) {
			continue
		}
		w.diagnostics = append(w.diagnostics, w.positions.At(w.file, path, violationText(v)))
	}
}

func violationText(v validator.FieldError) string {
	switch v.Tag() {
	case "required":
		return "is missing; set it"
	case "min", "gte":
		return "must be at least " + v.Param()
	case "gt":
		return "must be more than " + v.Param()
	case "max", "lte":
		return "must be at most " + v.Param()
	case "lt":
		return "must be less than " + v.Param()
	case "oneof":
		return "must be one of " + v.Param()
	case "unique":
		return "has the same " + strings.ToLower(v.Param()) + " twice; names must differ"
	case "hostname_rfc1123":
		return "must be letters, digits and dashes"
	}
	return "breaks the rule " + v.Tag() + " " + v.Param()
}

func syntaxDiagnostic(file string, err error) Diagnostic {
	var syntaxErr *yaml.SyntaxError
	if errors.As(err, &syntaxErr) && syntaxErr.Token != nil {
		pos := syntaxErr.Token.Position
		return Diagnostic{File: file, Line: pos.Line, Column: pos.Column, Message: syntaxErr.Message}
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

// startOf returns the position at which a node begins: for a mapping in block
// style, that of its first key.
func startOf(node ast.Node) Diagnostic {
	token := node.GetToken()
	if values, ok := mappingValues(node); ok && len(values) > 0 && token.Value == ":" {
		token = values[0].Key.GetToken()
	}
	pos := token.Position
	return Diagnostic{Line: pos.Line, Column: pos.Column}
}
