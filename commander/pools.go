package commander

import (
	"context"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/endivefall/endivefall/configurer"
	"github.com/endivefall/endivefall/logger"
	"github.com/endivefall/endivefall/platform"
	"github.com/endivefall/endivefall/reloader"
)

func newPoolEntry(s streams) *command {
	return &command{
		streams: s, name: "pool-entry", synopsis: "run an entry of the pools on a platform",
		usage: `endivefall pool-entry SETTINGS

Takes jobs with steps, and schedules them while it owns the pools, until SIGTERM.
Reads its settings again on SIGHUP and when the file changes; the level takes
effect at once, the rest at the next start. Exit code 1 if a request had to be
cut off.

  endivefall pool-entry examples/pool-entry.yaml`,
		run: serveFile(s, "pool-entry", configurer.New().ReadPoolEntry, func(e *configurer.PoolEntry) string { return e.Level }, platform.RunEntry),
	}
}

func newPoolAgent(s streams) *command {
	return &command{
		streams: s, name: "pool-agent", synopsis: "run the process beside a worker of a pool on a platform",
		usage: `endivefall pool-agent SETTINGS

Commands the worker for the pools' owner until SIGTERM. Reads its settings again
as pool-entry does.

  endivefall pool-agent examples/pool-agent.yaml`,
		run: serveFile(s, "pool-agent", configurer.New().ReadPoolAgent, func(a *configurer.PoolAgent) string { return a.Level }, platform.RunAgent),
	}
}

// serveFile returns what a command does that runs a process by a settings file.
func serveFile[T any](s streams, name string, read func(file string) (*T, error), level func(*T) string, run func(context.Context, *T, *zap.Logger) error) func(context.Context, []string) int {
	return func(ctx context.Context, args []string) int {
		if len(args) != 1 {
			return s.misuse(name + " takes one settings file; see endivefall help " + name)
		}
		cfg, err := read(args[0])
		if err != nil {
			return s.fail(err)
		}
		return s.serve(ctx, args[0], level(cfg), func(ctx context.Context, log *zap.Logger) error {
			return run(ctx, cfg, log)
		}, func(file string) (string, error) {
			next, err := read(file)
			if err != nil {
				return "", err
			}
			return level(next), nil
		})
	}
}

// serve runs a process whose log goes to standard output and never holds it up,
// and whose level follows its settings file.
func (s streams) serve(ctx context.Context, file, level string, run func(context.Context, *zap.Logger) error, levelOf func(file string) (string, error)) int {
	out := logger.NewAsyncWriter(s.out)
	defer out.Close()
	at, err := zapcore.ParseLevel(level)
	if err != nil {
		return s.fail(err)
	}
	shown := zap.NewAtomicLevelAt(at)
	log := logger.NewWithLevel(out, shown)
	following, stop := context.WithCancel(ctx)
	defer stop()
	go reloader.New(reloader.Config{File: file, Log: log, Apply: func(file string) error {
		next, err := levelOf(file)
		if err != nil {
			return err
		}
		at, err := zapcore.ParseLevel(next)
		if err != nil {
			return err
		}
		shown.SetLevel(at)
		return nil
	}}).Serve(following)
	if err := run(ctx, log); err != nil {
		return s.fail(err)
	}
	return ExitOK
}
