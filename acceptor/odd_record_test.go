package acceptor

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/orchestrator"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// write sets a key of the store as another writer may.
func (h *harness) write(key string, value []byte) {
	_, err := h.store.Client().Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: key, Value: value}}})
	h.c.Assert(err, qt.IsNil)
}

// encodedJob returns the stored form of a job.
func encodedJob(c *qt.C, n int) []byte {
	raw, err := (&sequencer.Spec{ID: jobID(n), Queue: "q", Pool: "p", Steps: []sequencer.Step{{Count: 1}}}).Encode()
	c.Assert(err, qt.IsNil)
	return raw
}

// The owner refuses such a record, but its queue and its cancel answered for the job.
func TestAJobUnderTheKeyOfAnotherAnswersForNeither(t *testing.T) {
	runWithHarness(t, func(c *qt.C, h *harness) {
		h.write(orchestrator.JobKey(jobID(1)), encodedJob(c, 2))
		for _, queue := range []string{"q", "other"} {
			_, err := h.a.State(context.Background(), queue, jobID(1))
			c.Check(err, qt.ErrorIs, ErrStateUnavailable)
			c.Check(h.a.Cancel(context.Background(), queue, jobID(1)), qt.ErrorIs, ErrStateUnavailable)
		}
		_, err := h.store.Client().Get(context.Background(), orchestrator.CancelKey(jobID(1)))
		c.Check(err, qt.ErrorIs, storer.ErrNotFound)
		_, err = h.state(2)
		c.Check(err, qt.ErrorIs, ErrNotFound)
	})
}
