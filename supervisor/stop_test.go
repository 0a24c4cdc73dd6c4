package supervisor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/supervisor"
)

var stopCommand = messenger.Command{Stop: &messenger.RunStop{Task: "j.0.0.0", Attempt: 1}}

func TestTheAgeOfAnOutstandingStopIsReported(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		age := func() (seconds float64) {
			h.set(func() { seconds = h.gauges[meter.OldestStop] })
			return seconds
		}
		h.set(func() {
			h.plan = faker.PoolRunPlan{}
			h.fault = func(call string) faker.PoolFault { return faker.PoolFault{LoseReply: call == "stop", Drop: true} }
		})
		h.send(startCommand("j.0.0.0", 1))
		h.send(stopCommand)
		advancer.Sleep(4 * time.Second)
		c.Assert(age() > 2, qt.IsTrue)
		h.set(func() { h.fault = nil })
		advancer.Sleep(3 * time.Second)
		c.Assert(age(), qt.Equals, 0.0)
	})
}

// stopTimeout is how long the tests wait for a run to be stopped.
const stopTimeout = 20 * time.Second

// assertStopped waits until the run of stopCommand is stopped and its end reported.
func (h *harness) assertStopped() {
	for deadline := time.Now().Add(stopTimeout); len(h.ends()) == 0 && time.Now().Before(deadline); {
		advancer.Sleep(100 * time.Millisecond)
	}
	h.c.Assert(h.worker.Running(), qt.HasLen, 0)
	h.c.Assert(h.ends(), qt.DeepEquals, []string{"j.0.0.0#1 stopped"})
}

// A list reply may settle a start before its call has timed out. The run went on because
// the late timeout made its outcome unknown again.
func TestAStopOfARunThatWasListedBeforeItsStartTimedOutIsSent(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() { h.plan, h.startLost = faker.PoolRunPlan{}, true })
		h.send(startCommand("j.0.0.0", 1))
		advancer.Sleep(3 * time.Second)
		c.Assert(h.latestSnapshot().Runs[0].Phase, qt.Equals, messenger.PhaseRunning)
		h.send(stopCommand)
		h.assertStopped()
	})
}

// The same with the stop under way when the call of the start times out.
func TestAStopUnderWayOutlivesALostReplyOfTheStart(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		lostStops := 1
		h.set(func() {
			h.plan, h.startLost = faker.PoolRunPlan{}, true
			h.fault = func(call string) faker.PoolFault {
				if call != "stop" || lostStops == 0 {
					return faker.PoolFault{}
				}
				lostStops--
				return faker.PoolFault{LoseReply: true, Drop: true}
			}
		})
		h.send(startCommand("j.0.0.0", 1))
		c.Assert(h.latestSnapshot().Runs[0].Phase, qt.Equals, messenger.PhaseRunning)
		h.send(stopCommand)
		h.assertStopped()
	})
}

// An agent that has just started does not know the runs of its worker. It dropped the stop
// of one, and adopted the run a moment later.
func TestAStopThatArrivesBeforeTheFirstListIsCarriedOut(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() { h.plan = faker.PoolRunPlan{} })
		h.send(startCommand("j.0.0.0", 1))
		h.stop()
		<-h.done
		h.set(func() { h.listDelay = 1500 * time.Millisecond })
		h.startAgent("b2")
		c.Assert(h.latestSnapshot().Reconciled, qt.IsFalse)
		h.send(stopCommand)
		h.assertStopped()
	})
}

// A start that was refused for a stale fence was sent again after the stop of its run, and
// started what nobody wanted any more.
func TestAStartIsNotSentAgainAfterItsStop(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		starts := 0
		h.set(func() {
			h.plan = faker.PoolRunPlan{}
			h.fault = func(call string) faker.PoolFault {
				switch {
				case call == "start" && starts == 0: // its timeout raises the fence
					starts++
					return faker.PoolFault{LoseReply: true, Drop: true}
				case call == "start" && starts == 1:
					starts++
					return faker.PoolFault{Delay: 650 * time.Millisecond}
				case call == "stop":
					return faker.PoolFault{LoseReply: true, Drop: true}
				}
				return faker.PoolFault{}
			}
		})
		h.send(startCommand("j.0.0.1", 1))
		advancer.Sleep(450 * time.Millisecond)
		h.send(startCommand("j.0.0.0", 1))
		h.send(stopCommand)
		advancer.Sleep(2 * time.Second)
		c.Assert(h.count("start"), qt.Equals, 0)
		c.Assert(h.latestSnapshot().Runs, qt.HasLen, 0)
	})
}

// A list shows what a start has led to, whatever its reply says later.
func TestAReplyToAStartEndsNoRunThatAListHasShown(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() {
			h.plan, h.startError, h.startDelay = faker.PoolRunPlan{}, supervisor.ErrInvalidRequest, 600*time.Millisecond
		})
		h.send(startCommand("j.0.0.0", 1))
		advancer.Sleep(2 * time.Second)
		c.Assert(h.ends(), qt.HasLen, 0)
		c.Assert(h.latestSnapshot().Runs, qt.HasLen, 1)
	})
}

// The stop waited for the reply of the start, and then for a list.
func TestAStopDoesNotWaitForTheOutcomeOfItsStart(t *testing.T) {
	for name, delay := range map[string]time.Duration{"call in flight": 0, "call timed out": time.Second} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, h *harness) {
				h.set(func() { h.plan, h.startLost, h.listDelay = faker.PoolRunPlan{}, true, 3*time.Second })
				h.send(startCommand("j.0.0.0", 1))
				advancer.Sleep(delay)
				c.Assert(h.latestSnapshot().Runs[0].Phase, qt.Equals, messenger.PhaseStarting)
				h.send(stopCommand)
				c.Assert(h.count("start"), qt.Equals, 1)
				c.Assert(h.worker.Running(), qt.HasLen, 0)
			})
		})
	}
}

// A stop of a run that is not known waits for a list of the worker. It was counted among
// those outstanding, with the age 0.
func TestTheAgeOfAStopOfAnUnknownRunIsReported(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() {
			h.fault = func(call string) faker.PoolFault { return faker.PoolFault{LoseReply: call == "look", Drop: true} }
		})
		h.send(stopCommand)
		advancer.Sleep(4 * time.Second)
		h.set(func() { c.Check(h.gauges[meter.OldestStop] > 2, qt.IsTrue) })
	})
}

// A worker may answer a stop and lose it. It is not flooded with stops meanwhile.
func TestAStopIsSentAgainUntilTheRunHasEnded(t *testing.T) {
	for name, fault := range map[string]faker.PoolFault{"answered": {}, "without a reply": {LoseReply: true, Drop: true}} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, h *harness) {
				h.set(func() { h.plan, h.stopIgnored = faker.PoolRunPlan{}, name == "answered" })
				h.send(startCommand("j.0.0.0", 1))
				h.set(func() {
					h.fault = func(call string) faker.PoolFault {
						if call == "stop" {
							return fault
						}
						return faker.PoolFault{}
					}
				})
				h.send(stopCommand)
				advancer.Sleep(5 * time.Second)
				h.set(func() {
					c.Assert(h.stopCount >= 3 && h.stopCount <= 8, qt.IsTrue, qt.Commentf("%d stops", h.stopCount))
				})
				c.Assert(h.latestSnapshot().Runs[0].Phase, qt.Equals, messenger.PhaseStopping, qt.Commentf("the owner asks again otherwise"))
				h.set(func() { h.fault, h.stopIgnored = nil, false })
				h.assertStopped()
			})
		})
	}
}

// A later owner asks again for a stop that an earlier one has asked for.
func TestAStopOfALaterOwnerIsOneMore(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() { h.plan, h.stopIgnored = faker.PoolRunPlan{}, true })
		h.send(startCommand("j.0.0.0", 1))
		h.send(stopCommand)
		h.set(func() { h.term = 2 })
		h.ownerConn().Close("another owner")
		advancer.Sleep(time.Second)
		h.send(stopCommand)
		h.set(func() { h.stopIgnored = false })
		h.assertStopped()
		h.set(func() { c.Assert(h.stopCount <= 4, qt.IsTrue, qt.Commentf("%d stops", h.stopCount)) })
	})
}
