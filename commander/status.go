package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/endivefall/endivefall/entry"
	"github.com/endivefall/endivefall/recorder"
)

const watchInterval = 2 * time.Second

func newStatus(s streams) *command {
	var c client
	var watch bool
	return &command{
		streams: s, name: "status", synopsis: "show the state of the fleet, a team's runs or a run",
		usage: `endivefall status [-watch] [TEAM[/JOB/RUN]]

Without a name it shows the entry's view of the fleet, warnings first. With a
team it shows the team's runs, with a run the progress of that run.

  endivefall status
  endivefall status companhia/reconcile/2026-12-03`,
		flags: func(f *flag.FlagSet) {
			c.flags(f)
			f.BoolVar(&watch, "watch", false, "refresh until interrupted")
		},
		run: func(ctx context.Context, args []string) int {
			if len(args) > 1 {
				return s.usageError("status takes at most one name; see endivefall help status")
			}
			for {
				code := status(ctx, s, &c, strings.Join(args, ""))
				if !watch {
					return code
				}
				select {
				case <-ctx.Done():
					return ExitOK
				case <-time.After(watchInterval):
				}
				fmt.Fprint(s.out, "\033[H\033[2J")
			}
		},
	}
}

func status(ctx context.Context, s streams, c *client, name string) int {
	path := "/v1/status"
	if name != "" {
		path = "/v1/jobs/" + name
	}
	res, err := c.do(ctx, c.base().Get(path))
	if err != nil {
		return s.failRequest(err)
	}
	switch {
	case c.json:
		s.printJSON(res.body)
	case name == "":
		return s.printFleet(res.body)
	case strings.Count(name, "/") == 2:
		return s.printRun(ctx, c, res.body, false)
	default:
		var runs []*recorder.Run
		if err := json.Unmarshal(res.body, &runs); err != nil {
			return s.fail(err)
		}
		sort.Slice(runs, func(i, j int) bool { return runs[i].ID < runs[j].ID })
		for _, r := range runs {
			fmt.Fprintln(s.out, runSummary(r))
		}
	}
	return ExitOK
}

// printFleet prints an entry's view of the fleet, warnings first.
func (s streams) printFleet(raw []byte) int {
	var v entry.Status
	if err := json.Unmarshal(raw, &v); err != nil {
		return s.fail(err)
	}
	for _, w := range warnings(&v) {
		fmt.Fprintln(s.out, "!", w)
	}
	fmt.Fprintf(s.out, "entry %s since %s, store %s, %d requests in flight, shards %v\n",
		v.ID, v.StartedAt.Format(time.RFC3339), v.Store, v.InFlight, v.Shards)
	for _, e := range v.Entries {
		fmt.Fprintf(s.out, "  entry %-12s domain %-6s callers %s peers %s\n", e.ID, e.Domain, e.HTTP, e.Peer)
	}
	for team, version := range v.Teams {
		fmt.Fprintf(s.out, "  team %-16s version %d\n", team, version)
	}
	for name, targets := range v.Services {
		for _, t := range targets {
			fmt.Fprintf(s.out, "  target %-12s %s domain %s, %d of %d slots taken, %s per request\n",
				t.ID, name, t.Domain, t.Queue, t.Slots, t.ServiceTime.Round(time.Microsecond))
		}
	}
	for _, a := range v.Agents {
		fmt.Fprintf(s.out, "  agent %-12s domain %s, free %g of %g processors, %s of %s memory\n",
			a.ID, a.Domain, a.Free.Processors, a.Total.Processors, a.Free.Memory, a.Total.Memory)
	}
	return ExitOK
}

// warnings returns the conditions that need an operator's attention, sorted.
func warnings(v *entry.Status) []string {
	var texts []string
	if v.Store != "up" {
		texts = append(texts, "the store was unreachable recently: documents stay in force, running work continues, no new jobs are accepted during the outage")
	}
	if v.Draining {
		texts = append(texts, "this entry is shutting down: its shards are handed over and requests in flight are completed")
	}
	for name, targets := range v.Services {
		for _, t := range targets {
			if t.Ejected {
				texts = append(texts, "target "+t.ID+" of "+name+" fails its requests: it is ejected and probed")
			}
			if t.Draining {
				texts = append(texts, "target "+t.ID+" of "+name+" is draining: it gets no new work")
			}
		}
	}
	for _, a := range v.Agents {
		if a.UnderPressure {
			texts = append(texts, "agent "+a.ID+" has a latency contract at risk: it gets no new batch work")
		}
	}
	sort.Strings(texts)
	return texts
}

func newExplain(s streams) *command {
	var c client
	return &command{
		streams: s, name: "explain", synopsis: "explain the placement of a request or a run",
		usage: `endivefall explain REQUEST | TEAM/JOB/RUN

Shows the candidates, their scores and why each was not chosen. A request is
identified by the Endivefall-Request header of its response; only the entry that
served it can explain it.

  endivefall explain companhia/reconcile/2026-12-03`,
		flags: c.flags,
		run: func(ctx context.Context, args []string) int {
			if len(args) != 1 {
				return s.usageError("explain takes one name; see endivefall help explain")
			}
			path := "/v1/explain/request/" + args[0]
			if strings.Contains(args[0], "/") {
				path = "/v1/explain/job/" + args[0]
			}
			res, err := c.do(ctx, c.base().Get(path))
			if err != nil {
				return s.failRequest(err)
			}
			s.printJSON(res.body)
			return ExitOK
		},
	}
}
