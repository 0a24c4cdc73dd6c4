package orchestrator

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/estimator"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/registrar"
	"github.com/endivefall/endivefall/storer"
)

// An agent lost power, and its worker did not come back. The next owner waited for as long as an earlier owner
// might have renewed the lease, though the agent was there and had renewed none since it started.
func TestTheWaitForAnAgentWithoutAWorkerCountsFromItsStart(t *testing.T) {
	const second = int64(time.Second / time.Millisecond)
	for name, tt := range map[string]struct {
		snapshot messenger.WorkerSnapshot
		// since is the time from which the lease counts; zero if it is that of the lost owner.
		since time.Duration
	}{
		"just started":        {messenger.WorkerSnapshot{Term: 1, WorkerlessMs: 1}, time.Millisecond},
		"a second ago":        {messenger.WorkerSnapshot{Term: 1, WorkerlessMs: second}, time.Second},
		"long ago":            {messenger.WorkerSnapshot{Term: 1, WorkerlessMs: math.MaxInt64}, time.Minute},
		"of an earlier term":  {messenger.WorkerSnapshot{Term: 0, WorkerlessMs: second}, 0},
		"of an older version": {messenger.WorkerSnapshot{Term: 1}, 0},
		"odd":                 {messenger.WorkerSnapshot{Term: 1, WorkerlessMs: -second}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c, 0)
			h.o.cfg.PreviousOwnerTTL = h.o.cfg.ConfirmationTTL
			h.o.takeOver(nil, nil, []storer.Item{{Key: registrar.Key("lost"), Value: registrar.Registration{Open: true}.Encode(), Version: 5}})
			a := h.o.agents["lost"]
			longest := a.leaseExpiresAt
			a.link = &AgentLink{ID: "lost", Incarnation: "b", TrySend: func(messenger.Frame) error { return nil }}
			h.o.handleSnapshot(a, &tt.snapshot)
			c.Assert(a.hasUnknownRuns, qt.IsTrue)
			if tt.since == 0 {
				c.Assert(a.leaseExpiresAt, qt.Equals, longest)
				return
			}
			left := h.o.maxLeaseElapsed() - min(estimator.MinWorkerElapsed(tt.since), estimator.MinWorkerElapsed(h.o.maxLeaseElapsed()))
			c.Assert(a.leaseExpiresAt.Sub(h.now.Add(left)).Abs() < time.Millisecond, qt.IsTrue, qt.Commentf("%v from now", a.leaseExpiresAt.Sub(h.now)))
			h.now = a.leaseExpiresAt.Add(time.Millisecond)
			h.o.expireLease(a, h.now)
			c.Assert(a.hasUnknownRuns, qt.IsFalse)
		})
	}
}
