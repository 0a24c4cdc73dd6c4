package orchestrator

import (
	"context"
	"fmt"
	"slices"
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

// allow answers the queries to the policy service with tickets for the workers of some agents.
func (h *harness) allow(ids ...string) (asked *[][]string) {
	asked = &[][]string{}
	h.o.cfg.QueryPolicy = func(_ context.Context, _ string, workers []string) ([]authorizer.Grant, time.Duration, error) {
		*asked = append(*asked, workers)
		var grants []authorizer.Grant
		for _, id := range ids {
			if slices.Contains(workers, "life-"+id) {
				grants = append(grants, authorizer.Grant{Incarnation: "life-" + id, Ticket: "t"})
			}
		}
		return grants, 3 * time.Second, nil
	}
	return asked
}

// answer handles the answer to the query in flight and places.
func (h *harness) answer() {
	(<-h.o.actions)()
	h.o.place()
}

// A task on a worker that drains was stopped for a worker that its policy does not allow.
func TestATaskMovesOnlyToAWorkerThatItsPolicyAllows(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	h.allow("a0", "a2")
	spec := lastingSpec(1000)
	spec.PolicyRestricted = true
	j := h.submit(spec)
	h.o.place()
	h.answer()
	c.Assert(h.commands("a0"), qt.HasLen, 1)
	h.reportRunning("a0", 100)
	h.connectAgent("a1")
	h.drain("a0")
	for range 2 {
		h.o.evacuate()
		h.o.place()
		c.Assert(h.o.authorizer.InFlight(), qt.Equals, 1)
		h.answer()
		c.Assert(h.commands("a0"), qt.HasLen, 1, qt.Commentf("it goes on"))
		h.connectAgent("a2")
	}
	h.o.evacuate()
	c.Assert(h.commands("a0"), qt.HasLen, 2)
	c.Check(h.o.claims[j.Task(0, 0, 0)].agent.id, qt.Equals, "a2")
}

// A claim of room ended with the ticket for its worker, though the policy goes on to allow that worker.
func TestAClaimOutlivesItsTicket(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	asked := h.allow("a0")
	spec := lastingSpec(1000)
	spec.PolicyRestricted = true
	j := h.submit(spec)
	task := j.Task(0, 0, 0)
	h.o.place()
	(<-h.o.actions)()
	h.o.claims[task] = &claim{task: task, job: j, agent: h.o.agents["a0"], endBy: h.now.Add(time.Minute)}
	h.now = h.now.Add(4 * time.Second)
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{})
	h.o.place()
	c.Assert(h.o.claims[task], qt.Not(qt.IsNil))
	c.Assert(h.commands("a0"), qt.HasLen, 0)
	h.answer()
	c.Check(h.commands("a0"), qt.HasLen, 1)
	c.Check(*asked, qt.HasLen, 2)
}

// A start was sent with a ticket that had run out while its grant was written.
func TestAGrantThatOutlivesItsTicketSendsNoStart(t *testing.T) {
	c := qt.New(t)
	h, _ := newGrantHarness(c, 1)
	h.allow("a0")
	spec := lastingSpec(1000)
	spec.PolicyRestricted = true
	j := h.submit(spec)
	h.o.place()
	h.answer()
	b := h.o.nextBatch()
	h.now = h.now.Add(4 * time.Second)
	h.sendSnapshot("a0", &messenger.WorkerSnapshot{})
	h.o.handleCommit(b, 50, nil)
	c.Assert(h.commands("a0"), qt.Not(qt.Contains), "start "+j.Task(0, 0, 0).Name())
	h.o.place()
	h.answer()
	c.Check(h.commands("a0"), qt.Contains, "start "+j.Task(0, 0, 0).Name())
}

// A worker that refuses a ticket is not sent it again.
func TestARefusedTicketIsNotUsedAgain(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, 1)
	asked := h.allow("a0")
	j := h.submit(sequencer.Spec{Steps: []sequencer.Step{step(1, 100)}, PolicyRestricted: true})
	h.o.place()
	h.answer()
	h.reportEnd("a0", 1, j.Task(0, 0, 0).Name(), 1, messenger.EndNotStarted)
	h.now = h.now.Add(refusedStartDelay)
	h.o.place()
	c.Assert(h.commands("a0"), qt.HasLen, 1)
	h.answer()
	c.Check(h.commands("a0"), qt.HasLen, 2)
	c.Check(*asked, qt.HasLen, 2)
}
