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
	// maxAsked is how many workers one call names, as the platform bounds it.
	maxAsked = 100
	// maxCalls is how many calls wait at the service at once, half of what it
	// takes from one instance.
	maxCalls = 16
	// adviceTimeout bounds a call: its own time for 100 workers, behind others.
	adviceTimeout = 10 * time.Second
	// adviceMargin is how long before its end a ticket is not used any more: the
	// way to the worker.
	adviceMargin = 500 * time.Millisecond
	// adviceRetry is the wait after a call that failed.
	adviceRetry = 300 * time.Millisecond
)

// advice is what is known of the workers that may run a step.
type advice struct {
	// tickets are by life of a worker, until when they are valid.
	tickets map[string]ticket
	// asked has the lives that were asked about.
	asked map[string]bool
	// asking is set while a call is on its way; next is when another may go.
	asking bool
	next   time.Time
}

type ticket struct {
	text  string
	until time.Time
}

// advised returns the seats that may run a step of a queue with a policy, and
// asks about those of which it is not known. Others stay as they are.
func (o *Orchestrator) advised(j *job, name string, seats []*allocator.Candidate, agents map[string]*agent, now time.Time) []*allocator.Candidate {
	if !j.Spec.PolicyRestricted {
		return seats
	}
	v := o.advice[name]
	if v == nil {
		v = &advice{tickets: map[string]ticket{}, asked: map[string]bool{}}
		o.advice[name] = v
	}
	var granted []*allocator.Candidate
	var unknown []string
	for _, s := range seats {
		a := agents[s.ID]
		if a.table == nil {
			continue // its connection has ended in this round
		}
		life := a.table.WorkerIncarnation
		if t, ok := v.tickets[life]; ok && now.Before(t.until.Add(-adviceMargin)) {
			granted = append(granted, s)
		} else if !v.asked[life] || ok {
			unknown = append(unknown, life)
		}
	}
	if len(unknown) > 0 && len(granted) == 0 && !v.asking && now.After(v.next) && o.asking < maxCalls {
		o.askAdvice(v, name, unknown[:min(len(unknown), maxAsked)])
	}
	return granted
}

// askAdvice asks which workers may run a step.
func (o *Orchestrator) askAdvice(v *advice, name string, lives []string) {
	v.asking = true
	o.asking++
	asked := o.cfg.Now()
	o.works.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), adviceTimeout)
		defer cancel()
		grants, valid, err := o.cfg.QueryPolicy(ctx, name, lives)
		o.hand(func() {
			v.asking = false
			o.asking--
			o.cfg.Log.Info("advice", zap.String("step", name), zap.Int("asked", len(lives)), zap.Int("granted", len(grants)), zap.Duration("valid", valid), zap.Duration("took", o.cfg.Now().Sub(asked)), zap.Error(err))
			if err != nil {
				v.next = o.cfg.Now().Add(adviceRetry)
				return
			}
			for _, life := range lives {
				v.asked[life] = true
				delete(v.tickets, life)
			}
			for _, g := range grants {
				if slices.Contains(lives, g.Incarnation) {
					v.tickets[g.Incarnation] = ticket{g.Ticket, asked.Add(valid)}
				}
			}
			o.plan = true
		})
	})
}

// ticketOf returns the ticket that a start of a step needs at an agent's worker.
func (o *Orchestrator) ticketOf(name string, a *agent) string {
	if v := o.advice[name]; v != nil && a.table != nil {
		return v.tickets[a.table.WorkerIncarnation].text
	}
	return ""
}

// forgetAdvice drops what is known for a job that is over.
func (o *Orchestrator) forgetAdvice(j *job) {
	if !j.Spec.PolicyRestricted {
		return
	}
	for k := range j.Occurrences() {
		for n := range j.Spec.Steps {
			delete(o.advice, j.Task(k, n, 0).StepName())
		}
	}
}
