package recorder

import (
	"fmt"
	"time"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/parser"
)

// State is the state of a run.
type State string

// States of a run. All but Running are final.
const (
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Run is one accepted submission of a job. Times are on the platform's clock.
type Run struct {
	ID        string     `cbor:"1,keyasint" json:"id"` // team/job/run
	Spec      parser.Job `cbor:"2,keyasint" json:"spec"`
	Submitted time.Time  `cbor:"3,keyasint" json:"submitted"`
	Deadline  time.Time  `cbor:"4,keyasint" json:"until"`
	State     State      `cbor:"5,keyasint" json:"state"`
	Reason    string     `cbor:"6,keyasint,omitempty" json:"reason,omitempty"`
	Ended     time.Time  `cbor:"7,keyasint,omitempty" json:"ended"`
	// Done and Failed are disjoint: a task ends once, in one of them.
	Done   Ranges `cbor:"8,keyasint,omitempty" json:"done"`
	Failed Ranges `cbor:"9,keyasint,omitempty" json:"dead"`
	// FailedAttempts counts, by task, the attempts that failed and, unless the job is
	// idempotent, those that were lost.
	FailedAttempts map[int]int `cbor:"10,keyasint,omitempty" json:"tries,omitempty"`
	// Checkpoints holds the checkpoint to resume from, by task.
	Checkpoints map[int]string `cbor:"11,keyasint,omitempty" json:"points,omitempty"`
	// Grants holds the live grants. No two of them share a task that has not
	// ended. A pending task in none of them may be granted.
	Grants map[uint64]*Grant `cbor:"12,keyasint,omitempty" json:"grants,omitempty"`
	// LastSeq is the sequence number of the last grant; it only increases.
	LastSeq uint64 `cbor:"13,keyasint" json:"seq"`
	// Resumes and Evictions count resumed and evicted attempts, for reports.
	Resumes   int `cbor:"14,keyasint,omitempty" json:"resumes"`
	Evictions int `cbor:"15,keyasint,omitempty" json:"evictions"`
	// FailuresByAgent counts the failed attempts at each agent.
	FailuresByAgent map[string]int `cbor:"16,keyasint,omitempty" json:"bad,omitempty"`
	// Crashes counts, by task, the attempts in a row that were lost because the worker
	// crashed.
	Crashes map[int]int `cbor:"17,keyasint,omitempty" json:"crashes,omitempty"`
}

// maxCrashes is the number of crashes of its workers in a row after which an idempotent
// task uses up a retry with each further one, as it may be their cause.
const maxCrashes = 3

// Grant allows one process of an agent to run the tasks in [From, To).
type Grant struct {
	Agent       string `cbor:"1,keyasint" json:"agent"`
	Incarnation string `cbor:"2,keyasint" json:"born"` // the process of the agent that it was sent to
	From        int    `cbor:"3,keyasint" json:"from"`
	To          int    `cbor:"4,keyasint" json:"to"`
	Epoch       uint64 `cbor:"5,keyasint" json:"epoch"` // epoch of the shard that issued the grant
}

// Pending returns the tasks that may be granted.
func (r *Run) Pending() Ranges {
	if r.State != Running {
		return nil
	}
	pending := Ranges{}.Add(0, r.Spec.Tasks)
	for _, rng := range r.Done {
		pending = pending.Sub(rng[0], rng[1])
	}
	for _, rng := range r.Failed {
		pending = pending.Sub(rng[0], rng[1])
	}
	for _, g := range r.Grants {
		pending = pending.Sub(g.From, g.To)
	}
	return pending
}

// taskEnded reports whether a task has ended and will not run again.
func (r *Run) taskEnded(i int) bool { return r.Done.Has(i) || r.Failed.Has(i) }

// AddGrant adds a grant and returns its sequence number. It returns false unless
// all tasks of the grant are pending.
func (r *Run) AddGrant(g Grant) (uint64, bool) {
	if r.State != Running || g.From >= g.To {
		return 0, false
	}
	pending := r.Pending()
	if pending.Sub(g.From, g.To).Count() != pending.Count()-(g.To-g.From) {
		return 0, false
	}
	r.LastSeq++
	if r.Grants == nil {
		r.Grants = map[uint64]*Grant{}
	}
	r.Grants[r.LastSeq] = &g
	for i := g.From; i < g.To; i++ {
		if r.Checkpoints[i] != "" {
			r.Resumes++
		}
	}
	return r.LastSeq, true
}

// ApplyOutcomes applies the outcomes of a grant's tasks and, if closed is set,
// removes the grant. Outcomes count only if the grant is live, and only for its
// tasks that have not ended. It returns false if the grant is not live.
func (r *Run) ApplyOutcomes(seq uint64, outcomes []messenger.Outcome, closed bool, now time.Time) bool {
	g := r.Grants[seq]
	if g == nil {
		return false
	}
	for _, o := range outcomes {
		if o.Index < g.From || o.Index >= g.To || r.taskEnded(o.Index) {
			continue
		}
		r.applyOutcome(g, o)
	}
	if closed {
		delete(r.Grants, seq)
	}
	r.endIfComplete(now)
	return true
}

func (r *Run) applyOutcome(g *Grant, o messenger.Outcome) {
	if r.State != Running && o.Status != messenger.AttemptFinished {
		return
	}
	switch o.Status {
	case messenger.AttemptLost:
		r.countLoss(o.Index, o.Crashed)
	case messenger.AttemptFinished:
		r.Done = r.Done.Add(o.Index, o.Index+1)
		delete(r.Checkpoints, o.Index)
		delete(r.FailedAttempts, o.Index)
		delete(r.Crashes, o.Index)
	case messenger.AttemptEvicted:
		r.Evictions++
		r.saveCheckpoint(o.Index, o.Checkpoint)
	case messenger.AttemptFailed:
		if r.FailuresByAgent == nil {
			r.FailuresByAgent = map[string]int{}
		}
		r.FailuresByAgent[g.Agent]++
		r.countFailure(o.Index, o.Reason)
	}
}

func (r *Run) saveCheckpoint(i int, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if checkpoint != r.Checkpoints[i] {
		delete(r.Crashes, i) // it has made progress
	}
	if r.Checkpoints == nil {
		r.Checkpoints = map[int]string{}
	}
	r.Checkpoints[i] = checkpoint
}

// countFailure counts a failed attempt, and ends the task if it has no retries
// left.
func (r *Run) countFailure(i int, reason string) {
	if r.FailedAttempts == nil {
		r.FailedAttempts = map[int]int{}
	}
	r.FailedAttempts[i]++
	if r.FailedAttempts[i] <= r.Spec.Retries {
		return
	}
	r.Failed = r.Failed.Add(i, i+1)
	delete(r.Checkpoints, i)
	if r.Reason == "" {
		r.Reason = reason
	}
}

// ExpireGrant removes a grant whose agent was lost, so that its tasks without an
// outcome may run again. It returns false if the grant is not live.
func (r *Run) ExpireGrant(seq uint64, now time.Time) bool {
	g := r.Grants[seq]
	if g == nil {
		return false
	}
	delete(r.Grants, seq)
	// Tasks of a grant run one after another, so the first without an outcome may
	// have run, and the others have not started.
	for i := g.From; i < g.To; i++ {
		if !r.taskEnded(i) {
			r.countLoss(i, false)
			break
		}
	}
	r.endIfComplete(now)
	return true
}

// LossIsFinal reports whether expiring a grant would end a task as failed, because the
// first task without an outcome is not idempotent and has no retries left.
func (r *Run) LossIsFinal(g *Grant) bool {
	if r.Spec.Idempotent || r.State != Running {
		return false
	}
	for i := g.From; i < g.To; i++ {
		if !r.taskEnded(i) {
			return r.FailedAttempts[i] >= r.Spec.Retries
		}
	}
	return false
}

// countLoss counts an attempt that may have run. An idempotent task runs again
// without using up a retry, unless its workers crash again and again. Any other task without retries left fails with its
// outcome unknown, rather than run twice.
func (r *Run) countLoss(i int, crashed bool) {
	if !r.Spec.Idempotent {
		r.countFailure(i, "lost with its instance; its outcome is unknown")
		return
	}
	if !crashed {
		return
	}
	if r.Crashes == nil {
		r.Crashes = map[int]int{}
	}
	if r.Crashes[i]++; r.Crashes[i] > maxCrashes {
		r.countFailure(i, fmt.Sprintf("its worker crashed %d times in a row", r.Crashes[i]))
	}
}

// endIfComplete ends the run if all of its tasks have ended.
func (r *Run) endIfComplete(now time.Time) {
	if r.State != Running {
		return
	}
	failed := r.Failed.Count()
	if r.Done.Count()+failed < r.Spec.Tasks {
		return
	}
	r.State = Done
	if failed > 0 {
		r.State = Failed
	}
	r.Ended = now
	r.dropTaskState()
}

// End ends a running run early, as cancelled or failed. It returns false if the run
// has ended already.
func (r *Run) End(state State, reason string, now time.Time) bool {
	if r.State != Running {
		return false
	}
	r.State, r.Reason, r.Ended = state, reason, now
	r.dropTaskState()
	return true
}

// dropTaskState drops the state that only a running run needs. Live grants remain
// until their agents have stopped.
func (r *Run) dropTaskState() {
	r.Checkpoints, r.FailedAttempts, r.Crashes = nil, nil, nil
}

// A run fails everywhere after minFailures failed attempts at minFailingAgents
// agents.
const (
	minFailingAgents = 3
	minFailures      = 6
)

// FailsEverywhere reports whether the run failed at several agents and never
// finished a task, which means that the job itself is at fault.
func (r *Run) FailsEverywhere() bool {
	failures := 0
	for _, n := range r.FailuresByAgent {
		failures += n
	}
	return r.State == Running && len(r.Done) == 0 && len(r.FailuresByAgent) >= minFailingAgents && failures >= minFailures
}
