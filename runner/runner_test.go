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

// desk is a runner with its worker, and what it sent to its entries.
type desk struct {
	*Runner
	c      *qt.C
	worker *faker.Worker
	sent   chan messenger.Frame
	skew   atomic.Int64 // ns by which the agent's clock is on, as after a freeze
	held   atomic.Int64 // ns for which starts are held up on their way
	cancel context.CancelFunc
	ended  chan struct{}
}

// sit starts a runner beside a worker, and waits until it takes grants.
func sit(c *qt.C, worker *faker.Worker) *desk {
	d := sitNow(c, worker)
	advancer.Sleep(startLease)
	return d
}

// sitNow starts a runner beside a worker.
func sitNow(c *qt.C, worker *faker.Worker) *desk {
	d := &desk{c: c, worker: worker, sent: make(chan messenger.Frame, 1000), ended: make(chan struct{})}
	now := func() time.Time { return time.Now().Add(time.Duration(d.skew.Load())) }
	x := executor.New(executor.Config{Addr: netip.MustParseAddrPort("127.0.0.1:1"), Now: now, Do: func(r *http.Request) (*http.Response, error) {
		if r.Body == nil {
			r.Body = http.NoBody
		}
		if held := time.Duration(d.held.Load()); held > 0 && r.Method == http.MethodPut && r.URL.Path != "/v1/leases" {
			late := r.Clone(context.Background())
			raw, _ := io.ReadAll(r.Body)
			late.Body = io.NopCloser(bytes.NewReader(raw))
			go func() { // it arrives whatever becomes of its sender
				advancer.Sleep(held)
				worker.ServeHTTP(httptest.NewRecorder(), late)
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
		Send: func(_ string, f messenger.Frame) { d.sent <- f },
	})
	var ctx context.Context
	ctx, d.cancel = context.WithCancel(context.Background())
	_, err := d.Recover(ctx)
	c.Assert(err, qt.IsNil)
	go func() {
		d.Serve(ctx)
		close(d.ended)
	}()
	return d
}

// rise ends the process as a crash does.
func (d *desk) rise() {
	d.cancel()
	<-d.ended
}

// got returns the next frame of a kind, or fails the test after a minute.
func (d *desk) got(kind messenger.Kind) messenger.Frame {
	d.c.Helper()
	end := time.After(time.Minute)
	for {
		select {
		case f := <-d.sent:
			if f.Kind == kind {
				return f
			}
		case <-end:
			d.c.Fatalf("no frame of kind %d", kind)
		}
	}
}

// grant is a grant of tasks 0 to n that lasts a while.
func grant(epoch, seq uint64, n int, lasts time.Duration) messenger.Grant {
	return messenger.Grant{
		Shard: 1, Epoch: epoch, Run: "team/job/run", Seq: seq, To: n, ExpiresAt: time.Now().Add(lasts),
		Need: parser.Resources{Processors: 1}, Payload: "10s", Checkpointable: true,
	}
}

func story(t *testing.T, name string, f func(c *qt.C, k *faker.Worker)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			k := faker.NewWorker("a", parser.Resources{Processors: 2})
			done := make(chan struct{})
			go k.Run(done)
			f(qt.New(t), k)
			close(done)
			advancer.Sleep(time.Minute)
		})
	})
}

func starts(k *faker.Worker) int {
	n := 0
	for _, r := range k.Events.All() {
		if r.Kind == faker.TaskStart {
			n++
		}
	}
	return n
}

func TestGrants(t *testing.T) {
	story(t, "one of an earlier owner is declined", func(c *qt.C, k *faker.Worker) {
		d := sit(c, k)
		d.Reconcile("e2", messenger.GrantInventory{Shard: 1, Epoch: 5})
		d.Grant("e1", grant(4, 1, 1, time.Minute))
		c.Assert(d.got(messenger.KindDecline).Grant.Reason, qt.Equals, errOld.Error())
		advancer.Sleep(time.Second)
		c.Assert(starts(k), qt.Equals, 0)
		d.rise()
	})
	story(t, "one that comes late is declined", func(c *qt.C, k *faker.Worker) {
		d := sit(c, k)
		d.Grant("e1", grant(1, 1, 1, 0))
		c.Assert(d.got(messenger.KindDecline).Grant.Reason, qt.Equals, errLate.Error())
		d.rise()
	})
	story(t, "one that does not fit is declined", func(c *qt.C, k *faker.Worker) {
		d := sit(c, k)
		g := grant(1, 1, 1, time.Minute)
		g.Need.Processors = 3
		d.Grant("e1", g)
		d.got(messenger.KindDecline)
		d.rise()
	})
	story(t, "tasks run one after another and are reported until they are settled", func(c *qt.C, k *faker.Worker) {
		d := sit(c, k)
		d.Grant("e1", grant(1, 1, 2, time.Minute))
		first := d.got(messenger.KindReport).Report
		c.Assert(first.Outcomes, qt.HasLen, 1)
		c.Assert(first.Outcomes[0].Status, qt.Equals, messenger.AttemptFinished)
		c.Assert(d.got(messenger.KindReport).Report.Outcomes[0].Index, qt.Equals, 0, qt.Commentf("told again"))
		d.Acknowledge(*first)
		for last := d.got(messenger.KindReport).Report; ; last = d.got(messenger.KindReport).Report {
			d.Acknowledge(*last)
			if last.Closed {
				break
			}
		}
		c.Assert(d.HeldGrants(), qt.Equals, 0)
		c.Assert(starts(k), qt.Equals, 2)
		d.rise()
	})
	story(t, "a revoked one stops, and nothing more of it starts", func(c *qt.C, k *faker.Worker) {
		d := sit(c, k)
		d.Grant("e1", grant(1, 1, 3, time.Minute))
		advancer.Sleep(time.Second)
		d.Revoke(messenger.Grant{Shard: 1, Epoch: 1, Run: "team/job/run", Seq: 1})
		r := d.got(messenger.KindReport).Report
		for !r.Closed {
			r = d.got(messenger.KindReport).Report
		}
		advancer.Sleep(30 * time.Second)
		c.Assert(starts(k), qt.Equals, 1)
		d.rise()
	})
}

func TestDeadlines(t *testing.T) {
	story(t, "without an extension the task is checkpointed before the deadline", func(c *qt.C, k *faker.Worker) {
		d := sit(c, k)
		d.Grant("e1", grant(1, 1, 2, 5*time.Second))
		o := d.got(messenger.KindReport).Report.Outcomes[0]
		c.Assert(o.Status, qt.Equals, messenger.AttemptEvicted)
		c.Assert(o.Checkpoint, qt.Not(qt.Equals), "")
		advancer.Sleep(30 * time.Second)
		c.Assert(starts(k), qt.Equals, 1, qt.Commentf("the second task never starts"))
		d.rise()
	})
	story(t, "an extension of the owner keeps it, one of an earlier owner does not", func(c *qt.C, k *faker.Worker) {
		d := sit(c, k)
		d.Grant("e1", grant(2, 1, 1, 5*time.Second))
		advancer.Sleep(2 * time.Second)
		d.Extend("e2", messenger.LeaseRenewal{Shard: 1, Epoch: 2, ExpiresAt: time.Now().Add(5 * time.Second)})
		d.Extend("e1", messenger.LeaseRenewal{Shard: 1, Epoch: 1, ExpiresAt: time.Now().Add(time.Hour)})
		o := d.got(messenger.KindReport).Report.Outcomes[0]
		c.Assert(o.Status, qt.Equals, messenger.AttemptEvicted)
		c.Assert(time.Since(k.Events.All()[0].At) < 7*time.Second, qt.IsTrue)
		d.rise()
	})
	// A process that was frozen past its deadline may read an extension, sent
	// before the freeze for other grants of the shard, before it notices.
	story(t, "a deadline that has passed is final", func(c *qt.C, k *faker.Worker) {
		d := sit(c, k)
		d.Grant("e1", grant(1, 1, 2, 5*time.Second))
		advancer.Sleep(time.Second)
		d.skew.Store(int64(10 * time.Second))
		d.Extend("e1", messenger.LeaseRenewal{Shard: 1, Epoch: 1, ExpiresAt: time.Now().Add(time.Hour)})
		c.Assert(d.got(messenger.KindReport).Report.Outcomes[0].Status, qt.Not(qt.Equals), messenger.AttemptFinished)
		advancer.Sleep(30 * time.Second)
		c.Assert(starts(k), qt.Equals, 1)
		d.rise()
	})
}

// TestRestartTakesOverWhatRuns: the next process of an agent holds the tasks
// that run, admits nothing before a start of its predecessor can no longer come,
// and then says that the rest of the grant never started.
func TestRestartTakesOverWhatRuns(t *testing.T) {
	story(t, "restart", func(c *qt.C, k *faker.Worker) {
		d := sit(c, k)
		d.Grant("e1", grant(1, 1, 3, time.Minute))
		advancer.Sleep(time.Second)
		d.rise()

		next := sitNow(c, k)
		c.Assert(next.Ready(), qt.IsFalse)
		next.Grant("e1", grant(1, 2, 1, time.Minute))
		c.Assert(next.got(messenger.KindDecline).Grant.Reason, qt.Equals, errEarly.Error())
		next.Reconcile("e1", messenger.GrantInventory{Shard: 1, Epoch: 1, Seq: 7})
		held := next.got(messenger.KindInventoryReply).Inventory
		c.Assert(held.Grants, qt.DeepEquals, []messenger.GrantRef{{Run: "team/job/run", Seq: 1}})
		c.Assert(held.Seq, qt.Equals, uint64(7))
		next.Extend("e1", messenger.LeaseRenewal{Shard: 1, Epoch: 1, ExpiresAt: time.Now().Add(time.Minute)})
		r := next.got(messenger.KindReport).Report
		c.Assert(r.Outcomes[0].Status, qt.Equals, messenger.AttemptFinished)
		for !r.Closed {
			r = next.got(messenger.KindReport).Report
		}
		c.Assert(starts(k), qt.Equals, 1)
		next.rise()
	})
}

// TestStartOfADeadProcessComesLate: a start that is held up on its way, and
// comes after its sender died, never takes the instance over its size: its
// short lease has ended before the next process admits anything.
func TestStartOfADeadProcessComesLate(t *testing.T) {
	for _, held := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, startLease + 500*time.Millisecond, 10 * time.Second} {
		story(t, held.String(), func(c *qt.C, k *faker.Worker) {
			d := sit(c, k)
			d.held.Store(int64(held))
			g := grant(1, 1, 1, time.Minute)
			g.Need.Processors = 2 // all that the instance has
			d.Grant("e1", g)
			advancer.Sleep(10 * time.Millisecond)
			d.rise()

			next := sitNow(c, k)
			for n := range uint64(40) {
				g := grant(1, 10+n, 1, time.Minute)
				g.Need.Processors = 2
				next.Grant("e1", g)
				advancer.Sleep(250 * time.Millisecond)
			}
			for _, r := range k.Events.All() {
				c.Check(r.Used.FitsIn(r.Total), qt.IsTrue, qt.Commentf("%s at %v: %+v", r.Attempt, r.At, r.Used))
			}
			next.rise()
		})
	}
}
