package orchestrator

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/delayer"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/sequencer"
)

// A part that is not declared would be counted with all others that are not.
func TestEachPartOfAMetricNameIsDeclared(t *testing.T) {
	c := qt.New(t)
	for s := messenger.EndStatus(0); s.String() != "unknown" || s == 0; s++ {
		c.Check(meter.RunEnds.Of(s.String()).Name(), qt.Equals, "end_"+s.String())
	}
	for _, s := range []sequencer.State{sequencer.Complete, sequencer.Failed, sequencer.Canceled} {
		c.Check(meter.JobEnds.Of(string(s)).Name(), qt.Equals, "job_"+string(s))
	}
	for _, cause := range []stopCause{stopForTask, stopForClaim, stopToMove} {
		c.Check(meter.StopCauses.Of(string(cause)).Name(), qt.Equals, "stopped_for_"+string(cause))
	}
	for _, r := range []delayer.Reason{delayer.Pays, delayer.NoRack, delayer.TooLong, delayer.NoGain, delayer.Expired} {
		c.Check(meter.RackAway.Of(string(r)).Name(), qt.Equals, "rack_away_"+string(r))
	}
	for class := allocator.Filling; class <= allocator.Worthless; class++ {
		c.Check(meter.WaitingJobs.Of(class.String()).Name(), qt.Equals, "waiting_jobs_"+class.String())
	}
}
