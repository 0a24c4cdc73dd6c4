package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/endivefall/endivefall/parser"
)

func newApply(s streams) *command {
	var c client
	var version uint64
	var dry bool
	return &command{
		streams: s, name: "apply", synopsis: "put a team's document in force",
		usage: `endivefall apply [-version N] [-dry] FILE

Shows what will change, then sends the document. -version is the version that
it was edited from; without it the present one is taken, which is only safe
when nobody else edits. Exit code 1 if it was refused, 3 if it is not known
yet.

  endivefall apply -version 12 examples/association.yaml`,
		flags: func(f *flag.FlagSet) {
			c.flags(f)
			f.Uint64Var(&version, "version", 0, "version that the file was edited from")
			f.BoolVar(&dry, "dry", false, "only show what would change")
		},
		run: func(ctx context.Context, args []string) int {
			if len(args) != 1 {
				return s.misuse("apply takes one document; see endivefall help apply")
			}
			return apply(ctx, s, &c, args[0], version, dry)
		},
	}
}

func apply(ctx context.Context, s streams, c *client, file string, version uint64, dry bool) int {
	src, err := os.ReadFile(file)
	if err != nil {
		return s.fail(err)
	}
	doc, err := parser.New().Parse(file, src)
	if err != nil {
		return s.fail(err)
	}
	present, err := plan(ctx, s, c, doc.Team, src)
	if err != nil {
		return s.report(err)
	}
	if dry {
		return ExitOK
	}
	if version == 0 {
		version = present
	}
	call := c.base().Put("/v1/teams/" + doc.Team).Body(bytes.NewReader(src))
	if version == 0 {
		call.Set("If-None-Match", "*")
	} else {
		call.Set("If-Match", `"`+strconv.FormatUint(version, 10)+`"`)
	}
	a, err := c.do(ctx, call)
	if err != nil {
		return s.report(err)
	}
	if c.json {
		s.pretty(a.body)
		return ExitOK
	}
	fmt.Fprintf(s.out, "%s is in force, version %s.\n", doc.Team, strings.Trim(a.header.Get("ETag"), `"`))
	return ExitOK
}

// plan prints what a document changes and returns the version in force.
func plan(ctx context.Context, s streams, c *client, team string, src []byte) (uint64, error) {
	a, err := c.do(ctx, c.base().Post("/v1/teams/"+team+"/plan").Body(bytes.NewReader(src)))
	if err != nil {
		return 0, err
	}
	var p struct {
		Version uint64          `json:"version"`
		Changes []parser.Change `json:"changes"`
	}
	if err := json.Unmarshal(a.body, &p); err != nil {
		return 0, err
	}
	if c.json {
		return p.Version, nil
	}
	for _, change := range p.Changes {
		fmt.Fprintln(s.out, change)
	}
	if len(p.Changes) == 0 {
		fmt.Fprintln(s.out, "Nothing changes.")
	}
	return p.Version, nil
}

func newGet(s streams) *command {
	var c client
	return &command{
		streams: s, name: "get", synopsis: "print a team's document",
		usage: `endivefall get TEAM

Prints the document to standard output, and its version and nonce to standard
error.

  endivefall get association > association.yaml`,
		flags: c.flags,
		run: func(ctx context.Context, args []string) int {
			if len(args) != 1 {
				return s.misuse("get takes one team; see endivefall help get")
			}
			a, err := c.do(ctx, c.base().Get("/v1/teams/"+args[0]))
			if err != nil {
				return s.report(err)
			}
			fmt.Fprint(s.out, string(a.body))
			fmt.Fprintf(s.err, "version %s nonce %s\n", strings.Trim(a.header.Get("ETag"), `"`), a.header.Get("Endivefall-Nonce"))
			if w := a.header.Get(http.CanonicalHeaderKey("Warning")); w != "" {
				fmt.Fprintln(s.err, w)
			}
			return ExitOK
		},
	}
}
