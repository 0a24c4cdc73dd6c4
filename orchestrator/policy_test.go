package orchestrator

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/authorizer"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/sequencer"
)

// policyService answers one query after the other, like the platform's. It allows every worker.
type policyService struct {
	turn                          chan struct{}
	decision, perWorker, validity time.Duration
}

func (s *policyService) query(ctx context.Context, _ string, workers []string) ([]authorizer.Grant, time.Duration, error) {
	select {
	case s.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	advancer.Sleep(s.decision + time.Duration(len(workers))*s.perWorker)
	<-s.turn
	var grants []authorizer.Grant
	for _, w := range workers {
		grants = append(grants, authorizer.Grant{Incarnation: w, Ticket: "t"})
	}
	return grants, s.validity, nil
}

// Thirty of forty jobs that came at once to a queue with a policy never started.
func TestABacklogOfAQueueWithAPolicyClears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const agents, jobs = 11, 40
		c := qt.New(t)
		h := newHarness(c, agents)
		h.o.cfg.Now, h.o.cfg.WallClock, h.o.cfg.OwnershipConfirmedAt = time.Now, time.Now, time.Now
		service := &policyService{make(chan struct{}, 1), 120 * time.Millisecond, 10 * time.Millisecond, 3 * time.Second}
		h.o.cfg.QueryPolicy = service.query
		h.now = time.Now()
		percent := 0
		report := func() {
			percent++
			for n := range agents {
				id := fmt.Sprint("a", n)
				h.o.agents[id].confirmedSeq = h.o.agents[id].seq
				h.sendSnapshot(id, &messenger.WorkerSnapshot{Runs: h.runStatuses(id, messenger.PhaseRunning, percent)})
			}
		}
		report()
		for range jobs {
			h.submit(sequencer.Spec{Steps: []sequencer.Step{step(2, 100)}, PolicyRestricted: true})
		}
		h.o.loaded = true
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = h.o.Serve(ctx) }()
		oneEach := jobs * (service.decision + agents*service.perWorker)
		for began := time.Now(); time.Since(began) < oneEach; advancer.Sleep(200 * time.Millisecond) {
			h.o.enqueue(report)
		}
		cancel()
		<-h.o.Done()
		starts := 0
		for n := range agents {
			starts += len(h.commands(fmt.Sprint("a", n)))
		}
		c.Check(starts, qt.Equals, 2*jobs)
	})
}
