package orchestrator

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/allocator"
)

// PolicyGrant allows a life of a worker to run a step.
type PolicyGrant struct {
	Incarnation string // life of the worker
	Ticket      string
}

// Bounds of asking for advice.
const (
	// maxWorkersPerQuery is how many workers one call names, as the platform bounds it.
	maxWorkersPerQuery = 100
	// maxPolicyQueries is how many calls wait at the service at once, half of what it
	// takes from one instance.
	maxPolicyQueries = 16
	// policyQueryTimeout bounds a call: its own time for 100 workers, behind others.
	policyQueryTimeout = 10 * time.Second
	// ticketMargin is how long before its end a ticket is not used any more: the
	// way to the worker.
	ticketMargin = 500 * time.Millisecond
	// policyRetryDelay is the wait after a call that failed.
	policyRetryDelay = 300 * time.Millisecond
)

// stepPolicy is what is known of the workers that may run a step.
type stepPolicy struct {
	// tickets are by life of a worker, until when they are valid.
	tickets map[string]ticket
	// queried has the lives that were queried about.
	queried map[string]bool
	// querying is set while a call is on its way; next is when another may go.
	querying bool
	nextQueryAt   time.Time
}

type ticket struct {
	text  string
	expiresAt time.Time
}

// grantedCandidates returns the seats that may run a step of a queue with a policy, and
// asks about those of which it is not known. Others stay as they are.
func (o *Orchestrator) grantedCandidates(j *job, name string, candidates []*allocator.Candidate, agents map[string]*agent, now time.Time) []*allocator.Candidate {
	if !j.Spec.PolicyRestricted {
		return candidates
	}
	policy := o.policies[name]
	if policy == nil {
		policy = &stepPolicy{tickets: map[string]ticket{}, queried: map[string]bool{}}
		o.policies[name] = policy
	}
	var granted []*allocator.Candidate
	var unknown []string
	for _, s := range candidates {
		a := agents[s.ID]
		if a.snapshot == nil {
			continue // its connection has ended in this round
		}
		incarnation := a.snapshot.WorkerIncarnation
		if t, ok := policy.tickets[incarnation]; ok && now.Before(t.expiresAt.Add(-ticketMargin)) {
			granted = append(granted, s)
		} else if !policy.queried[incarnation] || ok {
			unknown = append(unknown, incarnation)
		}
	}
	if len(unknown) > 0 && len(granted) == 0 && !policy.querying && now.After(policy.nextQueryAt) && o.policyQueries < maxPolicyQueries {
		o.queryPolicy(policy, name, unknown[:min(len(unknown), maxWorkersPerQuery)])
	}
	return granted
}

// queryPolicy asks which workers may run a step.
func (o *Orchestrator) queryPolicy(policy *stepPolicy, name string, incarnations []string) {
	policy.querying = true
	o.policyQueries++
	sent := o.cfg.Now()
	o.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), policyQueryTimeout)
		defer cancel()
		grants, validity, err := o.cfg.QueryPolicy(ctx, name, incarnations)
		o.enqueue(func() {
			policy.querying = false
			o.policyQueries--
			o.cfg.Log.Info("advice", zap.String("step", name), zap.Int("asked", len(incarnations)), zap.Int("granted", len(grants)), zap.Duration("valid", validity), zap.Duration("took", o.cfg.Now().Sub(sent)), zap.Error(err))
			if err != nil {
				policy.nextQueryAt = o.cfg.Now().Add(policyRetryDelay)
				return
			}
			for _, incarnation := range incarnations {
				policy.queried[incarnation] = true
				delete(policy.tickets, incarnation)
			}
			for _, g := range grants {
				if slices.Contains(incarnations, g.Incarnation) {
					policy.tickets[g.Incarnation] = ticket{g.Ticket, sent.Add(validity)}
				}
			}
			o.planDue = true
		})
	})
}

// ticketFor returns the ticket that a start of a step needs at an agent's worker.
func (o *Orchestrator) ticketFor(name string, a *agent) string {
	if policy := o.policies[name]; policy != nil && a.snapshot != nil {
		return policy.tickets[a.snapshot.WorkerIncarnation].text
	}
	return ""
}

// forgetPolicy drops what is known for a job that is over.
func (o *Orchestrator) forgetPolicy(j *job) {
	if !j.Spec.PolicyRestricted {
		return
	}
	for occurrence := range j.Occurrences() {
		for n := range j.Spec.Steps {
			delete(o.policies, j.Task(occurrence, n, 0).StepName())
		}
	}
}
