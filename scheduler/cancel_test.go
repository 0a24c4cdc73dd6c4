package scheduler_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/parser"
)

// TestACanceledTaskStopsAfterItsGrantHasLapsed guards against an agent that was cut off
// while a job was canceled and its grant lapsed. An idempotent task runs on meanwhile,
// and the ledger no longer names the agent.
func TestACanceledTaskStopsAfterItsGrantHasLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 1)
		done := make(chan struct{})
		f.startAll(done)
		advancer.Sleep(5 * time.Second)
		job := parser.Job{Name: "job", Tasks: 1, Deadline: time.Hour, Idempotent: true, Need: parser.Resources{Processors: 1, Memory: 1 << 30}, Payload: "10m"}
		c.Assert(f.submit("team1/job/run", job), qt.IsTrue)
		advancer.Sleep(5 * time.Second)
		events := f.records.All()
		c.Assert(events, qt.HasLen, 1)
		agent := events[0].Instance
		for _, e := range []string{"e1", "e2"} {
			f.setCut(e, agent, true)
			f.setCut(agent, e, true)
		}
		canceled := 0
		for _, e := range []string{"e1", "e2"} {
			if _, err := f.entries[e].sched.Cancel(context.Background(), "team1/job/run"); err == nil {
				canceled++
			}
		}
		c.Assert(canceled, qt.Equals, 1)
		advancer.Sleep(20 * time.Second)
		for _, e := range []string{"e1", "e2"} {
			f.setCut(e, agent, false)
			f.setCut(agent, e, false)
		}
		advancer.Sleep(10 * time.Second)
		events = f.records.All()
		f.stopAll(done)
		c.Assert(events, qt.HasLen, 2, qt.Commentf("%s", f.logs.tail()))
		c.Check(events[1].Kind, qt.Equals, faker.TaskStop)
	})
}
