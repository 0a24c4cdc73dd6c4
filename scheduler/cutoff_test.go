package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/recorder"
)

// TestCutOffTaskResumesFromItsCheckpoint guards against an agent that loses its
// connections and checkpoints its tasks only at their deadline. The worker's
// lease ends at the same time, so the tasks would be lost.
func TestCutOffTaskResumesFromItsCheckpoint(t *testing.T) {
	withoutFaults(t, func(c *qt.C, f *fleet) {
		job := parser.Job{Name: "job", Tasks: 12, Deadline: time.Hour, Checkpoint: true, Need: parser.Resources{Processors: 1, Memory: 1 << 30}, Payload: "30s"}
		c.Assert(f.submit("team1/job/once", job), qt.IsTrue)
		advancer.Sleep(5 * time.Second)
		for _, e := range []string{"e1", "e2"} {
			f.setCut(e, "a1", true)
			f.setCut("a1", e, true)
		}
		advancer.Sleep(20 * time.Second)
		for _, e := range []string{"e1", "e2"} {
			f.setCut(e, "a1", false)
			f.setCut("a1", e, false)
		}
		c.Assert(f.unsettled(map[string]parser.Job{"team1/job/once": job}), qt.HasLen, 0)
		r := f.getRun("team1/job/once")
		c.Assert(r.State, qt.Equals, recorder.Done, qt.Commentf("%s\n%s", r.Reason, f.logs.tail()))
	})
}
