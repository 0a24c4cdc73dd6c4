package supervisor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/supervisor"
)

// startUntil returns a start with a deadline some time after the last snapshot.
func (h *harness) startUntil(task string, after time.Duration) messenger.Command {
	command := startCommand(task, 1)
	command.Start.StartByMs = h.latestSnapshot().SentAt.Add(after).UnixMilli()
	return command
}

// TestAStartThatArrivesAfterItsDeadlineIsRefused guards against a start that was on its way while
// the domain of the worker was evacuated.
func TestAStartThatArrivesAfterItsDeadlineIsRefused(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		late := h.startUntil("j.0.0.0", time.Second)
		inTime := h.startUntil("j.0.0.1", 3*time.Second)
		advancer.Sleep(1100 * time.Millisecond)
		h.send(late)
		h.send(inTime)
		c.Check(h.count("start"), qt.Equals, 1)
		c.Check(h.ends(), qt.DeepEquals, []string{"j.0.0.0#1 never"})
		c.Check(h.worker.Running(), qt.DeepEquals, []string{"j.0.0.1"})
	})
}

// TestAStartIsNotSentAgainAfterItsDeadline guards against another try at the worker once the
// deadline has passed, after one that the worker refused.
func TestAStartIsNotSentAgainAfterItsDeadline(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		tries := 0
		h.set(func() {
			h.fault = func(call string) faker.PoolFault {
				if call != "start" {
					return faker.PoolFault{}
				}
				switch tries++; tries {
				case 1: // its outcome is unknown after 700 ms, so that the fence is raised
					return faker.PoolFault{LoseReply: true, Drop: true}
				case 2: // refused after that, and tried again
					return faker.PoolFault{Refusal: supervisor.ErrStaleFence, Delay: 650 * time.Millisecond}
				}
				return faker.PoolFault{}
			}
		})
		h.send(startCommand("j.0.0.0", 1))
		h.send(h.startUntil("j.0.0.1", 800*time.Millisecond))
		advancer.Sleep(2 * time.Second)
		c.Check(h.ends(), qt.Contains, "j.0.0.1#1 never")
		h.set(func() { c.Check(tries, qt.Equals, 2) })
	})
}

// TestTheOwnerHearsOfTheWorkersDomain guards against an owner that starts tasks on a worker whose
// domain it does not know.
func TestTheOwnerHearsOfTheWorkersDomain(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		heartbeat := h.worker.Heartbeat(2)
		heartbeat.Domain = "north"
		h.sup.HandleHeartbeat(t.Context(), heartbeat)
		advancer.Sleep(time.Second)
		c.Check(h.latestSnapshot().Domain, qt.Equals, "north")
		unreadable := h.worker.Heartbeat(3)
		unreadable.Domain = ""
		h.sup.HandleHeartbeat(t.Context(), unreadable)
		advancer.Sleep(time.Second)
		c.Check(h.latestSnapshot().Domain, qt.Equals, "north", qt.Commentf("a heartbeat without a domain takes it out of none"))
	})
}

// TestAStartThatTheWorkerCarriesOutAfterItsDeadlineIsRefused guards against a call that was sent in
// time and is carried out late, while no list raises the fence at the worker.
func TestAStartThatTheWorkerCarriesOutAfterItsDeadlineIsRefused(t *testing.T) {
	for name, test := range map[string]struct {
		applyDelay time.Duration
		starts     int
	}{"in time": {500 * time.Millisecond, 1}, "late": {3 * time.Second, 0}} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, h *harness) {
				command := h.startUntil("j.0.0.0", 2*time.Second)
				h.set(func() {
					h.fault = func(call string) faker.PoolFault {
						return faker.PoolFault{LoseReply: true, Drop: call != "start", ApplyDelay: test.applyDelay}
					}
				})
				h.send(command)
				advancer.Sleep(4 * time.Second)
				c.Check(h.count("start"), qt.Equals, test.starts)
			})
		})
	}
}

// TestAStartWithADeadlineKeepsItsLease guards against a run that lapses because its start carried a
// short lease.
func TestAStartWithADeadlineKeepsItsLease(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() { h.plan = faker.PoolRunPlan{} })
		h.send(startCommand("j.0.0.0", 1))
		h.send(h.startUntil("j.0.0.1", time.Second))
		advancer.Sleep(20 * time.Second)
		c.Check(h.worker.Running(), qt.HasLen, 2)
	})
}
