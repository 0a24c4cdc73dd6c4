package orchestrator

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/registrar"
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
			h.load(t.Context(), true)
			c.Assert(h.o.jobs, qt.HasLen, 1)
			if name == "complete" {
				h.o.jobs[spec.ID].DurableState = sequencer.Complete
			}
			h.o.deleteExpiredJobs(t.Context(), h.now) // it notes when the job ended
			listPage := h.o.cfg.Store.ListPage
			h.o.cfg.Store.ListPage = func(ctx context.Context, prefix, after string) (storer.Page, error) {
				page, err := listPage(ctx, prefix, after)
				if after == "" {
					h.o.enqueueAndWait(func() { h.o.deleteExpiredJobs(ctx, h.now.Add(2*h.o.cfg.JobRetention)) })
					for left := 1; left > 0; {
						h.o.enqueueAndWait(func() { left = len(h.o.jobs) })
					}
				}
				return page, err
			}
			h.load(t.Context(), false)
			h.o.place()
			c.Assert(h.commands("a0"), qt.HasLen, 0)
		})
	}
}

// load reads the ledger while the owner's loop runs.
func (h *harness) load(ctx context.Context, first bool) {
	loaded := make(chan error, 1)
	go func() {
		_, err := h.o.loadLedger(ctx, first)
		h.o.enqueueAndWait(func() {}) // after all others
		loaded <- err
	}()
	for {
		select {
		case action := <-h.o.actions:
			action()
		case err := <-loaded:
			h.c.Assert(err, qt.IsNil)
			return
		}
	}
}

// An owner that read the ledger again, over several pages, never heard of what was new: the page that it had handled
// did not say any more where the next one begins.
func TestALedgerOfSeveralPagesIsReadAgain(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	h.store.PageSize = 2
	put := func(key string, value []byte) {
		_, err := h.store.Client().Commit(t.Context(), storer.Transaction{Writes: []storer.Write{{Key: key, Value: value}}})
		c.Assert(err, qt.IsNil)
	}
	store := func(id string) {
		spec := sequencer.Spec{ID: id, Pool: "pool", Queue: "queue", AcceptedAt: h.now, Steps: []sequencer.Step{step(1, 10)}}
		raw, err := spec.Encode()
		c.Assert(err, qt.IsNil)
		put(JobKey(id), raw)
	}
	known := []string{"00000000000000a1", "00000000000000a2", "00000000000000a3"}
	for _, id := range known {
		store(id)
	}
	h.load(t.Context(), true)
	store("00000000000000a4")
	put(CancelKey(known[0]), nil)
	h.load(t.Context(), false)
	c.Check(h.o.jobs, qt.HasLen, 4)
	c.Check(h.o.jobs[known[0]].State(), qt.Equals, sequencer.Canceled)
}

// The next owner read the whole bodies of all jobs that callers may still ask for, and kept them: after a thousand
// large ones each owner in turn had no memory left.
func TestOnlyOpenJobsKeepTheirTexts(t *testing.T) {
	for name, next := range map[string]bool{"the same owner": false, "the next one": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 1)
			spec := sequencer.Spec{Payload: "text", Steps: []sequencer.Step{{Count: 1, CPU: 10, Memory: 10, Image: "i", RequiredLabel: ""}}}
			j, open := h.submit(spec), h.submit(spec)
			h.o.place()
			j.Failed = true
			h.o.markDirty(j)
			if next {
				raw, err := j.Spec.Encode()
				c.Assert(err, qt.IsNil)
				progress, err := j.Progress().Encode()
				c.Assert(err, qt.IsNil)
				h = newHarness(c, 1)
				h.o.takeOver([]storer.Item{{Key: JobKey(j.Spec.ID), Value: raw, Version: 5}}, []storer.Item{{Key: ProgressKey(j.Spec.ID), Value: progress, Version: 6}}, nil)
				j = h.o.jobs[j.Spec.ID]
			} else {
				h.o.closeJob(j)
				h.reportEnd("a0", 1, j.Task(0, 0, 0).Name(), 1, messenger.EndStopped)
				h.commitBatch(50)
				h.o.deleteExpiredJobs(t.Context(), h.now)
				c.Check(open.Spec.Payload, qt.Equals, "text")
			}
			c.Check(j.State(), qt.Equals, sequencer.Failed)
			c.Check(j.Spec.Payload+j.Spec.Steps[0].Image, qt.Equals, "")
		})
	}
}

// oddJobs returns records of jobs as another writer may leave them.
func oddJobs(c *qt.C) [][]byte {
	records := [][]byte{nil, {0xff}, bytes.Repeat([]byte{0x81}, 10000), []byte("text")}
	valid := sequencer.Spec{ID: "00000000000000ff", Pool: "pool", Queue: "queue", Steps: []sequencer.Step{step(1, 100)}}
	for _, change := range []func(*sequencer.Spec){
		func(s *sequencer.Spec) { s.Steps = nil },
		func(s *sequencer.Spec) { s.Steps = []sequencer.Step{step(math.MaxInt, 1), step(math.MaxInt, 1)} },
		func(s *sequencer.Spec) { s.Steps, s.Repeat = []sequencer.Step{step(4, 1)}, 1<<62 },
		func(s *sequencer.Spec) { s.Steps[0].CPU = math.MaxInt64 },
		func(s *sequencer.Spec) { s.Steps[0].Estimate = math.MaxInt64 },
		func(s *sequencer.Spec) { s.Steps[0].Estimate = math.MinInt64 },
		func(s *sequencer.Spec) {
			s.Priority, s.StretchFactor, s.LatencyAllowance = math.MinInt, math.NaN(), math.MaxInt64
		},
		func(s *sequencer.Spec) {
			s.Priority, s.StretchFactor, s.LatencyAllowance = math.MaxInt, 1e300, math.MinInt64
		},
		func(s *sequencer.Spec) { s.Repeat, s.FirstDue, s.Interval = 3, time.Unix(0, 0), math.MaxInt64 },
	} {
		s := valid
		s.Steps = slices.Clone(valid.Steps)
		change(&s)
		raw, err := s.Encode()
		c.Assert(err, qt.IsNil)
		records = append(records, raw, raw[:len(raw)/2])
	}
	return records
}

// An owner ended by itself with a job of more tasks than memory, as did each next owner.
func TestAnOwnerSchedulesJobsBesideOneThatCantBeRead(t *testing.T) {
	for n, odd := range oddJobs(qt.New(t)) {
		for _, atTakeOver := range []bool{false, true} {
			t.Run(fmt.Sprint(n, " at take-over ", atTakeOver), func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(c, 1)
				good := sequencer.Spec{ID: "0000000000000001", Pool: "pool", Queue: "queue", AcceptedAt: h.now, Steps: []sequencer.Step{step(1, 100)}}
				raw, err := good.Encode()
				c.Assert(err, qt.IsNil)
				items := []storer.Item{{Key: InputPrefix, Value: odd, Version: 20}, {Key: JobKey("00000000000000ff"), Value: odd, Version: 20}, {Key: JobKey(good.ID), Value: raw, Version: 21}}
				if atTakeOver {
					h.o.takeOver(items, nil, nil)
				} else {
					h.o.handleInputs(items)
				}
				h.o.place()
				c.Check(slices.Contains(h.commands("a0"), "start 0000000000000001.0.0.0"), qt.IsTrue, qt.Commentf("%v", h.commands("a0")))
			})
		}
	}
}

// The record of another key took the place of the job in memory, whose task was then started
// a second time beside the first run.
func TestARecordUnderTheKeyOfAnotherJobIsNoJob(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 2)
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 100)}})
	h.o.place()
	raw, err := j.Spec.Encode()
	c.Assert(err, qt.IsNil)
	unreadable := h.counts[meter.UnreadableJobs]
	h.o.handleInputs([]storer.Item{{Key: JobKey("00000000000000ff"), Value: raw, Version: 90}})
	h.o.place()
	c.Check(h.o.jobs[j.Spec.ID] == j, qt.IsTrue)
	c.Check(len(h.commands("a0"))+len(h.commands("a1")), qt.Equals, 1)
	c.Check(h.counts[meter.UnreadableJobs], qt.Equals, unreadable+1)
}

// Which tasks of a job are done is not known where its progress can't be read.
func TestAJobWithProgressThatCantBeReadIsNotStarted(t *testing.T) {
	odd, err := (&sequencer.Progress{State: "lost"}).Encode()
	qt.Assert(t, err, qt.IsNil)
	tooLarge, err := (&sequencer.Progress{State: sequencer.Running, Tasks: []sequencer.TaskRecord{{FailedAttempts: []uint64{math.MaxUint64}}}}).Encode()
	qt.Assert(t, err, qt.IsNil)
	for name, value := range map[string][]byte{"state": odd, "attempt": tooLarge, "nested": bytes.Repeat([]byte{0x81}, 10000), "empty": nil} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 1)
			spec := sequencer.Spec{ID: "00000000000000aa", Pool: "pool", Queue: "queue", AcceptedAt: h.now, Steps: []sequencer.Step{step(1, 100)}}
			raw, err := spec.Encode()
			c.Assert(err, qt.IsNil)
			inputs := []storer.Item{{Key: JobKey(spec.ID), Value: raw, Version: 9}}
			version := uint64(10)
			if value == nil {
				version = 0 // the entry itself can't be read
			}
			h.o.takeOver(inputs, []storer.Item{{Key: ProgressKey(spec.ID), Value: value, Version: version}}, nil)
			h.o.handleInputs(inputs)
			h.o.place()
			c.Check(h.commands("a0"), qt.HasLen, 0)
			c.Check(h.counts[meter.UnreadableProgress], qt.Equals, 1)
		})
	}
}

// Until the lease of the agent has expired, its tasks may go on.
func TestARegistrationThatCantBeReadBlocksOlderJobs(t *testing.T) {
	for name, value := range map[string][]byte{"empty": nil, "text": []byte("text"), "nested": bytes.Repeat([]byte{0x81}, 10000), "cut off": registrar.Registration{HeldTasks: []string{"x.0.0.0"}}.Encode()[:5]} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 1)
			spec := sequencer.Spec{ID: "00000000000000aa", Pool: "pool", Queue: "queue", AcceptedAt: h.now, Steps: []sequencer.Step{step(1, 100)}}
			raw, err := spec.Encode()
			c.Assert(err, qt.IsNil)
			h.o.takeOver([]storer.Item{{Key: JobKey(spec.ID), Value: raw, Version: 9}}, nil, []storer.Item{{Key: registrar.Key("lost"), Value: value, Version: 8}})
			h.o.place()
			c.Check(h.commands("a0"), qt.HasLen, 0)
			c.Check(h.counts[meter.UnreadableRegistrations], qt.Equals, 1)
		})
	}
}

// FuzzInputs checks that no entry of another writer ends an owner, or keeps it from the jobs
// beside it.
func FuzzInputs(f *testing.F) {
	for _, raw := range oddJobs(qt.New(f)) {
		f.Add("jx", raw)
	}
	f.Add("", []byte(nil))
	f.Add("j", []byte("text"))
	f.Add("x0000000000000001", []byte("text"))
	f.Fuzz(func(t *testing.T, key string, raw []byte) {
		h := newHarness(qt.New(t), 1)
		items := []storer.Item{{Key: InputPrefix + key, Value: raw, Version: 8}}
		h.o.takeOver(items, []storer.Item{{Key: progressPrefix + key, Value: raw, Version: 8}}, []storer.Item{{Key: registrar.Key(key), Value: raw, Version: 8}})
		j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 100)}})
		h.o.handleInputs(items)
		h.o.place()
		qt.Assert(t, h.o.jobs[j.Spec.ID] == j, qt.IsTrue)
	})
}
