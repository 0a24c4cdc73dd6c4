package orchestrator

import (
	"cmp"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/storer"
)

// takeOverFrom loads the registration of an agent with one task, of version 30, and a roster, as the owner
// of term 5. The claim of its writer had version 10 unless the record says otherwise.
func (h *harness) takeOverFrom(record registrar.Registration, rulesSince uint64, last roster) *agent {
	record.HeldTasks, record.Epoch = []string{"x.0.0.0"}, cmp.Or(record.Epoch, 10)
	h.o.cfg.Term, h.o.cfg.RulesSince, h.o.cfg.PreviousOwnerTTL = 5, rulesSince, 2*time.Second
	h.o.takeOver(nil, nil, []storer.Item{{Key: registrar.Key("left"), Value: record.Encode(), Version: 30}})
	h.o.loadRoster(storer.Item{Key: rosterKey, Version: 20, Value: last.encode()})
	return h.o.agents["left"]
}

// The next owner waited for 2 s and the lease from its own claim for an agent whose lease nobody could
// have renewed since it left.
func TestTheWaitForAnAgentThatLeftCountsFromItsLastRecord(t *testing.T) {
	const known = -3 * time.Second // from the claim
	for name, tt := range map[string]struct {
		record     registrar.Registration
		rulesSince uint64
		// until is when the last renewal was possible, from the claim.
		until time.Duration
	}{
		"of the last owner":                       {registrar.Registration{RenewalsEndedInTerm: 4}, 4, known},
		"whose predecessors acted":                {registrar.Registration{RenewalsEndedInTerm: 4, EarlierMs: 1000}, 4, known + 1021*time.Millisecond},
		"whose predecessors acted for long":       {registrar.Registration{RenewalsEndedInTerm: 4, EarlierMs: 9000}, 4, 2 * time.Second},
		"of an owner before, all heed it":         {registrar.Registration{RenewalsEndedInTerm: 2}, 2, known},
		"of an owner before, one doesn't heed it": {registrar.Registration{RenewalsEndedInTerm: 2}, 3, 2 * time.Second},
		"of an owner before, the last doesn't":    {registrar.Registration{RenewalsEndedInTerm: 3}, 5, 2 * time.Second},
		"of the last owner, if that isn't known":  {registrar.Registration{RenewalsEndedInTerm: 4}, 5, 2 * time.Second},
		"of owners that are not known":            {registrar.Registration{RenewalsEndedInTerm: 4}, 0, 2 * time.Second},
		"of a term that has not been":             {registrar.Registration{RenewalsEndedInTerm: 5}, 1, 2 * time.Second},
		"that says nothing":                       {registrar.Registration{}, 1, 2 * time.Second},
		"that is open":                            {registrar.Registration{Open: true, RenewalsEndedInTerm: 4}, 1, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 0)
			claimed := h.o.cfg.ClaimedAt
			h.o.cfg.KnownSince = func(version uint64) (time.Time, bool) { return claimed.Add(known), version == 30 }
			a := h.takeOverFrom(tt.record, tt.rulesSince, roster{})
			c.Assert(a.leaseExpiresAt.Sub(claimed), qt.Equals, tt.until+h.o.maxLeaseElapsed())
		})
	}
}

// The next owner was lost, too, before it wrote a roster, and the one after that waited for 2 s and the lease
// from its own claim.
func TestTheWaitForAnAgentThatLeftStartsNotAnewWhereTwoOwnersAreLost(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 0)
	claimed := h.o.cfg.ClaimedAt
	h.o.cfg.KnownSince = func(version uint64) (time.Time, bool) { return claimed.Add(-3 * time.Second), version == 30 }
	a := h.takeOverFrom(registrar.Registration{RenewalsEndedInTerm: 3}, 2, roster{Term: 3, Agents: []string{"left"}})
	c.Assert(a.leaseExpiresAt.Sub(claimed), qt.Equals, -3*time.Second+h.o.maxLeaseElapsed())
}

func TestTheWaitForAnAgentThatLeftIsLongWithoutSightOfItsRecord(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 0)
	a := h.takeOverFrom(registrar.Registration{RenewalsEndedInTerm: 4}, 1, roster{})
	c.Assert(a.leaseExpiresAt.Sub(h.o.cfg.ClaimedAt), qt.Equals, 2*time.Second+h.o.maxLeaseElapsed())
}

// The store's versions had gone back, or a reply had shown one too high: a version as high as that of the
// claim was known before it, and the wait was over before the lease.
func TestTheWaitIsLongWhereVersionsWentBack(t *testing.T) {
	const known = -time.Minute // from the claim
	for name, tt := range map[string]struct {
		// epochKnown is since when the version of the claim is known, from when it was sent.
		epochKnown, until time.Duration
	}{
		"known long before":   {known, 2 * time.Second},
		"known just before":   {-time.Millisecond, 2 * time.Second},
		"known as it is sent": {0, known},
		"known later":         {5 * time.Millisecond, known},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 0)
			claimed := h.o.cfg.ClaimedAt
			sent := claimed.Add(-10 * time.Millisecond)
			h.o.cfg.Epoch, h.o.cfg.ClaimSentAt = 40, sent
			h.o.cfg.KnownSince = func(version uint64) (time.Time, bool) {
				if version <= 30 {
					return claimed.Add(known), true
				}
				return sent.Add(tt.epochKnown), true
			}
			a := h.takeOverFrom(registrar.Registration{RenewalsEndedInTerm: 4}, 4, roster{})
			c.Assert(a.leaseExpiresAt.Sub(claimed), qt.Equals, tt.until+h.o.maxLeaseElapsed())
		})
	}
}

// A record can't be older than the claim of the owner that wrote it: its version was cut short, and the wait
// was over before the lease.
func TestTheWaitIsLongWhereAVersionIsCutShort(t *testing.T) {
	const known = -time.Minute // from the claim
	for name, tt := range map[string]struct {
		epoch uint64
		until time.Duration
	}{
		"above that of the claim": {29, known},
		"that of the claim":       {30, 2 * time.Second},
		"below that of the claim": {5000, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 0)
			claimed := h.o.cfg.ClaimedAt
			h.o.cfg.KnownSince = func(version uint64) (time.Time, bool) { return claimed.Add(known), version == 30 }
			a := h.takeOverFrom(registrar.Registration{RenewalsEndedInTerm: 4, Epoch: tt.epoch}, 4, roster{})
			c.Assert(a.leaseExpiresAt.Sub(claimed), qt.Equals, tt.until+h.o.maxLeaseElapsed())
			c.Assert(a.registration.RenewalsEnded(), qt.IsTrue, qt.Commentf("it is heeded all the same"))
		})
	}
}

// What the record says of the owners before the one that wrote it may be known better here.
func TestTheWaitForEarlierOwnersIsNoLongerThanKnown(t *testing.T) {
	for name, tt := range map[string]struct{ unrostered, until time.Duration }{
		"later than the record":  {-time.Second, -time.Second},
		"before the record":      {-5 * time.Second, -3 * time.Second},
		"after what it says":     {time.Second, -3*time.Second + 3063*time.Millisecond},
		"at once with the claim": {0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 0)
			claimed := h.o.cfg.ClaimedAt
			h.o.cfg.KnownSince = func(version uint64) (time.Time, bool) { return claimed.Add(-3 * time.Second), version == 30 }
			h.o.cfg.UnrosteredUntil = claimed.Add(tt.unrostered)
			a := h.takeOverFrom(registrar.Registration{RenewalsEndedInTerm: 4, EarlierMs: 3000}, 1, roster{Term: 4, Agents: []string{"left"}})
			c.Assert(a.leaseExpiresAt.Sub(claimed), qt.Equals, tt.until+h.o.maxLeaseElapsed())
		})
	}
}

// An owner that heeds what it has loaded renews the lease of the next process only once it has written
// another record; one that doesn't know all runs there keeps the tasks of the last one in it.
func TestALoadedRecordIsHeededUntilAnotherOneIsWritten(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 0)
	a := h.takeOverFrom(registrar.Registration{RenewalsEndedInTerm: 4, Incarnation: "b"}, 3, roster{Term: 4})
	a.inRoster, a.incarnation = true, "b2"
	a.link = &AgentLink{ID: "left", Incarnation: "b2", TrySend: func(f messenger.Frame) error {
		h.sent["left"] = append(h.sent["left"], f)
		return nil
	}}
	h.sendIncomplete("left", &messenger.WorkerSnapshot{SentAt: h.now})
	c.Assert(h.lastRenewal("left").IsZero(), qt.IsTrue)
	c.Assert(a.hasUnknownRuns, qt.IsTrue)
	record := h.written(h.commitBatch(50))
	c.Assert(record, qt.DeepEquals, registrar.Registration{HeldTasks: []string{"x.0.0.0"}, Incarnation: "b2"})
	h.sendIncomplete("left", &messenger.WorkerSnapshot{SentAt: h.now})
	c.Assert(h.lastRenewal("left").Equal(h.now), qt.IsTrue)
	c.Assert(a.hasUnknownRuns, qt.IsTrue)
	agents, _ := h.o.nextRoster()
	c.Assert(agents, qt.HasLen, 1)
}
