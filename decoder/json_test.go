package decoder_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/decoder"
)

type jsonItem struct {
	Name  string
	Count int
	Inner *jsonInner
	Own   bool // not in the file
}

type jsonInner struct{ Share float64 }

type jsonFile struct {
	Version uint64
	Items   []jsonItem
}

var jsonNames = map[string]string{"Version": "version", "Items": "items", "Name": "name", "Count": "count", "Inner": "inner", "Share": "share"}

// Operators get all errors of a file at once, each where it stands.
func TestDecodeJSONReportsEachErrorAtItsPosition(t *testing.T) {
	for name, tt := range map[string]struct{ src, want string }{
		"syntax":             {"{\n  \"version\": 1,}", "f:2:16: invalid character '}' looking for beginning of object key string"},
		"empty":              {"", "f:1:1: unexpected end of JSON input"},
		"two values":         {"{} {}", "f:1:4: invalid character '{' after top-level value"},
		"not an object":      {"[1]", "f:1:1: want an object"},
		"unknown field":      {`{"versoin":{"a":[1]},"version":-1}`, "f:1:2: versoin: unknown field; known here: items, version\nf:1:32: version: want a whole number from 0 on"},
		"field of no name":   {`{"items":[{"Own":true}]}`, "f:1:12: items[0].Own: unknown field; known here: count, inner, name"},
		"odd name":           {`{"a\u001b[0m":1}`, `f:1:2: "a\x1b[0m": unknown field; known here: items, version`},
		"twice":              {`{"version":1,"version":2}`, "f:1:14: version: is there twice"},
		"fraction":           {"{\"items\":[\n {\"count\":1.5}]}", "f:2:11: items[0].count: want a whole number"},
		"out of range":       {`{"items":[{"inner":{"share":1e999}}]}`, "f:1:29: items[0].inner.share: want a number"},
		"list for an object": {`{"items":[{"inner":[]}, 7]}`, "f:1:20: items[0].inner: want an object\nf:1:25: items[1]: want an object"},
		"number for a text":  {`{"items":[{"name":"é","count":"1"},{"name":1}]}`, "f:1:31: items[0].count: want a whole number\nf:1:44: items[1].name: want a string"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := decoder.DecodeJSON("f", []byte(tt.src), new(jsonFile), jsonNames)
			c.Assert(err, qt.IsNotNil)
			c.Assert(err.Error(), qt.Equals, tt.want)
		})
	}
}

// A value beside a faulty one must still be read, as later checks need it.
func TestDecodeJSONReadsWhatStandsBesideAnError(t *testing.T) {
	c := qt.New(t)
	var f jsonFile
	positions, err := decoder.DecodeJSON("f", []byte("{\"items\": [{\"name\": 1, \"count\": 2, \"inner\": {\"share\": 0.5}}, null],\n\"version\": 3}"), &f, jsonNames)
	c.Assert(err, qt.ErrorMatches, ".*want a string")
	c.Assert(f, qt.DeepEquals, jsonFile{Version: 3, Items: []jsonItem{{Count: 2, Inner: &jsonInner{Share: 0.5}}, {}}})
	c.Assert(positions["version"].Line, qt.Equals, 2)
	c.Assert(positions["items[0].inner.share"].Column, qt.Equals, 46)
}
