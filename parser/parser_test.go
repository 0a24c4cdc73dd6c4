package parser

import (
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestExamples(t *testing.T) {
	for _, file := range []string{"association.yaml", "companhia.yaml"} {
		src, err := os.ReadFile("../examples/" + file)
		qt.Assert(t, err, qt.IsNil)
		_, err = New().Parse(file, src)
		qt.Assert(t, err, qt.IsNil)
	}
}

func TestDefaults(t *testing.T) {
	c := qt.New(t)
	d, err := New().Parse("f", []byte("team: a\nservices:\n- name: s\njobs:\n- {name: j, tasks: 2}\n"))
	c.Assert(err, qt.IsNil)
	s := d.Service("s")
	c.Assert(s.Slots, qt.Equals, DefaultSlots)
	c.Assert(s.Connections, qt.Equals, DefaultConnections)
	c.Assert(s.IsIdempotent("GET"), qt.IsTrue)
	c.Assert(s.IsIdempotent("POST"), qt.IsFalse)
	c.Assert(d.Job("j").Deadline, qt.Equals, 24*time.Hour)
	c.Assert(d.Service("other"), qt.IsNil)
}

func TestDiagnostics(t *testing.T) {
	for _, tc := range []struct{ name, src, want string }{
		{"no team", "services: []\n", `f:1:1: team: is missing; set it`},
		{"two services with the same name", "team: a\nservices:\n- name: s\n- name: s\n", `f:2:1: services: has the same name twice; names must differ`},
		{"a value out of bounds is not replaced by its default", "team: a\nservices:\n- {name: s, slots: -1}\n", `f:3:13: services\[0\].slots: must be at least 1`},
		{"a job over its quota", "team: a\nquota: {processors: 2}\njobs:\n- {name: j, tasks: 1, need: {processors: 3}}\n", `f:4:23: jobs\[0\].need: is more than the team's quota, .*`},
		{"a contract later than the deadline", "team: a\nservices:\n- {name: s, deadline: 1s, contract: {bound: 2s}}\n", `f:3:38: services\[0\].contract.bound: is later than the deadline.*`},
		{"a name with a slash", "team: a/b\n", `f:1:1: team: must be letters, digits and dashes`},
		{"an unknown method", "team: a\nservices:\n- {name: s, idempotent: [BOOK]}\n", `f:3:26: services\[0\].idempotent\[0\]: must be one of .*`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := New().Parse("f", []byte(tc.src))
			qt.Assert(t, err, qt.ErrorMatches, tc.want)
		})
	}
}

func TestDiff(t *testing.T) {
	c := qt.New(t)
	parse := func(src string) *Document {
		d, err := New().Parse("f", []byte(src))
		c.Assert(err, qt.IsNil)
		return d
	}
	from := parse("team: a\nservices:\n- {name: s, slots: 8}\n- {name: old}\n")
	to := parse("team: a\nservices:\n- {name: s, slots: 4}\njobs:\n- {name: j, tasks: 1}\n")
	var got []string
	for _, change := range Diff(from, to) {
		got = append(got, change.String())
	}
	c.Assert(got, qt.DeepEquals, []string{"~ services.s.slots: 8 -> 4", "- services.old: removed", "+ jobs.j: added"})
	c.Assert(Diff(from, from), qt.HasLen, 0)
}

// FuzzParse checks that no document makes the parser panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte("team: a\nservices:\n- name: s\n"))
	f.Add([]byte("team: {a: [b, c]}\n"))
	f.Fuzz(func(_ *testing.T, src []byte) {
		_, _ = New().Parse("f", src)
	})
}
