package supervisor_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/supervisor"
)

// An owner that is suspended accepts connections but answers nothing. The agent must
// find the next owner before the lease of its runs expires.
func TestRunsOutliveASuspendedOwner(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() { h.plan = faker.PoolRunPlan{} })
		h.send(startCommand("j.0.0.0", 1))
		suspended := netip.MustParseAddrPort("10.0.0.2:7000")
		server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })}
		listener := h.network.Listen("suspended", suspended)
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
		h.set(func() { h.owner = suspended })
		h.network.CloseConnections("owner")
		advancer.Sleep(2 * time.Second)
		h.set(func() { h.owner, h.term = ownerAddr, 2 })
		advancer.Sleep(2 * time.Second)
		c.Assert(h.latestSnapshot().Term, qt.Equals, uint64(2))
		advancer.Sleep(leaseDuration)
		c.Assert(h.worker.Running(), qt.HasLen, 1)
	})
}

// An owner that did not reach the store any more kept all of its agents for ten seconds,
// while the next one had claimed ownership and got none.
func TestAnAgentLeavesAnOwnerThatWasReplaced(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() { h.unconfirmed = true })
		advancer.Sleep(2 * time.Second)
		earlier := h.ownerConn()
		advancer.Sleep(2 * time.Second)
		c.Check(h.ownerConn(), qt.Equals, earlier, qt.Commentf("there is no later owner"))
		h.set(func() { h.nextTerm = 2 })
		advancer.Sleep(2 * time.Second)
		c.Check(h.ownerConn(), qt.Not(qt.Equals), earlier)
	})
}

// Only an owner that knows the runs of an agent that leaves can start their tasks
// again without waiting for all agents that it can't reach.
func TestAnAgentDoesNotLeaveAnOwnerThatDoesNotAnswer(t *testing.T) {
	for name, acking := range map[string]bool{"answers": true, "does not answer": false} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, h *harness) {
				h.set(func() { h.plan = faker.PoolRunPlan{} })
				h.send(startCommand("j.0.0.0", 1))
				h.set(func() { h.acking = acking })
				left := make(chan struct{})
				go func() {
					defer close(left)
					h.sup.AwaitOwner(context.Background())
				}()
				advancer.Sleep(supervisor.LeaveTimeout / 2)
				c.Check(isClosed(left), qt.Equals, acking)
				h.set(func() { h.acking, h.term = true, 2 })
				advancer.Sleep(supervisor.LeaveTimeout / 2)
				c.Check(isClosed(left), qt.IsTrue)
				c.Check(h.latestSnapshot().Runs, qt.HasLen, 1)
			})
		})
	}
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// An agent that waited for an owner before its end offered its worker for starts, which
// nobody would look after.
func TestAnAgentThatIsToEndOffersNoWorker(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		c.Assert(h.latestSnapshot().MayStart, qt.IsTrue)
		h.set(func() { h.acking = false })
		ctx, cancel := context.WithTimeout(context.Background(), supervisor.LeaveTimeout)
		defer cancel()
		go h.sup.AwaitOwner(ctx)
		advancer.Sleep(200 * time.Millisecond)
		c.Check(h.latestSnapshot().MayStart, qt.IsFalse)
		h.send(startCommand("j.0.0.0", 1))
		c.Check(h.worker.Running(), qt.HasLen, 0)
	})
}

// The owner removes the registration of a drained agent, and then renews no lease. The
// agent waited for a renewal before each orderly end.
func TestADrainedAgentEndsWithoutALease(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		heartbeat := h.worker.Heartbeat(2)
		heartbeat.Draining = true
		h.sup.HandleHeartbeat(context.Background(), heartbeat)
		h.set(func() { h.unregistered = true })
		left := make(chan struct{})
		ctx, cancel := context.WithTimeout(context.Background(), supervisor.LeaveTimeout)
		defer cancel()
		go func() {
			defer close(left)
			h.sup.AwaitOwner(ctx)
		}()
		advancer.Sleep(supervisor.LeaveTimeout / 2)
		c.Check(isClosed(left), qt.IsTrue)
	})
}

// The owner limits the commands that are on their way by how soon they are confirmed. One that
// changed nothing was confirmed only by the next heartbeat.
func TestEachCommandIsConfirmedAtOnce(t *testing.T) {
	for name, cmd := range map[string]messenger.Command{
		"stop of an unknown run":  {Stop: &messenger.RunStop{Task: "j.0.0.7", Attempt: 1}},
		"spec of an ended run":    {Start: &messenger.RunStart{Task: "j.0.0.8", Attempt: 1, AlreadyRunning: true}},
		"command of another term": {Term: 1, Stop: &messenger.RunStop{Task: "j.0.0.9", Attempt: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, h *harness) {
				h.set(func() { h.term = 2 })
				advancer.Sleep(time.Second)
				heartbeat := h.latestSnapshot()
				for h.latestSnapshot() == heartbeat {
					advancer.Sleep(10 * time.Millisecond)
				}
				h.send(cmd)
				c.Assert(h.latestSnapshot().Seq, qt.Equals, uint64(1))
			})
		})
	}
}

// The next owner concludes from a run at work that no other agent runs the task. A run that
// was seen before its claim may have ended since.
func TestARunIsCurrentOnceAListUnderTheTermHasShownIt(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() { h.plan = faker.PoolRunPlan{Duration: time.Minute} })
		h.send(startCommand("j.0.0.0", 1))
		c.Assert(h.latestSnapshot().Runs, qt.HasLen, 1)
		c.Assert(h.latestSnapshot().Current, qt.IsTrue)
		h.set(func() {
			h.fault = func(string) faker.PoolFault { return faker.PoolFault{Drop: true, LoseReply: true} }
			h.term = 2
		})
		h.ownerConn().Close("another owner")
		advancer.Sleep(2 * time.Second)
		c.Assert(h.latestSnapshot().Term, qt.Equals, uint64(2))
		c.Assert(h.latestSnapshot().Runs, qt.HasLen, 1)
		c.Check(h.latestSnapshot().Current, qt.IsFalse, qt.Commentf("the worker has shown it under term 1 only"))
		h.set(func() { h.fault = nil })
		advancer.Sleep(2 * time.Second)
		c.Check(h.latestSnapshot().Current, qt.IsTrue)
	})
}
