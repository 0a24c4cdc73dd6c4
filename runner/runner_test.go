package runner

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
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
	"github.com/endivefall/endivefall/reserver"
)

// driver runs a Runner beside a worker and collects the frames that it sends.
type driver struct {
	*Runner
	c           *qt.C
	worker      *faker.Worker
	frames      chan messenger.Frame
	clockOffset atomic.Int64 // ns by which the agent's clock is ahead, as after a freeze
	startDelay  atomic.Int64 // ns by which starts are delayed on the network
	cancel      context.CancelFunc
	done        chan struct{}
}

// startReady starts a runner beside a worker, and waits until it accepts grants.
func startReady(c *qt.C, worker *faker.Worker) *driver {
	d := start(c, worker)
	advancer.Sleep(startLease)
	return d
}

// start starts a runner beside a worker.
func start(c *qt.C, worker *faker.Worker) *driver {
	d := &driver{c: c, worker: worker, frames: make(chan messenger.Frame, 1000), done: make(chan struct{})}
	now := func() time.Time { return time.Now().Add(time.Duration(d.clockOffset.Load())) }
	x := executor.New(executor.Config{Addr: netip.MustParseAddrPort("127.0.0.1:1"), Now: now, Do: func(r *http.Request) (*http.Response, error) {
		if r.Body == nil {
			r.Body = http.NoBody
		}
		if delay := time.Duration(d.startDelay.Load()); delay > 0 && r.Method == http.MethodPut && r.URL.Path != "/v1/leases" {
			delayed := r.Clone(context.Background())
			raw, _ := io.ReadAll(r.Body)
			delayed.Body = io.NopCloser(bytes.NewReader(raw))
			go func() { // it arrives even if the sender has ended
				advancer.Sleep(delay)
				worker.ServeHTTP(httptest.NewRecorder(), delayed)
			}()
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		w := httptest.NewRecorder()
		worker.ServeHTTP(w, r)
		return w.Result(), nil
	}})
	d.Runner = New(Config{
		Worker:   Worker{Poll: x.Poll, Start: x.Start, RenewLeases: x.RenewLeases, Checkpoint: x.Checkpoint, Stop: x.Stop, Delete: x.Delete, Throttle: x.Throttle},
		Reserver: reserver.New(worker.Total), Now: now, Log: zap.NewNop(),
		Send: func(_ string, f messenger.Frame) { d.frames <- f },
	})
	var ctx context.Context
	ctx, d.cancel = context.WithCancel(context.Background())
	_, err := d.Recover(ctx)
	c.Assert(err, qt.IsNil)
	go func() {
		d.Serve(ctx)
		close(d.done)
	}()
	return d
}

// kill ends the runner's process as a crash does.
func (d *driver) kill() {
	d.cancel()
	<-d.done
}

// awaitFrame returns the next frame of a kind, and fails the test after a minute.
func (d *driver) awaitFrame(kind messenger.Kind) messenger.Frame {
	d.c.Helper()
	timeout := time.After(time.Minute)
	for {
		select {
		case f := <-d.frames:
			if f.Kind == kind {
				return f
			}
		case <-timeout:
			d.c.Fatalf("no frame of kind %d", kind)
		}
	}
}

// newGrant returns a grant of tasks 0 to n-1 that expires after ttl.
func newGrant(epoch, seq uint64, n int, ttl time.Duration) messenger.Grant {
	return messenger.Grant{
		Shard: 1, Epoch: epoch, Run: "team/job/run", Seq: seq, To: n, ExpiresAt: time.Now().Add(ttl),
		Need: parser.Resources{Processors: 1}, Payload: "10s", Checkpointable: true,
	}
}

func subtest(t *testing.T, name string, f func(c *qt.C, worker *faker.Worker)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			worker := faker.NewWorker("a", parser.Resources{Processors: 2})
			done := make(chan struct{})
			go worker.Run(done)
			f(qt.New(t), worker)
			close(done)
			advancer.Sleep(time.Minute)
		})
	})
}

func startCount(worker *faker.Worker) int {
	n := 0
	for _, r := range worker.Events.All() {
		if r.Kind == faker.TaskStart {
			n++
		}
	}
	return n
}

func TestGrants(t *testing.T) {
	subtest(t, "a grant of an earlier owner is declined", func(c *qt.C, worker *faker.Worker) {
		d := startReady(c, worker)
		d.Reconcile("e2", messenger.GrantInventory{Shard: 1, Epoch: 5})
		d.Grant("e1", newGrant(4, 1, 1, time.Minute))
		c.Assert(d.awaitFrame(messenger.KindDecline).Grant.Reason, qt.Equals, errStaleEpoch.Error())
		advancer.Sleep(time.Second)
		c.Assert(startCount(worker), qt.Equals, 0)
		d.kill()
	})
	subtest(t, "a grant past its deadline is declined", func(c *qt.C, worker *faker.Worker) {
		d := startReady(c, worker)
		d.Grant("e1", newGrant(1, 1, 1, 0))
		c.Assert(d.awaitFrame(messenger.KindDecline).Grant.Reason, qt.Equals, errDeadlinePassed.Error())
		d.kill()
	})
	subtest(t, "a grant that does not fit is declined", func(c *qt.C, worker *faker.Worker) {
		d := startReady(c, worker)
		g := newGrant(1, 1, 1, time.Minute)
		g.Need.Processors = 3
		d.Grant("e1", g)
		d.awaitFrame(messenger.KindDecline)
		d.kill()
	})
	subtest(t, "tasks run one after another and are reported until acknowledged", func(c *qt.C, worker *faker.Worker) {
		d := startReady(c, worker)
		d.Grant("e1", newGrant(1, 1, 2, time.Minute))
		first := d.awaitFrame(messenger.KindReport).Report
		c.Assert(first.Outcomes, qt.HasLen, 1)
		c.Assert(first.Outcomes[0].Status, qt.Equals, messenger.AttemptFinished)
		c.Assert(d.awaitFrame(messenger.KindReport).Report.Outcomes[0].Index, qt.Equals, 0, qt.Commentf("reported again"))
		d.Acknowledge(*first)
		for last := d.awaitFrame(messenger.KindReport).Report; ; last = d.awaitFrame(messenger.KindReport).Report {
			d.Acknowledge(*last)
			if last.Closed {
				break
			}
		}
		c.Assert(d.HeldGrants(), qt.Equals, 0)
		c.Assert(startCount(worker), qt.Equals, 2)
		d.kill()
	})
	subtest(t, "a revoked grant stops, and none of its other tasks starts", func(c *qt.C, worker *faker.Worker) {
		d := startReady(c, worker)
		d.Grant("e1", newGrant(1, 1, 3, time.Minute))
		advancer.Sleep(time.Second)
		d.Revoke(messenger.Grant{Shard: 1, Epoch: 1, Run: "team/job/run", Seq: 1})
		r := d.awaitFrame(messenger.KindReport).Report
		for !r.Closed {
			r = d.awaitFrame(messenger.KindReport).Report
		}
		advancer.Sleep(30 * time.Second)
		c.Assert(startCount(worker), qt.Equals, 1)
		d.kill()
	})
}

func TestDeadlines(t *testing.T) {
	subtest(t, "without an extension the task is checkpointed before the deadline", func(c *qt.C, worker *faker.Worker) {
		d := startReady(c, worker)
		d.Grant("e1", newGrant(1, 1, 2, 5*time.Second))
		o := d.awaitFrame(messenger.KindReport).Report.Outcomes[0]
		c.Assert(o.Status, qt.Equals, messenger.AttemptEvicted)
		c.Assert(o.Checkpoint, qt.Not(qt.Equals), "")
		advancer.Sleep(30 * time.Second)
		c.Assert(startCount(worker), qt.Equals, 1, qt.Commentf("the second task never starts"))
		d.kill()
	})
	subtest(t, "the owner can extend the deadline, an earlier owner cannot", func(c *qt.C, worker *faker.Worker) {
		d := startReady(c, worker)
		d.Grant("e1", newGrant(2, 1, 1, 5*time.Second))
		advancer.Sleep(2 * time.Second)
		d.Extend("e2", messenger.LeaseRenewal{Shard: 1, Epoch: 2, ExpiresAt: time.Now().Add(5 * time.Second)})
		d.Extend("e1", messenger.LeaseRenewal{Shard: 1, Epoch: 1, ExpiresAt: time.Now().Add(time.Hour)})
		o := d.awaitFrame(messenger.KindReport).Report.Outcomes[0]
		c.Assert(o.Status, qt.Equals, messenger.AttemptEvicted)
		c.Assert(time.Since(worker.Events.All()[0].At) < 7*time.Second, qt.IsTrue)
		d.kill()
	})
	// After a freeze past the deadline, the process may read an extension for other
	// grants of the shard, sent before the freeze, before it checks the deadline.
	subtest(t, "a deadline that has passed is final", func(c *qt.C, worker *faker.Worker) {
		d := startReady(c, worker)
		d.Grant("e1", newGrant(1, 1, 2, 5*time.Second))
		advancer.Sleep(time.Second)
		d.clockOffset.Store(int64(10 * time.Second))
		d.Extend("e1", messenger.LeaseRenewal{Shard: 1, Epoch: 1, ExpiresAt: time.Now().Add(time.Hour)})
		c.Assert(d.awaitFrame(messenger.KindReport).Report.Outcomes[0].Status, qt.Not(qt.Equals), messenger.AttemptFinished)
		advancer.Sleep(30 * time.Second)
		c.Assert(startCount(worker), qt.Equals, 1)
		d.kill()
	})
}

// TestRestartAdoptsRunningTasks checks that the next process of an agent adopts the
// running tasks, declines grants until no start of its predecessor can arrive any more,
// and then reports that the rest of the grant never started.
func TestRestartAdoptsRunningTasks(t *testing.T) {
	subtest(t, "restart", func(c *qt.C, worker *faker.Worker) {
		d := startReady(c, worker)
		d.Grant("e1", newGrant(1, 1, 3, time.Minute))
		advancer.Sleep(time.Second)
		d.kill()

		next := start(c, worker)
		c.Assert(next.Ready(), qt.IsFalse)
		next.Grant("e1", newGrant(1, 2, 1, time.Minute))
		c.Assert(next.awaitFrame(messenger.KindDecline).Grant.Reason, qt.Equals, errStarting.Error())
		next.Reconcile("e1", messenger.GrantInventory{Shard: 1, Epoch: 1, Seq: 7})
		inv := next.awaitFrame(messenger.KindInventoryReply).Inventory
		c.Assert(inv.Grants, qt.DeepEquals, []messenger.GrantRef{{Run: "team/job/run", Seq: 1}})
		c.Assert(inv.Seq, qt.Equals, uint64(7))
		next.Extend("e1", messenger.LeaseRenewal{Shard: 1, Epoch: 1, ExpiresAt: time.Now().Add(time.Minute)})
		r := next.awaitFrame(messenger.KindReport).Report
		c.Assert(r.Outcomes[0].Status, qt.Equals, messenger.AttemptFinished)
		for !r.Closed {
			r = next.awaitFrame(messenger.KindReport).Report
		}
		c.Assert(startCount(worker), qt.Equals, 1)
		next.kill()
	})
}

// TestDelayedStartOfDeadProcess checks that a start that arrives after its sender has died
// never overcommits the instance: its short lease has ended before the next process
// admits a grant.
func TestDelayedStartOfDeadProcess(t *testing.T) {
	for _, delay := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, startLease + 500*time.Millisecond, 10 * time.Second} {
		subtest(t, delay.String(), func(c *qt.C, worker *faker.Worker) {
			d := startReady(c, worker)
			d.startDelay.Store(int64(delay))
			g := newGrant(1, 1, 1, time.Minute)
			g.Need.Processors = 2 // all that the instance has
			d.Grant("e1", g)
			advancer.Sleep(10 * time.Millisecond)
			d.kill()

			next := start(c, worker)
			for n := range uint64(40) {
				g := newGrant(1, 10+n, 1, time.Minute)
				g.Need.Processors = 2
				next.Grant("e1", g)
				advancer.Sleep(250 * time.Millisecond)
			}
			for _, r := range worker.Events.All() {
				c.Check(r.Used.FitsIn(r.Total), qt.IsTrue, qt.Commentf("%s at %v: %+v", r.Attempt, r.At, r.Used))
			}
			next.kill()
		})
	}
}
