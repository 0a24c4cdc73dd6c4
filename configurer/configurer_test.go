package configurer

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestExamples(t *testing.T) {
	c := qt.New(t)
	e, err := New().ReadEntry("../examples/entry.yaml")
	c.Assert(err, qt.IsNil)
	c.Assert(e.Shards, qt.Equals, DefaultShards)
	c.Assert(e.OwnershipTTL, qt.Equals, DefaultOwnershipTTL)
	a, err := New().ReadAgent("../examples/agent.yaml")
	c.Assert(err, qt.IsNil)
	c.Assert(a.ClaimRetention, qt.Equals, DefaultClaimRetention)
}

const minimalEntry = "id: e\ndomain: a\nlisten: 127.0.0.1:1\npeer: 127.0.0.1:2\nplatform: 127.0.0.1:3\n"

// TestDiagnostics checks that each error in a settings file is reported with its
// line, its field and a remedy.
func TestDiagnostics(t *testing.T) {
	agent := func(c *Configurer, file string) error { _, err := c.ReadAgent(file); return err }
	entry := func(c *Configurer, file string) error { _, err := c.ReadEntry(file); return err }
	for _, tc := range []struct {
		name, src string
		read      func(*Configurer, string) error
		want      string
	}{
		{"wrong type", minimalEntry + "shards: many\n", entry, `.*f.yaml:6:9: shards: "many" is no whole number`},
		{"unknown field", minimalEntry + "shrads: 4\n", entry, `.*f.yaml:6:1: shrads: unknown field; known here: .*shards.*`},
		{"an address without a port", "id: e\ndomain: a\nlisten: localhost\npeer: 127.0.0.1:2\nplatform: 127.0.0.1:3\n", entry, `.*f.yaml:3:9: listen: .*`},
		{"all missing fields at once", "region: west\n", entry, `(?s).*id: is missing.*domain: is missing.*listen: is missing.*peer: is missing.*platform: is missing.*`},
		{"a hold shorter than three leases", minimalEntry + "lease: 10s\nhold: 20s\n", entry, `.*hold: must be at least three leases; raise hold or lower lease`},
		{"a negative duration", minimalEntry + "drain: -1s\n", entry, `.*f.yaml:6:1: drain: must be at least 0`},
		{"a service without a target", "id: a\ndomain: a\nlisten: 127.0.0.1:1\nentries: [127.0.0.1:2]\nworker: 127.0.0.1:3\nteam: t\nservice: s\n", agent, `.*target: is missing; a service needs the address of its target`},
		{"an agent without entries", "id: a\ndomain: a\nlisten: 127.0.0.1:1\nworker: 127.0.0.1:3\n", agent, `.*entries: must be at least 1`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			file := filepath.Join(t.TempDir(), "f.yaml")
			c.Assert(os.WriteFile(file, []byte(tc.src), 0o600), qt.IsNil)
			err := tc.read(New(), file)
			c.Assert(err, qt.ErrorMatches, tc.want)
			c.Assert(IsDiagnostics(err), qt.IsTrue)
		})
	}
	_, err := New().ReadEntry("nowhere.yaml")
	qt.Assert(t, IsDiagnostics(err), qt.IsFalse)
}
