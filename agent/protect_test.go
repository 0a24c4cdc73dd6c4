package agent

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/executor"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/protector"
	"github.com/endivefall/endivefall/reserver"
	"github.com/endivefall/endivefall/runner"
)

// A share that the worker didn't get was not sent again while it stayed the same.
func TestAShareIsSentUntilTheWorkerHasConfirmedIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		worker := faker.NewWorker("a", parser.Resources{Processors: 2})
		done := make(chan struct{})
		go worker.Run(done)
		var failing atomic.Bool
		var throttles atomic.Int64
		failing.Store(true)
		x := executor.New(executor.Config{Addr: netip.MustParseAddrPort("127.0.0.1:1"), Now: time.Now, Do: func(r *http.Request) (*http.Response, error) {
			if strings.HasSuffix(r.URL.Path, "/throttle") {
				throttles.Add(1)
				if failing.Load() {
					return nil, errors.New("connection lost")
				}
			}
			if r.Body == nil {
				r.Body = http.NoBody
			}
			w := httptest.NewRecorder()
			worker.ServeHTTP(w, r)
			return w.Result(), nil
		}})
		a := &Agent{cfg: Config{Log: zap.NewNop()}, now: time.Now, executor: x, reserver: reserver.New(worker.Total)}
		a.runner = runner.New(runner.Config{
			Worker:   runner.Worker{Poll: x.Poll, Start: x.Start, RenewLeases: x.RenewLeases, Checkpoint: x.Checkpoint, Stop: x.Stop, Delete: x.Delete, Throttle: x.Throttle},
			Reserver: a.reserver, Now: time.Now, Log: zap.NewNop(), Send: func(string, messenger.Frame) {},
		})
		ctx, cancel := context.WithCancel(context.Background())
		_, err := a.runner.Recover(ctx)
		c.Assert(err, qt.IsNil)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			a.runner.Serve(ctx)
		}()
		advancer.Sleep(5 * time.Second)
		a.runner.Grant("e1", messenger.Grant{
			Shard: 1, Epoch: 1, Run: "team/job/run", Seq: 1, To: 1, ExpiresAt: time.Now().Add(time.Hour),
			Need: parser.Resources{Processors: 1}, Payload: "30m",
		})
		advancer.Sleep(time.Second)

		const limit = 100 * time.Millisecond
		p := protector.New(limit)
		s := newProtection()
		// The contract is broken, so the share falls to its minimum and stays there.
		for range 20 {
			a.protect(ctx, p, s, 2*limit)
			advancer.Sleep(protector.StepInterval)
		}
		failing.Store(false)
		for range 2 {
			a.protect(ctx, p, s, 2*limit)
			advancer.Sleep(protector.StepInterval)
		}
		rep, err := x.Poll(ctx, executor.AnyVersion)
		c.Assert(err, qt.IsNil)
		c.Check(rep.Tasks[0].CPUShare < 0.1, qt.IsTrue, qt.Commentf("share %v", rep.Tasks[0].CPUShare))
		sent := throttles.Load()
		a.protect(ctx, p, s, 2*limit)
		c.Check(throttles.Load(), qt.Equals, sent, qt.Commentf("a confirmed share is not sent again"))
		cancel()
		<-ended
		close(done)
		advancer.Sleep(time.Minute)
	})
}
