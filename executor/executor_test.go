package executor_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/executor"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/parser"
)

var errConnReset = errors.New("connection reset")

// TestWorkerContract checks the guarantees of a worker that the agent relies on, and the
// error that each fault leads to. The worker's clock is an hour ahead.
func TestWorkerContract(t *testing.T) {
	ctx := context.Background()
	task := executor.Task{ID: "run.0.1", Payload: "10s", Need: parser.Resources{Processors: 1}, Metadata: []byte("note")}
	after := func(d time.Duration) time.Time { return time.Now().Add(d) }
	for _, tc := range []struct {
		name  string
		check func(c *qt.C, x *executor.Executor, worker *faker.Worker, loseReply *bool)
	}{
		{"a task runs to its end and is kept until it is deleted", func(c *qt.C, x *executor.Executor, _ *faker.Worker, _ *bool) {
			c.Assert(x.Start(ctx, task, after(time.Minute)), qt.IsNil)
			advancer.Sleep(11 * time.Second)
			rep, err := x.Poll(ctx, executor.AnyVersion)
			c.Assert(err, qt.IsNil)
			c.Assert(rep.Tasks[0].State, qt.Equals, executor.Done)
			c.Assert(string(rep.Tasks[0].Metadata), qt.Equals, "note")
			c.Assert(x.Delete(ctx, task.ID), qt.IsNil)
			_, err = x.Stop(ctx, task.ID)
			c.Assert(err, qt.ErrorIs, executor.ErrTaskNotFound)
		}},
		{"the same id again starts nothing", func(c *qt.C, x *executor.Executor, worker *faker.Worker, _ *bool) {
			c.Assert(x.Start(ctx, task, after(time.Minute)), qt.IsNil)
			c.Assert(x.Start(ctx, task, after(time.Minute)), qt.IsNil)
			c.Assert(worker.Events.All(), qt.HasLen, 1)
		}},
		{"a start after its lease is refused", func(c *qt.C, x *executor.Executor, worker *faker.Worker, _ *bool) {
			c.Assert(x.Start(ctx, task, after(-time.Second)), qt.ErrorIs, executor.ErrLeaseExpired)
			c.Assert(worker.Events.All(), qt.HasLen, 0)
		}},
		{"a task stops when its lease ends", func(c *qt.C, x *executor.Executor, _ *faker.Worker, _ *bool) {
			c.Assert(x.Start(ctx, task, after(3*time.Second)), qt.IsNil)
			advancer.Sleep(4 * time.Second)
			rep, err := x.Poll(ctx, executor.AnyVersion)
			c.Assert(err, qt.IsNil)
			c.Assert(rep.Tasks[0].State, qt.Equals, executor.LeaseExpired)
		}},
		{"a lease moves forward, never back", func(c *qt.C, x *executor.Executor, _ *faker.Worker, _ *bool) {
			c.Assert(x.Start(ctx, task, after(3*time.Second)), qt.IsNil)
			c.Assert(x.RenewLeases(ctx, []string{task.ID}, after(20*time.Second)), qt.IsNil)
			c.Assert(x.RenewLeases(ctx, []string{task.ID}, after(time.Second)), qt.IsNil)
			advancer.Sleep(11 * time.Second)
			rep, err := x.Poll(ctx, executor.AnyVersion)
			c.Assert(err, qt.IsNil)
			c.Assert(rep.Tasks[0].State, qt.Equals, executor.Done)
		}},
		{"a checkpoint stops the task, and another attempt resumes from it", func(c *qt.C, x *executor.Executor, _ *faker.Worker, _ *bool) {
			c.Assert(x.Start(ctx, task, after(time.Minute)), qt.IsNil)
			advancer.Sleep(6 * time.Second)
			got, err := x.Checkpoint(ctx, task.ID)
			c.Assert(err, qt.IsNil)
			c.Assert(got.State, qt.Equals, executor.Checkpointed)
			resumed := task
			resumed.ID, resumed.Checkpoint = "run.0.2", got.Checkpoint
			c.Assert(x.Start(ctx, resumed, after(time.Minute)), qt.IsNil)
			advancer.Sleep(5 * time.Second)
			rep, err := x.Poll(ctx, executor.AnyVersion)
			c.Assert(err, qt.IsNil)
			c.Assert(rep.Tasks[1].State, qt.Equals, executor.Done)
		}},
		{"a throttled task takes longer", func(c *qt.C, x *executor.Executor, _ *faker.Worker, _ *bool) {
			c.Assert(x.Start(ctx, task, after(time.Minute)), qt.IsNil)
			c.Assert(x.Throttle(ctx, task.ID, 0.5), qt.IsNil)
			advancer.Sleep(11 * time.Second)
			rep, err := x.Poll(ctx, executor.AnyVersion)
			c.Assert(err, qt.IsNil)
			c.Assert(rep.Tasks[0].State, qt.Equals, executor.Running)
		}},
		{"a poll waits for a change", func(c *qt.C, x *executor.Executor, _ *faker.Worker, _ *bool) {
			rep, err := x.Poll(ctx, executor.AnyVersion)
			c.Assert(err, qt.IsNil)
			began := time.Now()
			go func() {
				advancer.Sleep(300 * time.Millisecond)
				_ = x.Start(ctx, task, after(time.Minute))
			}()
			rep, err = x.Poll(ctx, rep.Version)
			c.Assert(err, qt.IsNil)
			c.Assert(rep.Tasks, qt.HasLen, 1)
			c.Assert(time.Since(began), qt.Equals, 300*time.Millisecond)
		}},
		{"a lost reply leaves it unknown whether the task started", func(c *qt.C, x *executor.Executor, worker *faker.Worker, loseReply *bool) {
			*loseReply = true
			c.Assert(x.Start(ctx, task, after(time.Minute)), qt.ErrorIs, executor.ErrUnknownOutcome)
			c.Assert(worker.Events.All(), qt.HasLen, 1)
		}},
		{"a task that fails is reported with its error", func(c *qt.C, x *executor.Executor, worker *faker.Worker, _ *bool) {
			worker.FailTasks(true)
			c.Assert(x.Start(ctx, task, after(time.Minute)), qt.IsNil)
			rep, err := x.Poll(ctx, executor.AnyVersion)
			c.Assert(err, qt.IsNil)
			c.Assert(rep.Tasks[0].State, qt.Equals, executor.Failed)
			c.Assert(rep.Tasks[0].Error, qt.Not(qt.Equals), "")
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := faker.NewWorker("a", parser.Resources{Processors: 4})
				worker.Now = func() time.Time { return time.Now().Add(time.Hour) }
				done, loseReply := make(chan struct{}), false
				go worker.Run(done)
				x := executor.New(executor.Config{Addr: netip.MustParseAddrPort("127.0.0.1:1"), Do: func(r *http.Request) (*http.Response, error) {
					if r.Body == nil {
						r.Body = http.NoBody
					}
					w := httptest.NewRecorder()
					worker.ServeHTTP(w, r)
					if loseReply {
						return nil, errConnReset
					}
					return w.Result(), nil
				}})
				c := qt.New(t)
				_, err := x.Poll(ctx, executor.AnyVersion) // observes the worker's clock
				c.Assert(err, qt.IsNil)
				tc.check(c, x, worker, &loseReply)
				close(done)
				advancer.Sleep(time.Minute)
			})
		})
	}
}
