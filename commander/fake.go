package commander

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/endivefall/endivefall/decoder"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/responder"
)

const readTimeout = 10 * time.Second

func newFake(s streams) *command {
	var platform, worker, target, name, memory string
	var processors float64
	return &command{
		streams: s, name: "fake", synopsis: "run stand-ins for the platform or for an instance",
		usage: `endivefall fake -platform ADDR | -worker ADDR -target ADDR [-name NAME]

Runs small stand-ins, to try the system without a platform. Everything they
keep is in memory.

  endivefall fake -platform 127.0.0.1:7100
  endivefall fake -worker 127.0.0.1:7301 -target 127.0.0.1:7401 -name agent-1`,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&platform, "platform", "", "address of the key-value service")
			f.StringVar(&worker, "worker", "", "address of the worker")
			f.StringVar(&target, "target", "", "address of the target")
			f.StringVar(&name, "name", "instance", "name of the instance")
			f.StringVar(&memory, "memory", "64GiB", "memory of the worker")
			f.Float64Var(&processors, "processors", 16, "processors of the worker")
		},
		run: func(ctx context.Context, args []string) int {
			if len(args) > 0 || (platform == "" && worker == "" && target == "") {
				return s.misuse("fake takes addresses by flags; see endivefall help fake")
			}
			total := parser.Resources{Processors: processors}
			var size decoder.Size
			if err := size.UnmarshalText([]byte(memory)); err != nil {
				return s.misuse("-memory: %v", err)
			}
			total.Memory = size
			if err := runFakes(ctx, platform, worker, target, name, total); err != nil {
				return s.fail(err)
			}
			return ExitOK
		},
	}
}

func runFakes(ctx context.Context, platform, worker, target, name string, total parser.Resources) error {
	g, ctx := errgroup.WithContext(ctx)
	run := func(addr string, h http.Handler) {
		if addr == "" {
			return
		}
		g.Go(func() error {
			if err := serveHTTP(ctx, addr, h); err != nil {
				return fmt.Errorf("serving a stand-in: %w", err)
			}
			return nil
		})
	}
	k := faker.NewWorker(name, total)
	t := faker.NewTarget(name)
	run(platform, faker.NewPlatform())
	run(worker, withRecords(k, k.Events))
	run(target, withRecords(t, t.Events))
	g.Go(func() error { k.Run(ctx.Done()); return nil })
	return g.Wait()
}

// withRecords shows what a stand-in recorded under /records.
func withRecords(h http.Handler, r *faker.EventLog) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", h)
	mux.HandleFunc("/records", func(w http.ResponseWriter, _ *http.Request) { responder.WriteJSON(w, http.StatusOK, r.All()) })
	return mux
}
