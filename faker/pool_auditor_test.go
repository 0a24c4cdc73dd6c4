package faker_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

// TestARunAfterACancelIsReported lets a run end at different times after its job's cancel,
// with a disturbance that begins with the cancel.
func TestARunAfterACancelIsReported(t *testing.T) {
	const disturbance = 5 * time.Second
	for _, test := range []struct {
		name, disturbed string
		after           time.Duration
		violations      int
	}{
		{"in time", "none", faker.MaxCancelTime, 0},
		{"late", "none", faker.MaxCancelTime + time.Second, 1},
		{"during a disturbance of all", "", disturbance, 0},
		{"in time after a disturbance", "agent-0", disturbance + faker.MaxCancelTime - time.Millisecond, 0},
		{"late after a disturbance", "agent-0", disturbance + faker.MaxCancelTime + time.Second, 1},
		{"during a disturbance of another worker", "agent-1", disturbance, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			a := faker.NewPoolAuditor()
			spec := &sequencer.Spec{ID: "00000000000000ab", Steps: []sequencer.Step{{Count: 1, LongRunning: true}}}
			event := faker.PoolEvent{At: time.Now(), Worker: "agent-0", Incarnation: "life-1#1", Kind: "start", Task: spec.ID + ".0.0.0", Attempt: 1}
			a.AddJob(spec)
			a.Observe(event)
			a.CancelJob(spec.ID, false)
			a.Disturb(test.disturbed, event.At, event.At.Add(disturbance))
			a.CancelJob(spec.ID, true)
			event.At, event.Kind, event.Status = event.At.Add(test.after), "end", messenger.EndStopped
			a.Observe(event)
			c.Assert(a.Violations(), qt.HasLen, test.violations)
		})
	}
}
