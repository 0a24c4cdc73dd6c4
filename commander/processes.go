package commander

import (
	"context"
	"errors"
	"net/http"

	"github.com/endivefall/endivefall/agent"
	"github.com/endivefall/endivefall/configurer"
	"github.com/endivefall/endivefall/entry"
	"github.com/endivefall/endivefall/logger"
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
