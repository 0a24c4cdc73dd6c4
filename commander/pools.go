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

Accepts jobs with steps, and schedules them while it owns the pools, until
SIGTERM. Reloads its settings on SIGHUP and when the file changes: the level
takes effect at once, the other settings at the next start. Exit code 1 if a
request had to be aborted.

  endivefall pool-entry examples/pool-entry.yaml`,
		run: runFromFile(s, "pool-entry", configurer.New().ReadPoolEntry, func(e *configurer.PoolEntry) string { return e.Level }, platform.RunEntry),
	}
}

func newPoolAgent(s streams) *command {
	return &command{
		streams: s, name: "pool-agent", synopsis: "run the agent of a pool's worker on a platform",
		usage: `endivefall pool-agent SETTINGS

Controls the worker on behalf of the pools' owner until SIGTERM. Reloads its
settings as pool-entry does.

  endivefall pool-agent examples/pool-agent.yaml`,
		run: runFromFile(s, "pool-agent", configurer.New().ReadPoolAgent, func(a *configurer.PoolAgent) string { return a.Level }, platform.RunAgent),
	}
}

// runFromFile returns the run function of a command that takes one settings file
// and runs a process until its context ends.
func runFromFile[T any](s streams, name string, read func(file string) (*T, error), level func(*T) string, run func(context.Context, *T, *zap.Logger) error) func(context.Context, []string) int {
	return func(ctx context.Context, args []string) int {
		if len(args) != 1 {
			return s.usageError(name + " takes one settings file; see endivefall help " + name)
		}
		cfg, err := read(args[0])
		if err != nil {
			return s.fail(err)
		}
		return s.runWithReload(ctx, args[0], level(cfg), func(ctx context.Context, log *zap.Logger) error {
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

// runWithReload runs a process that logs to standard output without blocking on
// it, and applies the log level from the settings file whenever the file is
// reloaded.
func (s streams) runWithReload(ctx context.Context, file, level string, run func(context.Context, *zap.Logger) error, levelOf func(file string) (string, error)) int {
	asyncOut := logger.NewAsyncWriter(s.out)
	defer asyncOut.Close()
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return s.fail(err)
	}
	atomicLevel := zap.NewAtomicLevelAt(parsed)
	log := logger.NewWithLevel(asyncOut, atomicLevel)
	reloadCtx, stop := context.WithCancel(ctx)
	defer stop()
	go reloader.New(reloader.Config{File: file, Log: log, Apply: func(file string) error {
		next, err := levelOf(file)
		if err != nil {
			return err
		}
		parsed, err := zapcore.ParseLevel(next)
		if err != nil {
			return err
		}
		atomicLevel.SetLevel(parsed)
		return nil
	}}).Serve(reloadCtx)
	if err := run(ctx, log); err != nil {
		return s.fail(err)
	}
	return ExitOK
}
