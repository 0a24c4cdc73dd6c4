package configurer

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/decoder"
)

func TestPoolExamples(t *testing.T) {
	c := qt.New(t)
	entry, err := New().ReadPoolEntry("../examples/pool-entry.yaml")
	c.Assert(err, qt.IsNil)
	c.Assert(entry.MaxWorkerLease, qt.Equals, 6*time.Second)
	c.Assert(entry.EvacuationBound, qt.Equals, 5*time.Second)
	c.Assert(entry.Memory, qt.Equals, 512*decoder.Size(1e6))
	c.Assert(entry.Descriptors, qt.Equals, 4096)
	c.Assert(entry.Bind, qt.Equals, entry.Peer, qt.Commentf("Bind defaults to Peer"))
	c.Assert(entry.RemoteFactor, qt.Equals, 1.5)
	agent, err := New().ReadPoolAgent("../examples/pool-agent.yaml")
	c.Assert(err, qt.IsNil)
	c.Assert(agent.Pool, qt.Equals, "reconcile")
}

func TestPoolDiagnosticsNameTheField(t *testing.T) {
	for name, tc := range map[string]struct{ text, field string }{
		"missing address":  {"id: e\ndomain: d\nlisten: 127.0.0.1:1\nready: 127.0.0.1:2\npeer: 127.0.0.1:3\nhold: 6s\nkeep: 1s\ndrain: 1s\n", "store"},
		"negative bound":   {"id: e\ndomain: d\nlisten: 127.0.0.1:1\nready: 127.0.0.1:2\npeer: 127.0.0.1:3\nstore: 127.0.0.1:4\nhold: 6s\nkeep: 1s\ndrain: 1s\nevacuate: -1s\n", "evacuate"},
		"invalid duration": {"id: e\ndomain: d\nlisten: 127.0.0.1:1\nready: 127.0.0.1:2\npeer: 127.0.0.1:3\nstore: 127.0.0.1:4\nhold: soon\nkeep: 1s\ndrain: 1s\n", "hold"},
		"factor below 1":   {"id: e\ndomain: d\nlisten: 127.0.0.1:1\nready: 127.0.0.1:2\npeer: 127.0.0.1:3\nstore: 127.0.0.1:4\nhold: 6s\nkeep: 1s\ndrain: 1s\nremote: 0.5\n", "remote"},
		"no factor":        {"id: e\ndomain: d\nlisten: 127.0.0.1:1\nready: 127.0.0.1:2\npeer: 127.0.0.1:3\nstore: 127.0.0.1:4\nhold: 6s\nkeep: 1s\ndrain: 1s\nremote: .nan\n", "remote"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			file := filepath.Join(c.TempDir(), "entry.yaml")
			c.Assert(os.WriteFile(file, []byte(tc.text), 0o600), qt.IsNil)
			_, err := New().ReadPoolEntry(file)
			c.Assert(IsDiagnostics(err), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(err.Error(), qt.Contains, tc.field)
		})
	}
}
