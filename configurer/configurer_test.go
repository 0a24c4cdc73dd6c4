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

const entryHead = "id: e\ndomain: a\nlisten: 127.0.0.1:1\npeer: 127.0.0.1:2\nplatform: 127.0.0.1:3\n"

// TestFaults: each fault of a settings file names its line, field and cure.
func TestFaults(t *testing.T) {
	agent := func(c *Configurer, file string) error { _, err := c.ReadAgent(file); return err }
	entry := func(c *Configurer, file string) error { _, err := c.ReadEntry(file); return err }
	for _, one := range []struct {
		name, src string
		read      func(*Configurer, string) error
		want      string
	}{
		{"wrong type", entryHead + "shards: many\n", entry, `.*f.yaml:6:9: shards: "many" is no whole number`},
		{"unknown field", entryHead + "shrads: 4\n", entry, `.*f.yaml:6:1: shrads: unknown field; known here: .*shards.*`},
		{"an address without a port", "id: e\ndomain: a\nlisten: localhost\npeer: 127.0.0.1:2\nplatform: 127.0.0.1:3\n", entry, `.*f.yaml:3:9: listen: .*`},
		{"all that is missing at once", "region: west\n", entry, `(?s).*id: is missing.*domain: is missing.*listen: is missing.*peer: is missing.*platform: is missing.*`},
		{"a hold shorter than the lease allows", entryHead + "lease: 10s\nhold: 20s\n", entry, `.*hold: must be at least three leases; raise hold or lower lease`},
		{"a negative duration", entryHead + "drain: -1s\n", entry, `.*f.yaml:6:1: drain: must be at least 0`},
		{"a service without a target", "id: a\ndomain: a\nlisten: 127.0.0.1:1\nentries: [127.0.0.1:2]\nworker: 127.0.0.1:3\nteam: t\nservice: s\n", agent, `.*target: is missing; a service needs the address of its target`},
		{"an agent without entries", "id: a\ndomain: a\nlisten: 127.0.0.1:1\nworker: 127.0.0.1:3\n", agent, `.*entries: must be at least 1`},
	} {
		t.Run(one.name, func(t *testing.T) {
			c := qt.New(t)
			file := filepath.Join(t.TempDir(), "f.yaml")
			c.Assert(os.WriteFile(file, []byte(one.src), 0o600), qt.IsNil)
			err := one.read(New(), file)
			c.Assert(err, qt.ErrorMatches, one.want)
			c.Assert(IsDiagnostics(err), qt.IsTrue)
		})
	}
	_, err := New().ReadEntry("nowhere.yaml")
	qt.Assert(t, IsDiagnostics(err), qt.IsFalse)
}
