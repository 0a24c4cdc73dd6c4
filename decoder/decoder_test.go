package decoder

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

type sample struct {
	Name  string         `yaml:"name" validate:"required"`
	Slots int            `yaml:"slots" validate:"gte=0,lte=9"`
	Wait  time.Duration  `yaml:"wait"`
	Addr  netip.AddrPort `yaml:"addr"`
	Size  Size           `yaml:"size"`
	List  []item         `yaml:"list" validate:"dive"`
}

type item struct {
	On bool `yaml:"on"`
	N  int  `yaml:"n" validate:"gte=1"`
}

func TestDecode(t *testing.T) {
	c := qt.New(t)
	var s sample
	_, err := New().Decode("f.yaml", []byte("name: a\nslots: 3\nwait: 1.5s\naddr: 127.0.0.1:80\nsize: 2GiB\nlist:\n- {on: true, n: 4}\n"), &s)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Name, qt.Equals, "a")
	c.Assert(s.Slots, qt.Equals, 3)
	c.Assert(s.Wait, qt.Equals, 1500*time.Millisecond)
	c.Assert(s.Addr, qt.Equals, netip.MustParseAddrPort("127.0.0.1:80"))
	c.Assert(s.Size, qt.Equals, 2*GiB)
	c.Assert(s.List, qt.DeepEquals, []item{{true, 4}})
}

// TestAllDiagnosticsAtOnce checks that all errors are reported, each with its line,
// column and field.
func TestAllDiagnosticsAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name, src string
		want      []string
	}{
		{"several", "slots: many\nwait: soon\ncolor: red\n", []string{
			`f.yaml:1:8: slots: "many" is no whole number`,
			`f.yaml:2:7: wait: "soon" is no duration; write it as 250ms or 10s`,
			`f.yaml:3:1: color: unknown field; known here: addr, list, name, size, slots, wait`,
			`f.yaml:1:1: name: is missing; set it`,
		}},
		{"inside a list", "name: a\nlist:\n  - on: yes please\n    n: 0\n", []string{
			`f.yaml:3:9: list[0].on: "yes please" is not true or false`,
			`f.yaml:4:5: list[0].n: must be at least 1`,
		}},
		{"out of bounds", "name: a\nslots: 12\n", []string{`f.yaml:2:1: slots: must be at most 9`}},
		{"address", "name: a\naddr: nowhere\n", []string{`f.yaml:2:7: addr: not an ip:port`}},
		{"size", "name: a\nsize: huge\n", []string{`f.yaml:2:7: size: "huge" is no size; write a number with a unit, as in 8GiB`}},
		{"a scalar for a list", "name: a\nlist: 3\n", []string{`f.yaml:2:7: list: want a list`}},
		{"a boolean for a string", "name: true\n", []string{`f.yaml:1:7: name: "true" reads as true or false; put it in quotes`}},
		{"empty file", "", []string{`f.yaml:1:1: want exactly one YAML document`}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			var s sample
			_, err := New().Decode("f.yaml", []byte(tc.src), &s)
			var diagnostics Diagnostics
			c.Assert(errors.As(err, &diagnostics), qt.IsTrue, qt.Commentf("%v", err))
			var got []string
			for _, d := range diagnostics {
				got = append(got, d.Error())
			}
			c.Assert(got, qt.DeepEquals, tc.want)
		})
	}
	c := qt.New(t)
	var s sample
	_, err := New().Decode("f.yaml", []byte("name: [a\n"), &s)
	c.Assert(err, qt.ErrorMatches, `f\.yaml:\d+:\d+: .*`)
}

func TestSizes(t *testing.T) {
	for text, want := range map[string]string{"1TB": "1TB", "2048MiB": "2GiB", "1500MB": "1500MB", "0.5KiB": "512B", "7": "7B", "1000KB": "1MB"} {
		var s Size
		qt.Assert(t, s.UnmarshalText([]byte(text)), qt.IsNil)
		qt.Assert(t, s.String(), qt.Equals, want)
	}
}
