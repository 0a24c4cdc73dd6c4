package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/acceptor"
	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/sequencer"
)

// The store may turn away all entries but one. Jobs that the others get must be stored through that one: once
// entries know who reaches the store, none is rejected.
func TestJobsAreStoredThroughTheOneEntryThatReachesTheStore(t *testing.T) {
	const (
		entries  = 8
		interval = 100 * time.Millisecond
		jobs     = 60
		// learning is for how long entries may not know which of them reach the store: calls fail
		// after 0.3 s, and a store that does not answer is noticed within a second.
		learning = 2 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, t, 1, entries, 2)
		advancer.Sleep(3 * time.Second)
		reaching := f.owners()[0]
		for n := range entries {
			if name := f.entry(n).name; name != reaching.name {
				f.setFaults(func() { f.rejected[name] = true })
			}
		}
		var wg sync.WaitGroup
		var mu sync.Mutex
		early, late, accepted := 0, 0, 0
		began := time.Now()
		for n := range jobs {
			e := f.entry(n % entries)
			spec := &sequencer.Spec{ID: fmt.Sprintf("%016x", n+1), Queue: "queue", Pool: "pool", Steps: []sequencer.Step{{Count: 1}}}
			wg.Go(func() {
				at := time.Since(began)
				err := f.submitAt(e, spec)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					accepted++
				case !errors.Is(err, acceptor.ErrNotAccepted):
					c.Errorf("submission after %v: %v", at, err)
				case at < learning:
					early++
				default:
					late++
				}
			})
			advancer.Sleep(interval)
		}
		wg.Wait()
		t.Logf("%d accepted, %d rejected in the first %v, %d later", accepted, early, learning, late)
		c.Check(late, qt.Equals, 0)
		cancel()
		f.close()
		advancer.Sleep(time.Minute)
	})
}
