package storer

import (
	"encoding/json"
	"errors"
)

// maxDepth is the depth to which decode reads nested values; no reply of the store is nested
// deeper.
const maxDepth = 16

// decode reads JSON of the store. The decoder of the standard library gives up on the whole
// text if a part of it is nested too deeply; decode replaces such a part by null.
func decode(raw []byte, v any) error {
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

// prune replaces values that are nested deeper than maxDepth by null, and reports whether
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
			if depth++; depth == maxDepth+1 {
				pruned, ok = append(pruned, "null"...), true
			}
		}
		if depth <= maxDepth {
			pruned = append(pruned, b)
		}
		if closes {
			depth--
		}
	}
	return pruned, ok
}
