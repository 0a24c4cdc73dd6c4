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

// A job whose write got no answer at one entry may still be stored; no other
// entry may say that it never runs while the store can't be asked, also not one
// that was started since.
func TestNoEntryTurnsAwayWhatAnotherDoubts(t *testing.T) {
	for name, restart := range map[string]bool{"running": false, "started since": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				f := newFleet(ctx, t, 1, 3, 0)
				advancer.Sleep(3 * time.Second)
				spec := &sequencer.Spec{ID: "00000000000000aa", Queue: "queue", Pool: "pool", Steps: []sequencer.Step{{Count: 1}}}
				f.set(func() { f.loss = 1 })
				c.Check(f.submitAt(f.some(0), spec), qt.ErrorIs, acceptor.ErrUnknownOutcome)
				f.set(func() { f.down = true })
				advancer.Sleep(time.Second)
				if restart {
					for n := range 3 { // all but the one that doubts
						if e := f.some(n); n > 0 && !e.owns() {
							f.kill(e)
							f.startEntry(e.name, n)
						}
					}
					f.set(func() { f.down = false })
					advancer.Sleep(3 * time.Second)
					f.set(func() { f.down = true })
					advancer.Sleep(time.Second)
				}
				fresh := &sequencer.Spec{ID: "00000000000000bb", Queue: "queue", Pool: "pool", Steps: []sequencer.Step{{Count: 1}}}
				for n := range 3 {
					c.Check(f.submitAt(f.some(n), spec), qt.ErrorIs, acceptor.ErrUnknownOutcome, qt.Commentf("entry %d", n))
					c.Check(f.submitAt(f.some(n), fresh), qt.ErrorIs, acceptor.ErrNotAccepted, qt.Commentf("entry %d", n))
				}
				cancel()
				f.close()
				advancer.Sleep(time.Minute)
			})
		})
	}
}
