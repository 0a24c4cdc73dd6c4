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

// Such a job was reported as accepted, though no owner will start it. It may have been stored
// and started before the record was replaced.
func TestAJobWhoseKeyHasAnOddRecordIsInDoubt(t *testing.T) {
	runWithHarness(t, func(c *qt.C, h *harness) {
		for n, odd := range [][]byte{encodedJob(c, 99), []byte("\xff"), nil} {
			h.write(orchestrator.JobKey(jobID(n)), odd)
			beside := make(chan error, 1)
			go func() {
				_, err := h.submit(10 + n)
				beside <- err
			}()
			_, err := h.submit(n)
			c.Check(err, qt.ErrorIs, ErrUnknownOutcome)
			c.Check(<-beside, qt.IsNil)
			c.Check(h.a.InDoubt(), qt.Contains, jobID(n))
			item, err := h.store.Client().Get(context.Background(), orchestrator.JobKey(jobID(n)))
			c.Assert(err, qt.IsNil)
			c.Check(string(item.Value), qt.Equals, string(odd))
		}
	})
}

// Progress that can't be read may have been that of a job that ended: its cancel has no
// effect, and a final state that was reported must not change.
func TestACancelShowsOnlyBesideProgressThatCanBeRead(t *testing.T) {
	for name, odd := range map[string][]byte{"no CBOR": []byte("\xff"), "empty": nil, "state that is not known": {0xa1, 0x01, 0x61, 'x'}, "final state beside odd tasks": {0xa2, 0x01, 0x68, 'c', 'o', 'm', 'p', 'l', 'e', 't', 'e', 0x02, 0x07}} {
		for _, before := range []sequencer.State{sequencer.Complete, sequencer.Failed, sequencer.Running, ""} {
			t.Run(name+" in place of "+string(before), func(t *testing.T) {
				runWithHarness(t, func(c *qt.C, h *harness) {
					_, err := h.submit(1)
					c.Assert(err, qt.IsNil)
					raw, err := (&sequencer.Progress{State: before}).Encode()
					c.Assert(err, qt.IsNil)
					h.write(orchestrator.ProgressKey(jobID(1)), odd)
					c.Assert(h.a.Cancel(context.Background(), "q", jobID(1)), qt.IsNil)
					_, err = h.state(1)
					c.Check(err, qt.ErrorIs, ErrStateUnavailable)
					h.write(orchestrator.ProgressKey(jobID(1)), raw)
					want := sequencer.Canceled
					if before.Final() {
						want = before
					}
					state, err := h.state(1)
					c.Assert(err, qt.IsNil)
					c.Check(state, qt.Equals, want, qt.Commentf("once the progress can be read again"))
				})
			})
		}
	}
}
