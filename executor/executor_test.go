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

var errNet = errors.New("connection reset")

// TestWorkerContract: what the agent relies on at a worker, and how each fault
// shows. The worker's clock is an hour ahead.
func TestWorkerContract(t *testing.T) {
	ctx := context.Background()
	task := executor.Task{ID: "run.0.1", Payload: "10s", Need: parser.Resources{Processors: 1}, Metadata: []byte("note")}
	in := func(d time.Duration) time.Time { return time.Now().Add(d) }
	for _, one := range []struct {
		name  string
		story func(c *qt.C, x *executor.Executor, k *faker.Worker, lose *bool)
	}{
		{"a task runs to its end and is kept until it is forgotten", func(c *qt.C, x *executor.Executor, _ *faker.Worker, _ *bool) {
			c.Assert(x.Start(ctx, task, in(time.Minute)), qt.IsNil)
			advancer.Sleep(11 * time.Second)
			rep, err := x.Poll(ctx, executor.AnyVersion)
			c.Assert(err, qt.IsNil)
			c.Assert(rep.Tasks[0].State, qt.Equals, executor.Done)
			c.Assert(string(rep.Tasks[0].Metadata), qt.Equals, "note")
			c.Assert(x.Delete(ctx, task.ID), qt.IsNil)
			_, err = x.Stop(ctx, task.ID)
			c.Assert(err, qt.ErrorIs, executor.ErrTaskNotFound)
		}},
		{"the same id again starts nothing", func(c *qt.C, x *executor.Executor, k *faker.Worker, _ *bool) {
			c.Assert(x.Start(ctx, task, in(time.Minute)), qt.IsNil)
			c.Assert(x.Start(ctx, task, in(time.Minute)), qt.IsNil)
			c.Assert(k.Events.All(), qt.HasLen, 1)
		}},
		{"a start after its lease is refused", func(c *qt.C, x *executor.Executor, k *faker.Worker, _ *bool) {
			c.Assert(x.Start(ctx, task, in(-time.Second)), qt.ErrorIs, executor.ErrLeaseExpired)
			c.Assert(k.Events.All(), qt.HasLen, 0)
		}},
		{"a task stops when its lease ends", func(c *qt.C, x *executor.Executor, _ *faker.Worker, _ *bool) {
			c.Assert(x.Start(ctx, task, in(3*time.Second)), qt.IsNil)
			advancer.Sleep(4 * time.Second)
			rep, err := x.Poll(ctx, executor.AnyVersion)
			c.Assert(err, qt.IsNil)
			c.Assert(rep.Tasks[0].State, qt.Equals, executor.LeaseExpired)
		}},
		{"a lease moves forward, never back", func(c *qt.C, x *executor.Executor, _ *faker.Worker, _ *bool) {
			c.Assert(x.Start(ctx, task, in(3*time.Second)), qt.IsNil)
			c.Assert(x.RenewLeases(ctx, []string{task.ID}, in(20*time.Second)), qt.IsNil)
			c.Assert(x.RenewLeases(ctx, []string{task.ID}, in(time.Second)), qt.IsNil)
			advancer.Sleep(11 * time.Second)
			rep, err := x.Poll(ctx, executor.AnyVersion)
			c.Assert(err, qt.IsNil)
			c.Assert(rep.Tasks[0].State, qt.Equals, executor.Done)
		}},
		{"a checkpoint stops the task, and another goes on from it", func(c *qt.C, x *executor.Executor, _ *faker.Worker, _ *bool) {
			c.Assert(x.Start(ctx, task, in(time.Minute)), qt.IsNil)
			advancer.Sleep(6 * time.Second)
			got, err := x.Checkpoint(ctx, task.ID)
			c.Assert(err, qt.IsNil)
			c.Assert(got.State, qt.Equals, executor.Checkpointed)
			again := task
			again.ID, again.Checkpoint = "run.0.2", got.Checkpoint
			c.Assert(x.Start(ctx, again, in(time.Minute)), qt.IsNil)
			advancer.Sleep(5 * time.Second)
			rep, err := x.Poll(ctx, executor.AnyVersion)
			c.Assert(err, qt.IsNil)
			c.Assert(rep.Tasks[1].State, qt.Equals, executor.Done)
		}},
		{"a throttled task takes longer", func(c *qt.C, x *executor.Executor, _ *faker.Worker, _ *bool) {
			c.Assert(x.Start(ctx, task, in(time.Minute)), qt.IsNil)
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
				_ = x.Start(ctx, task, in(time.Minute))
			}()
			rep, err = x.Poll(ctx, rep.Version)
			c.Assert(err, qt.IsNil)
			c.Assert(rep.Tasks, qt.HasLen, 1)
			c.Assert(time.Since(began), qt.Equals, 300*time.Millisecond)
		}},
		{"a lost answer leaves it unsure whether the task started", func(c *qt.C, x *executor.Executor, k *faker.Worker, lose *bool) {
			*lose = true
			c.Assert(x.Start(ctx, task, in(time.Minute)), qt.ErrorIs, executor.ErrUnknownOutcome)
			c.Assert(k.Events.All(), qt.HasLen, 1)
		}},
		{"a worker that fails everything says so of each task", func(c *qt.C, x *executor.Executor, k *faker.Worker, _ *bool) {
			k.FailTasks(true)
			c.Assert(x.Start(ctx, task, in(time.Minute)), qt.IsNil)
			rep, err := x.Poll(ctx, executor.AnyVersion)
			c.Assert(err, qt.IsNil)
			c.Assert(rep.Tasks[0].State, qt.Equals, executor.Failed)
			c.Assert(rep.Tasks[0].Error, qt.Not(qt.Equals), "")
		}},
	} {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := faker.NewWorker("a", parser.Resources{Processors: 4})
				k.Now = func() time.Time { return time.Now().Add(time.Hour) }
				done, lose := make(chan struct{}), false
				go k.Run(done)
				x := executor.New(executor.Config{Addr: netip.MustParseAddrPort("127.0.0.1:1"), Do: func(r *http.Request) (*http.Response, error) {
					if r.Body == nil {
						r.Body = http.NoBody
					}
					w := httptest.NewRecorder()
					k.ServeHTTP(w, r)
					if lose {
						return nil, errNet
					}
					return w.Result(), nil
				}})
				c := qt.New(t)
				_, err := x.Poll(ctx, executor.AnyVersion) // shows the worker's clock
				c.Assert(err, qt.IsNil)
				one.story(c, x, k, &lose)
				close(done)
				advancer.Sleep(time.Minute)
			})
		})
	}
}
