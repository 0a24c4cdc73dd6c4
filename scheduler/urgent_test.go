package scheduler_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/parser"
)

// TestUrgentWorkStartsWithinThreeSeconds checks that urgent tasks start within
// 3 s of their acceptance on a fully used fleet, by evicting the tasks that have
// run for the shortest time, and that each evicted task resumes only once.
func TestUrgentWorkStartsWithinThreeSeconds(t *testing.T) {
	withoutFaults(t, func(c *qt.C, f *fleet) {
		full := parser.Job{Name: "job", Tasks: 12, Deadline: time.Hour, Checkpoint: true, Need: parser.Resources{Processors: 1, Memory: 1 << 30}, Payload: "40s"}
		c.Assert(f.submit("team1/job/once-full", full), qt.IsTrue)
		advancer.Sleep(10 * time.Second)
		urgent := parser.Job{Name: "job", Tasks: 4, Deadline: time.Hour, Urgent: true, Need: parser.Resources{Processors: 2, Memory: 1 << 30}, Payload: "1s"}
		submittedAt := time.Now()
		c.Assert(f.submit("team2/job/once-urgent", urgent), qt.IsTrue)
		failures := f.unsettled(map[string]parser.Job{"team1/job/once-full": full, "team2/job/once-urgent": urgent})
		c.Assert(failures, qt.HasLen, 0)

		firstStart := map[string]time.Time{}
		for _, r := range f.records.All() {
			if r.Kind == faker.TaskStart && strings.Contains(r.Task, "urgent") && firstStart[r.Task].IsZero() {
				firstStart[r.Task] = r.At
			}
		}
		c.Assert(firstStart, qt.HasLen, 4)
		for task, started := range firstStart {
			c.Check(started.Sub(submittedAt) <= 3*time.Second, qt.IsTrue, qt.Commentf("%s started after %v", task, started.Sub(submittedAt)))
		}
	})
}
