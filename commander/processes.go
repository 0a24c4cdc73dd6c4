package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"net/http"
	"os"

	"github.com/endivefall/endivefall/agent"
	"github.com/endivefall/endivefall/configurer"
	"github.com/endivefall/endivefall/entry"
	"github.com/endivefall/endivefall/logger"
	"github.com/endivefall/endivefall/parser"
)

func newEntry(s streams) *command {
	return &command{
		streams: s, name: "entry", synopsis: "run an entry instance",
		usage: `endivefall entry SETTINGS

Serves callers, operators and agents until SIGTERM, then drains the requests in
flight. Exit code 1 if any had to be aborted.

  endivefall entry examples/entry.yaml`,
		run: func(ctx context.Context, args []string) int {
			if len(args) != 1 {
				return s.usageError("entry takes one settings file; see endivefall help entry")
			}
			cfg, err := configurer.New().ReadEntry(args[0])
			if err != nil {
				return s.fail(err)
			}
			log, err := logger.New(s.err, cfg.Level)
			if err != nil {
				return s.fail(err)
			}
			if err := entry.New(entry.Config{Settings: *cfg, Log: log}).Run(ctx); err != nil {
				return s.fail(err)
			}
			return ExitOK
		},
	}
}

func newAgent(s streams) *command {
	return &command{
		streams: s, name: "agent", synopsis: "run the agent of a target",
		usage: `endivefall agent SETTINGS

Announces the target, admits its requests and runs batch tasks until SIGTERM or
the worker's shutdown notice. Exit code 1 if anything was still running when the
drain timeout expired.

  endivefall agent examples/agent.yaml`,
		run: func(ctx context.Context, args []string) int {
			if len(args) != 1 {
				return s.usageError("agent takes one settings file; see endivefall help agent")
			}
			cfg, err := configurer.New().ReadAgent(args[0])
			if err != nil {
				return s.fail(err)
			}
			log, err := logger.New(s.err, cfg.Level)
			if err != nil {
				return s.fail(err)
			}
			if err := agent.New(agent.Config{Settings: *cfg, Log: log}).Run(ctx); err != nil {
				return s.fail(err)
			}
			return ExitOK
		},
	}
}

func newCheck(s streams) *command {
	var kind string
	return &command{
		streams: s, name: "check", synopsis: "check settings files and team documents",
		usage: `endivefall check [-kind entry|agent|team] FILE...

Prints every error with its line and column. Exit code 1 if there is any.

  endivefall check -kind team examples/association.yaml`,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&kind, "kind", "team", "what the files are: entry, agent or team")
		},
		run: func(_ context.Context, args []string) int {
			if len(args) == 0 {
				return s.usageError("check takes files; see endivefall help check")
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

var errUnknownKind = errors.New("-kind must be entry, agent or team")

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

// serveHTTP serves a handler until ctx ends.
func serveHTTP(ctx context.Context, addr string, h http.Handler) error {
	server := &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
