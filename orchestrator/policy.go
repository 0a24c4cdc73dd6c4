package orchestrator

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/allocator"
)

// PolicyGrant allows a worker incarnation to run a step.
type PolicyGrant struct {
	Incarnation string // of the worker
	Ticket      string
}

// Limits of policy queries.
const (
	// maxWorkersPerQuery is how many workers the platform allows in one query.
	maxWorkersPerQuery = 100
	// maxPolicyQueries is how many queries may be in flight: half of what the
	// policy service accepts from one instance.
	maxPolicyQueries = 16
	// policyQueryTimeout bounds a query: the time that the service needs for 100
	// workers, and the wait behind other queries.
	policyQueryTimeout = 10 * time.Second
	// TicketMargin is how long before its expiry a ticket is no longer used, since
	// the start command must reach the worker in time.
	TicketMargin = 500 * time.Millisecond
	// policyRetryDelay is the delay after a failed query.
	policyRetryDelay = 300 * time.Millisecond
)

// stepPolicy holds the known answers about the workers that may run a step.
type stepPolicy struct {
	// tickets are the valid grants by worker incarnation.
	tickets map[string]ticket
	// queried are the incarnations about which an answer was received.
	queried map[string]bool
	// querying is set while a query is in flight; nextQueryAt is the earliest time
	// of the next one.
	querying    bool
	nextQueryAt time.Time
}

type ticket struct {
	text      string
	expiresAt time.Time
}

// grantedCandidates returns the candidates that may run a step of a queue with a policy.
// For other queues it returns all candidates.
func (o *Orchestrator) grantedCandidates(j *job, name string, candidates []*allocator.Candidate, agents map[string]*agent, now time.Time) []*allocator.Candidate {
	if !j.Placement.PolicyRestricted {
		return candidates
	}
	policy := o.policies[name]
	if policy == nil {
		return nil
	}
	var granted []*allocator.Candidate
	for _, candidate := range candidates {
		a := agents[candidate.ID]
		if a.reachable() && policy.grants(a.snapshot.WorkerIncarnation, now) {
			granted = append(granted, candidate)
		}
	}
	return granted
}

// grants reports whether a worker may run the step.
func (p *stepPolicy) grants(incarnation string, now time.Time) bool {
	t, ok := p.tickets[incarnation]
	return ok && now.Before(t.expiresAt.Add(-TicketMargin))
}

// queryUngranted queries the policy of a step about the candidates without a known or valid
// grant. It is called when the granted ones have no room for the step.
func (o *Orchestrator) queryUngranted(j *job, name string, candidates []*allocator.Candidate, agents map[string]*agent, now time.Time) {
	if !j.Placement.PolicyRestricted || o.policyQueries >= maxPolicyQueries {
		return
	}
	policy := o.policies[name]
	if policy == nil {
		policy = &stepPolicy{tickets: map[string]ticket{}, queried: map[string]bool{}}
		o.policies[name] = policy
	}
	if policy.querying || !now.After(policy.nextQueryAt) {
		return
	}
	var unknown []string
	for _, candidate := range candidates {
		a := agents[candidate.ID]
		if !a.reachable() {
			continue // its connection ended during this round
		}
		incarnation := a.snapshot.WorkerIncarnation
		_, expired := policy.tickets[incarnation]
		if !policy.grants(incarnation, now) && (expired || !policy.queried[incarnation]) {
			unknown = append(unknown, incarnation)
		}
	}
	if len(unknown) > 0 {
		o.queryPolicy(policy, name, unknown[:min(len(unknown), maxWorkersPerQuery)])
	}
}

// queryPolicy asks the policy service which worker incarnations may run a step.
func (o *Orchestrator) queryPolicy(policy *stepPolicy, name string, incarnations []string) {
	policy.querying = true
	o.policyQueries++
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
		grants, validity, err := o.cfg.QueryPolicy(ctx, name, incarnations)
		o.enqueue(func() {
			policy.querying = false
			o.policyQueries--
			o.cfg.Log.Info("policy queried", zap.String("step", name), zap.Int("asked", len(incarnations)), zap.Int("granted", len(grants)), zap.Duration("valid", validity), zap.Duration("took", o.cfg.Now().Sub(sent)), zap.Error(err))
			if err != nil {
				policy.nextQueryAt = o.cfg.Now().Add(policyRetryDelay)
				return
			}
			for _, incarnation := range incarnations {
				policy.queried[incarnation] = true
				delete(policy.tickets, incarnation)
			}
			for _, grant := range grants {
				if slices.Contains(incarnations, grant.Incarnation) {
					policy.tickets[grant.Incarnation] = ticket{grant.Ticket, sent.Add(validity)}
				}
			}
			o.planDue = true
		})
	})
}

// ticketFor returns the ticket that a start of a step requires on an agent's
// worker.
func (o *Orchestrator) ticketFor(name string, a *agent) string {
	if policy := o.policies[name]; policy != nil && a.snapshot != nil {
		return policy.tickets[a.snapshot.WorkerIncarnation].text
	}
	return ""
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
			delete(o.policies, j.Task(occurrence, n, 0).StepName())
		}
	}
}
