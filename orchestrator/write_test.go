package orchestrator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/storer"
)

// A write took effect, its reply was lost and another entry claimed. The owner repeated
// the write, found it in the store, and took that as a new confirmation of ownership.
func TestARepeatedWriteAfterAnotherClaimConfirmsNothing(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 0)
	client := h.store.Client()
	claim := func() uint64 {
		version, err := client.Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: h.o.cfg.OwnerKey, Value: []byte("owner")}}})
		c.Assert(err, qt.IsNil)
		return version
	}
	h.o.cfg.Epoch = claim()
	attempts := 0
	h.store.SetFault(func(call string) faker.StoreFault {
		attempts++
		return faker.StoreFault{LoseReply: attempts == 1}
	})
	var claimedAt, confirmedAt time.Time
	h.o.cfg.Now = func() time.Time {
		if attempts == 1 && claimedAt.IsZero() {
			claim()
			claimedAt = h.now.Add(time.Second)
		}
		if !claimedAt.IsZero() {
			return claimedAt.Add(time.Second)
		}
		return h.now
	}
	h.o.cfg.ConfirmOwnership = func(sent time.Time) { confirmedAt = sent }
	h.connectAgent("a0")
	a := h.o.agents["a0"]
	a.keyVersion, a.mayRunAny, a.openPending = 0, false, true
	b := h.o.nextBatch()
	version, sent, err := h.o.commit(context.Background(), &b.transaction)
	h.o.handleCommit(b, version, sent, err)
	c.Assert(claimedAt.IsZero(), qt.IsFalse)
	c.Assert(confirmedAt.After(claimedAt), qt.IsFalse)
	c.Assert(h.o.stopReason, qt.ErrorIs, ErrOwnershipLost)
}
