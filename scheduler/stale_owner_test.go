package scheduler_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/recorder"
	"github.com/endivefall/endivefall/scheduler"
)

// An entry whose shard another one had claimed reported a run of that one as unknown.
func TestAnEarlierOwnerDoesNotReportRunsAsUnknown(t *testing.T) {
	withoutFaults(t, func(c *qt.C, f *fleet) {
		shard := scheduler.ShardOf("team1", shards)
		earlier, later := f.entries["e1"], f.entries["e2"]
		if f.preferredOwner(shard) == later.name {
			earlier, later = later, earlier
		}
		setCut := func(on bool) {
			f.setCut(earlier.name, "platform", on)
			f.setCut("platform", earlier.name, on)
		}
		setCut(true)
		job := parser.Job{Name: "job", Tasks: 1, Deadline: time.Hour, Need: parser.Resources{Processors: 1, Memory: 1 << 30}, Payload: "1s"}
		accepted := false
		for range 200 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			if _, err := later.sched.Submit(ctx, "team1/job/once", job); err == nil {
				accepted = true
			}
			cancel()
			if accepted {
				break
			}
			advancer.Sleep(100 * time.Millisecond)
		}
		c.Assert(accepted, qt.IsTrue)
		ask := func(do func(context.Context, string) (*recorder.Run, error)) {
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			_, err := do(ctx, "team1/job/once")
			c.Assert(errors.Is(err, scheduler.ErrRunNotFound), qt.IsFalse)
		}
		for range 100 {
			ask(earlier.sched.Get)
			ask(earlier.sched.Cancel)
			list, err := earlier.sched.List(context.Background(), "team1")
			c.Assert(err != nil || len(list) == 1, qt.IsTrue, qt.Commentf("lists %d runs", len(list)))
			setCut(false)
			advancer.Sleep(50 * time.Millisecond)
		}
	})
}
