package commander

import (
	"context"
	"flag"
	"os"
	"slices"
	"strings"
	"sync"

	"github.com/endivefall/endivefall/rehearser"
)

func newRehearse(s streams) *command {
	var policies, csvFile string
	var seed uint64
	var seeds int
	return &command{
		streams: s, name: "rehearse", synopsis: "replay a load pattern against the decisions of the pools",
		usage: `endivefall rehearse [-policies NAMES] [-seed N] [-seeds N] [-csv FILE] PATTERN

Replays a load pattern against placement, order, pace and relocation in simulated
time, without processes or a network, and shows for each policy and class of jobs
what was in time, late or missed, and how long tasks waited. Policies are compared
on the same jobs. A pattern of 240 workers takes some 15 s of one core for each
policy and seed.

  endivefall rehearse -policies built,simplest -seeds 3 examples/loads/full-fleet.yaml
  endivefall rehearse -policies built,never,always examples/loads/hot-rack.yaml

Where the pattern has racks, never starts tasks outside of the rack that holds their data
at once, always lets them wait up to the bound, and unaware does not know how much
longer they take there.

Exit code 1 if the pattern is not valid or the CSV file cannot be written.`,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&policies, "policies", "built,simplest", "policies to compare: "+strings.Join(rehearser.PolicyNames(), ", "))
			f.Uint64Var(&seed, "seed", 1, "first seed")
			f.IntVar(&seeds, "seeds", 1, "number of seeds")
			f.StringVar(&csvFile, "csv", "", "also write the table to this CSV file")
		},
		run: func(ctx context.Context, args []string) int {
			if len(args) != 1 || seeds < 1 {
				return s.usageError("rehearse takes one load pattern and at least one seed; see endivefall help rehearse")
			}
			names := strings.Split(policies, ",")
			for _, name := range names {
				if !slices.Contains(rehearser.PolicyNames(), name) {
					return s.usageError("-policies: there is no policy %q; choose from %s", name, strings.Join(rehearser.PolicyNames(), ", "))
				}
			}
			pattern, err := rehearser.Read(args[0])
			if err != nil {
				return s.fail(err)
			}
			reports := rehearseAll(ctx, pattern, names, seed, seeds)
			if err := rehearser.Write(s.out, reports); err != nil {
				return s.fail(err)
			}
			if csvFile == "" {
				return ExitOK
			}
			if err := writeCSV(csvFile, reports); err != nil {
				return s.fail(err)
			}
			return ExitOK
		},
	}
}

// rehearseAll replays a pattern with each policy and seed, all at the same time, and
// returns the reports by policy and seed. Those that had not begun when ctx ends are
// left out.
func rehearseAll(ctx context.Context, pattern *rehearser.Pattern, policies []string, firstSeed uint64, seeds int) []*rehearser.Report {
	reports := make([]*rehearser.Report, len(policies)*seeds)
	var wg sync.WaitGroup
	for n := range reports {
		wg.Go(func() {
			if ctx.Err() == nil {
				reports[n] = rehearser.New(pattern, firstSeed+uint64(n%seeds), rehearser.Policies[policies[n/seeds]]).Run()
			}
		})
	}
	wg.Wait()
	return slices.DeleteFunc(reports, func(r *rehearser.Report) bool { return r == nil })
}

func writeCSV(file string, reports []*rehearser.Report) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := rehearser.WriteCSV(f, reports); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
