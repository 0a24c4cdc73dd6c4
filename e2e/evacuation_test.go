package e2e

import (
	"context"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/platform"
	"github.com/endivefall/endivefall/storer"
)

// startCounter counts the starts of tasks by failure domain.
type startCounter struct {
	mu     sync.Mutex
	starts map[string]int
}

func (s *startCounter) in(domain string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts[domain]
}

// TestEvacuationOfADomain evacuates a domain of a pool's processes, whose owner is killed then, and
// withdraws the request. It guards against parts that don't fit together: the operator's
// key, the domain in the heartbeats, and the deadline of the starts.
func TestEvacuationOfADomain(t *testing.T) {
	p := newPoolWorld(t, 1, 2, 4)
	c := p.c
	counter := &startCounter{starts: map[string]int{}}
	for _, w := range p.workers {
		w.Backend.SetOnEvent(func(e faker.PoolEvent) {
			p.auditor.Observe(e)
			if e.Kind == "start" {
				counter.mu.Lock()
				defer counter.mu.Unlock()
				counter.starts[w.Backend.Domain]++
			}
		})
	}
	const evacuated, other = "zone-0", "zone-1"
	submitUntil := func(condition string, ok func() bool) {
		p.eventually(condition, func() bool {
			p.submit()
			return ok()
		})
	}
	startsAgain := func(domain string) {
		before := counter.in(domain)
		submitUntil("tasks start in "+domain, func() bool { return counter.in(domain) > before })
	}
	startsAgain(evacuated)
	_, err := p.store.Client().Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: platform.EvacuationKey(evacuated)}}})
	c.Assert(err, qt.IsNil)
	bound := time.Now().Add(evacuationBound)
	p.logf("evacuated %s", evacuated)
	startsAgain(other)
	submitUntil("the bound has passed", func() bool { return time.Now().After(bound) })
	before := counter.in(evacuated)
	startsAgain(other)
	for _, proc := range p.procs {
		if proc.role == "pool-entry" && strings.Contains(proc.logs(), "evacuation requested") {
			proc.send(syscall.SIGKILL) // the owner
		}
	}
	startsAgain(other)
	c.Check(counter.in(evacuated), qt.Equals, before)
	p.store.DeleteKey(platform.EvacuationKey(evacuated))
	startsAgain(evacuated)
	p.requests.Wait()
	c.Check(p.auditor.Violations(), qt.HasLen, 0)
}
