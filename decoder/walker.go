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

// walker fills a value from a syntax tree and goes on after a fault, where the
// library's own strict mode stops at the first.
type walker struct {
	file   string
	faults Diagnostics
	places Positions
}

func (w *walker) faulty(path string) bool {
	for _, f := range w.faults {
		if f.Field == path {
			return true
		}
	}
	return false
}

func (w *walker) fault(path string, node ast.Node, format string, args ...any) {
	at := place(node)
	w.faults = append(w.faults, Diagnostic{
		File: w.file, Line: at.Line, Column: at.Column, Field: path, Message: fmt.Sprintf(format, args...),
	})
}

func (w *walker) walk(path string, node ast.Node, into reflect.Value) {
	if _, ok := w.places[path]; !ok {
		w.places[path] = place(node)
	}
	if _, ok := node.(*ast.NullNode); ok {
		return
	}
	if into.CanAddr() {
		if text, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
			w.text(path, node, text)
			return
		}
	}
	switch into.Kind() {
	case reflect.Struct:
		w.fields(path, node, into)
	case reflect.Slice:
		w.items(path, node, into)
	case reflect.Map:
		w.entries(path, node, into)
	default:
		w.scalar(path, node, into)
	}
}

func pairs(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func (w *walker) fields(path string, node ast.Node, into reflect.Value) {
	values, ok := pairs(node)
	if !ok {
		w.fault(path, node, "want fields under this key, got %q", node.String())
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
			w.fault(join(path, name), v.Key, "unknown field; known here: %s", names(known))
			continue
		}
		w.places[join(path, name)] = place(v.Key)
		w.walk(join(path, name), v.Value, field)
	}
}

func names(known map[string]reflect.Value) string {
	all := make([]string, 0, len(known))
	for name := range known {
		all = append(all, name)
	}
	sort.Strings(all)
	return strings.Join(all, ", ")
}

func (w *walker) items(path string, node ast.Node, into reflect.Value) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		w.fault(path, node, "want a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(list.Values), len(list.Values)))
	for i, item := range list.Values {
		w.walk(fmt.Sprintf("%s[%d]", path, i), item, into.Index(i))
	}
}

func (w *walker) entries(path string, node ast.Node, into reflect.Value) {
	values, ok := pairs(node)
	if !ok {
		w.fault(path, node, "want keys and values")
		return
	}
	into.Set(reflect.MakeMap(into.Type()))
	for _, v := range values {
		item := reflect.New(into.Type().Elem()).Elem()
		name := v.Key.GetToken().Value
		w.walk(join(path, name), v.Value, item)
		into.SetMapIndex(reflect.ValueOf(name), item)
	}
}

// word returns the text of a scalar node.
func word(node ast.Node) (string, bool) {
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

func (w *walker) text(path string, node ast.Node, into encoding.TextUnmarshaler) {
	value, ok := word(node)
	if !ok {
		w.fault(path, node, "want a single value")
		return
	}
	if err := into.UnmarshalText([]byte(value)); err != nil {
		w.fault(path, node, "%v", err)
	}
}

func (w *walker) scalar(path string, node ast.Node, into reflect.Value) {
	value, ok := word(node)
	if !ok {
		w.fault(path, node, "want a single value")
		return
	}
	if into.Type() == reflect.TypeFor[time.Duration]() {
		d, err := time.ParseDuration(value)
		if err != nil {
			w.fault(path, node, "%q is no duration; write it as 250ms or 10s", value)
			return
		}
		into.SetInt(int64(d))
		return
	}
	if err := set(into, value, node); err != nil {
		w.fault(path, node, "%v", err)
	}
}

func set(into reflect.Value, value string, node ast.Node) error {
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

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
