package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/recorder"
)

// TestCutOffTaskResumesFromItsCheckpoint: an agent that is cut off checkpoints
// its tasks before their deadline. It began only at the deadline, when the
// worker's lease ended too, and the tasks were lost.
func TestCutOffTaskResumesFromItsCheckpoint(t *testing.T) {
	calm(t, func(c *qt.C, f *fleet) {
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
		c.Assert(f.settled(map[string]parser.Job{"team1/job/once": job}), qt.HasLen, 0)
		r := f.look("team1/job/once")
		c.Assert(r.State, qt.Equals, recorder.Done, qt.Commentf("%s\n%s", r.Reason, f.story.last()))
	})
}
