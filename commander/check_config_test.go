package commander

import (
	"bytes"
	"flag"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "rewrite golden files")

// The output is what operators decide by; a change of it is to be seen in review.
func TestCheckConfigPrintsEachFaultAndEffect(t *testing.T) {
	for _, golden := range []struct {
		file string
		args []string
	}{
		{"testdata/next.txt", nil},
		{"testdata/next.out.json", []string{"-json"}},
	} {
		t.Run(golden.file, func(t *testing.T) {
			c := qt.New(t)
			var out bytes.Buffer
			args := append([]string{"check", "-kind", "config", "-memory", "184MB", "-against", "../examples/config.json"}, golden.args...)
			c.Assert(Run(append(args, "testdata/next.json"), &out, &out), qt.Equals, ExitFailed)
			if *update {
				c.Assert(os.WriteFile(golden.file, out.Bytes(), 0o644), qt.IsNil)
			}
			want, err := os.ReadFile(golden.file)
			c.Assert(err, qt.IsNil)
			c.Assert(out.String(), qt.Equals, string(want))
		})
	}
}
