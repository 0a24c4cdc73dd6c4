package orchestrator

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/allocator"
	"github.com/endivefall/endivefall/authorizer"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/sequencer"
)

// policyQueryTimeout bounds a query. The service may need long for a hundred workers; queries that are overdue hold
// up no others.
const policyQueryTimeout = 10 * time.Second

// grantedCandidates returns the candidates that may run a step now: of a queue with a policy, those for which
// there is a valid ticket.
func (o *Orchestrator) grantedCandidates(j *job, name string, candidates []*allocator.Candidate, agents map[string]*agent, now time.Time) []*allocator.Candidate {
	if !j.Placement.PolicyRestricted {
		return candidates
	}
	if !o.authorizer.HasTickets(name, now) {
		return nil
	}
	return reachable(candidates, agents, func(incarnation string) bool { return o.authorizer.Granted(name, incarnation, now) })
}

// allowedCandidates returns the candidates that may run a step later: of a queue with a policy, those that it is
// known to allow. A start there may need a new ticket.
func (o *Orchestrator) allowedCandidates(j *job, name string, candidates []*allocator.Candidate, agents map[string]*agent) []*allocator.Candidate {
	if !j.Placement.PolicyRestricted {
		return candidates
	}
	return reachable(candidates, agents, func(incarnation string) bool { return o.authorizer.Allowed(name, incarnation) })
}

// policyOf returns a function that reports whether the policy of a task is known to allow the worker of an agent, or nil
// if it has none.
func (o *Orchestrator) policyOf(j *job, t *sequencer.Task) func(agent string) bool {
	if !j.Placement.PolicyRestricted {
		return nil
	}
	return func(agent string) bool {
		a := o.agents[agent]
		return a != nil && a.snapshot != nil && o.authorizer.Allowed(t.StepName(), a.snapshot.WorkerIncarnation)
	}
}

// reachable returns the candidates that are still connected and whose worker incarnations are accepted.
func reachable(candidates []*allocator.Candidate, agents map[string]*agent, accept func(incarnation string) bool) []*allocator.Candidate {
	var list []*allocator.Candidate
	for _, candidate := range candidates {
		if a := agents[candidate.ID]; a.reachable() && accept(a.snapshot.WorkerIncarnation) {
			list = append(list, candidate)
		}
	}
	return list
}

// mayStartAt reports whether a start of a task at an agent would have a valid ticket, if it needs one.
func (o *Orchestrator) mayStartAt(j *job, t *sequencer.Task, a *agent, now time.Time) bool {
	return !j.Placement.PolicyRestricted || a.snapshot != nil && o.authorizer.Granted(t.StepName(), a.snapshot.WorkerIncarnation, now)
}

// wantTickets says on which candidates tasks of a step would start if there were tickets. It is called if there
// is none with which one could start now.
func (o *Orchestrator) wantTickets(t *sequencer.Task, tasks int, candidates []*allocator.Candidate, agents map[string]*agent, now time.Time) {
	name, step := t.StepName(), t.StepSpec()
	if !t.Job.Placement.PolicyRestricted || !o.authorizer.Waits(name, now) {
		return
	}
	want := authorizer.Want{Step: name, Queue: t.Job.Spec.Queue, Tasks: tasks, Gang: step.Gang}
	preferred := reachable(candidates, agents, func(string) bool { return true })
	distance := func(c *allocator.Candidate) int {
		if step.PreferredRack == "" || slices.Contains(c.Labels, step.PreferredRack) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(preferred, func(a, b *allocator.Candidate) int {
		return cmp.Or(distance(a)-distance(b), cmp.Compare(b.FreeCPU(), a.FreeCPU()))
	})
	for _, c := range preferred {
		want.Workers = append(want.Workers, authorizer.Worker{Incarnation: agents[c.ID].snapshot.WorkerIncarnation, Room: allocator.Places(t, name, c)})
	}
	o.authorizer.Want(want, now)
}

// maxUnplacedAge is how long a move that found no worker is wanted after it was seen last: two rounds of evacuation.
const maxUnplacedAge = 2 * evacuationInterval

// wantTicketsForMoves says where the runs would go that are to leave their workers. They go before all tasks that
// wait, as their workers may be gone soon.
func (o *Orchestrator) wantTicketsForMoves(byPool map[string][]*allocator.Candidate, agents map[string]*agent, now time.Time) {
	var moves []*run
	for r, seenAt := range o.unplacedMoves {
		if o.runs[r.key] != r || r.evict || now.Sub(seenAt) > maxUnplacedAge {
			delete(o.unplacedMoves, r)
		} else if r.job.Placement.PolicyRestricted {
			moves = append(moves, r)
		}
	}
	slices.SortFunc(moves, func(a, b *run) int { return strings.Compare(a.key.task, b.key.task) })
	for _, r := range moves {
		o.wantTickets(r.task, 1, byPool[r.job.Placement.Pool], agents, now)
	}
}

// sendQueries sends the queries to the policy service that are due.
func (o *Orchestrator) sendQueries() {
	for {
		query, due := o.authorizer.Next(o.cfg.Now())
		if !due {
			return
		}
		o.sendQuery(query)
	}
}

// sendQuery asks the policy service which worker incarnations may run a step.
func (o *Orchestrator) sendQuery(query *authorizer.Query) {
	sent := o.cfg.Now()
	o.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), policyQueryTimeout)
		defer cancel()
		go func() {
			select {
			case <-o.stopped:
				cancel() // Serve waits for this query
			case <-ctx.Done():
			}
		}()
		grants, validity, err := o.cfg.QueryPolicy(ctx, query.Step, query.Workers)
		o.enqueue(func() {
			now := o.cfg.Now()
			o.cfg.Log.Info("policy queried", zap.String("step", query.Step), zap.Int("asked", len(query.Workers)), zap.Int("granted", len(grants)), zap.Duration("valid", validity), zap.Duration("took", now.Sub(sent)), zap.Error(err))
			o.cfg.ObserveDuration(meter.PolicyQueries, now.Sub(sent))
			if err != nil {
				o.cfg.Count(meter.FailedPolicyQueries)
				o.authorizer.Fail(query, now)
			} else {
				o.authorizer.Answer(query, grants, validity, now)
			}
			o.sendQueries() // the service is not left idle until the next round
			o.planDue = true
		})
	})
}

// reportPolicy reports how the policy service keeps up.
func (o *Orchestrator) reportPolicy(now time.Time) {
	report := o.authorizer.Report()
	age := time.Duration(0)
	if report.Waiting > 0 {
		age = now.Sub(report.Since)
	}
	o.cfg.Gauge(meter.PolicyWaits, float64(report.Waiting))
	o.cfg.Gauge(meter.OldestPolicyWait, age.Seconds())
	for range report.Lapsed {
		o.cfg.Count(meter.LapsedTickets)
	}
}

// ticketFor returns the ticket that a start of a task requires on an agent's worker.
func (o *Orchestrator) ticketFor(t *sequencer.Task, a *agent) string {
	if !t.Job.Placement.PolicyRestricted || a.snapshot == nil {
		return ""
	}
	return o.authorizer.Use(t.StepName(), a.snapshot.WorkerIncarnation)
}

// rejectTicket drops the ticket of a start that was not carried out.
func (o *Orchestrator) rejectTicket(t *sequencer.Task, a *agent, now time.Time) {
	if t.Job.Placement.PolicyRestricted && a.snapshot != nil {
		o.authorizer.Reject(t.StepName(), a.snapshot.WorkerIncarnation, now)
	}
}

// forgetPolicy drops the grants of a job that has ended.
func (o *Orchestrator) forgetPolicy(j *job) {
	if j.Placement.PolicyRestricted {
		o.forgetStepPolicies(j)
	}
}

// forgetStepPolicies drops the grants of all steps of a job.
func (o *Orchestrator) forgetStepPolicies(j *job) {
	for occurrence := range j.Occurrences() {
		for n := range j.Spec.Steps {
			o.authorizer.Forget(j.Task(occurrence, n, 0).StepName())
		}
	}
}
