package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"time"

	"github.com/endivefall/endivefall/demonstrator"
	"github.com/endivefall/endivefall/logger"
)

func newDemo(s streams) *command {
	var level string
	return &command{
		streams: s, name: "demo", synopsis: "run a demonstration on fakes in this process",
		usage: `endivefall demo [-level LEVEL]

Runs two entries, four instances and a fake platform in this process: booking
requests in bursts alongside batch work, with the loss of an instance and an
outage of the store. It takes about half a minute and ends with a table. Exit
code 0 only if every invariant held.

  go run . demo`,
		flags: func(f *flag.FlagSet) { f.StringVar(&level, "level", "error", "lowest level of the log lines shown") },
		run: func(ctx context.Context, _ []string) int {
			log, err := logger.New(s.err, level)
			if err != nil {
				return s.usageError("-level: %v", err)
			}
			start := time.Now()
			d := &demonstrator.Demonstrator{Out: s.out, Log: log}
			err = d.Run(ctx)
			switch {
			case errors.Is(err, demonstrator.ErrInvariantViolated):
				return s.fail(err)
			case err != nil:
				return s.fail(fmt.Errorf("demo: %w", err))
			}
			fmt.Fprintf(s.out, "\nevery invariant held; %.0f s in total\n", time.Since(start).Seconds())
			return ExitOK
		},
	}
}
