package runner

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/executor"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/messenger"
)

// revocation returns the command that cancels or evicts the grant of newGrant.
func revocation(evict bool) messenger.Grant {
	return messenger.Grant{Shard: 1, Epoch: 1, Run: "team/job/run", Seq: 1, Evict: evict}
}

// A start that got no answer was sent again after the cancel of its grant.
func TestAStartIsNotSentAgainAfterTheCancelOfItsGrant(t *testing.T) {
	subtest(t, "cancel", func(c *qt.C, worker *faker.Worker) {
		d := startReady(c, worker)
		start, failing := d.cfg.Worker.Start, true
		d.cfg.Worker.Start = func(ctx context.Context, t executor.Task, until time.Time) error {
			d.mu.Lock()
			lost := failing
			d.mu.Unlock()
			if lost {
				return executor.ErrUnknownOutcome
			}
			return start(ctx, t, until)
		}
		d.Grant("e1", newGrant(1, 1, 1, time.Minute))
		advancer.Sleep(time.Second)
		d.Revoke(revocation(false))
		advancer.Sleep(10 * time.Second)
		d.mu.Lock()
		failing = false
		d.mu.Unlock()
		advancer.Sleep(10 * time.Second)
		d.kill()
		c.Check(startCount(worker), qt.Equals, 0)
	})
}

// A start that is on its way to the worker at the cancel may take effect after it.
func TestAStartThatArrivesAfterTheCancelIsStopped(t *testing.T) {
	for _, delay := range []time.Duration{500 * time.Millisecond, startLease - 100*time.Millisecond, startLease + 500*time.Millisecond} {
		subtest(t, delay.String(), func(c *qt.C, worker *faker.Worker) {
			d := startReady(c, worker)
			d.startDelay.Store(int64(delay))
			g := newGrant(1, 1, 2, time.Minute)
			g.Payload = "10m"
			d.Grant("e1", g)
			advancer.Sleep(10 * time.Millisecond)
			d.Revoke(revocation(false))
			r := d.awaitFrame(messenger.KindReport).Report
			for !r.Closed {
				r = d.awaitFrame(messenger.KindReport).Report
			}
			advancer.Sleep(delay + 2*retryDelay)
			rep, err := d.cfg.Worker.Poll(context.Background(), executor.AnyVersion)
			d.kill()
			c.Assert(err, qt.IsNil)
			for _, task := range rep.Tasks {
				c.Check(task.State, qt.Equals, executor.Stopped)
			}
		})
	}
}

// A grant whose task was evicted while its start had no answer must not be granted again
// as if it had never started.
func TestAnEvictedTaskWhoseStartHasNoAnswerIsLost(t *testing.T) {
	subtest(t, "evict", func(c *qt.C, worker *faker.Worker) {
		d := startReady(c, worker)
		d.startDelay.Store(int64(20 * time.Second))
		d.Grant("e1", newGrant(1, 1, 1, time.Minute))
		advancer.Sleep(10 * time.Millisecond)
		d.Revoke(revocation(true))
		o := d.awaitFrame(messenger.KindReport).Report.Outcomes
		d.kill()
		c.Assert(o, qt.HasLen, 1)
		c.Check(o[0].Status, qt.Equals, messenger.AttemptLost)
		c.Check(startCount(worker), qt.Equals, 0)
	})
}

// Starts that the worker refused as late were repeated without a delay.
func TestALateStartIsSentAgainAfterADelay(t *testing.T) {
	subtest(t, "late start", func(c *qt.C, worker *faker.Worker) {
		d := startReady(c, worker)
		var calls int
		d.cfg.Worker.Start = func(context.Context, executor.Task, time.Time) error {
			advancer.Sleep(time.Millisecond)
			calls++
			return executor.ErrLeaseExpired
		}
		d.Grant("e1", newGrant(1, 1, 1, time.Minute))
		advancer.Sleep(time.Second)
		d.Revoke(revocation(false))
		r := d.awaitFrame(messenger.KindReport).Report
		d.kill()
		c.Check(calls <= int(time.Second/retryDelay), qt.IsTrue, qt.Commentf("%d calls", calls))
		c.Check(r.Outcomes, qt.HasLen, 0)
		c.Check(r.Closed, qt.IsTrue)
	})
}

// noAnswer is a call to the worker whose reply is lost, and which it does not carry out.
func noAnswer(context.Context, string) (executor.Task, error) {
	return executor.Task{}, executor.ErrUnknownOutcome
}

// A task whose stop got no answer was reported as lost while its lease was still renewed,
// so that it could be started elsewhere as it worked on.
func TestATaskThatIsReportedLostHasNoLease(t *testing.T) {
	subtest(t, "stop without an answer", func(c *qt.C, worker *faker.Worker) {
		d := startReady(c, worker)
		d.cfg.Worker.Checkpoint, d.cfg.Worker.Stop = noAnswer, noAnswer
		g := newGrant(1, 1, 1, 5*time.Second)
		g.Payload = "10m"
		d.Grant("e1", g)
		advancer.Sleep(time.Second)
		d.Revoke(revocation(true))
		advancer.Sleep(time.Second)
		d.Extend("e1", messenger.LeaseRenewal{Shard: 1, Epoch: 1, ExpiresAt: time.Now().Add(20 * time.Second)})
		o := d.awaitFrame(messenger.KindReport).Report.Outcomes[0]
		c.Check(o.Status, qt.Equals, messenger.AttemptLost)
		rep, err := d.cfg.Worker.Poll(context.Background(), executor.AnyVersion)
		d.kill()
		c.Check(err, qt.IsNil)
		c.Check(rep.Tasks[0].State, qt.Not(qt.Equals), executor.Running)
	})
}

// The same for a task that is idempotent, whose lease the agent itself renews.
func TestAnIdempotentTaskThatIsReportedLostHasNoLease(t *testing.T) {
	for _, evict := range []bool{true, false} {
		subtest(t, fmt.Sprintf("evict %v", evict), func(c *qt.C, worker *faker.Worker) {
			d := startReady(c, worker)
			d.cfg.Worker.Checkpoint, d.cfg.Worker.Stop = noAnswer, noAnswer
			g := newGrant(1, 1, 1, time.Minute)
			g.Payload, g.Idempotent = "10m", true
			d.Grant("e1", g)
			advancer.Sleep(time.Second)
			d.Revoke(revocation(evict))
			o := d.awaitFrame(messenger.KindReport).Report.Outcomes[0]
			c.Check(o.Status, qt.Equals, messenger.AttemptLost)
			rep, err := d.cfg.Worker.Poll(context.Background(), executor.AnyVersion)
			d.kill()
			c.Assert(err, qt.IsNil)
			c.Check(rep.Tasks[0].State, qt.Not(qt.Equals), executor.Running)
		})
	}
}

// A canceled task whose stop gets no answer must end with the last lease that it got.
func TestTheLeaseOfACanceledTaskIsNotRenewed(t *testing.T) {
	subtest(t, "cancel", func(c *qt.C, worker *faker.Worker) {
		d := startReady(c, worker)
		d.cfg.Worker.Stop = noAnswer
		advancer.Sleep(10 * time.Millisecond)
		g := newGrant(1, 1, 1, time.Minute)
		g.Payload = "10m"
		d.Grant("e1", g)
		advancer.Sleep(10 * time.Millisecond)
		d.Revoke(revocation(false))
		advancer.Sleep(startLease)
		rep, err := d.cfg.Worker.Poll(context.Background(), executor.AnyVersion)
		d.kill()
		c.Assert(err, qt.IsNil)
		c.Check(rep.Tasks[0].State, qt.Equals, executor.LeaseExpired)
	})
}

// A cancel that arrived while a checkpoint got no answer was not carried out.
func TestACancelReplacesAnEvictionUnderWay(t *testing.T) {
	subtest(t, "cancel", func(c *qt.C, worker *faker.Worker) {
		d := startReady(c, worker)
		d.cfg.Worker.Checkpoint = func(context.Context, string) (executor.Task, error) {
			return executor.Task{}, executor.ErrUnknownOutcome
		}
		g := newGrant(1, 1, 1, time.Minute)
		g.Payload = "10m"
		d.Grant("e1", g)
		advancer.Sleep(time.Second)
		d.Revoke(revocation(true))
		advancer.Sleep(time.Second)
		d.Revoke(revocation(false))
		advancer.Sleep(5 * time.Second)
		rep, err := d.cfg.Worker.Poll(context.Background(), executor.AnyVersion)
		d.kill()
		c.Check(err, qt.IsNil)
		c.Check(rep.Tasks[0].State, qt.Equals, executor.Stopped)
	})
}

// A checkpoint that hangs must not hold up the cancel either.
func TestACancelDoesNotWaitForACheckpointThatHangs(t *testing.T) {
	subtest(t, "cancel", func(c *qt.C, worker *faker.Worker) {
		d := startReady(c, worker)
		d.cfg.Worker.Checkpoint = func(ctx context.Context, _ string) (executor.Task, error) {
			<-ctx.Done()
			return executor.Task{}, executor.ErrUnknownOutcome
		}
		g := newGrant(1, 1, 1, time.Minute)
		g.Payload = "10m"
		d.Grant("e1", g)
		advancer.Sleep(time.Second)
		d.Revoke(revocation(true))
		advancer.Sleep(time.Second)
		d.Revoke(revocation(false))
		advancer.Sleep(2 * retryDelay)
		rep, err := d.cfg.Worker.Poll(context.Background(), executor.AnyVersion)
		d.kill()
		c.Assert(err, qt.IsNil)
		c.Check(rep.Tasks[0].State, qt.Equals, executor.Stopped)
	})
}

// What a task was stopped for is not known to the next process of the agent. A task that
// may not run twice was granted again after a stop without a checkpoint.
func TestATaskThatWasStoppedWithoutACheckpointIsLostAfterARestart(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		subtest(t, fmt.Sprintf("idempotent %v", idempotent), func(c *qt.C, worker *faker.Worker) {
			d := startReady(c, worker)
			g := newGrant(1, 1, 1, 5*time.Second)
			g.Payload, g.Checkpointable, g.Idempotent = "10m", false, idempotent
			d.Grant("e1", g)
			advancer.Sleep(time.Second)
			d.Revoke(revocation(true))
			advancer.Sleep(time.Second)
			d.kill()

			next := start(c, worker)
			next.Reconcile("e1", messenger.GrantInventory{Shard: 1, Epoch: 1})
			o := next.awaitFrame(messenger.KindReport).Report.Outcomes
			next.kill()
			c.Assert(o, qt.HasLen, 1)
			want := messenger.AttemptLost
			if idempotent {
				want = messenger.AttemptEvicted
			}
			c.Check(o[0].Status, qt.Equals, want)
		})
	}
}

// A canceled urgent grant held others off while it waited for the resources of evicted
// tasks.
func TestACanceledGrantDoesNotWaitForCapacity(t *testing.T) {
	subtest(t, "cancel", func(c *qt.C, worker *faker.Worker) {
		d := startReady(c, worker)
		d.cfg.Worker.Checkpoint = func(ctx context.Context, _ string) (executor.Task, error) {
			<-ctx.Done()
			return executor.Task{}, executor.ErrUnknownOutcome
		}
		full := newGrant(1, 2, 1, time.Minute)
		full.Need.Processors, full.Payload = 2, "10m"
		d.Grant("e1", full)
		advancer.Sleep(time.Second)
		urgent := newGrant(1, 1, 1, time.Minute)
		urgent.Urgent = true
		d.Grant("e1", urgent)
		advancer.Sleep(100 * time.Millisecond)
		canceledAt := time.Now()
		d.Revoke(revocation(false))
		closed := d.awaitFrame(messenger.KindReport).Report
		elapsed := time.Since(canceledAt)
		d.kill()
		c.Check(elapsed <= capacityPollInterval, qt.IsTrue, qt.Commentf("closed after %v", elapsed))
		c.Check(closed.Seq, qt.Equals, urgent.Seq)
		c.Check(closed.Closed, qt.IsTrue)
	})
}

// A task was reported as failed while an earlier start of it, without an answer, had taken
// effect or still could.
func TestARejectionSaysNothingOfAnEarlierStart(t *testing.T) {
	for _, started := range []bool{true, false} {
		subtest(t, fmt.Sprintf("started %v", started), func(c *qt.C, worker *faker.Worker) {
			d := startReady(c, worker)
			start, calls := d.cfg.Worker.Start, 0
			d.cfg.Worker.Start = func(_ context.Context, t executor.Task, until time.Time) error {
				calls++
				if calls > 1 {
					return executor.ErrRejected
				}
				if started {
					time.AfterFunc(time.Second, func() { _ = start(context.Background(), t, until) })
				}
				return executor.ErrUnknownOutcome
			}
			grantedAt := time.Now()
			d.Grant("e1", newGrant(1, 1, 1, time.Minute))
			o := d.awaitFrame(messenger.KindReport).Report.Outcomes
			elapsed := time.Since(grantedAt)
			d.kill()
			c.Assert(o, qt.HasLen, 1)
			if started {
				c.Check(o[0].Status, qt.Equals, messenger.AttemptFinished)
				return
			}
			c.Check(o[0].Status, qt.Equals, messenger.AttemptFailed)
			c.Check(elapsed >= startLease, qt.IsTrue, qt.Commentf("failed after %v", elapsed))
		})
	}
}
