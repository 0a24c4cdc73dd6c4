package decoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// DecodeJSON decodes src into the struct that into points to. Names has the name in the file of each
// field by its Go name; fields without one are left alone. The error is Diagnostics. The positions
// are nil if src is not JSON.
func DecodeJSON(file string, src []byte, into any, names map[string]string) (Positions, error) {
	w := &jsonWalker{walker: walker{file: file, positions: Positions{}}, src: src, names: names, next: Diagnostic{Line: 1, Column: 1}}
	var whole json.RawMessage
	if err := json.Unmarshal(src, &whole); err != nil {
		var syntaxErr *json.SyntaxError
		if errors.As(err, &syntaxErr) {
			w.advance(max(int(syntaxErr.Offset)-1, 0))
		}
		w.report("", w.next, "%v", err)
		return nil, w.diagnostics
	}
	w.tokens = json.NewDecoder(bytes.NewReader(src))
	w.tokens.UseNumber()
	w.decodeValue("", reflect.ValueOf(into).Elem())
	if len(w.diagnostics) > 0 {
		return w.positions, w.diagnostics
	}
	return w.positions, nil
}

// jsonWalker decodes valid JSON into a value and continues after an error.
type jsonWalker struct {
	walker
	src    []byte
	tokens *json.Decoder
	names  map[string]string
	// next is the position of the byte at offset, up to which src has been counted.
	next   Diagnostic
	offset int
}

func (w *jsonWalker) report(path string, at Diagnostic, format string, args ...any) {
	w.diagnostics = append(w.diagnostics, Diagnostic{File: w.file, Line: at.Line, Column: at.Column, Field: path, Message: fmt.Sprintf(format, args...)})
}

// advance moves next to an offset, which is not before the present one.
func (w *jsonWalker) advance(offset int) {
	for ; w.offset < min(offset, len(w.src)); w.offset++ {
		switch b := w.src[w.offset]; {
		case b == '\n':
			w.next = Diagnostic{Line: w.next.Line + 1, Column: 1}
		case utf8.RuneStart(b):
			w.next.Column++
		}
	}
}

// start returns the position of the next token.
func (w *jsonWalker) start() Diagnostic {
	offset := int(w.tokens.InputOffset())
	for offset < len(w.src) && strings.IndexByte(" \t\r\n,:", w.src[offset]) >= 0 {
		offset++
	}
	w.advance(offset)
	return w.next
}

// token returns the next token. There is one, as src is valid and is read to its end only once.
func (w *jsonWalker) token() json.Token {
	token, err := w.tokens.Token()
	if err != nil {
		return nil
	}
	return token
}

// skip reads the rest of a value that begins with a token.
func (w *jsonWalker) skip(token json.Token) {
	for depth := 0; ; token = w.token() {
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth <= 0 {
			return
		}
	}
}

func (w *jsonWalker) decodeValue(path string, into reflect.Value) {
	start := w.start()
	if _, ok := w.positions[path]; !ok {
		w.positions[path] = start
	}
	token := w.token()
	if token == nil {
		return // null leaves a field as it is
	}
	if into.Kind() == reflect.Pointer {
		into.Set(reflect.New(into.Type().Elem()))
		into = into.Elem()
	}
	switch {
	case into.Kind() == reflect.Struct && token == json.Delim('{'):
		w.decodeObject(path, into)
	case into.Kind() == reflect.Slice && token == json.Delim('['):
		for n := 0; w.tokens.More(); n++ {
			item := reflect.New(into.Type().Elem()).Elem()
			w.decodeValue(fmt.Sprintf("%s[%d]", path, n), item)
			into.Set(reflect.Append(into, item))
		}
		w.token()
	default:
		if !setToken(into, token) {
			w.report(path, start, "want %s", wanted(into.Kind()))
		}
		w.skip(token)
	}
}

func (w *jsonWalker) decodeObject(path string, into reflect.Value) {
	known := map[string]reflect.Value{}
	for n := range into.NumField() {
		if name := w.names[into.Type().Field(n).Name]; name != "" {
			known[name] = into.Field(n)
		}
	}
	seen := map[string]bool{}
	for w.tokens.More() {
		start := w.start()
		name, _ := w.token().(string)
		fieldPath := joinPath(path, printable(name))
		field, ok := known[name]
		switch {
		case !ok:
			w.report(fieldPath, start, "unknown field; known here: %s", sortedNames(known))
			w.skip(w.token())
			continue
		case seen[name]:
			w.report(fieldPath, start, "is there twice")
		default:
			w.positions[fieldPath] = start
		}
		seen[name] = true
		w.decodeValue(fieldPath, field)
	}
	w.token()
}

// printable returns a name as it is shown: quoted if it has more than letters, digits and dashes.
func printable(name string) string {
	if name == "" || strings.ContainsFunc(name, func(r rune) bool {
		return r == utf8.RuneError || !unicode.IsLetter(r) && !unicode.IsDigit(r) && r != '-' && r != '_'
	}) {
		return strconv.QuoteToASCII(name)
	}
	return name
}

// setToken sets a value from a token, and reports whether that is one of its kind.
func setToken(into reflect.Value, token json.Token) bool {
	switch t := token.(type) {
	case string:
		if into.Kind() == reflect.String {
			into.SetString(t)
			return true
		}
	case bool:
		if into.Kind() == reflect.Bool {
			into.SetBool(t)
			return true
		}
	case json.Number:
		return json.Unmarshal([]byte(t), into.Addr().Interface()) == nil
	}
	return false
}

// wanted describes the values of a kind.
func wanted(kind reflect.Kind) string {
	switch kind {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint64:
		return "a whole number from 0 on"
	}
	return "a whole number"
}
