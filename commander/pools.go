package commander

import (
	"context"

	"github.com/endivefall/endivefall/configurer"
	"github.com/endivefall/endivefall/logger"
	"github.com/endivefall/endivefall/platform"
)

func newPoolEntry(s streams) *command {
	return &command{
		streams: s, name: "pool-entry", synopsis: "run an entry of the pools on a platform",
		usage: `endivefall pool-entry SETTINGS

Takes jobs with steps, and schedules them while it owns the pools, until SIGTERM.
Exit code 1 if a request had to be cut off.

  endivefall pool-entry examples/pool-entry.yaml`,
		run: func(ctx context.Context, args []string) int {
			if len(args) != 1 {
				return s.misuse("pool-entry takes one settings file; see endivefall help pool-entry")
			}
			cfg, err := configurer.New().ReadPoolEntry(args[0])
			if err != nil {
				return s.fail(err)
			}
			log, err := logger.New(s.out, cfg.Level)
			if err != nil {
				return s.fail(err)
			}
			if err := platform.Entry(ctx, cfg, log); err != nil {
				return s.fail(err)
			}
			return ExitOK
		},
	}
}

func newPoolAgent(s streams) *command {
	return &command{
		streams: s, name: "pool-agent", synopsis: "run the process beside a worker of a pool on a platform",
		usage: `endivefall pool-agent SETTINGS

Commands the worker for the pools' owner until SIGTERM.

  endivefall pool-agent examples/pool-agent.yaml`,
		run: func(ctx context.Context, args []string) int {
			if len(args) != 1 {
				return s.misuse("pool-agent takes one settings file; see endivefall help pool-agent")
			}
			cfg, err := configurer.New().ReadPoolAgent(args[0])
			if err != nil {
				return s.fail(err)
			}
			log, err := logger.New(s.out, cfg.Level)
			if err != nil {
				return s.fail(err)
			}
			if err := platform.Agent(ctx, cfg, log); err != nil {
				return s.fail(err)
			}
			return ExitOK
		},
	}
}
