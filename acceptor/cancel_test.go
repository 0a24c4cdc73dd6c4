package acceptor

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/orchestrator"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// lateWrite is how long after its call the store carries out a write without a reply.
const lateWrite = 4 * time.Second

// cancel cancels a job.
func (h *harness) cancel(n int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return h.a.Cancel(ctx, "q", jobID(n))
}

// submitInDoubt submits a job whose writes the store carries out late.
func (h *harness) submitInDoubt(n int) {
	h.setFault(faker.StoreFault{LoseReply: true, ApplyDelay: lateWrite, Delay: 500 * time.Millisecond})
	_, err := h.submit(n)
	h.c.Assert(err, qt.ErrorIs, ErrUnknownOutcome)
	h.setFault(faker.StoreFault{})
}

// stored returns the job and the cancel that the store has for an ID.
func (h *harness) stored(n int) (job *sequencer.Spec, canceled bool) {
	item, err := h.store.Client().Get(context.Background(), orchestrator.JobKey(jobID(n)))
	if err == nil {
		job, err = sequencer.DecodeSpec(item.Value)
		h.c.Assert(err, qt.IsNil)
	}
	_, err = h.store.Client().Get(context.Background(), orchestrator.CancelKey(jobID(n)))
	return job, err == nil
}

// A job whose write was still to be carried out was cancelled, and the answer was that there is
// no such job. It was stored later, and its tasks ran for good.
func TestACancelOfAJobInDoubtHoldsAgainstItsLateWrite(t *testing.T) {
	for name, restarted := range map[string]bool{"the entry that wrote it": false, "another entry, which knows nothing of it": true} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(c *qt.C, h *harness) {
				h.submitInDoubt(1)
				if restarted {
					h.a.inDoubtUntil = map[string]time.Time{}
				}
				c.Assert(h.cancel(1), qt.ErrorIs, ErrNotFound)
				advancer.Sleep(2 * lateWrite)
				_, canceled := h.stored(1)
				c.Assert(canceled, qt.IsTrue)
				state, err := h.state(1)
				c.Assert(err, qt.IsNil)
				c.Assert(state, qt.Equals, sequencer.Canceled)
				_, err = h.submit(1)
				c.Assert(err, qt.IsNil, qt.Commentf("a repeated submission is the same job"))
				state, err = h.state(1)
				c.Assert(err, qt.IsNil)
				c.Assert(state, qt.Equals, sequencer.Canceled)
			})
		})
	}
}

// The late write may be carried out at any moment of the cancel.
func TestACancelBesideALateWriteIsStored(t *testing.T) {
	for _, at := range []string{"get", "commit"} {
		t.Run("before the "+at, func(t *testing.T) {
			runWithHarness(t, func(c *qt.C, h *harness) {
				spec := &sequencer.Spec{ID: jobID(1), Queue: "q", Pool: "p", Steps: []sequencer.Step{{Count: 1}}}
				value, err := spec.Encode()
				c.Assert(err, qt.IsNil)
				client := h.store.Client()
				write := func() {
					key := orchestrator.JobKey(jobID(1))
					_, err := client.Commit(context.Background(), storer.Transaction{Checks: []storer.Check{{Key: key}}, Writes: []storer.Write{{Key: key, Value: value}}})
					c.Assert(err, qt.IsNil)
				}
				if at == "get" {
					write()
				} else {
					commit, written := h.a.cfg.Store.Commit, false
					h.a.cfg.Store.Commit = func(ctx context.Context, tx storer.Transaction) (uint64, error) {
						if !written {
							written = true
							write()
						}
						return commit(ctx, tx)
					}
				}
				c.Assert(h.cancel(1), qt.IsNil)
				_, canceled := h.stored(1)
				c.Assert(canceled, qt.IsTrue)
			})
		})
	}
}

// A cancel without a reply is repeated, here and by its caller.
func TestACancelOfAnUnknownJobIsIdempotent(t *testing.T) {
	runWithHarness(t, func(c *qt.C, h *harness) {
		h.store.SetFault(func(call string) faker.StoreFault { return faker.StoreFault{LoseReply: call == "commit"} })
		c.Assert(h.cancel(1), qt.ErrorIs, ErrUnknownOutcome)
		h.setFault(faker.StoreFault{})
		for range 2 {
			c.Assert(h.cancel(1), qt.IsNil, qt.Commentf("the write has taken effect"))
		}
		_, canceled := h.stored(1)
		c.Assert(canceled, qt.IsTrue)
	})
}

// Cancels of IDs that nobody submitted must not fill the store and the owner.
func TestCancelsOfUnknownJobsAreLimited(t *testing.T) {
	runWithHarness(t, func(c *qt.C, h *harness) {
		for n := range maxTombstones {
			c.Assert(h.cancel(n), qt.ErrorIs, ErrNotFound)
		}
		c.Assert(h.cancel(maxTombstones), qt.ErrorIs, ErrStateUnavailable)
		job, canceled := h.stored(maxTombstones)
		c.Assert(job, qt.IsNil)
		c.Assert(canceled, qt.IsFalse)
		advancer.Sleep(time.Second)
		c.Assert(h.cancel(maxTombstones), qt.ErrorIs, ErrNotFound)
	})
}

// A caller was told that a job is not there while its write was still to be carried out.
func TestAJobInDoubtIsNotReportedAsMissing(t *testing.T) {
	runWithHarness(t, func(c *qt.C, h *harness) {
		h.submitInDoubt(1)
		_, err := h.state(1)
		c.Assert(err, qt.ErrorIs, ErrStateUnavailable)
		advancer.Sleep(2 * lateWrite)
		state, err := h.state(1)
		c.Assert(err, qt.IsNil)
		c.Assert(state, qt.Equals, sequencer.Queued)
	})
}

// Entries report their jobs in doubt on each new connection. What one has heard from another must
// not keep the doubt alive.
func TestADoubtIsNotProlongedByReports(t *testing.T) {
	runWithHarness(t, func(c *qt.C, h *harness) {
		h.submitInDoubt(1)
		c.Assert(h.a.OwnInDoubt(), qt.DeepEquals, []string{jobID(1)})
		h.a.MarkInDoubt([]string{jobID(2)})
		advancer.Sleep(inDoubtTTL / 2)
		h.a.MarkInDoubt([]string{jobID(1)})
		advancer.Sleep(inDoubtTTL / 2)
		c.Assert(h.a.OwnInDoubt(), qt.HasLen, 0)
	})
}

// A cancel whose write got no answer must not be reported as one without an effect because the
// store can't be read after it.
func TestACancelInDoubtIsNotReportedAsUnavailable(t *testing.T) {
	runWithHarness(t, func(c *qt.C, h *harness) {
		_, err := h.submit(1)
		c.Assert(err, qt.IsNil)
		written := false
		h.store.SetFault(func(call string) faker.StoreFault {
			switch {
			case call == "commit":
				written = true
				return faker.StoreFault{LoseReply: true}
			case call == "get" && written:
				return faker.StoreFault{Refuse: true}
			}
			return faker.StoreFault{}
		})
		err = h.cancel(1)
		c.Assert(err, qt.ErrorIs, ErrUnknownOutcome)
	})
}
