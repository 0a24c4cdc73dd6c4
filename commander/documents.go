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
	var dryRun bool
	return &command{
		streams: s, name: "apply", synopsis: "apply a team's document",
		usage: `endivefall apply [-version N] [-dry] FILE

Shows what will change, then sends the document. -version is the version that
the file was edited from. Without it the current version is assumed, which may
overwrite the edit of another operator. Exit code 1 if the document was refused,
3 if the outcome is not known yet.

  endivefall apply -version 12 examples/association.yaml`,
		flags: func(f *flag.FlagSet) {
			c.flags(f)
			f.Uint64Var(&version, "version", 0, "version that the file was edited from")
			f.BoolVar(&dryRun, "dry", false, "only show what would change")
		},
		run: func(ctx context.Context, args []string) int {
			if len(args) != 1 {
				return s.usageError("apply takes one document; see endivefall help apply")
			}
			return apply(ctx, s, &c, args[0], version, dryRun)
		},
	}
}

func apply(ctx context.Context, s streams, c *client, file string, version uint64, dryRun bool) int {
	src, err := os.ReadFile(file)
	if err != nil {
		return s.fail(err)
	}
	doc, err := parser.New().Parse(file, src)
	if err != nil {
		return s.fail(err)
	}
	current, err := printPlan(ctx, s, c, doc.Team, src)
	if err != nil {
		return s.failRequest(err)
	}
	if dryRun {
		return ExitOK
	}
	if version == 0 {
		version = current
	}
	request := c.base().Put("/v1/teams/" + doc.Team).Body(bytes.NewReader(src))
	if version == 0 {
		request.Set("If-None-Match", "*")
	} else {
		request.Set("If-Match", `"`+strconv.FormatUint(version, 10)+`"`)
	}
	res, err := c.do(ctx, request)
	if err != nil {
		return s.failRequest(err)
	}
	if c.json {
		s.printJSON(res.body)
		return ExitOK
	}
	fmt.Fprintf(s.out, "%s is in force, version %s.\n", doc.Team, strings.Trim(res.header.Get("ETag"), `"`))
	return ExitOK
}

// printPlan prints what a document would change, unless the output is JSON, and
// returns the current version.
func printPlan(ctx context.Context, s streams, c *client, team string, src []byte) (uint64, error) {
	res, err := c.do(ctx, c.base().Post("/v1/teams/"+team+"/plan").Body(bytes.NewReader(src)))
	if err != nil {
		return 0, err
	}
	var p struct {
		Version uint64          `json:"version"`
		Changes []parser.Change `json:"changes"`
	}
	if err := json.Unmarshal(res.body, &p); err != nil {
		return 0, err
	}
	if c.json {
		return p.Version, nil
	}
	for _, change := range p.Changes {
		fmt.Fprintln(s.out, change)
	}
	if len(p.Changes) == 0 {
		fmt.Fprintln(s.out, "No changes.")
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
				return s.usageError("get takes one team; see endivefall help get")
			}
			res, err := c.do(ctx, c.base().Get("/v1/teams/"+args[0]))
			if err != nil {
				return s.failRequest(err)
			}
			fmt.Fprint(s.out, string(res.body))
			fmt.Fprintf(s.err, "version %s nonce %s\n", strings.Trim(res.header.Get("ETag"), `"`), res.header.Get("Endivefall-Nonce"))
			if warning := res.header.Get(http.CanonicalHeaderKey("Warning")); warning != "" {
				fmt.Fprintln(s.err, warning)
			}
			return ExitOK
		},
	}
}
