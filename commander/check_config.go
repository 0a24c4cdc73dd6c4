package commander

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"

	"github.com/endivefall/endivefall/decoder"
	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/platform"
)

// configCheck checks the operator's configuration of the pools.
type configCheck struct {
	against string
	memory  decoder.Size
	json    bool
}

func (c *configCheck) flags(f *flag.FlagSet) {
	f.StringVar(&c.against, "against", "", "file of the configuration in force")
	f.Func("memory", "memory of the smallest entry, as 184MB", func(text string) error { return c.memory.UnmarshalText([]byte(text)) })
	f.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *configCheck) run(s streams, args []string) int {
	if len(args) != 1 {
		return s.usageError("check -kind config takes one file; see endivefall help check")
	}
	r, err := c.check(args[0])
	if err != nil {
		return s.fail(err)
	}
	if c.json {
		raw, err := json.Marshal(r)
		if err != nil {
			return s.fail(err)
		}
		s.printJSON(raw)
	} else {
		s.printReport(r, c.against != "")
	}
	if len(r.Errors) > 0 {
		return ExitFailed
	}
	return ExitOK
}

func (c *configCheck) check(file string) (*platform.ConfigReport, error) {
	src, err := readFile(file)
	if err != nil {
		return nil, err
	}
	if c.against == "" {
		return platform.CheckConfig(file, src, int64(c.memory)), nil
	}
	force, err := readFile(c.against)
	if err != nil {
		return nil, err
	}
	return platform.CheckConfigAgainst(file, src, int64(c.memory), c.against, force)
}

func readFile(file string) ([]byte, error) {
	src, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("%s: no such file", file)
	}
	return src, err
}

// printReport prints errors and warnings to standard error, and the rest to standard output.
func (s streams) printReport(r *platform.ConfigReport, compared bool) {
	for _, d := range r.Errors {
		fmt.Fprintln(s.err, d)
	}
	for _, d := range r.Warnings {
		fmt.Fprintln(s.err, "warning:", d)
	}
	for _, change := range r.Changes {
		fmt.Fprintf(s.out, "%s\n    %s\n", parser.Change{Field: change.Field, From: change.From, To: change.To}, change.Effect)
	}
	if compared && len(r.Changes) == 0 && len(r.Errors) == 0 {
		fmt.Fprintln(s.out, "No changes.")
	}
	if len(r.Errors) == 0 {
		fmt.Fprintf(s.out, "%s: no fault\n", r.File)
	}
}
