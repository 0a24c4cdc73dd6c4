package orchestrator

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// An entry stores a job that was not there together with its cancel. An owner that saw the
// cancel first started the job.
func TestAJobThatIsStoredWithItsCancelNeverStarts(t *testing.T) {
	for name, cancelFirst := range map[string]bool{"job first": false, "cancel first": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 1)
			spec := sequencer.Spec{ID: "00000000000000aa", Queue: "queue", AcceptedAt: h.now, Steps: []sequencer.Step{{Count: 1}}}
			raw, err := spec.Encode()
			c.Assert(err, qt.IsNil)
			page := []storer.Item{{Key: JobKey(spec.ID), Value: raw, Version: 20}, {Key: CancelKey(spec.ID), Value: []byte(spec.ID), Version: 20}}
			if cancelFirst {
				page[0], page[1] = page[1], page[0]
			}
			h.o.handleInputs(page)
			h.o.place()
			c.Assert(h.commands("a0"), qt.HasLen, 0)
			c.Assert(h.o.jobs[spec.ID].State(), qt.Equals, sequencer.Canceled)
			c.Assert(h.o.openJobs, qt.HasLen, 0)
		})
	}
}
