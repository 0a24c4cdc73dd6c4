package orchestrator

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/delayer"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// newRacks returns a harness with a factor and two workers in the rack "hot", a0 and a1, and two in "cold".
func newRacks(c *qt.C, factor float64) *harness {
	h := newHarness(c, 4)
	h.o.cfg.RemoteFactor = factor
	h.reportRacks("a0", "a1", "a2", "a3")
	return h
}

// reportRacks delivers snapshots of agents that list all their runs as running.
func (h *harness) reportRacks(ids ...string) {
	for _, id := range ids {
		h.sendSnapshot(id, &messenger.WorkerSnapshot{Runs: h.runStatuses(id, messenger.PhaseRunning, 10), Labels: []string{"kind", h.rackOf(id)}})
	}
}

func (h *harness) rackOf(id string) string {
	if id < "a2" {
		return "hot"
	}
	return "cold"
}

// tick passes time and places.
func (h *harness) tick(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(50 * time.Millisecond)
		for id, a := range h.o.agents {
			if a.link != nil {
				h.reportRacks(id)
			}
		}
		h.o.place()
	}
}

// started returns how many tasks of a job were started in a rack.
func (h *harness) started(j *job, rack string) int {
	n := 0
	for id := range h.o.agents {
		for _, command := range h.commands(id) {
			if h.rackOf(id) == rack && strings.HasPrefix(command, "start "+j.Spec.ID) {
				n++
			}
		}
	}
	return n
}

// end reports the ends of all runs of a job at an agent.
func (h *harness) end(id string, j *job) {
	snapshot := &messenger.WorkerSnapshot{Labels: []string{"kind", h.rackOf(id)}}
	for _, status := range h.runStatuses(id, messenger.PhaseRunning, 10) {
		if sequencer.JobOf(status.Task) == j.Spec.ID {
			seq := uint64(len(snapshot.RunEnds) + 1)
			snapshot.RunEnds = append(snapshot.RunEnds, messenger.RunEnd{Seq: seq, Task: status.Task, Attempt: status.Attempt, Status: messenger.EndDone})
		} else {
			snapshot.Runs = append(snapshot.Runs, status)
		}
	}
	h.sendSnapshot(id, snapshot)
	h.o.place()
}

// near returns a step that prefers the rack "hot".
func near(count int, cpu int64, estimate time.Duration) sequencer.Step {
	s := step(count, cpu)
	s.PreferredRack, s.Estimate = "hot", estimate
	return s
}

// fill fills the rack "hot" with work that is expected to end soon.
func (h *harness) fill(estimate time.Duration) *job {
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{near(16, 1000, estimate)}})
	h.o.place()
	h.c.Assert(h.started(j, "hot"), qt.Equals, 16)
	h.reportRacks("a0", "a1", "a2", "a3")
	return j
}

// A constant cost of a place away was less than that of a worker without services, so that tasks went
// away though there was room near.
func TestTasksStartNearWhereThereIsRoom(t *testing.T) {
	c := qt.New(t)
	h := newRacks(c, 1.5)
	serving := step(2, 4000)
	serving.LongRunning, serving.LatencyTargetMs, serving.MaxPerWorker, serving.RequiredLabel = true, 50, 1, "cold"
	h.submit(sequencer.Spec{Steps: []sequencer.Step{serving}})
	h.o.place()
	h.reportRacks("a0", "a1", "a2", "a3")
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{near(8, 500, time.Second)}})
	h.o.place()
	c.Check(h.started(j, "hot"), qt.Equals, 8)
}

func TestAStepWaitsForItsRackAndStartsThere(t *testing.T) {
	c := qt.New(t)
	h := newRacks(c, 3)
	first := h.fill(300 * time.Millisecond)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{near(2, 1000, time.Second)}})
	h.o.place()
	c.Check(h.started(j, "hot")+h.started(j, "cold"), qt.Equals, 0)
	c.Check(h.counts[meter.RackWaitsBegun], qt.Equals, 1)
	h.now = h.now.Add(100 * time.Millisecond)
	h.end("a0", first)
	c.Check(h.started(j, "hot"), qt.Equals, 2)
	c.Check(h.counts[meter.RackWaitsPaid], qt.Equals, 1)
}

// The start of a task that had waited for its rack ended each owner in turn: the time of the wait was
// recorded by a histogram with the name of the counter.
func TestAWaitForARackIsRecordedWithoutAClash(t *testing.T) {
	for rack, tc := range map[string]struct {
		waits meter.Counter
		times meter.Histogram
	}{
		"hot":  {meter.RackWaitsPaid, meter.RackWaitPaidTime},
		"cold": {meter.RackWaitsUnpaid, meter.RackWaitUnpaidTime},
	} {
		t.Run(rack, func(t *testing.T) {
			c := qt.New(t)
			h := newRacks(c, 3)
			first := h.fill(300 * time.Millisecond)
			j := h.submit(sequencer.Spec{Steps: []sequencer.Step{near(2, 1000, time.Second)}})
			h.o.place()
			h.now = h.now.Add(100 * time.Millisecond)
			if rack == "hot" {
				h.end("a0", first)
			}
			h.tick(delayer.MaxWait)
			c.Check(h.started(j, rack), qt.Equals, 2)
			c.Check(h.counts[tc.waits], qt.Equals, 1)
			c.Check(h.durations[tc.times] > 0, qt.IsTrue)
		})
	}
}

// A rack that stays full must not hold a job with nothing running for as long as half of the 3 s that it
// may wait, as the next owner may make it wait once more.
func TestAWaitForARackIsBounded(t *testing.T) {
	c := qt.New(t)
	h := newRacks(c, 3)
	h.fill(300 * time.Millisecond)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{near(2, 1000, time.Second)}})
	h.tick(delayer.MaxWait + 100*time.Millisecond)
	c.Check(h.started(j, "cold"), qt.Equals, 2)
}

func TestNothingWaitsWithoutTheFactor(t *testing.T) {
	c := qt.New(t)
	h := newRacks(c, 0)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{near(20, 1000, time.Second)}})
	h.o.place()
	c.Check(h.started(j, "hot")+h.started(j, "cold"), qt.Equals, 20)
	c.Check(h.o.delayers, qt.HasLen, 0)
}

// The wait ends as soon as nothing in the rack can run the step any more.
func TestALostRackIsNotWaitedFor(t *testing.T) {
	c := qt.New(t)
	h := newRacks(c, 3)
	h.fill(300 * time.Millisecond)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{near(2, 1000, time.Second)}})
	h.tick(100 * time.Millisecond)
	c.Assert(h.started(j, "cold"), qt.Equals, 0)
	h.o.agents["a0"].link, h.o.agents["a1"].link = nil, nil
	h.tick(50 * time.Millisecond)
	c.Check(h.started(j, "cold"), qt.Equals, 2)
}

// Draining workers take nothing any more, however soon their runs end.
func TestADrainingRackIsNotWaitedFor(t *testing.T) {
	c := qt.New(t)
	h := newRacks(c, 3)
	h.fill(300 * time.Millisecond)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{near(2, 1000, time.Second)}})
	h.o.place()
	for _, id := range []string{"a0", "a1"} {
		h.sendSnapshot(id, &messenger.WorkerSnapshot{Runs: h.runStatuses(id, messenger.PhaseRunning, 10), Labels: []string{"kind", "hot"}, Draining: true})
	}
	h.o.place()
	c.Check(h.started(j, "cold"), qt.Equals, 2)
}

// The next owner knows nothing of the wait: both waits together stay under 3 s.
func TestAStepStartsInTimeThoughItsOwnerIsLost(t *testing.T) {
	c := qt.New(t)
	var h *harness
	var j *job
	var begin time.Time
	submit := func() {
		h = newRacks(c, 3)
		h.fill(300 * time.Millisecond)
		j, begin = h.submit(sequencer.Spec{Steps: []sequencer.Step{near(2, 1000, time.Second)}}), h.now
	}
	submit()
	for h.started(j, "cold") == 0 {
		h.tick(50 * time.Millisecond)
	}
	waited := h.now.Sub(begin)
	c.Assert(waited > time.Second, qt.IsTrue, qt.Commentf("%s", waited))
	submit()
	h.tick(waited - 50*time.Millisecond)
	c.Assert(h.started(j, "hot")+h.started(j, "cold"), qt.Equals, 0)
	next := newRacks(c, 3)
	next.now = h.now
	next.reportRacks("a0", "a1", "a2", "a3")
	next.fill(300 * time.Millisecond)
	raw, err := j.Spec.Encode()
	c.Assert(err, qt.IsNil)
	next.o.handleInputs([]storer.Item{{Key: JobKey(j.Spec.ID), Value: raw, Version: 90}})
	taken := next.o.jobs[j.Spec.ID]
	for next.started(taken, "cold") == 0 {
		next.tick(50 * time.Millisecond)
		c.Assert(next.now.Sub(begin) < 3*time.Second, qt.IsTrue)
	}
}

// A new configuration moves the queue to other workers, none of which is in the rack.
func TestAWaitEndsAsTheConfigurationChanges(t *testing.T) {
	c := qt.New(t)
	h := newRacks(c, 3)
	h.fill(300 * time.Millisecond)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{near(2, 1000, time.Second)}})
	h.o.place()
	c.Assert(h.started(j, "cold"), qt.Equals, 0)
	h.pools = map[string]string{"a2": "other", "a3": "other"}
	h.reportRacks("a2", "a3")
	c.Assert(j.Move(sequencer.Placement{Pool: "other", Version: 2}), qt.IsTrue)
	h.o.place()
	c.Check(h.started(j, "cold"), qt.Equals, 2)
}

// A tightly coupled gang was spread over the racks without delay.
func TestATightlyCoupledGangWaitsForARack(t *testing.T) {
	c := qt.New(t)
	h := newRacks(c, 3)
	cold, hot := step(13, 1000), step(13, 1000)
	cold.RequiredLabel, cold.Estimate, hot.RequiredLabel, hot.Estimate = "cold", time.Minute, "hot", 300*time.Millisecond
	h.submit(sequencer.Spec{Steps: []sequencer.Step{cold}})
	first := h.submit(sequencer.Spec{Steps: []sequencer.Step{hot}})
	h.o.place()
	h.reportRacks("a0", "a1", "a2", "a3")
	gang := step(6, 1000)
	gang.Gang, gang.TightlyCoupled = true, true
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{gang}})
	h.o.place()
	c.Check(h.counts[meter.RackWaitsBegun], qt.Equals, 1)
	c.Check(h.started(j, "hot")+h.started(j, "cold"), qt.Equals, 0)
	h.now = h.now.Add(100 * time.Millisecond)
	h.end("a0", first)
	c.Check(h.started(j, "hot"), qt.Equals, 6)
}

// Long-running tasks must run again within 6 s, so that none waits for a rack.
func TestLongRunningTasksDontWaitForARack(t *testing.T) {
	c := qt.New(t)
	h := newRacks(c, 3)
	h.fill(300 * time.Millisecond)
	lasting := near(1, 1000, 0)
	lasting.LongRunning = true
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{lasting}})
	h.o.place()
	c.Check(h.started(j, "cold"), qt.Equals, 1)
}

// A job without a preference leaves room in a rack that others want.
func TestWorkWithoutAPreferenceLeavesRoomInARackInDemand(t *testing.T) {
	c := qt.New(t)
	h := newRacks(c, 3)
	hot := h.submit(sequencer.Spec{Steps: []sequencer.Step{near(14, 1000, 3*time.Second)}})
	h.o.place()
	c.Assert(h.started(hot, "hot"), qt.Equals, 14)
	h.reportRacks("a0", "a1", "a2", "a3")
	other := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(4, 1000)}})
	h.o.place()
	c.Check(h.started(other, "cold"), qt.Equals, 4)
}
