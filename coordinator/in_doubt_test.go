package coordinator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/acceptor"
	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/sequencer"
)

// A job whose write got no reply at one entry may still be stored. While the store
// is unreachable, no other entry may report the job as not accepted, including one
// that was restarted since.
func TestInDoubtJobIsNotRejectedByOtherEntries(t *testing.T) {
	for name, restart := range map[string]bool{"running": false, "restarted since": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				f := newFleet(ctx, t, 1, 3, 0)
				advancer.Sleep(3 * time.Second)
				spec := &sequencer.Spec{ID: "00000000000000aa", Queue: "queue", Pool: "pool", Steps: []sequencer.Step{{Count: 1}}}
				f.setFaults(func() { f.storeReplyLoss = 1 })
				c.Check(f.submitAt(f.entry(0), spec), qt.ErrorIs, acceptor.ErrUnknownOutcome)
				f.setFaults(func() { f.storeDown = true })
				advancer.Sleep(time.Second)
				if restart {
					for n := range 3 { // all but the entry at which the job is in doubt, and the owner
						if e := f.entry(n); n > 0 && !e.isOwner() {
							f.kill(e)
							f.startEntry(e.name, n)
						}
					}
					f.setFaults(func() { f.storeDown = false })
					advancer.Sleep(3 * time.Second)
					f.setFaults(func() { f.storeDown = true })
					advancer.Sleep(time.Second)
				}
				fresh := &sequencer.Spec{ID: "00000000000000bb", Queue: "queue", Pool: "pool", Steps: []sequencer.Step{{Count: 1}}}
				for n := range 3 {
					c.Check(f.submitAt(f.entry(n), spec), qt.ErrorIs, acceptor.ErrUnknownOutcome, qt.Commentf("entry %d", n))
					c.Check(f.submitAt(f.entry(n), fresh), qt.ErrorIs, acceptor.ErrNotAccepted, qt.Commentf("entry %d", n))
				}
				cancel()
				f.close()
				advancer.Sleep(time.Minute)
			})
		})
	}
}

// An entry that was cut off as one of its jobs got in doubt told nobody of it, and another entry
// reported the job as not accepted.
func TestAnEntryThatWasCutOffReportsItsJobsInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, t, 1, 3, 0)
		advancer.Sleep(3 * time.Second)
		var apart, other *entryNode
		for n := range 3 {
			if e := f.entry(n); !e.isOwner() && apart == nil {
				apart = e
			} else if !e.isOwner() {
				other = e
			}
		}
		const outage = 4 * time.Second
		f.cutOff(apart.name, outage, false)
		advancer.Sleep(time.Second)
		spec := &sequencer.Spec{ID: "00000000000000aa", Queue: "queue", Pool: "pool", Steps: []sequencer.Step{{Count: 1}}}
		f.setFaults(func() { f.storeReplyLoss = 1 })
		c.Check(f.submitAt(apart, spec), qt.ErrorIs, acceptor.ErrUnknownOutcome)
		f.setFaults(func() { f.storeReplyLoss = 0 })
		advancer.Sleep(outage)
		f.setFaults(func() { f.storeDown = true })
		advancer.Sleep(time.Second)
		c.Check(f.submitAt(other, spec), qt.ErrorIs, acceptor.ErrUnknownOutcome)
		cancel()
		f.close()
		advancer.Sleep(time.Minute)
	})
}

// An owner was cut off from the store and the other entries. It rejected a job that one of them had in
// doubt, and the job ran.
func TestAnOwnerThatIsCutOffRejectsNoJobs(t *testing.T) {
	for name, keysExpire := range map[string]bool{"at once": false, "after the live keys of the others": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				f := newFleet(ctx, t, 1, 3, 2)
				advancer.Sleep(3 * time.Second)
				owner := f.owners()[0]
				if keysExpire {
					f.expireLiveKeys(owner)
				}
				f.setFaults(func() { f.rejected[owner.name] = true })
				for n := range 3 {
					f.network.SetPartition(owner.name, f.entry(n).name, true, true)
				}
				advancer.Sleep(4 * time.Second)
				spec := &sequencer.Spec{ID: "00000000000000aa", Queue: "queue", Pool: "pool", Steps: []sequencer.Step{{Count: 1}}}
				f.setFaults(func() { f.storeReplyLoss = 1 })
				for n := range 3 {
					if e := f.entry(n); e != owner {
						c.Check(f.submitAt(e, spec), qt.ErrorIs, acceptor.ErrUnknownOutcome)
						break
					}
				}
				f.setFaults(func() { f.storeReplyLoss = 0 })
				c.Assert(owner.isOwner(), qt.IsTrue)
				for range 5 {
					c.Check(f.submitAt(owner, spec), qt.ErrorIs, acceptor.ErrUnknownOutcome)
				}
				cancel()
				f.close()
				advancer.Sleep(time.Minute)
			})
		})
	}
}

// expireLiveKeys deletes the live keys of all entries but one, which loses its path to the store at
// that moment and still hears of it.
func (f *fleet) expireLiveKeys(kept *entryNode) {
	f.setFaults(func() { f.rejected[kept.name] = true })
	for name := range f.entries {
		if name != kept.name {
			f.store.DeleteKey("ef/live/entry/" + name)
		}
	}
	advancer.Sleep(10 * time.Millisecond)
}
