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

const watchEvery = 2 * time.Second

func newStatus(s streams) *command {
	var c client
	var watch bool
	return &command{
		streams: s, name: "status", synopsis: "show what runs where, and what is wrong",
		usage: `endivefall status [-watch] [TEAM[/JOB/RUN]]

Without a name it shows the entry's view of the fleet, what is wrong first;
with a team its runs; with a run how it stands.

  endivefall status
  endivefall status companhia/reconcile/2026-12-03`,
		flags: func(f *flag.FlagSet) {
			c.flags(f)
			f.BoolVar(&watch, "watch", false, "refresh until interrupted")
		},
		run: func(ctx context.Context, args []string) int {
			if len(args) > 1 {
				return s.misuse("status takes at most one name; see endivefall help status")
			}
			for {
				code := status(ctx, s, &c, strings.Join(args, ""))
				if !watch {
					return code
				}
				select {
				case <-ctx.Done():
					return ExitOK
				case <-time.After(watchEvery):
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
	a, err := c.do(ctx, c.base().Get(path))
	if err != nil {
		return s.report(err)
	}
	switch {
	case c.json:
		s.pretty(a.body)
	case name == "":
		return s.fleet(a.body)
	case strings.Count(name, "/") == 2:
		return s.follow(ctx, c, a.body, false)
	default:
		var runs []*recorder.Run
		if err := json.Unmarshal(a.body, &runs); err != nil {
			return s.fail(err)
		}
		sort.Slice(runs, func(i, j int) bool { return runs[i].ID < runs[j].ID })
		for _, r := range runs {
			fmt.Fprintln(s.out, line(r))
		}
	}
	return ExitOK
}

// fleet prints an entry's view, what is wrong first.
func (s streams) fleet(raw []byte) int {
	var v entry.Status
	if err := json.Unmarshal(raw, &v); err != nil {
		return s.fail(err)
	}
	for _, w := range wrong(&v) {
		fmt.Fprintln(s.out, "!", w)
	}
	fmt.Fprintf(s.out, "entry %s since %s, store %s, %d requests inside, shards %v\n",
		v.ID, v.StartedAt.Format(time.RFC3339), v.Store, v.InFlight, v.Shards)
	for _, e := range v.Entries {
		fmt.Fprintf(s.out, "  entry %-12s domain %-6s callers %s peers %s\n", e.ID, e.Domain, e.HTTP, e.Peer)
	}
	for team, version := range v.Teams {
		fmt.Fprintf(s.out, "  team %-16s version %d\n", team, version)
	}
	for name, targets := range v.Services {
		for _, t := range targets {
			fmt.Fprintf(s.out, "  target %-12s %s domain %s, %d of %d slots taken, %s a request\n",
				t.ID, name, t.Domain, t.Queue, t.Slots, t.ServiceTime.Round(time.Microsecond))
		}
	}
	for _, a := range v.Agents {
		fmt.Fprintf(s.out, "  agent %-12s domain %s, free %g of %g processors, %s of %s memory\n",
			a.ID, a.Domain, a.Free.Processors, a.Total.Processors, a.Free.Memory, a.Total.Memory)
	}
	return ExitOK
}

// wrong lists what an operator should look at.
func wrong(v *entry.Status) []string {
	var list []string
	if v.Store != "up" {
		list = append(list, "the store failed lately: documents are kept in force, running work goes on, no new jobs are accepted while it lasts")
	}
	if v.Leaving {
		list = append(list, "this entry is leaving: its shards are handed over and requests in flight end")
	}
	for name, targets := range v.Services {
		for _, t := range targets {
			if t.Ejected {
				list = append(list, "target "+t.ID+" of "+name+" fails its requests: it is ejected and probed")
			}
			if t.Draining {
				list = append(list, "target "+t.ID+" of "+name+" is leaving: it gets no new work")
			}
		}
	}
	for _, a := range v.Agents {
		if a.UnderPressure {
			list = append(list, "agent "+a.ID+" has its contract at risk: it gets no new batch work")
		}
	}
	sort.Strings(list)
	return list
}

func newExplain(s streams) *command {
	var c client
	return &command{
		streams: s, name: "explain", synopsis: "say why a request or a run went where it did",
		usage: `endivefall explain REQUEST | TEAM/JOB/RUN

Shows the candidates, their scores and why each was passed over. A request is
named by the Endivefall-Request header of its answer and remembered by the
entry that served it.

  endivefall explain companhia/reconcile/2026-12-03`,
		flags: c.flags,
		run: func(ctx context.Context, args []string) int {
			if len(args) != 1 {
				return s.misuse("explain takes one name; see endivefall help explain")
			}
			path := "/v1/explain/request/" + args[0]
			if strings.Contains(args[0], "/") {
				path = "/v1/explain/job/" + args[0]
			}
			a, err := c.do(ctx, c.base().Get(path))
			if err != nil {
				return s.report(err)
			}
			s.pretty(a.body)
			return ExitOK
		},
	}
}
