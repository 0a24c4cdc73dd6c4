// Package pruner decodes JSON that other writers may have nested too deeply.
package pruner

import (
	"encoding/json"
	"errors"
)

// MaxDepth is the depth to which Decode reads nested values; nothing that is read with it is
// meant to be nested deeper.
const MaxDepth = 16

// Decode reads JSON like json.Unmarshal, whose decoder gives up on the whole text if a part of
// it is nested too deeply; Decode replaces such a part by null.
func Decode(raw []byte, v any) error {
	err := json.Unmarshal(raw, v)
	var syntaxErr *json.SyntaxError
	if !errors.As(err, &syntaxErr) {
		return err
	}
	pruned, ok := prune(raw)
	if !ok {
		return err
	}
	return json.Unmarshal(pruned, v)
}

// prune replaces values that are nested deeper than MaxDepth by null, and reports whether
// there are any.
func prune(raw []byte) (pruned []byte, ok bool) {
	depth, inString, escaped := 0, false, false
	for _, b := range raw {
		opens, closes := false, false
		switch {
		case escaped:
			escaped = false
		case inString && b == '\\':
			escaped = true
		case b == '"':
			inString = !inString
		case inString:
		case b == '[' || b == '{':
			opens = true
		case b == ']' || b == '}':
			closes = true
		}
		if opens {
			if depth++; depth == MaxDepth+1 {
				pruned, ok = append(pruned, "null"...), true
			}
		}
		if depth <= MaxDepth {
			pruned = append(pruned, b)
		}
		if closes {
			depth--
		}
	}
	return pruned, ok
}
