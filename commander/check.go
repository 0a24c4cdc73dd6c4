package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"

	"github.com/endivefall/endivefall/configurer"
	"github.com/endivefall/endivefall/parser"
)

func newCheck(s streams) *command {
	var kind string
	var c configCheck
	return &command{
		streams: s, name: "check", synopsis: "check settings files, team documents and the configuration of the pools",
		usage: `endivefall check [-kind entry|agent|team] FILE...
endivefall check -kind config [-against FILE] [-memory SIZE] [-json] FILE

Prints every error with its line and column. Exit code 1 if there is any.

With -kind config, FILE holds the operator's configuration of the pools as JSON.
Warnings are printed as well. -against names the file of the version in force:
prints what differs from it, and what that does to accepted jobs. -memory is that
of the smallest entry.

  endivefall check -kind team examples/association.yaml
  endivefall check -kind config -against examples/config.json -memory 184MB next.json`,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&kind, "kind", "team", "what the files are: entry, agent, team or config")
			c.flags(f)
		},
		run: func(_ context.Context, args []string) int {
			if len(args) == 0 {
				return s.usageError("check takes files; see endivefall help check")
			}
			if kind == "config" {
				return c.run(s, args)
			}
			if c != (configCheck{}) {
				return s.usageError("-against, -memory and -json go with -kind config; see endivefall help check")
			}
			code := ExitOK
			for _, file := range args {
				err := check(kind, file)
				if errors.Is(err, errUnknownKind) {
					return s.usageError("%v", err)
				}
				if err != nil {
					fmt.Fprintln(s.err, err)
					code = ExitFailed
					continue
				}
				fmt.Fprintf(s.out, "%s: no fault\n", file)
			}
			return code
		},
	}
}

var errUnknownKind = errors.New("-kind must be entry, agent, team or config")

func check(kind, file string) error {
	var err error
	switch kind {
	case "entry":
		_, err = configurer.New().ReadEntry(file)
	case "agent":
		_, err = configurer.New().ReadAgent(file)
	case "team":
		var src []byte
		if src, err = os.ReadFile(file); err == nil {
			_, err = parser.New().Parse(file, src)
		}
	default:
		return errUnknownKind
	}
	if errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%s: no such file", file)
	}
	return err
}
