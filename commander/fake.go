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

const readHeaderTimeout = 10 * time.Second

func newFake(s streams) *command {
	var platform, worker, target, name, memory string
	var processors float64
	return &command{
		streams: s, name: "fake", synopsis: "run a fake platform or a fake instance",
		usage: `endivefall fake -platform ADDR | -worker ADDR -target ADDR [-name NAME]

Runs fakes of a platform's services, to try the system without a platform. Their
state is in memory only.

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
				return s.usageError("fake needs -platform, -worker or -target, and no arguments; see endivefall help fake")
			}
			capacity := parser.Resources{Processors: processors}
			var size decoder.Size
			if err := size.UnmarshalText([]byte(memory)); err != nil {
				return s.usageError("-memory: %v", err)
			}
			capacity.Memory = size
			if err := runFakes(ctx, platform, worker, target, name, capacity); err != nil {
				return s.fail(err)
			}
			return ExitOK
		},
	}
}

func runFakes(ctx context.Context, platform, worker, target, name string, capacity parser.Resources) error {
	g, ctx := errgroup.WithContext(ctx)
	serve := func(addr string, h http.Handler) {
		if addr == "" {
			return
		}
		g.Go(func() error {
			if err := serveHTTP(ctx, addr, h); err != nil {
				return fmt.Errorf("serving a fake: %w", err)
			}
			return nil
		})
	}
	w := faker.NewWorker(name, capacity)
	t := faker.NewTarget(name)
	serve(platform, faker.NewPlatform())
	serve(worker, withEventLog(w, w.Events))
	serve(target, withEventLog(t, t.Events))
	g.Go(func() error { w.Run(ctx.Done()); return nil })
	return g.Wait()
}

// withEventLog serves the events that a fake recorded at /records, and passes all
// other requests to next.
func withEventLog(next http.Handler, events *faker.EventLog) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", next)
	mux.HandleFunc("/records", func(w http.ResponseWriter, _ *http.Request) { responder.WriteJSON(w, http.StatusOK, events.All()) })
	return mux
}
