package supervisor_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/supervisor"
)

// TestEndsOfAWorkerThatStartedAgainUnderItsIDAreReported guards against the numbers of an
// earlier incarnation's ends being applied to those of the next one.
func TestEndsOfAWorkerThatStartedAgainUnderItsIDAreReported(t *testing.T) {
	for name, clock := range map[string]time.Time{"a later clock": time.UnixMilli(7_000_000), "an earlier clock": time.UnixMilli(900)} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, h *harness) {
				h.send(startCommand("j.0.0.0", 1))
				h.send(startCommand("j.0.0.1", 1))
				advancer.Sleep(2 * time.Second)
				c.Assert(h.ends(), qt.DeepEquals, []string{"j.0.0.0#1 done", "j.0.0.1#1 done"})
				h.set(func() { h.ackedEnd = 2 })
				advancer.Sleep(2 * time.Second)
				c.Assert(h.count("forgotten"), qt.Equals, 2)
				h.worker.Crash()
				advancer.Sleep(700 * time.Millisecond)
				h.worker.Restart("life-1", clock)
				h.sup.HandleHeartbeat(context.Background(), h.worker.Heartbeat(1))
				advancer.Sleep(2 * time.Second)
				h.send(startCommand("j.0.0.2", 1))
				advancer.Sleep(3 * time.Second)
				c.Assert(h.count("start"), qt.Equals, 3)
				c.Assert(h.ends(), qt.DeepEquals, []string{"j.0.0.2#1 done"})
			})
		})
	}
}

// TestAHeartbeatOfAnotherIncarnationIsIgnored sends heartbeats that name the worker's ID
// while another incarnation of it runs: one that was delayed, and one without a start.
func TestAHeartbeatOfAnotherIncarnationIsIgnored(t *testing.T) {
	for name, stale := range map[string]func(supervisor.Heartbeat) supervisor.Heartbeat{
		"earlier": func(earlier supervisor.Heartbeat) supervisor.Heartbeat { return earlier },
		"without start": func(earlier supervisor.Heartbeat) supervisor.Heartbeat {
			earlier.StartedAt = time.Time{}
			return earlier
		},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, h *harness) {
				earlier := h.worker.Heartbeat(9)
				h.worker.Crash()
				advancer.Sleep(700 * time.Millisecond)
				h.worker.Restart("life-1", time.UnixMilli(900))
				h.sup.HandleHeartbeat(context.Background(), h.worker.Heartbeat(1))
				advancer.Sleep(2 * time.Second)
				h.set(func() { h.plan = faker.PoolRunPlan{} })
				h.send(startCommand("j.0.0.0", 1))
				h.sup.HandleHeartbeat(context.Background(), stale(earlier))
				advancer.Sleep(2 * time.Second)
				c.Assert(h.latestSnapshot().WorkerIncarnation, qt.Equals, h.worker.Heartbeat(2).Incarnation())
				c.Assert(h.ends(), qt.HasLen, 0)
				c.Assert(h.latestSnapshot().Runs, qt.HasLen, 1)
			})
		})
	}
}

// TestALateStartOfAnEarlierIncarnationIsRefused restarts a worker under its ID, with a clock
// below its earlier time, while a start without a reply is still on its way.
func TestALateStartOfAnEarlierIncarnationIsRefused(t *testing.T) {
	for name, restartAgent := range map[string]bool{"same agent": false, "agent restarted": true} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, h *harness) {
				h.set(func() {
					h.fault = func(call string) faker.PoolFault {
						return faker.PoolFault{LoseReply: call == "start", ApplyDelay: 4 * time.Second}
					}
				})
				h.send(startCommand("j.0.0.0", 1))
				h.worker.Crash()
				if restartAgent {
					h.stop()
					<-h.done
				}
				advancer.Sleep(700 * time.Millisecond)
				h.worker.Restart("life-1", time.UnixMilli(900))
				h.set(func() { h.fault = nil })
				if restartAgent {
					h.startAgent("c")
				} else {
					h.sup.HandleHeartbeat(context.Background(), h.worker.Heartbeat(1))
				}
				advancer.Sleep(6 * time.Second)
				c.Assert(h.count("start"), qt.Equals, 0)
				c.Assert(h.latestSnapshot().MayStart, qt.IsTrue)
				h.send(startCommand("j.0.0.0", 2))
				c.Assert(h.count("start"), qt.Equals, 1)
			})
		})
	}
}

// TestALeaseOfAnEarlierIncarnationIsNotSentToTheNextOne guards against a lease on the clock of
// one incarnation, or an acknowledgement of its ends, that reaches the next one.
func TestALeaseOfAnEarlierIncarnationIsNotSentToTheNextOne(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.send(startCommand("j.0.0.0", 1))
		advancer.Sleep(2 * time.Second)
		h.set(func() { h.ackedEnd = 1 })
		advancer.Sleep(2 * time.Second)
		h.worker.Crash()
		advancer.Sleep(700 * time.Millisecond)
		h.worker.Restart("life-1", time.UnixMilli(900))
		restarted := h.worker.Heartbeat(1)
		advancer.Sleep(300 * time.Millisecond) // the agent calls the worker before its heartbeat arrives
		h.sup.HandleHeartbeat(context.Background(), restarted)
		advancer.Sleep(2 * time.Second)
		latest := h.worker.Heartbeat(2).Clock.Add(leaseDuration)
		h.mu.Lock()
		defer h.mu.Unlock()
		n := 0
		for _, list := range h.lists {
			if !list.startedAt.Equal(restarted.StartedAt) {
				continue
			}
			n++
			c.Assert(list.LeaseExpiresAt.After(latest), qt.IsFalse, qt.Commentf("lease until %v, at most %v", list.LeaseExpiresAt, latest))
			c.Assert(list.AckedEnd, qt.Equals, uint64(0))
		}
		c.Assert(n > 1, qt.IsTrue)
	})
}

// TestARunThatTheNextIncarnationStartedIsNotReportedAsLost sends a start between a restart of
// the worker and its discovery. The owner would start the task of a lost run elsewhere.
func TestARunThatTheNextIncarnationStartedIsNotReportedAsLost(t *testing.T) {
	for name, tc := range map[string]struct {
		fault faker.PoolFault
		stop  bool
		ends  []string
		runs  int
	}{
		"answered":           {faker.PoolFault{}, false, nil, 1},
		"answer on its way":  {faker.PoolFault{LoseReply: true}, false, nil, 1},
		"answered, stopped":  {faker.PoolFault{}, true, []string{"j.0.0.0#1 stopped"}, 0},
		"never carried out":  {faker.PoolFault{LoseReply: true, Drop: true}, false, []string{"j.0.0.0#1 never"}, 0},
		"carried out late":   {faker.PoolFault{LoseReply: true, ApplyDelay: 3 * time.Second}, false, []string{"j.0.0.0#1 never"}, 0},
		"carried out sooner": {faker.PoolFault{LoseReply: true, ApplyDelay: 250 * time.Millisecond}, false, nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, h *harness) {
				h.set(func() {
					h.plan = faker.PoolRunPlan{}
					h.fault = func(call string) faker.PoolFault {
						if call == "start" {
							return tc.fault
						}
						return faker.PoolFault{LoseReply: true, Drop: true}
					}
				})
				advancer.Sleep(600 * time.Millisecond) // a list request waits for its reply
				h.worker.Restart("life-1", time.UnixMilli(900))
				h.send(startCommand("j.0.0.0", 1))
				advancer.Sleep(100 * time.Millisecond)
				h.set(func() { h.fault = nil })
				if tc.stop {
					h.send(messenger.Command{Stop: &messenger.RunStop{Task: "j.0.0.0", Attempt: 1}})
				}
				h.sup.HandleHeartbeat(context.Background(), h.worker.Heartbeat(1))
				advancer.Sleep(4 * time.Second)
				c.Assert(h.worker.Running(), qt.HasLen, tc.runs)
				c.Assert(h.latestSnapshot().Runs, qt.HasLen, tc.runs)
				c.Assert(h.ends(), qt.DeepEquals, tc.ends)
			})
		})
	}
}

// TestALateListOfTheEarlierIncarnationEndsNoRunOfTheNextOne delays the last list reply of an
// incarnation until the next one, whose clock is behind, has answered a start.
func TestALateListOfTheEarlierIncarnationEndsNoRunOfTheNextOne(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() {
			h.plan = faker.PoolRunPlan{}
			h.fault = func(call string) faker.PoolFault {
				if call == "look" {
					return faker.PoolFault{ReplyDelay: 600 * time.Millisecond}
				}
				return faker.PoolFault{}
			}
		})
		advancer.Sleep(600 * time.Millisecond) // a list reply is on its way
		h.worker.Restart("life-1", time.UnixMilli(900))
		h.send(startCommand("j.0.0.0", 1))
		advancer.Sleep(500 * time.Millisecond)
		h.set(func() { h.fault = nil })
		h.sup.HandleHeartbeat(context.Background(), h.worker.Heartbeat(1))
		advancer.Sleep(4 * time.Second)
		c.Assert(h.worker.Running(), qt.HasLen, 1)
		c.Assert(h.ends(), qt.HasLen, 0)
		c.Assert(h.latestSnapshot().Runs, qt.HasLen, 1)
	})
}

// TestARunOfTheEarlierIncarnationIsLostOnce sends a start whose reply is the last that the
// earlier incarnation sends.
func TestARunOfTheEarlierIncarnationIsLostOnce(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() {
			h.plan = faker.PoolRunPlan{}
			h.fault = func(call string) faker.PoolFault {
				return faker.PoolFault{LoseReply: call == "look", Drop: true}
			}
		})
		advancer.Sleep(600 * time.Millisecond) // a list request waits for its reply
		h.send(startCommand("j.0.0.0", 1))
		h.worker.Restart("life-1", time.UnixMilli(900))
		h.set(func() { h.fault = nil })
		h.sup.HandleHeartbeat(context.Background(), h.worker.Heartbeat(1))
		advancer.Sleep(4 * time.Second)
		c.Assert(h.latestSnapshot().Runs, qt.HasLen, 0)
		c.Assert(h.ends(), qt.DeepEquals, []string{"j.0.0.0#1 gone"})
	})
}

// TestAnIncarnationIsFencedBeforeItsHeartbeatArrives lets a late start reach an incarnation
// that the agent knows of, but whose heartbeat it has not got yet.
func TestAnIncarnationIsFencedBeforeItsHeartbeatArrives(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() {
			h.fault = func(call string) faker.PoolFault {
				return faker.PoolFault{LoseReply: call == "start", ApplyDelay: 3300 * time.Millisecond}
			}
		})
		h.send(startCommand("j.0.0.0", 1))
		h.set(func() { h.fault = nil })
		advancer.Sleep(time.Second)
		for range 2 {
			h.worker.Crash()
			advancer.Sleep(500 * time.Millisecond)
			h.worker.Restart("life-1", time.UnixMilli(900))
			advancer.Sleep(700 * time.Millisecond)
		}
		advancer.Sleep(2 * time.Second) // the start is carried out
		c.Assert(h.count("start"), qt.Equals, 0)
		h.sup.HandleHeartbeat(context.Background(), h.worker.Heartbeat(1))
		advancer.Sleep(time.Second)
		c.Assert(h.ends(), qt.DeepEquals, []string{"j.0.0.0#1 never"})
		c.Assert(h.latestSnapshot().MayStart, qt.IsTrue)
	})
}

// TestALateDeregistrationDoesNotDrainTheNextIncarnation delivers the deregistration of an
// incarnation, which names only the worker's ID, after the next one has started.
func TestALateDeregistrationDoesNotDrainTheNextIncarnation(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.worker.Restart("life-1", time.UnixMilli(900))
		h.sup.HandleHeartbeat(context.Background(), h.worker.Heartbeat(1))
		advancer.Sleep(time.Second)
		h.sup.HandleDeregister("life-1")
		advancer.Sleep(time.Second)
		c.Assert(h.latestSnapshot().Draining, qt.IsFalse)
		c.Assert(h.latestSnapshot().MayStart, qt.IsTrue)
		leaving := h.worker.Heartbeat(2)
		leaving.Draining = true
		h.sup.HandleHeartbeat(context.Background(), leaving)
		h.sup.HandleDeregister("life-1")
		advancer.Sleep(time.Second)
		c.Assert(h.latestSnapshot().Draining, qt.IsTrue)
	})
}

// TestASlowWorkerIsReachedAgain plays replies that take longer than a probe waits, after a
// request that got none.
func TestASlowWorkerIsReachedAgain(t *testing.T) {
	inBubble(t, func(c *qt.C, h *harness) {
		h.set(func() {
			h.fault = func(string) faker.PoolFault { return faker.PoolFault{LoseReply: true, Drop: true} }
		})
		advancer.Sleep(1500 * time.Millisecond)
		h.set(func() {
			h.fault = func(string) faker.PoolFault { return faker.PoolFault{Delay: 400 * time.Millisecond} }
		})
		advancer.Sleep(4 * time.Second)
		c.Assert(h.latestSnapshot().Unreachable, qt.IsFalse)
		c.Assert(h.latestSnapshot().MayStart, qt.IsTrue)
	})
}
