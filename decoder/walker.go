package decoder

import (
	"encoding"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// walker decodes a syntax tree into a value and continues after an error. The
// library's own strict mode stops at the first one.
type walker struct {
	file        string
	diagnostics Diagnostics
	positions   Positions
}

func (w *walker) hasDiagnostic(path string) bool {
	for _, d := range w.diagnostics {
		if d.Field == path {
			return true
		}
	}
	return false
}

func (w *walker) addDiagnostic(path string, node ast.Node, format string, args ...any) {
	start := startOf(node)
	w.diagnostics = append(w.diagnostics, Diagnostic{
		File: w.file, Line: start.Line, Column: start.Column, Field: path, Message: fmt.Sprintf(format, args...),
	})
}

func (w *walker) decodeNode(path string, node ast.Node, into reflect.Value) {
	if _, ok := w.positions[path]; !ok {
		w.positions[path] = startOf(node)
	}
	if _, ok := node.(*ast.NullNode); ok {
		return
	}
	if into.CanAddr() {
		if text, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
			w.decodeText(path, node, text)
			return
		}
	}
	switch into.Kind() {
	case reflect.Struct:
		w.decodeStruct(path, node, into)
	case reflect.Slice:
		w.decodeSlice(path, node, into)
	case reflect.Map:
		w.decodeMap(path, node, into)
	default:
		w.decodeScalar(path, node, into)
	}
}

// mappingValues returns the key-value pairs of a mapping node. A mapping with a
// single pair may be a MappingValueNode.
func mappingValues(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func (w *walker) decodeStruct(path string, node ast.Node, into reflect.Value) {
	values, ok := mappingValues(node)
	if !ok {
		w.addDiagnostic(path, node, "want fields under this key, got %q", node.String())
		return
	}
	known := map[string]reflect.Value{}
	for i := range into.NumField() {
		known[fieldName(into.Type().Field(i))] = into.Field(i)
	}
	for _, v := range values {
		name := v.Key.GetToken().Value
		field, ok := known[name]
		if !ok {
			w.addDiagnostic(joinPath(path, name), v.Key, "unknown field; known here: %s", sortedNames(known))
			continue
		}
		w.positions[joinPath(path, name)] = startOf(v.Key)
		w.decodeNode(joinPath(path, name), v.Value, field)
	}
}

func sortedNames(known map[string]reflect.Value) string {
	list := make([]string, 0, len(known))
	for name := range known {
		list = append(list, name)
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

func (w *walker) decodeSlice(path string, node ast.Node, into reflect.Value) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		w.addDiagnostic(path, node, "want a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(list.Values), len(list.Values)))
	for i, item := range list.Values {
		w.decodeNode(fmt.Sprintf("%s[%d]", path, i), item, into.Index(i))
	}
}

func (w *walker) decodeMap(path string, node ast.Node, into reflect.Value) {
	values, ok := mappingValues(node)
	if !ok {
		w.addDiagnostic(path, node, "want keys and values")
		return
	}
	into.Set(reflect.MakeMap(into.Type()))
	for _, v := range values {
		item := reflect.New(into.Type().Elem()).Elem()
		name := v.Key.GetToken().Value
		w.decodeNode(joinPath(path, name), v.Value, item)
		into.SetMapIndex(reflect.ValueOf(name), item)
	}
}

// scalarText returns the text of a scalar node, or false for another node.
func scalarText(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return node.GetToken().Value, true
	}
	return "", false
}

func (w *walker) decodeText(path string, node ast.Node, into encoding.TextUnmarshaler) {
	value, ok := scalarText(node)
	if !ok {
		w.addDiagnostic(path, node, "want a single value")
		return
	}
	if err := into.UnmarshalText([]byte(value)); err != nil {
		w.addDiagnostic(path, node, "%v", err)
	}
}

func (w *walker) decodeScalar(path string, node ast.Node, into reflect.Value) {
	value, ok := scalarText(node)
	if !ok {
		w.addDiagnostic(path, node, "want a single value")
		return
	}
	if into.Type() == reflect.TypeFor[time.Duration]() {
		d, err := time.ParseDuration(value)
		if err != nil {
			w.addDiagnostic(path, node, "%q is no duration; write it as 250ms or 10s", value)
			return
		}
		into.SetInt(int64(d))
		return
	}
	if err := setScalar(into, value, node); err != nil {
		w.addDiagnostic(path, node, "%v", err)
	}
}

func setScalar(into reflect.Value, value string, node ast.Node) error {
	switch into.Kind() {
	case reflect.String:
		if _, ok := node.(*ast.BoolNode); ok {
			return fmt.Errorf("%q reads as true or false; put it in quotes", value)
		}
		into.SetString(value)
	case reflect.Bool:
		b, err := strconv.ParseBool(value)
		if err != nil {
			return fmt.Errorf("%q is not true or false", value)
		}
		into.SetBool(b)
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is no whole number", value)
		}
		into.SetInt(n)
	case reflect.Uint16, reflect.Uint32, reflect.Uint64:
		n, err := strconv.ParseUint(value, 10, into.Type().Bits())
		if err != nil {
			return fmt.Errorf("%q is no whole number from 0 to %d", value, uint64(1)<<into.Type().Bits()-1)
		}
		into.SetUint(n)
	case reflect.Float64:
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return fmt.Errorf("%q is no number", value)
		}
		into.SetFloat(n)
	default:
		return fmt.Errorf("cannot be read into %s", into.Type())
	}
	return nil
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
