package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/endivefall/endivefall/recorder"
	"github.com/endivefall/endivefall/responder"
)

// lookEvery is how often a command looks at a run that it waits for.
const lookEvery = 200 * time.Millisecond

func newSubmit(s streams) *command {
	var c client
	var run string
	var wait bool
	return &command{
		streams: s, name: "submit", synopsis: "submit a batch job",
		usage: `endivefall submit [-run NAME] [-wait] TEAM/JOB

Submits a job of the team's document. The same run name again finds the first
submission, so a submit may be repeated safely. Exit code 1 if it was refused
or, with -wait, if it did not end well; 3 if it is not known yet.

  endivefall submit -run 2026-12-03 -wait companhia/reconcile`,
		flags: func(f *flag.FlagSet) {
			c.flags(f)
			f.StringVar(&run, "run", "", "name of the run; a random one when empty")
			f.BoolVar(&wait, "wait", false, "wait until the run ends")
		},
		run: func(ctx context.Context, args []string) int {
			if len(args) != 1 || strings.Count(args[0], "/") != 1 {
				return s.misuse("submit takes TEAM/JOB; see endivefall help submit")
			}
			call := c.base().Post("/v1/jobs/" + args[0])
			if run != "" {
				call.Set(responder.IdempotencyKeyHeader, run)
			}
			a, err := c.do(ctx, call)
			if err != nil {
				return s.report(err)
			}
			return s.follow(ctx, &c, a.body, wait)
		},
	}
}

// follow prints a run, when it has ended if that is wanted.
func (s streams) follow(ctx context.Context, c *client, raw []byte, wait bool) int {
	var r recorder.Run
	if err := json.Unmarshal(raw, &r); err != nil {
		return s.fail(err)
	}
	for wait && r.State == recorder.Running {
		select {
		case <-ctx.Done():
			return s.fail(ctx.Err())
		case <-time.After(lookEvery):
		}
		a, err := c.do(ctx, c.base().Get("/v1/jobs/"+r.ID))
		if err != nil {
			continue // the owner may be changing
		}
		raw = a.body
		if err := json.Unmarshal(raw, &r); err != nil {
			return s.fail(err)
		}
	}
	if c.json {
		s.pretty(raw)
	} else {
		fmt.Fprintln(s.out, line(&r))
	}
	if wait && r.State != recorder.Done {
		return ExitFailed
	}
	return ExitOK
}

// line describes a run.
func line(r *recorder.Run) string {
	text := fmt.Sprintf("%s %s: %d of %d tasks done", r.ID, r.State, r.Done.Count(), r.Spec.Tasks)
	if n := r.Failed.Count(); n > 0 {
		text += fmt.Sprintf(", %d failed", n)
	}
	if n := len(r.Grants); n > 0 {
		text += fmt.Sprintf(", %d grants out", n)
	}
	if r.Evictions > 0 {
		text += fmt.Sprintf(", %d evictions", r.Evictions)
	}
	if r.Reason != "" {
		text += ": " + r.Reason
	}
	return text
}

func newCancel(s streams) *command {
	var c client
	return &command{
		streams: s, name: "cancel", synopsis: "cancel a run for good",
		usage: `endivefall cancel TEAM/JOB/RUN

  endivefall cancel companhia/reconcile/2026-12-03`,
		flags: c.flags,
		run: func(ctx context.Context, args []string) int {
			if len(args) != 1 || strings.Count(args[0], "/") != 2 {
				return s.misuse("cancel takes TEAM/JOB/RUN; see endivefall help cancel")
			}
			a, err := c.do(ctx, c.base().Delete("/v1/jobs/"+args[0]))
			if err != nil {
				return s.report(err)
			}
			return s.follow(ctx, &c, a.body, false)
		},
	}
}
