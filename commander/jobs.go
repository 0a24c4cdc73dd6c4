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

// pollInterval is the time between requests for the state of an awaited run.
const pollInterval = 200 * time.Millisecond

func newSubmit(s streams) *command {
	var c client
	var run string
	var wait bool
	return &command{
		streams: s, name: "submit", synopsis: "submit a batch job",
		usage: `endivefall submit [-run NAME] [-wait] TEAM/JOB

Submits a job of the team's document. A repeated submission with the same run
name returns the existing run, so a submission can be retried safely. Exit code
1 if it was refused or, with -wait, if the run did not succeed; 3 if the outcome
is not known yet.

  endivefall submit -run 2026-12-03 -wait companhia/reconcile`,
		flags: func(f *flag.FlagSet) {
			c.flags(f)
			f.StringVar(&run, "run", "", "name of the run; random when empty")
			f.BoolVar(&wait, "wait", false, "wait until the run ends")
		},
		run: func(ctx context.Context, args []string) int {
			if len(args) != 1 || strings.Count(args[0], "/") != 1 {
				return s.usageError("submit takes TEAM/JOB; see endivefall help submit")
			}
			request := c.base().Post("/v1/jobs/" + args[0])
			if run != "" {
				request.Set(responder.IdempotencyKeyHeader, run)
			}
			res, err := c.do(ctx, request)
			if err != nil {
				return s.failRequest(err)
			}
			return s.printRun(ctx, &c, res.body, wait)
		},
	}
}

// printRun prints a run and returns the exit code. If wait is set, it first waits until
// the run ends, and returns ExitFailed unless the run succeeded.
func (s streams) printRun(ctx context.Context, c *client, raw []byte, wait bool) int {
	var r recorder.Run
	if err := json.Unmarshal(raw, &r); err != nil {
		return s.fail(err)
	}
	for wait && r.State == recorder.Running {
		select {
		case <-ctx.Done():
			return s.fail(ctx.Err())
		case <-time.After(pollInterval):
		}
		res, err := c.do(ctx, c.base().Get("/v1/jobs/"+r.ID))
		if err != nil {
			continue // the run's owner may be changing
		}
		raw = res.body
		if err := json.Unmarshal(raw, &r); err != nil {
			return s.fail(err)
		}
	}
	if c.json {
		s.printJSON(raw)
	} else {
		fmt.Fprintln(s.out, runSummary(&r))
	}
	if wait && r.State != recorder.Done {
		return ExitFailed
	}
	return ExitOK
}

// runSummary returns the state of a run in one line.
func runSummary(r *recorder.Run) string {
	text := fmt.Sprintf("%s %s: %d of %d tasks done", r.ID, r.State, r.Done.Count(), r.Spec.Tasks)
	if n := r.Failed.Count(); n > 0 {
		text += fmt.Sprintf(", %d failed", n)
	}
	if n := len(r.Grants); n > 0 {
		text += fmt.Sprintf(", %d grants outstanding", n)
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
		streams: s, name: "cancel", synopsis: "cancel a run permanently",
		usage: `endivefall cancel TEAM/JOB/RUN

  endivefall cancel companhia/reconcile/2026-12-03`,
		flags: c.flags,
		run: func(ctx context.Context, args []string) int {
			if len(args) != 1 || strings.Count(args[0], "/") != 2 {
				return s.usageError("cancel takes TEAM/JOB/RUN; see endivefall help cancel")
			}
			res, err := c.do(ctx, c.base().Delete("/v1/jobs/"+args[0]))
			if err != nil {
				return s.failRequest(err)
			}
			return s.printRun(ctx, &c, res.body, false)
		},
	}
}
