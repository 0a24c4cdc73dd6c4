package pruner_test

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/pruner"
)

// deep is nested deeper than the standard library reads.
var deep = strings.Repeat("[", 20000) + strings.Repeat("]", 20000)

func TestDecodeReadsWhatStandsBesideAValueThatIsNestedTooDeeply(t *testing.T) {
	for name, tt := range map[string]struct {
		text string
		want map[string]any
	}{
		"flat":              {`{"a":1,"b":"x"}`, map[string]any{"a": 1.0, "b": "x"}},
		"deep":              {`{"a":1,"b":` + deep + `,"c":3}`, map[string]any{"a": 1.0, "b": nested(15), "c": 3.0}},
		"braces in strings": {`{"a":"[[[{\"","b":` + deep + `}`, map[string]any{"a": `[[[{"`, "b": nested(15)}},
	} {
		t.Run(name, func(t *testing.T) {
			var got map[string]any
			qt.Assert(t, pruner.Decode([]byte(tt.text), &got), qt.IsNil)
			qt.Assert(t, got, qt.DeepEquals, tt.want)
		})
	}
}

func TestDecodeRefusesWhatIsNoJSON(t *testing.T) {
	for name, text := range map[string]string{"empty": "", "cut off": `{"a":`, "cut off and deep": `{"a":` + deep[:30000], "words": "down"} {
		t.Run(name, func(t *testing.T) {
			var got any
			qt.Assert(t, pruner.Decode([]byte(text), &got), qt.IsNotNil)
		})
	}
}

// FuzzDecode checks that whatever the standard library reads is read as it does.
func FuzzDecode(f *testing.F) {
	f.Add(`{"a":[1,{"b":null}]}`)
	f.Add(`{"a":` + deep + `}`)
	f.Add(`1e999`)
	f.Fuzz(func(t *testing.T, text string) {
		var want, got any
		wantErr := json.Unmarshal([]byte(text), &want)
		err := pruner.Decode([]byte(text), &got)
		if wantErr == nil {
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.DeepEquals, want)
		}
	})
}

// nested returns null in so many arrays.
func nested(depth int) any {
	var v any
	for range depth {
		v = []any{v}
	}
	return v
}
