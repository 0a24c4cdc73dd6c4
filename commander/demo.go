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
		streams: s, name: "demo", synopsis: "show the main job on embedded stand-ins",
		usage: `endivefall demo [-level LEVEL]

Runs two entries, four instances and stand-ins of the platform in this process:
bookings in bursts beside batch work, an instance lost and a store outage on
the way. It takes about half a minute and ends with a table. Exit code 0 only
if every promise held.

  go run . demo`,
		flags: func(f *flag.FlagSet) { f.StringVar(&level, "level", "error", "least level of the log lines shown") },
		run: func(ctx context.Context, _ []string) int {
			log, err := logger.New(s.err, level)
			if err != nil {
				return s.misuse("-level: %v", err)
			}
			began := time.Now()
			d := &demonstrator.Demonstrator{Out: s.out, Log: log}
			err = d.Run(ctx)
			switch {
			case errors.Is(err, demonstrator.ErrInvariantViolated):
				return s.fail(err)
			case err != nil:
				return s.fail(fmt.Errorf("demo: %w", err))
			}
			fmt.Fprintf(s.out, "\nevery promise held; %.0f s in all\n", time.Since(began).Seconds())
			return ExitOK
		},
	}
}
