package orchestrator

import (
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/sequencer"
	"github.com/endivefall/endivefall/storer"
)

// writtenJobs returns the IDs of the jobs in a batch.
func writtenJobs(b *batch) []string {
	var ids []string
	for _, w := range b.jobs {
		ids = append(ids, w.job.Spec.ID)
	}
	return ids
}

var errRejected = errors.New("value is too large")

// The ledger rejected the progress of one job, and all others were written again together with it, for good: no
// end was taken note of any more.
func TestAJobWhoseProgressIsRejectedHoldsUpNoOther(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 0)
	bad := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	good := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 10)}})
	write := func() *batch {
		h.now = h.now.Add(progressWriteDelay)
		if !h.o.writeDue() {
			return &batch{}
		}
		b := h.o.nextBatch()
		var err error
		for _, w := range b.jobs {
			if w.job == bad {
				err = errRejected
			}
		}
		h.o.handleCommit(b, 50, err)
		return b
	}
	h.o.markDirty(bad)
	h.o.markDirty(good)
	c.Assert(write().jobs, qt.HasLen, 2)
	c.Assert(writtenJobs(write()), qt.DeepEquals, []string{bad.Spec.ID})
	c.Assert(writtenJobs(write()), qt.DeepEquals, []string{good.Spec.ID})
	c.Assert(good.durableRevision, qt.Equals, good.revision)
	// It is tried again after a while, and holds up nothing meanwhile.
	h.o.markDirty(bad)
	h.o.markDirty(good)
	c.Assert(writtenJobs(write()), qt.DeepEquals, []string{good.Spec.ID})
	c.Assert(h.o.writeDue(), qt.IsFalse)
	h.now = h.now.Add(rejectedWriteDelay)
	h.o.tick(c.TB.Context())
	c.Assert(writtenJobs(write()), qt.DeepEquals, []string{bad.Spec.ID})
	c.Assert(h.counts[meter.RejectedJobs], qt.Equals, 2)
}

// The checkpoints of one large job made its progress larger than a value of the ledger may be.
func TestProgressLeavesOutTheCheckpointsThatTheLedgerHasNoRoomFor(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 0)
	const tasks = 1500
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{{Count: tasks, CPU: 1, Checkpointable: true}}})
	for n, task := range j.Tasks(0, 0) {
		task.Checkpoint = strings.Repeat("x", 1000)
		task.Done = n == 0
		task.FailedAttempts = []uint64{uint64(n + 1)}
	}
	h.o.markDirty(j)
	h.now = h.now.Add(progressWriteDelay)
	value := h.o.nextBatch().transaction.Writes[0].Value
	c.Assert(len(value) <= storer.MaxValueBytes, qt.IsTrue)
	p, err := sequencer.DecodeProgress(value)
	c.Assert(err, qt.IsNil)
	c.Assert(p.Tasks, qt.HasLen, tasks)
	kept := 0
	for n, record := range p.Tasks {
		c.Assert(record.FailedAttempts, qt.DeepEquals, []uint64{uint64(n + 1)})
		if record.Checkpoint != "" {
			kept++
		}
	}
	c.Assert(kept > tasks/2, qt.IsTrue, qt.Commentf("%d checkpoints kept", kept))
	c.Assert(j.Task(0, 0, 7).Checkpoint, qt.HasLen, 1000, qt.Commentf("the owner still has it"))
	c.Assert(h.counts[meter.OmittedCheckpoints], qt.Equals, 1)
}

// A transaction had fifteen values of any size.
func TestABatchOfLargeProgressIsBounded(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 0)
	for range 6 {
		j := h.submit(sequencer.Spec{Steps: []sequencer.Step{{Count: 400, CPU: 1, Checkpointable: true}}})
		for _, task := range j.Tasks(0, 0) {
			task.Checkpoint = strings.Repeat("x", 1000)
		}
		h.o.markDirty(j)
	}
	h.now = h.now.Add(time.Second)
	for written := 0; written < 6; {
		b := h.o.nextBatch()
		c.Assert(len(b.jobs) > 0 && len(b.jobs) <= 3, qt.IsTrue, qt.Commentf("%d jobs", len(b.jobs)))
		h.o.handleCommit(b, 50, nil)
		written += len(b.jobs)
	}
}
