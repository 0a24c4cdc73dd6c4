package supervisor_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/messenger"
)

// loseOwner closes the connection to the owner; the agent finds none until meetOwner.
func (h *harness) loseOwner() {
	h.set(func() { h.owner = netip.MustParseAddrPort("10.0.0.2:7000") })
	h.network.CloseConnections("owner")
}

// meetOwner lets the agent find the owner of a term.
func (h *harness) meetOwner(term uint64) {
	h.set(func() { h.owner, h.term = ownerAddr, term })
	advancer.Sleep(2 * time.Second)
}

// Tasks of which no owner had the end waited for absent agents, as if an earlier owner could have
// started them again. An end says so only if no earlier owner can have learned or concluded it.
func TestAnEndSaysIfNoEarlierOwnerKnowsIt(t *testing.T) {
	const end = 300 * time.Millisecond
	for name, tt := range map[string]struct {
		lose func(h *harness)
		term uint64
	}{
		"known to none": {func(h *harness) {
			h.loseOwner()
			advancer.Sleep(end)
		}, 2},
		"of a worker that was replaced": {func(h *harness) {
			h.loseOwner()
			h.worker.Restart("life-2", time.UnixMilli(9_000_000))
			h.sup.HandleHeartbeat(context.Background(), h.worker.Heartbeat(1))
		}, 2},
		"sent": {func(*harness) { advancer.Sleep(end) }, 0},
		"sent to an owner that did not answer": {func(h *harness) {
			h.set(func() { h.acking = false })
			advancer.Sleep(end)
			h.loseOwner()
			h.set(func() { h.acking = true })
		}, 0},
		"after the lease": {func(h *harness) {
			h.loseOwner()
			advancer.Sleep(leaseDuration + time.Second)
		}, 0},
		"of an earlier process": {func(h *harness) {
			h.stop()
			<-h.done
			advancer.Sleep(end)
			h.startAgent("b2")
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, h *harness) {
				h.set(func() { h.plan = faker.PoolRunPlan{Duration: end} })
				h.send(startCommand("j.0.0.0", 1))
				tt.lose(h)
				h.meetOwner(2)
				c.Assert(h.latestSnapshot().Term, qt.Equals, uint64(2))
				c.Assert(h.endOf("j.0.0.0").UntoldTerm, qt.Equals, tt.term)
			})
		})
	}
}

// An end that no snapshot had room for was not sent, though the owner had counted the lease as over and
// started the task again.
func TestAnEndIsKnownToAnOwnerThatRenewedTheLeaseAfterIt(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() { h.plan = faker.PoolRunPlan{} })
		h.send(startCommand("j.0.0.0", 1))
		for n := range 510 { // refused, as the task is here
			cmd := startCommand("j.0.0.0", uint64(n+2))
			cmd.Term, cmd.Seq = 1, uint64(n+2)
			c.Assert(h.ownerConn().Send(context.Background(), messenger.Frame{Kind: messenger.KindCommand, Command: &cmd}), qt.IsNil)
		}
		advancer.Sleep(time.Second)
		h.loseOwner()
		advancer.Sleep(leaseDuration + time.Second)
		h.meetOwner(1) // it renews the lease
		h.loseOwner()
		h.meetOwner(2)
		h.set(func() { h.ackedEnd = 100 })
		advancer.Sleep(2 * time.Second)
		ends := h.latestSnapshot().RunEnds
		last := ends[len(ends)-1]
		c.Assert(fmt.Sprint(last.Task, "#", last.Attempt), qt.Equals, "j.0.0.0#1")
		c.Assert(last.UntoldTerm, qt.Equals, uint64(0))
	})
}

// An end that was sent just after the owner was lost counted as known to it.
func TestTheEndOfALongRunningTaskIsSentOnceTheOwnerAnswers(t *testing.T) {
	const end = 300 * time.Millisecond
	for name, tt := range map[string]struct {
		lasting bool
		sent    int
		term    uint64
	}{
		"long-running": {true, 0, 2},
		"short":        {false, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, h *harness) {
				h.set(func() { h.plan = faker.PoolRunPlan{Duration: end} })
				cmd := startCommand("j.0.0.0", 1)
				cmd.Start.Spec.LongRunning = tt.lasting
				h.send(cmd)
				h.set(func() { h.acking = false })
				advancer.Sleep(2 * end)
				c.Assert(h.ends(), qt.HasLen, tt.sent)
				c.Assert(h.latestSnapshot().Complete, qt.Equals, tt.sent > 0)
				h.loseOwner()
				h.set(func() { h.acking = true })
				h.meetOwner(2)
				c.Assert(h.endOf("j.0.0.0").UntoldTerm, qt.Equals, tt.term)
				c.Assert(h.latestSnapshot().Complete, qt.IsTrue)
			})
		})
	}
}

// An agent that leaves waits until its owner has the ends that it held back.
func TestAnAgentDoesNotLeaveWithAnEndThatItHoldsBack(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() { h.plan = faker.PoolRunPlan{Duration: 300 * time.Millisecond} })
		cmd := startCommand("j.0.0.0", 1)
		cmd.Start.Spec.LongRunning = true
		h.send(cmd)
		h.set(func() { h.acking = false })
		advancer.Sleep(500 * time.Millisecond)
		h.set(func() { h.acking = true })
		h.sup.AwaitOwner(context.Background())
		c.Assert(h.ends(), qt.HasLen, 1)
	})
}

// Where the owner answers, the end of a long-running task is delayed by one answer.
func TestTheEndOfALongRunningTaskIsSentSoonToAnOwnerThatAnswers(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() { h.plan = faker.PoolRunPlan{Duration: 300 * time.Millisecond} })
		cmd := startCommand("j.0.0.0", 1)
		cmd.Start.Spec.LongRunning = true
		h.send(cmd)
		advancer.Sleep(150 * time.Millisecond)
		c.Assert(h.ends(), qt.HasLen, 1)
	})
}
