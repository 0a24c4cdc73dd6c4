package orchestrator

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// An owner that resumed as another entry claimed ownership started a job that was
// accepted just after the claim, and so did the next owner.
func TestAnOwnerStartsNoJobThatIsNewerThanALaterClaim(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	spec := sequencer.Spec{ID: "00000000000000aa", Pool: "pool", Queue: "queue", AcceptedAt: h.now, Steps: []sequencer.Step{step(1, 100)}}
	raw, err := spec.Encode()
	c.Assert(err, qt.IsNil)
	h.o.handleInputs([]storer.Item{{Key: ClaimKey, Version: h.o.cfg.Epoch}})
	c.Check(h.o.stopReason, qt.IsNil)
	h.o.handleInputs([]storer.Item{{Key: ClaimKey, Version: h.o.cfg.Epoch + 5}, {Key: JobKey(spec.ID), Value: raw, Version: h.o.cfg.Epoch + 6}})
	c.Check(h.o.stopReason, qt.ErrorIs, ErrOwnershipLost)
	c.Check(h.o.jobs, qt.HasLen, 0)
}

// The owner lists the inputs again after each failed watch. A job that was deleted
// meanwhile was on a page read before, and was run again; its cancel was on one read after.
func TestAListFromBeforeTheDeletionOfAJobStartsNothing(t *testing.T) {
	for name, keys := range map[string]func(id string) []string{
		"complete": func(id string) []string { return []string{JobKey(id)} },
		"canceled": func(id string) []string { return []string{JobKey(id), CancelKey(id)} },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 1)
			h.store.PageSize = 1
			client := h.store.Client()
			spec := sequencer.Spec{ID: "00000000000000aa", Pool: "pool", Queue: "queue", AcceptedAt: h.now, Steps: []sequencer.Step{step(1, 10)}}
			raw, err := spec.Encode()
			c.Assert(err, qt.IsNil)
			for _, key := range append(keys(spec.ID), h.o.cfg.OwnerKey) {
				h.o.cfg.Epoch, err = client.Commit(t.Context(), storer.Transaction{Writes: []storer.Write{{Key: key, Value: raw}}})
				c.Assert(err, qt.IsNil)
			}
			_, err = h.o.loadLedger(t.Context(), true)
			c.Assert(err, qt.IsNil)
			(<-h.o.actions)()
			c.Assert(h.o.jobs, qt.HasLen, 1)
			if name == "complete" {
				h.o.jobs[spec.ID].DurableState = sequencer.Complete
			}
			h.o.deleteExpiredJobs(t.Context(), h.now) // it notes when the job ended
			listPage := h.o.cfg.Store.ListPage
			h.o.cfg.Store.ListPage = func(ctx context.Context, prefix, after string) (storer.Page, error) {
				page, err := listPage(ctx, prefix, after)
				if after == "" {
					h.o.deleteExpiredJobs(ctx, h.now.Add(2*h.o.cfg.JobRetention))
					(<-h.o.actions)()
				}
				return page, err
			}
			_, err = h.o.loadLedger(t.Context(), false)
			c.Assert(err, qt.IsNil)
			(<-h.o.actions)()
			h.o.place()
			c.Assert(h.commands("a0"), qt.HasLen, 0)
		})
	}
}
